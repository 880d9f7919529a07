"""Claims of the groups of client accounts, in a topic of the store.

A claim is written only if the topic ends where its writer has read it to, so that it
names all those before it that may still grant. The newest claim of a group counts.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from loguru import logger

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import whole_number
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicStore

MAX_TRIES = 8  # of one claim; others are written at the same time


class Incarnation(NamedTuple):
    """One start of a process.

    Attributes:
        host: Its host.
        role: Its role; a host runs one process of each role.
        start: Identity of the start.
    """

    host: str
    role: str
    start: str

    def replaces(self, other: Incarnation) -> bool:
        """Whether another one has ended, since this one runs in its place."""
        return (self.host, self.role) == (other.host, other.role)


# Stands for claims that the store has lost by falling back to an older copy.
UNKNOWN = Incarnation("", "", "")


class Claim(NamedTuple):
    """A claim of one group.

    Attributes:
        by: The claimant.
        number: Number of the claim among those of its claimant.
        era: Era of the store in which it was written.
        formers: Those before it that may have granted when it was written, the last
            one first.
    """

    by: Incarnation
    number: int
    era: int
    formers: tuple[Incarnation, ...]

    def is_same(self, other: Claim | None) -> bool:
        """Whether two records are of one claim; the later one has no formers."""
        return other is not None and self.by == other.by and self.number == other.number

    def encode(self) -> bytes:
        """Return the value of the record."""
        return json.dumps(self._asdict()).encode()


def decode_claim(value: bytes | None) -> Claim | None:
    """Decode a record; None for one that is missing or not readable."""
    claim = decode(value or b"", _claim)
    return None if isinstance(claim, DecodeError) else claim


def _claim(fields: dict[str, Any]) -> Claim:
    return Claim(
        Incarnation(*map(str, fields["by"])),
        whole_number(fields["number"]),
        whole_number(fields["era"]),
        tuple(Incarnation(*map(str, item)) for item in fields["formers"]),
    )


class Written(NamedTuple):
    """A claim in the topic.

    Attributes:
        claim: The claim.
        position: Its place.
        sent_ms: When it was sent to the store, in monotonic milliseconds.
    """

    claim: Claim
    position: TopicPosition
    sent_ms: int


class ClaimLog:
    """The newest claim of each group, as of the last read.

    Args:
        topic: Topic of the claims.
        store: The platform's store.
        by: This process.
        timers: Timer service.
        is_first_start: Whether the whole system starts for the first time, so that the
            store has lost no claims.

    Attributes:
        position: Where the last read ended; offset -1 before the first one.
        sent_ms: When the last read that succeeded was sent, in monotonic
            milliseconds; None before the first one.
    """

    def __init__(
        self,
        topic: str,
        store: TopicStore,
        by: Incarnation,
        timers: Timers,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._whole_era = 0  # in which no claim is missing
        self.position = TopicPosition(0, -1)
        self.sent_ms: int | None = None
        self._topic = topic
        self._store = store
        self._by = by
        self._timers = timers
        self._items: dict[str, bytes] = {}
        self._count = 0
        self._lock = asyncio.Lock()
        self._on_read: Callable[[], None] = lambda: None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each read."""
        self._on_read = listener

    def newest(self, group: int) -> Claim | None:
        """Return the newest claim of a group."""
        return decode_claim(self._items.get(str(group)))

    async def read(self) -> bool:
        """Read what is new; return whether the store has answered."""
        async with self._lock:
            sent_ms = self._timers.now_ms()
            error = await self._read_page() if self.position.offset >= 0 else None
            if self.position.offset < 0 or (
                error is not None and error.reason is TopicErrorReason.TRIMMED
            ):
                error = await self._read_snapshot()
            if error is not None:
                logger.info("claims of allotments not read", detail=error.detail)
                return False
            self.sent_ms = sent_ms
        self._on_read()
        return True

    async def append(self, group: int, behind: Claim | None) -> Written | None:
        """Claim a group.

        Args:
            group: Number of the group.
            behind: Newest claim that the claimant knows; there must be no other.

        Returns:
            None when another process has claimed the group meanwhile, or the store has
            not taken the claim.
        """
        for _ in range(MAX_TRIES):
            if not await self.read() or self.newest(group) != behind:
                return None
            at = self.position
            self._count += 1
            claim = Claim(self._by, self._count, at.era, self._formers(group))
            sent_ms = self._timers.now_ms()
            error = await self._put(group, claim, at)
            if error is None:
                return Written(claim, at, sent_ms)
            if error.reason is TopicErrorReason.CONFLICT:
                continue
            logger.info("allotments not claimed", group=group, detail=error.detail)
            if not await self.read() or not claim.is_same(self.newest(group)):
                return None
            return Written(claim, at, sent_ms) if at.era == self.position.era else None
        return None

    async def forget_formers(self, group: int, written: Written) -> None:
        """Write a claim again without its formers, which have ended.

        If it is not written, the next claimant asks them once more.
        """
        if not written.claim.formers or not await self.read():
            return
        if written.claim.is_same(self.newest(group)):
            claim = written.claim._replace(formers=())
            await self._put(group, claim, self.position)

    def _formers(self, group: int) -> tuple[Incarnation, ...]:
        newest = self.newest(group)
        formers = () if newest is None else (newest.by, *newest.formers)
        is_certain = newest is not None and newest.era == self.position.era
        if self.position.era > self._whole_era and not is_certain:
            formers = (*formers, UNKNOWN)
        return tuple(dict.fromkeys(formers))

    async def _put(
        self, group: int, claim: Claim, at: TopicPosition
    ) -> TopicError | None:
        position = await self._store.put(
            self._topic, str(group), claim.encode(), at=at.offset
        )
        if isinstance(position, TopicError):
            return position
        if position != at:
            return TopicError(TopicErrorReason.CONFLICT, f"era {position.era} began")
        return None

    async def _read_page(self) -> TopicError | None:
        page = await self._store.read(self._topic, self.position.offset, wait_ms=0)
        if isinstance(page, TopicError):
            return page
        if page.era != self.position.era:
            return _other_era(page.era, self.position.era)
        for record in page.records:
            if record.value is not None:
                self._items[record.key] = record.value
        self.position = TopicPosition(page.era, page.end)
        return None

    async def _read_snapshot(self) -> TopicError | None:
        snapshot = await self._store.read_snapshot(self._topic)
        if isinstance(snapshot, TopicError):
            return snapshot
        if snapshot.era < self.position.era:
            return _other_era(snapshot.era, self.position.era)
        if self._is_first_start and self.position.offset < 0:
            self._whole_era = snapshot.era
        self._items = dict(snapshot.items)
        self.position = snapshot.position
        return None


def _other_era(era: int, known: int) -> TopicError:
    """Return the error for an answer of another era; one of a newer one is trimmed."""
    reason = TopicErrorReason.TRIMMED if era > known else TopicErrorReason.UNAVAILABLE
    return TopicError(reason, f"answer of era {era}")
