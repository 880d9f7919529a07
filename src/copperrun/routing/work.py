"""Memory and work of the requests at one backend server, as an entry knows them."""

from __future__ import annotations

from copperrun.ports.timers import Timers

CALL_SMOOTHING = 0.2  # weight of the newest call in the slowness
SLOWNESS_HALF_LIFE_MS = 4_000
MAX_SLOWNESS = 8.0


class ServerWork:
    """Counts an entry's own requests and what the latest report of a side says.

    Attributes:
        own_tokens: Memory that this entry's requests may need.
        own_ms: Time that this entry's requests are expected to take.
        step_ms: Time of one decode step; 0 when the side does not tell.
    """

    def __init__(self, timers: Timers) -> None:
        self.own_tokens = 0
        self.own_ms = 0.0
        self.step_ms = 0.0
        self._timers = timers
        self._free_tokens: int | None = None
        self._reported_ms = 0.0
        self._tokens_since_report = 0
        self._work_since_report_ms = 0.0
        self._slowness = 1.0
        self._slowness_ms = 0

    @property
    def free_tokens(self) -> int | None:
        """Memory of an engine for requests to come; None when unknown."""
        if self._free_tokens is None:
            return None
        return max(self._free_tokens - self._tokens_since_report, 0)

    @property
    def left_ms(self) -> float | None:
        """Decode work left at an engine; None when unknown."""
        if not self.step_ms:
            return None
        return self._reported_ms + self._work_since_report_ms

    @property
    def slowness(self) -> float:
        """How much longer than expected recent calls took here, decaying to 1."""
        age_ms = self._timers.now_ms() - self._slowness_ms
        return float(self._slowness ** (0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)))

    def begin(self, tokens: int, work_ms: float) -> None:
        """Count a request that is sent."""
        self.own_tokens += tokens
        self.own_ms += work_ms
        self._tokens_since_report += tokens
        self._work_since_report_ms += work_ms

    def end(self, tokens: int, work_ms: float) -> None:
        """Count a request as ended."""
        self.own_tokens -= tokens
        self.own_ms = max(self.own_ms - work_ms, 0.0)

    def apply_report(
        self, free_tokens: int | None, step_ms: float, left_ms: float
    ) -> None:
        """Apply a newer report of the engine's side."""
        self.step_ms = step_ms
        self._free_tokens = free_tokens
        self._reported_ms = left_ms
        self._tokens_since_report = 0
        self._work_since_report_ms = 0.0

    def record_call(self, elapsed_ms: float, expected_ms: float) -> None:
        """Update the slowness with the time of one complete call."""
        ratio = elapsed_ms / max(expected_ms, 1.0)
        ratio = min(max(ratio, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        # In the logarithm, so that twice as slow and twice as fast weigh the same.
        self._slowness = self.slowness ** (1 - CALL_SMOOTHING) * ratio**CALL_SMOOTHING
        self._slowness_ms = self._timers.now_ms()
