"""Rate limits of callers."""

from __future__ import annotations

from dataclasses import dataclass

from copperrun.configuration.schema import Caller
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.timers import Timers


@dataclass
class _Bucket:
    tokens: float
    refilled_ms: int


class RateLimiter:
    """Keeps one token bucket for each caller at this entry.

    Every entry grants an equal share of a caller's rate. With N live entries and a
    balancer that spreads connections unevenly, a caller gets between 1/N of its rate
    (all work at one entry) and its full rate. An outdated ``entry_count`` scales the
    total by the ratio of the counts until the instance list is read again.
    """

    def __init__(self, timers: Timers) -> None:
        self.entry_count = 1
        self._timers = timers
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, name: str, caller: Caller) -> Refusal | None:
        """Consume one token, or return a refusal with the time until the next."""
        now = self._timers.now_ms()
        rate = caller.requests_per_second / self.entry_count
        burst = max(1.0, caller.burst / self.entry_count)
        bucket = self._buckets.setdefault(name, _Bucket(burst, now))
        refill = (now - bucket.refilled_ms) / 1000 * rate
        bucket.tokens = min(burst, bucket.tokens + refill)
        bucket.refilled_ms = now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        wait_ms = int((1 - bucket.tokens) / rate * 1000) + 1
        return Refusal(
            RefusalReason.RATE_LIMITED,
            Ran.NO,
            f"caller {name!r} exceeds its limit of {caller.requests_per_second:g}/s",
            wait_ms,
        )
