"""Keeps what an entry knows of begun streams at other processes, too.

A caller takes a stream up at another entry when its own one has ended or is cut off.
Each stream's origin is told to a few keepers, which a hash of its key chooses, so that
any entry asks the same ones, also one that has just started.
"""

from __future__ import annotations

import asyncio
from bisect import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
from itertools import islice
from typing import NamedTuple

import xxhash
from loguru import logger

from copperrun.ports.origins import Keeper
from copperrun.ports.origins import OriginKeepers
from copperrun.ports.origins import OriginNews
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import OriginTable
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.origins import stream_key
from copperrun.signals import ChangeSignal

NEAR_COPIES = 2  # in the entry's own region, where its callers go on
REMOTE_COPIES = 1  # traffic between regions is expensive
# Asked in each region: a keeper may have come since, or have been passed over.
KEEPERS_ASKED = 3
BATCH_MS = 20  # records that come together share a message
MAX_RECORDS_PER_MESSAGE = 500
CALL_TIMEOUT_MS = 600
FIND_TIMEOUT_MS = 800  # a caller waits for it; a slowed keeper may take some 100 ms
POINTS_PER_HOST = 8  # on the ring, so that each host keeps a similar share
RETRY_DELAY_MS = 1_000  # before a keeper that did not reply is told again
# A keeper's server leaves the registry when it ends, and the keeper may run on.
KEEPER_TTL_MS = 60_000


class FoundOrigin(NamedTuple):
    """An origin and where it was learned.

    Attributes:
        record: The record.
        source: Host of the keeper, or ``own``.
    """

    record: OriginRecord
    source: str


class UnknownOrigin(NamedTuple):
    """No keeper that replied knows the stream.

    Attributes:
        missing_replies: Keepers that were asked and did not reply.
    """

    missing_replies: int


class OriginDirectory:
    """Origins of the streams that this entry began or took up, and of others.

    Args:
        keepers: Calls to the keepers.
        region: Region of this process.
        timers: Timer service.

    Attributes:
        table: What this process knows itself.
    """

    def __init__(self, keepers: OriginKeepers, region: str, timers: Timers) -> None:
        self.table = OriginTable(timers)
        self._keepers = keepers
        self._region = region
        self._timers = timers
        self._listed_ms: dict[Keeper, int] = {}
        self._rings: Mapping[str, _Ring] = {}
        self._channels: dict[str, _Channel] = {}

    @property
    def hosts(self) -> Set[str]:
        """Hosts of the keepers."""
        return {keeper.host for keeper in self._listed_ms}

    def set_keepers(self, keepers: Iterable[Keeper]) -> None:
        """Set the processes that keep origins now; earlier ones stay for a time."""
        now = self._timers.now_ms()
        known = self._listed_ms.keys()
        listed = {
            keeper: at_ms
            for keeper, at_ms in self._listed_ms.items()
            if now - at_ms < KEEPER_TTL_MS
        }
        listed.update(dict.fromkeys(keepers, now))
        is_same = listed.keys() == known
        self._listed_ms = listed
        if is_same:
            return
        regions: dict[str, set[str]] = {}
        for keeper in listed:
            regions.setdefault(keeper.region, set()).add(keeper.host)
        self._rings = {
            name: self._rings[name]
            if name in self._rings and self._rings[name].hosts == members
            else _Ring(members)
            for name, members in regions.items()
        }
        hosts = {keeper.host for keeper in listed}
        for host in self._channels.keys() - hosts:
            self._channels.pop(host).close()

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Keep the origin of a stream, here and at its keepers."""
        record = OriginRecord(stream_key(request_id), origin, 0)
        self.table.merge([record])
        for host in self._choose_keepers(record.key):
            self._channel(host).tell(record.key)

    async def find(
        self, request_id: str, limit_ms: int = FIND_TIMEOUT_MS
    ) -> FoundOrigin | UnknownOrigin:
        """Return the origin of the stream that an attempt of a caller began.

        Args:
            request_id: Id of that attempt.
            limit_ms: Most time for it, in milliseconds.
        """
        key = stream_key(request_id)
        record = self.table.find(key)
        if record is not None:
            return FoundOrigin(record, "own")
        found = await self._ask_keepers(key, min(limit_ms, FIND_TIMEOUT_MS))
        if isinstance(found, FoundOrigin):
            # The entry that began the stream may be gone; this one tells the keepers.
            self.record(request_id, found.record.origin)
        return found

    def check(self, host: str) -> None:
        """Ask a keeper that may have started again whether it has, and tell it anew."""
        if host in self._channels:
            self._channels[host].check()

    def close(self) -> None:
        """End all exchanges."""
        for channel in self._channels.values():
            channel.close()

    async def _ask_keepers(
        self, key: bytes, limit_ms: int
    ) -> FoundOrigin | UnknownOrigin:
        hosts = [
            host
            for ring in self._rings.values()
            for host in islice(ring.successors(key), KEEPERS_ASKED)
        ]
        tasks = [asyncio.create_task(self._ask(host, key)) for host in hosts]
        missing_replies = len(tasks)
        try:
            async with self._timers.timeout_ms(limit_ms):
                for task in asyncio.as_completed(tasks):
                    reply = await task
                    if isinstance(reply, FoundOrigin):
                        return reply
                    missing_replies -= reply.missing_replies == 0
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.cancel()
        return UnknownOrigin(missing_replies)

    async def _ask(self, host: str, key: bytes) -> FoundOrigin | UnknownOrigin:
        news = await self._channel(host).ask(key)
        if isinstance(news, SideError):
            return UnknownOrigin(1)
        for record in news.records:
            if record.key == key:
                return FoundOrigin(record, host)
        return UnknownOrigin(0)

    def _choose_keepers(self, key: bytes) -> Iterator[str]:
        """Yield the hosts that keep a record, passing over those that do not reply."""
        remote_copies = REMOTE_COPIES
        near = self._rings.get(self._region)
        if near is None:
            remote_copies += NEAR_COPIES
        else:
            yield from self._responsive(near, key, NEAR_COPIES)
        others = sorted(self._rings.keys() - {self._region})
        if others:
            start = int.from_bytes(key[:4], "big")
            region = others[start % len(others)]
            yield from self._responsive(self._rings[region], key, remote_copies)

    def _responsive(self, ring: _Ring, key: bytes, count: int) -> list[str]:
        """Return the first hosts that reply; the first ones of all if none does."""
        hosts = list(islice(ring.successors(key), KEEPERS_ASKED))
        responsive = [host for host in hosts if not self._channel(host).is_failing]
        return (responsive or hosts)[:count]

    def _keeps(self, host: str, key: bytes) -> bool:
        return host in self._choose_keepers(key)

    def _channel(self, host: str) -> _Channel:
        channel = self._channels.get(host)
        if channel is None:
            channel = self._channels[host] = _Channel(
                host, self.table, self._keepers, self._keeps, self._timers
            )
        return channel


class _Channel:
    """Exchange with one keeper: one call at a time, for all that came together."""

    def __init__(
        self,
        host: str,
        table: OriginTable,
        keepers: OriginKeepers,
        keeps: Callable[[str, bytes], bool],
        timers: Timers,
    ) -> None:
        self.is_failing = False
        self._host = host
        self._table = table
        self._keepers = keepers
        self._keeps = keeps
        self._timers = timers
        self._start = ""
        self._untold: dict[bytes, None] = {}
        self._wanted: dict[bytes, asyncio.Future[OriginNews | SideError]] = {}
        self._must_check = False
        self._asked = ChangeSignal(timers)
        self._task: asyncio.Task[None] | None = None

    def tell(self, key: bytes) -> None:
        """Tell the keeper of a stream, in the next message."""
        self._untold[key] = None
        self._wake()

    async def ask(self, key: bytes) -> OriginNews | SideError:
        """Ask the keeper for a stream; the reply may name others, too."""
        fut = self._wanted.get(key)
        if fut is None:
            fut = self._wanted[key] = asyncio.get_running_loop().create_future()
        self._asked.notify_all()
        self._wake()
        # Others may wait for the same stream.
        return await asyncio.shield(fut)

    def check(self) -> None:
        """Exchange a message, even an empty one."""
        self._must_check = True
        self._wake()

    def close(self) -> None:
        """End the exchange."""
        if self._task is not None:
            self._task.cancel()
        gone = SideError(SideErrorReason.UNREACHABLE, "no longer a keeper")
        for fut in self._wanted.values():
            if not fut.done():
                fut.set_result(gone)

    def _wake(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._untold or self._wanted or self._must_check or self.is_failing:
            if self.is_failing and not self._wanted:
                await self._asked.wait(RETRY_DELAY_MS)
            await self._timers.sleep_ms(BATCH_MS)
            await self._exchange()

    async def _exchange(self) -> None:
        self._must_check = False
        keys = list(islice(self._untold, MAX_RECORDS_PER_MESSAGE))
        wanted, self._wanted = self._wanted, {}
        news = await self._keepers.exchange_origins(
            self._host,
            [record for record in map(self._table.find, keys) if record is not None],
            list(wanted),
            CALL_TIMEOUT_MS,
        )
        if isinstance(news, SideError):
            self._record_failure(news)
        else:
            for key in keys:
                self._untold.pop(key, None)
            self._record_reply(news.start)
        for fut in wanted.values():
            if not fut.done():
                fut.set_result(news)

    def _record_failure(self, error: SideError) -> None:
        if not self.is_failing:
            logger.info(
                "keeper of stream origins does not reply",
                keeper=self._host,
                detail=error.detail,
            )
        self.is_failing = True
        # It is told of all streams once it replies.
        self._untold.clear()

    def _record_reply(self, start: str) -> None:
        """Tell a keeper anew that has started again or missed messages."""
        if self.is_failing or self._start not in ("", start):
            logger.info("keeper of stream origins is told anew", keeper=self._host)
            self.is_failing = False
            for record in self._table.records():
                if self._keeps(self._host, record.key):
                    self._untold[record.key] = None
        self._start = start


class _Ring:
    """Hosts of one region in the order in which a key chooses them."""

    def __init__(self, hosts: Set[str]) -> None:
        self.hosts = hosts
        self._points = sorted(
            (xxhash.xxh64_intdigest(f"{host}/{number}".encode()), host)
            for host in hosts
            for number in range(POINTS_PER_HOST)
        )

    def successors(self, key: bytes) -> Iterator[str]:
        """Yield all hosts, in an order that depends on the key."""
        at = bisect(self._points, (xxhash.xxh64_intdigest(key), ""))
        seen: set[str] = set()
        for index in range(len(self._points)):
            _, host = self._points[(at + index) % len(self._points)]
            if host not in seen:
                seen.add(host)
                yield host
