"""Retry budgets, which keep failures from multiplying the load."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from copperrun.ports.timers import Timers

TOKENS_PER_ANSWER = 0.2  # retries allowed for each answered request
MAX_TOKENS = 50.0
# Fraction of the window's budget that is used: attempts reach the servers in denser
# bursts than they are sent.
BUDGET_MARGIN = 0.8


class RetryBudget:
    """Token bucket that answers refill and retries draw from."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_answer(self) -> None:
        """Add the tokens of one answered request."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_ANSWER)

    def try_acquire(self) -> bool:
        """Use one token for a retry; return False when the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBounds(NamedTuple):
    """Bound on the retries of all entries together.

    Attributes:
        ratio: Retries for each request in the window.
        slack: Retries in the window beyond the ratio.
        window_ms: Length of the sliding window in milliseconds.
    """

    ratio: float
    slack: float
    window_ms: int


class RetryWindow:
    """This entry's retry budget for one pool over a sliding window.

    All entries together may send ``ratio`` retries for each request and ``slack``
    more. The ratio holds over all entries when each applies it to its own requests;
    the slack is divided evenly among them. What this entry sent before it started again
    may be in the same window, so it has no slack until that is over.

    Args:
        timers: Timer service.
        bounds: Bounds to begin with.
        restarted_ms: When this process started, unless it is the first start of all.

    Attributes:
        bounds: Current bounds.
        entries: Number of entries that share the slack.
    """

    def __init__(
        self, timers: Timers, bounds: RetryBounds, *, restarted_ms: int | None = None
    ) -> None:
        self.bounds = bounds
        self.entries = 1
        self._restarted_ms = restarted_ms
        self._timers = timers
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def record_request(self) -> None:
        """Count a new request."""
        self._requests.append(self._timers.now_ms())
        self._drop_expired()

    def try_acquire(self) -> bool:
        """Use one retry; return False when this entry's share is exhausted."""
        self._drop_expired()
        slack = 0.0 if self._is_in_first_window else self.bounds.slack / self.entries
        allowed = self.bounds.ratio * len(self._requests) + slack
        if len(self._retries) + 1 > allowed * BUDGET_MARGIN:
            return False
        self._retries.append(self._timers.now_ms())
        return True

    @property
    def _is_in_first_window(self) -> bool:
        if self._restarted_ms is None:
            return False
        return self._timers.now_ms() - self._restarted_ms < self.bounds.window_ms

    def _drop_expired(self) -> None:
        oldest = self._timers.now_ms() - self.bounds.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
