"""Times at which callers refused for their limit come back; no I/O.

Load: an account asks for several times its limit for some seconds. If all who are
refused come back as soon as the next units are there, nearly all are refused again.
"""

from __future__ import annotations

import math

PACE_TIME_MS = 1_000  # time constant of the pace at which units come
MAX_TURN_MS = 5_000  # callers that wait longer than this do not come back


class Backlog:
    """Gives the refused callers of one account at one entry a turn each.

    Those refused before are taken to be served first, at the pace at which the entry
    has been granted units lately.
    """

    def __init__(self) -> None:
        self._granted = 0.0  # units, fading with the time constant
        self._refused = 0.0  # units of callers whose turn is still to come
        self._updated_ms = 0

    def record_granted(self, units: int, now_ms: int) -> None:
        """Record units that the entry was granted."""
        self._update(now_ms)
        self._granted += units

    def take_turn(self, cost: int, now_ms: int) -> int:
        """Return the time until those refused before have had their turn, in ms."""
        self._update(now_ms)
        pace_per_ms = self._granted / PACE_TIME_MS
        before = self._refused
        self._refused += cost
        if not before:
            return 0
        if not pace_per_ms:
            return MAX_TURN_MS
        return min(int(before / pace_per_ms), MAX_TURN_MS)

    def _update(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        self._updated_ms = max(now_ms, self._updated_ms)
        left = math.exp(-elapsed_ms / PACE_TIME_MS)
        # What the pace has brought while it faded.
        self._refused = max(self._refused - self._granted * (1 - left), 0.0)
        self._granted *= left
