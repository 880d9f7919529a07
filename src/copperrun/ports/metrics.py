"""Where the parts report what they measure."""

from __future__ import annotations

from typing import Protocol

from copperrun.model import Refusal


class Metrics(Protocol):
    """Instruments of one process; times are given in milliseconds."""

    def record_first_token(
        self, tenant: str, service_class: str, elapsed_ms: float
    ) -> None:
        """Note the time from arrival to the first chunk."""

    def record_token_gap(self, tenant: str, service_class: str, gap_ms: float) -> None:
        """Note the time between two chunks."""

    def record_answer(
        self, tenant: str, service_class: str, elapsed_ms: float, *, met_targets: bool
    ) -> None:
        """Note a whole answer and whether it met its targets."""

    def record_refusal(self, tenant: str, service_class: str, refusal: Refusal) -> None:
        """Note a refusal."""

    def record_missed(self, tenant: str, service_class: str) -> None:
        """Note a request of the caller's right that got no answer in time."""

    def record_queue_time(
        self, tenant: str, service_class: str, queued_ms: float
    ) -> None:
        """Note the time that an attempt waited at a side."""

    def record_retry(self, reason: str) -> None:
        """Note a further attempt of a request."""

    def record_move(self, operation: str, object_kind: str) -> None:
        """Note a load or unload of a model or adapter."""

    def record_append(self, stream: str) -> None:
        """Note an append to the platform's log."""

    def record_configuration_lag(self, lag_ms: float) -> None:
        """Note the time from a change's making until it was in force here."""
