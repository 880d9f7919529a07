"""Attempts registered at a side: each runs at most once, and not once cancelled."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from copperrun.model import AttemptId
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.timers import Timers

ATTEMPT_TTL_MS = 120_000  # longer than a message about an attempt can be in transit


class AttemptState(Enum):
    """Progress of an attempt at this side."""

    WAITING = "waiting"
    STARTED = "started"
    CANCELLED = "cancelled"


@dataclass
class _Entry:
    state: AttemptState
    cancel_callback: Callable[[], object] | None = None


class AttemptTable:
    """Attempts and tombstones of one incarnation of a side."""

    def __init__(self, timers: Timers, incarnation: int) -> None:
        self._timers = timers
        self._incarnation = incarnation
        self._entries: dict[AttemptId, _Entry] = {}
        self._expiry: deque[tuple[int, AttemptId]] = deque()

    def register(self, attempt_id: AttemptId) -> Refusal | None:
        """Register an arriving attempt; return a refusal if it must not run."""
        self._purge()
        if attempt_id.incarnation != self._incarnation:
            return Refusal(
                RefusalReason.WRONG_INCARNATION,
                Ran.NO,
                "the attempt was sent to an earlier incarnation of this side",
            )
        entry = self._entries.get(attempt_id)
        if entry is None:
            self._add(attempt_id, _Entry(AttemptState.WAITING))
            return None
        if entry.state is AttemptState.CANCELLED:
            return _cancelled()
        return Refusal(RefusalReason.CANCELLED, Ran.UNKNOWN, "duplicate attempt")

    def set_cancel_callback(
        self, attempt_id: AttemptId, callback: Callable[[], object] | None
    ) -> None:
        """Set the function to call if the attempt is cancelled; None for no call."""
        entry = self._entries.get(attempt_id)
        if entry is not None:
            entry.cancel_callback = callback

    def start(self, attempt_id: AttemptId) -> Refusal | None:
        """Mark an attempt as started; return a refusal if it was cancelled before."""
        entry = self._entries.get(attempt_id)
        if entry is None or entry.state is AttemptState.CANCELLED:
            return _cancelled()
        entry.state = AttemptState.STARTED
        return None

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Cancel an attempt and return whether it had started.

        An attempt that arrives after its cancellation is refused.
        """
        if attempt_id.incarnation != self._incarnation:
            # It ended with that incarnation and may have run in part.
            return True
        entry = self._entries.get(attempt_id)
        if entry is None:
            self._add(attempt_id, _Entry(AttemptState.CANCELLED))
            return False
        started = entry.state is AttemptState.STARTED
        if not started:
            entry.state = AttemptState.CANCELLED
        if entry.cancel_callback is not None:
            entry.cancel_callback()
        return started

    def _add(self, attempt_id: AttemptId, entry: _Entry) -> None:
        self._entries[attempt_id] = entry
        self._expiry.append((self._timers.now_ms() + ATTEMPT_TTL_MS, attempt_id))

    def _purge(self) -> None:
        now = self._timers.now_ms()
        while self._expiry and self._expiry[0][0] <= now:
            _, attempt_id = self._expiry.popleft()
            self._entries.pop(attempt_id, None)


def _cancelled() -> Refusal:
    return Refusal(RefusalReason.CANCELLED, Ran.NO, "the attempt was cancelled")
