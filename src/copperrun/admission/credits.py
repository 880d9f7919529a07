"""Asks the keepers of allotments for units and gives them to requests.

A request that finds its units in stock goes on at once. Otherwise it waits for the
answer to a question that it shares with the others of its group of accounts.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from copperrun.admission.backlog import Backlog
from copperrun.admission.groups import group_of
from copperrun.admission.groups import keeper_order
from copperrun.admission.stock import Credit
from copperrun.admission.stock import CreditStock
from copperrun.admission.uses import AccountUse
from copperrun.admission.uses import QuotaBounds
from copperrun.admission.uses import no_keeper
from copperrun.admission.uses import too_large
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.timers import Timers

CALL_TIMEOUT_MS = 250  # several round trips between regions
MAX_NEEDED = 64  # requests of one account in one question
MAX_CALLS = 3  # for one question: a redirect and a second try
# Requests are refused at once for this long after no keeper has answered. A caller's
# retry reaches another entry.
NO_KEEPER_PAUSE_MS = 200
SILENT_TTL_MS = 2_000  # a keeper that did not answer is passed over
# Of the time that a request may wait for the keeper, for units that are to come.
PATIENCE_FRACTION = 0.5


class _Waiter(NamedTuple):
    use: AccountUse
    patience_ms: int  # until when it waits for units that come
    fut: asyncio.Future[Credit | Refusal]


class _Question(NamedTuple):
    request: CreditRequest
    waiters: Sequence[_Waiter]


class Credits:
    """Units of all client accounts at one entry.

    Args:
        keepers: Calls to the keepers.
        timers: Timer service.
        bounds: How closely limits hold.
        own_host: Host of this entry if it may be a keeper itself. It is asked where no
            other host answers: it finds the keeper in the claims, or becomes it.
    """

    def __init__(
        self,
        keepers: AllotmentKeepers,
        timers: Timers,
        bounds: QuotaBounds,
        own_host: str = "",
    ) -> None:
        self._own_host = own_host
        self._keepers = keepers
        self._timers = timers
        self._bounds = bounds
        self._lapse_ms = bounds.lapse_ms
        self._hosts: frozenset[str] = frozenset()
        self._accounts: dict[str, _Account] = {}
        self._channels: dict[int, _Channel] = {}

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the hosts whose processes may be keepers."""
        listed = frozenset(hosts)
        if listed == self._hosts:
            return
        self._hosts = listed
        for channel in self._channels.values():
            channel.set_hosts(listed)

    async def acquire(self, use: AccountUse, wait_ms: int) -> Credit | Refusal:
        """Return units for a request, or why it has none.

        Args:
            use: The request.
            wait_ms: Most time to wait for the keeper, in milliseconds.
        """
        now = self._timers.now_ms()
        if use.cost > self._bounds.largest_cost(use.allotment):
            return too_large(use)
        account = self._find_account(use)
        channel = self._channel(group_of(use.account.name))
        credit = account.take(use, now)
        if credit is not None:
            if account.stock.is_low(now) and account.may_ask(use, now):
                channel.want(account)
            return credit
        patience_ms = now + int(PATIENCE_FRACTION * wait_ms)
        may_ask = account.may_ask(use, now)
        if not may_ask and account.units_come_ms(use) > patience_ms:
            return account.refuse(use, now)
        if channel.is_silent(now):
            return no_keeper(use)
        fut: asyncio.Future[Credit | Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        account.waiters.append(_Waiter(use, patience_ms, fut))
        if may_ask:
            channel.want(account)
        else:
            channel.want_later(account)
        try:
            async with self._timers.timeout_ms(wait_ms):
                return await fut
        except TimeoutError:
            # The answer may have come at that very moment.
            return no_keeper(use) if fut.cancelled() else fut.result()
        except asyncio.CancelledError:
            if not fut.cancelled() and isinstance(granted := fut.result(), Credit):
                self.give_back(granted)
            raise

    def give_back(self, credit: Credit) -> None:
        """Take back the units of a request that has not run and will not."""
        account = self._accounts.get(credit.account)
        if account is not None:
            account.stock.give_back(credit, self._timers.now_ms())

    def used_share(self, account: str) -> float:
        """Return the part of an account's burst that was used up when last told."""
        known = self._accounts.get(account)
        return 0.0 if known is None else known.used_share

    def close(self) -> None:
        """End all questions."""
        for channel in self._channels.values():
            channel.close()

    def _find_account(self, use: AccountUse) -> _Account:
        name = use.account.name
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(use, self._lapse_ms)
        account.learn_limit(use)
        return account

    def _channel(self, group: int) -> _Channel:
        channel = self._channels.get(group)
        if channel is None:
            channel = self._channels[group] = _Channel(
                group, self._keepers, self._timers, self._lapse_ms, self._own_host
            )
            channel.set_hosts(self._hosts)
        return channel


class _Account:
    """One account at this entry.

    Attributes:
        stock: Units that may be used.
        waiters: Requests that wait for units, in the order in which they came.
        refused_until_ms: When there will be units again, as the keeper has said.
    """

    def __init__(self, use: AccountUse, lapse_ms: int) -> None:
        self.stock = CreditStock(use.account.name, lapse_ms)
        self.waiters: deque[_Waiter] = deque()
        self._name = use.account.name
        self._allotment = use.allotment
        self._version = use.version
        self.refused_until_ms = 0
        self._refused_cost = 0
        self._backlog = Backlog()
        self._used = 0
        self._used_ms = 0

    @property
    def version(self) -> int:
        """Version of the configuration that names the limit."""
        return self._version

    @property
    def used_share(self) -> float:
        """Part of the burst that the bucket lacked when the keeper last answered."""
        return self._used / self._allotment.burst if self._allotment.burst else 0.0

    def learn_limit(self, use: AccountUse) -> None:
        """Apply the limit of a newer configuration."""
        if use.version <= self._version:
            return
        if use.allotment != self._allotment:
            self.refused_until_ms = 0
        self._version, self._allotment = use.version, use.allotment

    def take(self, use: AccountUse, now_ms: int) -> Credit | None:
        """Take units in stock; those who came before go first."""
        self._drop_done()
        return None if self.waiters else self.stock.take(use.cost, now_ms)

    def may_ask(self, use: AccountUse, now_ms: int) -> bool:
        """Whether the keeper may have units now; it has said when it will have."""
        return now_ms >= self.refused_until_ms or use.cost < self._refused_cost

    def request(self, now_ms: int) -> _Question:
        """Return what to ask for and the requests that it is for."""
        self._drop_done()
        asked = list(self.waiters)[:MAX_NEEDED]
        request = CreditRequest(
            self._name,
            self._allotment.rate_per_s,
            self._allotment.burst,
            [waiter.use.cost for waiter in asked],
            self.stock.missing_ahead(now_ms),
        )
        return _Question(request, asked)

    def units_come_ms(self, use: AccountUse) -> float:
        """Return when there may be units for a request, behind those that wait."""
        before = sum(item.use.cost for item in self.waiters if not item.fut.done())
        return self.refused_until_ms + before / self._allotment.rate_per_s * 1_000

    def apply(self, grant: CreditGrant, asked: Sequence[_Waiter], now_ms: int) -> None:
        """Give out granted units.

        Requests that they don't reach wait if more units come soon enough, and are
        refused otherwise.
        """
        self._used, self._used_ms = grant.used, now_ms
        self._backlog.record_granted(grant.units, now_ms)
        waiting = [waiter for waiter in asked if not waiter.fut.done()]
        for number, waiter in enumerate(waiting):
            credit = self.stock.take(waiter.use.cost, now_ms)
            if credit is not None:
                waiter.fut.set_result(credit)
                continue
            if not grant.retry_after_ms:
                # What was granted has lapsed on its way.
                self.fail(waiting[number:])
                return
            self.refused_until_ms = now_ms + grant.retry_after_ms
            self._refused_cost = waiter.use.cost
            self._refuse_late(waiting[number:], now_ms)
            return

    def _refuse_late(self, waiting: Sequence[_Waiter], now_ms: int) -> None:
        come_ms = float(self.refused_until_ms)
        for waiter in waiting:
            if come_ms > waiter.patience_ms:
                waiter.fut.set_result(self.refuse(waiter.use, now_ms))
            else:
                come_ms += waiter.use.cost / self._allotment.rate_per_s * 1_000

    def fail(self, waiters: Iterable[_Waiter]) -> None:
        """Refuse requests for which no keeper has answered in time."""
        for waiter in waiters:
            if not waiter.fut.done():
                waiter.fut.set_result(no_keeper(waiter.use))

    def refuse(self, use: AccountUse, now_ms: int) -> Refusal:
        """Refuse a request over the limit.

        Its caller is told to come back after those who were refused before.
        """
        wait_ms = max(self.refused_until_ms - now_ms, 1)
        wait_ms += self._backlog.take_turn(use.cost, now_ms)
        limit = self._allotment
        logger.info(
            "over the allotment",
            request=use.request_id,
            account=self._name,
            group=group_of(self._name),
            cost=use.cost,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            unit=limit.unit.value,
            used=self._used,
            used_age_ms=now_ms - self._used_ms,
            retry_after_ms=wait_ms,
        )
        detail = (
            f"client account {self._name!r} exceeds its limit of "
            f"{limit.rate_per_s:g} {limit.unit.value} a second"
        )
        return Refusal(RefusalReason.RATE_LIMITED, Ran.NO, detail, wait_ms)

    def _drop_done(self) -> None:
        while self.waiters and self.waiters[0].fut.done():
            self.waiters.popleft()


class _Channel:
    """Questions to the keeper of one group, one at a time."""

    def __init__(
        self,
        group: int,
        keepers: AllotmentKeepers,
        timers: Timers,
        lapse_ms: int,
        own_host: str,
    ) -> None:
        self._own_host = own_host
        self._group = group
        self._keepers = keepers
        self._timers = timers
        self._lapse_ms = lapse_ms
        self._candidates: list[str] = []
        self._current = ""
        self._silent_ms: dict[str, int] = {}
        self._paused_until_ms = 0
        self._wanted: dict[int, _Account] = {}
        self._task: asyncio.Task[None] | None = None
        self._later: dict[int, asyncio.Task[None]] = {}

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the hosts whose processes may be the keeper."""
        others = [host for host in hosts if host != self._own_host]
        self._candidates = [*keeper_order(others, self._group), self._own_host]

    def is_silent(self, now_ms: int) -> bool:
        """Whether no keeper has answered just now."""
        return now_ms < self._paused_until_ms

    def want(self, account: _Account) -> None:
        """Ask for units of an account, in the next question."""
        self._wanted[id(account)] = account
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def want_later(self, account: _Account) -> None:
        """Ask for units of an account once it has some, as its keeper has said."""
        if id(account) not in self._later:
            task = asyncio.create_task(self._want_at(account))
            self._later[id(account)] = task
            task.add_done_callback(lambda _: self._later.pop(id(account), None))

    async def _want_at(self, account: _Account) -> None:
        while (wait_ms := account.refused_until_ms - self._timers.now_ms()) > 0:
            await self._timers.sleep_ms(wait_ms)
        self.want(account)

    def close(self) -> None:
        """End the questions."""
        for task in (self._task, *self._later.values()):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        while self._wanted:
            accounts = list(self._wanted.values())
            self._wanted.clear()
            await self._exchange(accounts)
            now = self._timers.now_ms()
            for account in accounts:
                if all(waiter.fut.done() for waiter in account.waiters):
                    continue
                if now >= account.refused_until_ms:
                    self._wanted[id(account)] = account
                else:
                    self.want_later(account)

    async def _exchange(self, accounts: Sequence[_Account]) -> None:
        sent_ms = self._timers.now_ms()
        asked = [account.request(sent_ms) for account in accounts]
        # A limit must not pass for that of a newer version.
        version = min(account.version for account in accounts)
        grants = await self._ask(version, [question.request for question in asked])
        now = self._timers.now_ms()
        if grants is None:
            self._paused_until_ms = now + NO_KEEPER_PAUSE_MS
            for account in accounts:
                account.fail(account.waiters)
            return
        grant_of = {grant.account: grant for grant in grants}
        for account, (request, waiters) in zip(accounts, asked, strict=True):
            grant = grant_of.get(request.account)
            if grant is None:
                account.fail(waiters)
                continue
            account.stock.add(grant.units, sent_ms + self._lapse_ms, now)
            account.apply(grant, waiters, now)

    async def _ask(
        self, version: int, requests: Sequence[CreditRequest]
    ) -> Sequence[CreditGrant] | None:
        """Return what the keeper grants; None when none has answered."""
        for _ in range(MAX_CALLS):
            host = self._choose_host()
            if not host:
                return None
            reply = await self._keepers.request_credits(
                host,
                self._group,
                version,
                requests,
                self._silent_host(),
                CALL_TIMEOUT_MS,
            )
            match reply:
                case SideError(detail=detail):
                    self._record_silent(host, detail)
                case NotKeeper(keeper) if keeper and keeper != host:
                    self._silent_ms.pop(host, None)
                    self._silent_ms.pop(keeper, None)
                    self._current = keeper
                case NotKeeper():
                    # It may lack the store, or wait for a former keeper.
                    self._record_silent(host, "not the keeper")
                    return None
                case _:
                    self._silent_ms.pop(host, None)
                    self._current = host
                    return reply
        return None

    def _choose_host(self) -> str:
        """Return the host to ask: the last known keeper, or the first candidate."""
        now = self._timers.now_ms()
        for host in (self._current, *self._candidates):
            if (
                host
                and now - self._silent_ms.get(host, -SILENT_TTL_MS) >= SILENT_TTL_MS
            ):
                return host
        return ""

    def _silent_host(self) -> str:
        """Return the host that was the last one not to answer."""
        return max(self._silent_ms, key=self._silent_ms.__getitem__, default="")

    def _record_silent(self, host: str, detail: str) -> None:
        now = self._timers.now_ms()
        logger.info(
            "keeper of allotments does not answer",
            keeper=host,
            group=self._group,
            detail=detail,
        )
        self._current = ""
        self._silent_ms = {
            name: at_ms
            for name, at_ms in self._silent_ms.items()
            if now - at_ms < SILENT_TTL_MS
        }
        self._silent_ms[host] = now
