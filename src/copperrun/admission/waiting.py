"""Whether a request waits for a model that no server holds; no I/O.

Answers a shift of demand to models that are not loaded: requests that a load will
serve in time wait for it, the others are refused at once with the time to come back.
"""

from __future__ import annotations

from typing import NamedTuple

# In which a side answers a report with what it will load. Engines in the middle of
# another move take longer, so patient requests wait up to half of their target.
ANNOUNCE_TIMEOUT_MS = 600
STARTUP_TIMEOUT_MS = 3_000  # in which sides that start read the store and report
MIN_SERVICE_MS = 500  # least time for the answer itself once the model is there
MIN_RETRY_AFTER_MS = 200
UNPLANNED_RETRY_AFTER_MS = 2_000  # a typical move under way ends within it


class Wait(NamedTuple):
    """The request waits, at most this long before the next decision."""

    timeout_ms: int


class Reject(NamedTuple):
    """The request is refused; the model should be there after ``retry_after_ms``."""

    retry_after_ms: int


def decide_wait(
    *,
    expected_ms: int | None,
    waited_ms: int,
    remaining_ms: int,
    target_ms: int,
    sides_known: bool,
) -> Wait | Reject:
    """Decide for one request.

    Args:
        expected_ms: Time until some server holds the model; None when no side has
            announced a load.
        waited_ms: Time that the request has waited.
        remaining_ms: Time left until its caller leaves.
        target_ms: Time to the first event that earns the full benefit.
        sides_known: Whether any side has reported what it loads.
    """
    budget_ms = remaining_ms - MIN_SERVICE_MS
    if expected_ms is None:
        limit_ms = (
            max(ANNOUNCE_TIMEOUT_MS, target_ms // 2)
            if sides_known
            else STARTUP_TIMEOUT_MS
        )
        if waited_ms >= limit_ms or budget_ms <= 0:
            return Reject(UNPLANNED_RETRY_AFTER_MS)
        return Wait(min(limit_ms - waited_ms, budget_ms))
    if expected_ms > budget_ms:
        return Reject(max(expected_ms, MIN_RETRY_AFTER_MS))
    return Wait(max(budget_ms, 1))
