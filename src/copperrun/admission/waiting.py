"""Decides whether a request waits for a model that no server holds; no I/O.

When demand shifts to models that are not loaded, requests that a load will serve in
time wait for it. The others are refused at once with the time after which to retry.
"""

from __future__ import annotations

from typing import NamedTuple

# Time in which a side answers a demand report with the models that it will load.
# It takes longer while its engine makes another move, so requests whose target allows
# it wait up to half of their target.
ANNOUNCE_TIMEOUT_MS = 600
STARTUP_TIMEOUT_MS = 3_000  # for starting sides to read the store and report
MIN_SERVICE_MS = 500  # least time for the answer itself once the model is loaded
MIN_RETRY_AFTER_MS = 200
UNPLANNED_RETRY_AFTER_MS = 2_000  # a typical move in progress ends within this time


class Wait(NamedTuple):
    """The request waits, at most ``timeout_ms`` before the next decision."""

    timeout_ms: int


class Refuse(NamedTuple):
    """The request is refused; the model should be loaded after ``retry_after_ms``."""

    retry_after_ms: int


def decide_wait(
    *,
    expected_ms: int | None,
    waited_ms: int,
    remaining_ms: int,
    target_ms: int,
    any_side_reported: bool,
) -> Wait | Refuse:
    """Decide whether one request waits.

    Args:
        expected_ms: Time until some server holds the model; None when no side has
            announced a load.
        waited_ms: Time that the request has waited.
        remaining_ms: Time left until the caller disconnects for want of a first event.
        target_ms: Target of the time to the first event.
        any_side_reported: Whether any side of the pool has reported its planned loads.
    """
    budget_ms = remaining_ms - MIN_SERVICE_MS
    if expected_ms is None:
        limit_ms = (
            max(ANNOUNCE_TIMEOUT_MS, target_ms // 2)
            if any_side_reported
            else STARTUP_TIMEOUT_MS
        )
        if waited_ms >= limit_ms or budget_ms <= 0:
            return Refuse(UNPLANNED_RETRY_AFTER_MS)
        return Wait(min(limit_ms - waited_ms, budget_ms))
    if expected_ms > budget_ms:
        return Refuse(max(expected_ms, MIN_RETRY_AFTER_MS))
    return Wait(max(budget_ms, 1))
