"""Budget of retries, so that failures do not multiply the load."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from copperrun.ports.timers import Timers

TOKENS_PER_ANSWER = 0.2  # retries for each success
MAX_TOKENS = 50.0
BUDGET_MARGIN = 0.8  # arrivals at servers bunch up more than the sends do


class RetryBudget:
    """Tokens earned by answers and spent by retries."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_answer(self) -> None:
        """Note an answer."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_ANSWER)

    def try_acquire(self) -> bool:
        """Take a retry; False when the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBounds(NamedTuple):
    """Bound on further attempts over all entries.

    Attributes:
        ratio: Further attempts for each request.
        slack: Further attempts besides, in one window.
        window_ms: Length of the sliding window.
    """

    ratio: float
    slack: float
    window_ms: int


class RetryWindow:
    """Further attempts of one pool in a sliding window, as this entry's share.

    All entries together may send ``ratio`` further attempts for each request and
    ``slack`` besides; an entry that counts its own requests keeps to the ratio alone
    and gets its even share of the slack.

    Attributes:
        bounds: Bounds in force.
        entries: Number of entries that share the slack.
    """

    def __init__(self, timers: Timers, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self.entries = 1
        self._timers = timers
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_request(self) -> None:
        """Count a request's first attempt."""
        self._requests.append(self._timers.now_ms())
        self._drop_expired()

    def try_acquire(self) -> bool:
        """Take one further attempt; False when the share is used up."""
        self._drop_expired()
        allowed = (
            self.bounds.ratio * len(self._requests) + self.bounds.slack / self.entries
        )
        if len(self._retries) + 1 > allowed * BUDGET_MARGIN:
            return False
        self._retries.append(self._timers.now_ms())
        return True

    def _drop_expired(self) -> None:
        oldest = self._timers.now_ms() - self.bounds.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
