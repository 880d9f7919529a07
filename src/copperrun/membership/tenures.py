"""Decides which process grants the units of a group of client accounts.

A claim in the store's log begins a tenure. It grants once all tenures before it have
ended, and only while the store has lately shown its claim to be the newest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash
from loguru import logger

from copperrun.admission.buckets import Buckets
from copperrun.admission.groups import group_of
from copperrun.admission.groups import keeper_order
from copperrun.membership.claim_log import UNKNOWN
from copperrun.membership.claim_log import Claim
from copperrun.membership.claim_log import ClaimLog
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.claim_log import Written
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import EndedTenure
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicStore

# A keeper grants for this long after it has asked the store whether its claim is the
# newest; longer than most outages of the store.
LEASE_MS = 10_000
LEASE_MARGIN_MS = 500  # by which the clocks of two machines may differ in that time
READ_PERIOD_MS = LEASE_MS // 4
READ_RETRY_DELAY_MS = 1_000
FRESH_MS = 1_000  # an entry is sent to the keeper that a read of this age shows
CALL_TIMEOUT_MS = 200  # to another keeper
CLAIM_WAIT_MS = 200  # of a question, for the claim that it has caused
CLAIM_RETRY_DELAY_MS = 500  # after a claim that the store has not taken
FIRST_TURN_MS = 6_000  # by then sides that start with an entry answer it
TURNS_MS = 5_000  # over which processes try to claim a group that nobody has
END_RETRY_DELAY_MS = 500  # before a silent former keeper is told again


class _Tenure:
    """A claim of this process and what it grants.

    Attributes:
        written: The claim.
        confirmed_ms: When the store was last asked that has shown it to be the newest.
        buckets: What is left; None until all former tenures have ended.
    """

    def __init__(self, written: Written) -> None:
        self.written = written
        self.confirmed_ms = written.sent_ms
        self.buckets: Buckets | None = None


class TenureKeeper:
    """Keeps allotments for entries; does nothing until it is asked.

    Args:
        by: This process.
        store: The platform's store.
        topic: Topic of the claims.
        keepers: Calls to the other keepers.
        timers: Timer service.
        is_first_start: Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        by: Incarnation,
        store: TopicStore,
        topic: str,
        keepers: AllotmentKeepers,
        timers: Timers,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._by = by
        self._keepers = keepers
        self._timers = timers
        self._log = ClaimLog(topic, store, by, timers, is_first_start=is_first_start)
        self._log.subscribe(self._check_tenures)
        self._tenures: dict[int, _Tenure] = {}
        self._ended: dict[int, TopicPosition] = {}
        self._takeovers: dict[int, asyncio.Task[None]] = {}
        self._next_try_ms: dict[int, int] = {}
        self._renewal: asyncio.Task[None] | None = None
        self._turns: dict[int, asyncio.Task[None]] = {}
        self._duty: tuple[frozenset[int], frozenset[str]] = frozenset(), frozenset()
        self._is_closed = False

    async def grant(
        self, group: int, version: int, requests: Sequence[CreditRequest], silent: str
    ) -> Sequence[CreditGrant] | NotKeeper:
        """Answer an entry, or another keeper, which asks without requests.

        Args:
            group: Number of the group.
            version: Version of the configuration that names the limits.
            requests: What the entry asks for.
            silent: Host of a keeper that did not answer the entry.
        """
        if self._is_closed:
            return NotKeeper("")
        if not requests:
            return [] if self._is_confirmed(group) else NotKeeper("")
        grants = self._grant(group, version, requests)
        if grants is None:
            await self._wait_takeover(group, silent)
            grants = self._grant(group, version, requests)
        return NotKeeper(self._keeper_of(group)) if grants is None else grants

    def end_tenure(self, group: int, claimed: TopicPosition) -> EndedTenure:
        """End an earlier tenure; nothing of the group is granted after that."""
        self._ended[group] = max(claimed, self._ended.get(group, claimed))
        tenure = self._tenures.get(group)
        if tenure is None or tenure.written.position >= claimed:
            return EndedTenure({})
        del self._tenures[group]
        logger.info("allotments handed over", group=group, claimed=claimed)
        if tenure.buckets is None:
            return EndedTenure({})
        return EndedTenure(tenure.buckets.levels(self._timers.now_ms()))

    def prepare(self, accounts: Iterable[str], hosts: frozenset[str]) -> None:
        """Claim groups that entries will ask this process for and nobody has claimed.

        Args:
            accounts: Names of the accounts that have an allotment.
            hosts: Hosts whose processes may be keepers.
        """
        duty = frozenset(map(group_of, accounts)), hosts
        if duty == self._duty:
            return
        self._duty = duty
        for group in duty[0]:
            first = keeper_order(hosts, group)[:1]
            if first == [self._by.host] and group not in self._tenures:
                self._start_takeover(group, "")

    def prepare_in_turn(
        self, accounts: Iterable[str], is_wanted: Callable[[], bool]
    ) -> None:
        """Claim groups that nobody has claimed, where each process may keep them.

        A hash chooses when each process tries each group, so that they spread.

        Args:
            accounts: Names of the accounts that have an allotment.
            is_wanted: Tells at that time whether this process may keep them.
        """
        groups = frozenset(map(group_of, accounts))
        for group in groups - self._turns.keys():
            task = asyncio.create_task(self._wait_turn(group, is_wanted))
            self._turns[group] = task

    async def _wait_turn(self, group: int, is_wanted: Callable[[], bool]) -> None:
        turn = xxhash.xxh64_intdigest(f"{self._by.host}/{group}".encode())
        await self._timers.sleep_ms(FIRST_TURN_MS + turn % TURNS_MS)
        if is_wanted():
            await self._start_takeover(group, "")

    def close(self) -> None:
        """End all tenures and tasks; a refused connection tells others of it."""
        self._is_closed = True
        self._tenures.clear()
        for task in self._turns.values():
            task.cancel()
        for task in self._takeovers.values():
            task.cancel()
        if self._renewal is not None:
            self._renewal.cancel()

    def _grant(
        self, group: int, version: int, requests: Sequence[CreditRequest]
    ) -> list[CreditGrant] | None:
        """Grant what is left; None when this process may not."""
        tenure = self._tenures.get(group)
        if tenure is None or tenure.buckets is None or not self._is_confirmed(group):
            return None
        now = self._timers.now_ms()
        return [tenure.buckets.grant(version, request, now) for request in requests]

    def _is_confirmed(self, group: int) -> bool:
        tenure = self._tenures.get(group)
        now = self._timers.now_ms()
        return tenure is not None and now - tenure.confirmed_ms <= LEASE_MS

    def _keeper_of(self, group: int) -> str:
        """Return the host of another keeper; empty when there is none."""
        newest = self._log.newest(group)
        if newest is None or self._by.replaces(newest.by):
            return ""
        return newest.by.host

    def _check_tenures(self) -> None:
        """Confirm or end the tenures after a read of the claims."""
        for group, tenure in list(self._tenures.items()):
            claim, position, _ = tenure.written
            if self._log.position <= position:
                continue  # it was read before the claim was written
            if not claim.is_same(self._log.newest(group)):
                del self._tenures[group]
                logger.info("allotments claimed by another process", group=group)
            elif self._log.position.era == position.era:
                assert self._log.sent_ms is not None
                tenure.confirmed_ms = max(tenure.confirmed_ms, self._log.sent_ms)

    async def _renew(self) -> None:
        """Read the claims for as long as this process has any."""
        while self._tenures:
            await self._timers.sleep_ms(READ_PERIOD_MS)
            while self._tenures and not await self._log.read():
                await self._timers.sleep_ms(READ_RETRY_DELAY_MS)

    async def _wait_takeover(self, group: int, silent: str) -> None:
        task = self._start_takeover(group, silent)
        try:
            async with self._timers.timeout_ms(CLAIM_WAIT_MS):
                await asyncio.shield(task)
        except TimeoutError:
            return

    def _start_takeover(self, group: int, silent: str) -> asyncio.Task[None]:
        task = self._takeovers.get(group)
        if task is None or task.done():
            task = asyncio.create_task(self._take_over(group, silent))
            self._takeovers[group] = task
        return task

    async def _take_over(self, group: int, silent: str) -> None:
        """Become the keeper of a group unless another process keeps it."""
        now = self._timers.now_ms()
        if now < self._next_try_ms.get(group, now):
            return
        if not await self._read_claims():
            self._next_try_ms[group] = now + CLAIM_RETRY_DELAY_MS
            return
        tenure = self._tenures.get(group)
        if tenure is not None and tenure.buckets and self._is_confirmed(group):
            return  # the store had not answered for a time
        newest = self._log.newest(group)
        if await self._is_kept_elsewhere(newest, group, silent):
            return
        self._tenures.pop(group, None)
        written = await self._log.append(group, newest)
        if written is None:
            self._next_try_ms[group] = self._timers.now_ms() + CLAIM_RETRY_DELAY_MS
            return
        if written.position < self._ended.get(group, written.position):
            return
        tenure = self._tenures[group] = _Tenure(written)
        if self._renewal is None or self._renewal.done():
            self._renewal = asyncio.create_task(self._renew())
        levels = await self._end_formers(group, tenure)
        if levels is None:
            return
        is_first = not written.claim.formers
        now = self._timers.now_ms()
        tenure.buckets = Buckets(now, levels, is_full=is_first)
        logger.info("allotments kept here", group=group, is_first=is_first)
        await self._log.forget_formers(group, written)

    async def _read_claims(self) -> bool:
        """Return whether the claims known here are of a recent read."""
        sent_ms = self._log.sent_ms
        if sent_ms is not None and self._timers.now_ms() - sent_ms <= FRESH_MS:
            return True
        return await self._log.read()

    async def _is_kept_elsewhere(
        self, newest: Claim | None, group: int, silent: str
    ) -> bool:
        """Return whether entries reach another keeper, as far as is known."""
        if newest is None or self._by.replaces(newest.by):
            return False
        if newest.by.host != silent and newest.era == self._log.position.era:
            return True
        reply = await self._keepers.request_credits(
            newest.by.host, group, 0, [], "", CALL_TIMEOUT_MS
        )
        return not isinstance(reply, NotKeeper | SideError)

    async def _end_formers(
        self, group: int, tenure: _Tenure
    ) -> Mapping[str, float] | None:
        """Return the levels once no former keeper grants; None if superseded.

        A former keeper that is silent grants until its lease has run out, which began
        before the claim was written.
        """
        until_ms = self._timers.now_ms() + LEASE_MS + LEASE_MARGIN_MS
        formers = tenure.written.claim.formers
        left = [former for former in formers if not self._by.replaces(former)]
        levels: Mapping[str, float] = {}
        while left and self._timers.now_ms() < until_ms:
            replies = await asyncio.gather(
                *(self._end_former(former, group, tenure) for former in left)
            )
            if replies[0] is not None and left[0] == formers[0]:
                levels = replies[0].levels
            left = [
                former
                for former, reply in zip(left, replies, strict=True)
                if reply is None
            ]
            if self._tenures.get(group) is not tenure:
                return None
            if left:
                await self._timers.sleep_ms(END_RETRY_DELAY_MS)
        return levels if self._tenures.get(group) is tenure else None

    async def _end_former(
        self, former: Incarnation, group: int, tenure: _Tenure
    ) -> EndedTenure | None:
        """End the tenure of a former claimant; None when that is not sure."""
        if former == UNKNOWN or former.host == self._by.host:
            return None
        reply = await self._keepers.end_tenure(
            former.host, group, tenure.written.position, CALL_TIMEOUT_MS
        )
        return None if isinstance(reply, SideError) else reply
