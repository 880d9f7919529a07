"""Entries and keepers of allotments on a manual clock, with faults between them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from random import Random
from typing import NamedTuple
from typing import TypeVar

from topic_store import CALL_TIMEOUT_MS
from topic_store import MemoryTopicStore

from copperrun.admission.credits import Credits
from copperrun.admission.stock import Credit
from copperrun.admission.uses import AccountUse
from copperrun.admission.uses import QuotaBounds
from copperrun.embedded.clock import ManualTimers
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.tenures import TenureKeeper
from copperrun.model import Refusal
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import EndedTenure
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicSnapshot
from copperrun.routing.accounts import Allotment
from copperrun.routing.accounts import AllotmentUnit
from copperrun.routing.accounts import ClientAccount

TOPIC = "claims"
BOUNDS = QuotaBounds()
WAIT_MS = 300
Reply = TypeVar("Reply")
# A question with its answer, encoded; further ones of each account and each request.
MESSAGE_BYTES = 10
ACCOUNT_BYTES = 55
COST_BYTES = 3


class ProcessTimers:
    """Timers of one process that may freeze; its clock goes on meanwhile."""

    def __init__(self, timers: ManualTimers) -> None:
        self._timers = timers
        self._thawed = asyncio.Event()
        self._thawed.set()

    def now_ms(self) -> int:
        return self._timers.now_ms()

    def wall_ms(self) -> int:
        return self._timers.wall_ms()

    async def sleep_ms(self, delay_ms: float) -> None:
        await self._timers.sleep_ms(delay_ms)
        await self.wait_thawed()

    @asynccontextmanager
    async def timeout_ms(self, delay_ms: float) -> AsyncIterator[asyncio.Timeout]:
        try:
            async with self._timers.timeout_ms(delay_ms) as timeout:
                yield timeout
        except TimeoutError:
            await self.wait_thawed()
            raise

    def freeze(self) -> None:
        self._thawed.clear()

    def thaw(self) -> None:
        self._thawed.set()

    @property
    def is_frozen(self) -> bool:
        return not self._thawed.is_set()

    async def wait_thawed(self) -> None:
        while not self._thawed.is_set():
            await self._thawed.wait()


class Process:
    """One process: a keeper on a host, or an entry.

    Attributes:
        version: Version of the configuration that an entry has.
    """

    def __init__(self, fleet: Fleet, host: str, start: int) -> None:
        self.host = host
        self.timers = ProcessTimers(fleet.timers)
        self.is_alive = True
        self.version = 0
        ports = ProcessPorts(fleet, self)
        identity = Incarnation(host, "side", str(start))
        self.keeper = TenureKeeper(identity, ports, TOPIC, ports, self.timers)
        own_host = "" if fleet.hosts else host
        self.credits = Credits(ports, self.timers, BOUNDS, own_host)
        self.credits.set_hosts(fleet.hosts)

    def kill(self) -> None:
        self.is_alive = False
        self.keeper.close()
        self.credits.close()


class ProcessPorts:
    """What one process sees of the store and of the keepers."""

    def __init__(self, fleet: Fleet, process: Process) -> None:
        self._fleet = fleet
        self._process = process

    async def request_credits(
        self,
        host: str,
        group: int,
        version: int,
        requests: Sequence[CreditRequest],
        silent: str,
        timeout_ms: int,
    ) -> Sequence[CreditGrant] | NotKeeper | SideError:
        self._fleet.messages += 1
        self._fleet.bytes += MESSAGE_BYTES + sum(
            ACCOUNT_BYTES + COST_BYTES * len(request.needed) for request in requests
        )
        target = await self._reach(host, timeout_ms)
        if not isinstance(target, Process):
            return target or SideError(SideErrorReason.UNREACHABLE, "refused")
        call = target.keeper.grant(group, version, requests, silent)
        try:
            async with self._process.timers.timeout_ms(timeout_ms):
                reply = await call
        except TimeoutError:
            return _lost()
        return await self._bring_back(reply, target, timeout_ms)

    async def end_tenure(
        self, host: str, group: int, claimed: TopicPosition, timeout_ms: int
    ) -> EndedTenure | SideError:
        target = await self._reach(host, timeout_ms)
        if target is None:
            return EndedTenure({})
        if isinstance(target, SideError):
            return target
        reply = target.keeper.end_tenure(group, claimed)
        return await self._bring_back(reply, target, timeout_ms)

    async def _reach(self, host: str, timeout_ms: int) -> Process | SideError | None:
        """Bring a message to a process; None when the connection is refused."""
        fleet = self._fleet
        await self._process.timers.sleep_ms(fleet.delay_ms())
        if fleet.is_cut(self._process.host, host) or fleet.loses():
            await self._process.timers.sleep_ms(timeout_ms)
            return _lost()
        target = fleet.keepers.get(host)
        if target is None or not target.is_alive:
            return None
        try:
            async with self._process.timers.timeout_ms(timeout_ms):
                # A message may also reach a frozen process whose caller is gone.
                await target.timers.wait_thawed()
        except TimeoutError:
            return _lost()
        return target

    async def _bring_back(
        self, reply: Reply, target: Process, timeout_ms: int
    ) -> Reply | SideError:
        fleet = self._fleet
        await self._process.timers.sleep_ms(fleet.delay_ms())
        cut = fleet.is_cut(self._process.host, target.host)
        if cut or fleet.loses() or not target.is_alive:
            await self._process.timers.sleep_ms(timeout_ms)
            return _lost()
        return reply

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        if not await self._reaches_store():
            return _no_store()
        reply = await self._fleet.store.read_snapshot(topic)
        await self._process.timers.sleep_ms(self._fleet.delay_ms())
        return reply

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        if not await self._reaches_store():
            return _no_store()
        reply = await self._fleet.store.read(topic, offset, wait_ms=wait_ms)
        await self._process.timers.sleep_ms(self._fleet.delay_ms())
        return reply

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> TopicPosition | TopicError:
        if not await self._reaches_store():
            return _no_store()
        fleet = self._fleet
        if fleet.loses():
            # It may be written, now or later, and nobody is told.
            late_ms = fleet.rng.choice((0, 500, 4_000))
            fleet.timers.call_later(
                late_ms, lambda: fleet.store.append(topic, key, value, at)
            )
            await self._process.timers.sleep_ms(CALL_TIMEOUT_MS)
            return TopicError(TopicErrorReason.ANSWER_LOST, "lost")
        reply = await fleet.store.put(topic, key, value, at=at)
        await self._process.timers.sleep_ms(fleet.delay_ms())
        return reply

    async def _reaches_store(self) -> bool:
        fleet = self._fleet
        await self._process.timers.sleep_ms(fleet.delay_ms())
        if fleet.is_cut(self._process.host, "store") or fleet.loses():
            await self._process.timers.sleep_ms(CALL_TIMEOUT_MS)
            return False
        return True


class Use(NamedTuple):
    """Units that a request used."""

    at_ms: int
    account: str
    units: int


class Fleet:
    """Keepers, entries, the store and the network between them.

    Without keepers on hosts of their own, the entries are keepers.

    Attributes:
        limits: Allotment of every account, by version of the configuration.
        uses: Units used by requests that ran.
        refusals: Refusals by request.
    """

    def __init__(
        self, seed: int, *, keepers: int = 4, entries: int = 3, limit: Allotment
    ) -> None:
        self.rng = Random(seed)
        self.timers = ManualTimers()
        self.store = MemoryTopicStore(self.timers)
        self.hosts = [f"10.0.0.{number}" for number in range(keepers)]
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0
        self.latency_ms = (1, 22)
        self.messages = 0
        self.bytes = 0
        self.limits = {1: limit}
        self.uses: list[Use] = []
        self.refusals: list[Refusal] = []
        self.failures: list[BaseException | None] = []
        self.keepers: dict[str, Process] = {}
        self.entries: list[Process] = []
        self._starts = 0
        self._tasks: set[asyncio.Task[None]] = set()
        for host in self.hosts:
            self.start_keeper(host)
        for number in range(entries):
            self.entries.append(self._start(f"10.0.1.{number}"))
            self.entries[-1].version = 1
        if not keepers:
            # Entries keep allotments themselves.
            self.keepers = {entry.host: entry for entry in self.entries}

    def _start(self, host: str) -> Process:
        self._starts += 1
        return Process(self, host, self._starts)

    def start_keeper(self, host: str) -> None:
        """Start a keeper, again if it has ended."""
        if host in self.keepers and self.keepers[host].is_alive:
            return
        before = self.keepers.get(host)
        self.keepers[host] = self._start(host)
        if before in self.entries:
            self.entries[self.entries.index(before)] = self.keepers[host]
            self.keepers[host].version = max(self.limits)

    def delay_ms(self) -> float:
        return self.rng.uniform(*self.latency_ms)

    def loses(self) -> bool:
        return self.rng.random() < self.loss

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts or bool(
            {frozenset((one,)), frozenset((other,))} & self.cuts
        )

    def send(
        self, entry: Process, account: str, cost: int, *, runs: bool = True
    ) -> None:
        """Let a request arrive at an entry."""
        task = asyncio.create_task(self._handle(entry, account, cost, runs=runs))
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    async def _handle(
        self, entry: Process, account: str, cost: int, *, runs: bool
    ) -> None:
        limit = self.limits[entry.version]
        use = AccountUse(
            ClientAccount(account, frozenset(), 0, limit),
            limit,
            entry.version,
            cost,
            "r",
        )
        credit = await entry.credits.acquire(use, WAIT_MS)
        if isinstance(credit, Refusal):
            self.refusals.append(credit)
            return
        if not entry.is_alive:
            return
        assert isinstance(credit, Credit)
        if runs:
            self.uses.append(Use(self.timers.now_ms(), account, cost))
            return
        await entry.timers.sleep_ms(self.rng.choice((0, 50, 900)))
        entry.credits.give_back(credit)

    def close(self) -> None:
        for process in (*self.keepers.values(), *self.entries):
            process.kill()
        for task in self._tasks:
            task.cancel()


def tokens(rate_per_s: float, burst: float) -> Allotment:
    """Return an allotment in tokens."""
    return Allotment(rate_per_s, burst, AllotmentUnit.TOKENS, 200)


def most_used(
    uses: Sequence[Use], account: str, window_ms: int, *, since_ms: int = 0
) -> int:
    """Return the most units used in any window that begins after ``since_ms``."""
    own = [use for use in uses if use.account == account and use.at_ms >= since_ms]
    most = total = first = 0
    for use in own:
        total += use.units
        while own[first].at_ms < use.at_ms - window_ms:
            total -= own[first].units
            first += 1
        most = max(most, total)
    return most


def _lost() -> SideError:
    return SideError(SideErrorReason.ANSWER_LOST, "no reply")


def _no_store() -> TopicError:
    return TopicError(TopicErrorReason.UNAVAILABLE, "no response")
