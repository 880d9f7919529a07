"""Token buckets of client accounts at their keeper; no I/O.

What a keeper grants in any time is at most the burst and the rate over that time, and
as much more as the last request was larger than the burst.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest

# Units ahead are granted above this part of the burst only, so that one entry's
# forecast does not take what another's request needs.
PLENTY_FRACTION = 0.5
MAX_WAIT_MS = 2**31 - 1  # that a grant on the wire can state
MAX_USED_UNITS = 2**63 - 1  # likewise
MAX_BUCKETS = 10_000  # of one group; full ones are dropped beyond it


@dataclass
class _Bucket:
    level: float
    refilled_ms: int
    rate_per_s: float
    burst: float
    version: int

    def refill(self, now_ms: int) -> None:
        elapsed_ms = max(now_ms - self.refilled_ms, 0)
        self.level += elapsed_ms / 1000 * self.rate_per_s
        self.level = min(self.level, self.burst)
        self.refilled_ms = max(now_ms, self.refilled_ms)

    def take(self, cost: int) -> bool:
        """Take the units of one request; one larger than the burst leaves a debt."""
        if self.level < min(cost, self.burst):
            return False
        self.level -= cost
        return True

    def wait_ms(self, cost: int) -> int:
        """Return the time until a request may be granted."""
        missing = min(cost, self.burst) - self.level
        wait_ms = max(missing, 0.0) / self.rate_per_s * 1000
        return int(min(wait_ms, MAX_WAIT_MS - 1)) + 1


class Buckets:
    """One bucket for each account of a group, during one tenure.

    Args:
        began_ms: When the tenure began, in monotonic milliseconds.
        levels: Units left of accounts, from the former keeper.
        is_full: Whether accounts not in ``levels`` have their whole burst; without
            it they have what came since the tenure began.
    """

    def __init__(
        self, began_ms: int, levels: Mapping[str, float], *, is_full: bool
    ) -> None:
        self._began_ms = began_ms
        self._levels = levels
        self._is_full = is_full
        self._buckets: dict[str, _Bucket] = {}

    def grant(self, version: int, request: CreditRequest, now_ms: int) -> CreditGrant:
        """Grant what the account has left.

        Args:
            version: Version of the configuration that names the limits; those of the
                newest one count.
            request: What an entry asks for.
            now_ms: Monotonic milliseconds.
        """
        bucket = self._find(version, request, now_ms)
        units = 0
        retry_after_ms = 0
        for cost in request.needed:
            if not bucket.take(cost):
                retry_after_ms = bucket.wait_ms(cost)
                break
            units += cost
        if not retry_after_ms:
            plenty = bucket.level - PLENTY_FRACTION * bucket.burst
            ahead = max(min(request.ahead, int(plenty)), 0)
            bucket.level -= ahead
            units += ahead
        used = min(max(int(bucket.burst - bucket.level), 0), MAX_USED_UNITS)
        return CreditGrant(request.account, units, retry_after_ms, used)

    def levels(self, now_ms: int) -> dict[str, float]:
        """Return the units left of each account."""
        for bucket in self._buckets.values():
            bucket.refill(now_ms)
        known = {name: bucket.level for name, bucket in self._buckets.items()}
        return {**self._levels, **known}

    def _find(self, version: int, request: CreditRequest, now_ms: int) -> _Bucket:
        bucket = self._buckets.get(request.account)
        if bucket is None:
            bucket = self._create(version, request)
        bucket.refill(now_ms)
        if version > bucket.version:
            bucket.version = version
            bucket.rate_per_s, bucket.burst = request.rate_per_s, request.burst
            bucket.level = min(bucket.level, bucket.burst)
        return bucket

    def _create(self, version: int, request: CreditRequest) -> _Bucket:
        if len(self._buckets) >= MAX_BUCKETS:
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if bucket.level < bucket.burst
            }
        default = request.burst if self._is_full else 0.0
        bucket = _Bucket(
            min(self._levels.get(request.account, default), request.burst),
            self._began_ms,
            request.rate_per_s,
            request.burst,
            version,
        )
        self._buckets[request.account] = bucket
        return bucket
