"""One side's share of the weight store's load rate."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from copperrun.ports.timers import Timers


class LoadBound(NamedTuple):
    """Bound on loads from the weight store over all engines.

    Attributes:
        window_ms: Length of the sliding window.
        overage: Factor on the store's rate that is still allowed in a window.
        slack: Loads allowed in a window besides.
    """

    window_ms: int
    overage: float
    slack: int


class LoadShare:
    """Spaces the loads of one engine so that all engines together keep the bound.

    Attributes:
        bound: Bound in force.
    """

    def __init__(self, bound: LoadBound, timers: Timers) -> None:
        self.bound = bound
        self._timers = timers
        self._started: deque[int] = deque()

    def delay_ms(self, loads_per_s: float, engines: int) -> int:
        """Return how long to wait before the next load from the store; 0 for now."""
        bound = self.bound
        allowed = loads_per_s * bound.window_ms / 1000 * bound.overage + bound.slack
        share = allowed / max(engines, 1)
        per_window = max(int(share), 1)
        window_ms = bound.window_ms * max(1.0, 1 / share)
        now = self._timers.now_ms()
        while self._started and self._started[0] <= now - window_ms:
            self._started.popleft()
        if len(self._started) < per_window:
            return 0
        return int(self._started[-per_window] + window_ms - now)

    def note_load(self) -> None:
        """Count a load that was ordered."""
        self._started.append(self._timers.now_ms())
