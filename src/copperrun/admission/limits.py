"""Rate limits of callers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperrun.admission.credits import Credits
from copperrun.admission.stock import Credit
from copperrun.admission.uses import AccountUse
from copperrun.configuration.schema import Caller
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.timers import Timers
from copperrun.routing.accounts import Allotment
from copperrun.routing.accounts import ClientAccount


class CallerLimiter:
    """Holds the limit of each caller over all entries.

    While no keeper of a limit answers, an entry grants an equal share of it, so that
    callers are served through an outage of the log. All entries together then grant up
    to the limit, beside what a keeper grants to entries that reach it.
    """

    def __init__(self, credits: Credits, timers: Timers) -> None:
        self._credits = credits
        self._share = EqualShare(timers)

    def set_instances(self, sides: Iterable[str], entry_count: int) -> None:
        """Apply a changed list of instances: sides may keep limits."""
        self._credits.set_hosts(sides)
        self._share.entry_count = max(1, entry_count)

    async def admit(
        self, name: str, caller: Caller, revision: int, request_id: str, wait_ms: int
    ) -> Credit | Refusal | None:
        """Return the credit of a request, or why it has none.

        Args:
            name: Name of the caller.
            caller: The caller, with its limit.
            revision: Revision of the configuration that names it.
            request_id: Id for the operator's log.
            wait_ms: Most time to wait for the keeper.

        Returns:
            None when this entry's own share has room while no keeper answers.
        """
        allotment = Allotment(caller.requests_per_second, caller.burst)
        account = ClientAccount(name, frozenset(), 0, allotment)
        use = AccountUse(account, allotment, revision, 1, request_id)
        credit = await self._credits.acquire(use, wait_ms)
        if isinstance(credit, Credit):
            self._share.charge(name, caller)
            return credit
        if credit.reason is RefusalReason.NOT_READY:
            return self._share.admit(name, caller)
        return credit

    def give_back(self, credit: Credit) -> None:
        """Take back the credit of a request that has not run and will not."""
        self._credits.give_back(credit)

    def close(self) -> None:
        """End all questions."""
        self._credits.close()


@dataclass
class _Bucket:
    tokens: float
    refilled_ms: int


class EqualShare:
    """One token bucket for each caller, with an equal share of its rate.

    Attributes:
        entry_count: Number of entries among which rates are shared.
    """

    def __init__(self, timers: Timers) -> None:
        self.entry_count = 1
        self._timers = timers
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, name: str, caller: Caller) -> Refusal | None:
        """Consume one token, or return a refusal with the time until the next."""
        bucket = self._refill(name, caller)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        rate = caller.requests_per_second / self.entry_count
        wait_ms = int((1 - bucket.tokens) / rate * 1000) + 1
        return Refusal(
            RefusalReason.RATE_LIMITED,
            Ran.NO,
            f"caller {name!r} exceeds its limit of {caller.requests_per_second:g}/s",
            wait_ms,
        )

    def charge(self, name: str, caller: Caller) -> None:
        """Count a request that a keeper has granted."""
        bucket = self._refill(name, caller)
        bucket.tokens = max(bucket.tokens - 1, 0.0)

    def _refill(self, name: str, caller: Caller) -> _Bucket:
        now = self._timers.now_ms()
        rate = caller.requests_per_second / self.entry_count
        burst = max(1.0, caller.burst / self.entry_count)
        bucket = self._buckets.setdefault(name, _Bucket(burst, now))
        refill = (now - bucket.refilled_ms) / 1000 * rate
        bucket.tokens = min(burst, bucket.tokens + refill)
        bucket.refilled_ms = now
        return bucket
