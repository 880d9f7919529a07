"""Where the parts report what they measure."""

from __future__ import annotations

from typing import Protocol

from copperrun.model import Refusal


class Metrics(Protocol):
    """Instruments of one process; times are given in milliseconds."""

    def first_token(self, tenant: str, service_class: str, elapsed_ms: float) -> None:
        """Note the time from arrival to the first chunk."""

    def between_tokens(self, tenant: str, service_class: str, gap_ms: float) -> None:
        """Note the time between two chunks."""

    def answered(
        self, tenant: str, service_class: str, elapsed_ms: float, *, met: bool
    ) -> None:
        """Note a whole answer and whether it met its targets."""

    def refused(self, tenant: str, service_class: str, refusal: Refusal) -> None:
        """Note a refusal."""

    def missed(self, tenant: str, service_class: str) -> None:
        """Note a request of the caller's right that got no answer in time."""

    def queued(self, tenant: str, service_class: str, elapsed_ms: float) -> None:
        """Note the time that an attempt waited at a side."""

    def retried(self, reason: str) -> None:
        """Note a further attempt of a request."""

    def moved(self, kind: str, what: str) -> None:
        """Note a load or unload of a model or adapter."""

    def appended(self, stream: str) -> None:
        """Note an append to the platform's log."""

    def configuration_lag(self, elapsed_ms: float) -> None:
        """Note the time from a change's making until it was in force here."""
