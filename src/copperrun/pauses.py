"""Notices that this process stood still, so that what it knows may be out of date."""

from __future__ import annotations

from copperrun.ports.timers import Timers

PULSE_MS = 250
# A server cannot end, start again and load a model in less.
MIN_PAUSE_MS = 600


class PauseDetector:
    """Tells whether the process has stood still since a moment.

    It is told that the process runs, by a pulse and by those who ask; a longer time
    between two such moments was a pause. Without a pulse it cannot tell.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._seen_ms: int | None = None
        self._pause_end_ms = 0

    async def pulse(self) -> None:
        """Record that the process runs; call it each ``PULSE_MS``."""
        if self._seen_ms is None:
            self._seen_ms = self._timers.now_ms()
        self.observe()

    def observe(self) -> int:
        """Record that the process runs, and return the time."""
        now = self._timers.now_ms()
        if self._seen_ms is not None:
            if now - self._seen_ms > PULSE_MS + MIN_PAUSE_MS:
                self._pause_end_ms = now
            self._seen_ms = now
        return now

    def has_paused_since(self, at_ms: int) -> bool:
        """Return whether a pause has ended after ``at_ms``, an observed time."""
        self.observe()
        return self._pause_end_ms > at_ms
