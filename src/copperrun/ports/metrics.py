"""Metrics that components record."""

from __future__ import annotations

from typing import Protocol

from copperrun.model import Refusal


class Metrics(Protocol):
    """Instruments of one process; times are in milliseconds."""

    def record_first_token(
        self, tenant: str, service_class: str, elapsed_ms: float
    ) -> None:
        """Record the time from arrival to the first chunk."""

    def record_token_gap(self, tenant: str, service_class: str, gap_ms: float) -> None:
        """Record the time between two chunks."""

    def record_answer(
        self, tenant: str, service_class: str, elapsed_ms: float, *, met_targets: bool
    ) -> None:
        """Record a complete answer and whether it met its targets."""

    def record_refusal(self, tenant: str, service_class: str, refusal: Refusal) -> None:
        """Record a refusal."""

    def record_account_use(self, account: str, units: int) -> None:
        """Record a request of a client account, with its units of the allotment."""

    def record_account_refusal(self, account: str, refusal: Refusal) -> None:
        """Record a request of a client account refused for its allotment."""

    def record_allotment(self, account: str, used_share: float) -> None:
        """Record the share of an account's burst that is used up, as last known."""

    def record_missed(self, tenant: str, service_class: str) -> None:
        """Record a valid request that got no complete answer in time."""

    def record_queue_time(
        self, tenant: str, service_class: str, queued_ms: float
    ) -> None:
        """Record the time that an attempt waited at a side."""

    def record_retry(self, reason: str) -> None:
        """Record a retry and why the attempt before it ended."""

    def record_engine_memory(self, used_share: float, committed_share: float) -> None:
        """Record the share of an engine's memory in use, and with what may be added.

        Args:
            used_share: Held by its requests now.
            committed_share: Held and what its requests may grow to.
        """

    def record_move(self, operation: str, object_kind: str) -> None:
        """Record a load or unload of a model or adapter."""

    def record_append(self, stream: str) -> None:
        """Record an append to the platform's log."""

    def record_held(
        self, answer_bytes: int, upload_bytes: int, head_bytes: int = 0
    ) -> None:
        """Record the bytes that are held for callers."""

    def record_cut_caller(self, reason: str) -> None:
        """Record an answer that was ended because its caller reads too slowly."""

    def record_refused_upload(self, reason: str) -> None:
        """Record a request body that was not taken."""

    def record_refused_head(self) -> None:
        """Record a request that was refused before its head was parsed."""

    def record_configuration_lag(self, lag_ms: float) -> None:
        """Record the time from a change's creation until it took effect here."""
