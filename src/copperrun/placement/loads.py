"""Limits one engine's loads from the weight store to its share of the rate."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from copperrun.ports.timers import Timers


class LoadRateLimit(NamedTuple):
    """Limit on loads from the weight store over all engines.

    Attributes:
        window_ms: Length of the sliding window.
        overage: Factor on the store's rate up to which a window may go.
        slack: Additional loads allowed in a window.
    """

    window_ms: int
    overage: float
    slack: int


class LoadRateLimiter:
    """Spaces the loads of one engine so that all engines together keep the limit.

    Attributes:
        limit: Limit in force.
    """

    def __init__(self, limit: LoadRateLimit, timers: Timers) -> None:
        self.limit = limit
        self._timers = timers
        self._load_times_ms: deque[int] = deque()

    def delay_ms(self, loads_per_s: float, engine_count: int) -> int:
        """Return the time until the next load from the store; 0 when allowed now."""
        limit = self.limit
        allowed = loads_per_s * limit.window_ms / 1000 * limit.overage + limit.slack
        share = allowed / max(engine_count, 1)
        # A share below one load allows one load in a longer window.
        per_window = max(int(share), 1)
        window_ms = limit.window_ms * max(1.0, 1 / share)
        now = self._timers.now_ms()
        while self._load_times_ms and self._load_times_ms[0] <= now - window_ms:
            self._load_times_ms.popleft()
        if len(self._load_times_ms) < per_window:
            return 0
        return int(self._load_times_ms[-per_window] + window_ms - now)

    def record_load(self) -> None:
        """Count a load that is being ordered."""
        self._load_times_ms.append(self._timers.now_ms())
