"""Follows one keyed topic of the store, also across store outages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from copperrun.membership.health import StoreHealth
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot
from copperrun.ports.topics import TopicStore
from copperrun.signals import ChangeSignal

# Grows with each failure, since the store charges for refused calls too.
RETRY_DELAY_MS = 400
MAX_RETRY_DELAY_MS = 1_000  # bounds how late a recovery of the store is noticed
MIN_READ_PAUSE_MS = 100  # bounds the call rate when long polls return at once

Listener = Callable[[], None]


class TopicFollower:
    """The newest record of each key of a topic, kept current by one task.

    Attributes:
        items: Newest value of each key.
        end: Offset of the next record to read; -1 before the first snapshot.
        era: Era of the store in which that offset is valid.
        copied: Keys that the older copy had when the store came back from it and that
            have not been written since. What was known before is newer.
        recovered_ms: When the store last recovered from an outage, in monotonic
            milliseconds; None when it had none.
        is_current: Whether reads continue from a snapshot of the store; False before
            the first one and after the offset was trimmed.
        read_ms: When the store last confirmed the records, in monotonic milliseconds;
            None before the first snapshot.
        on_superseded: Called with the key and value of each record that a later one of
            the same read replaces.
        on_replaced: Called before all records are replaced; there may have been others
            since the previous read.
        on_recovered: Called when a read succeeds after failed ones.
    """

    def __init__(
        self,
        topic: str,
        store: TopicStore,
        timers: Timers,
        health: StoreHealth,
        *,
        period_ms: int,
        wait_ms: int,
    ) -> None:
        self.topic = topic
        self.items: dict[str, bytes] = {}
        self.end = -1
        self.era = 0
        self.copied: set[str] = set()
        self.recovered_ms: int | None = None
        self.is_current = False
        self.read_ms: int | None = None
        self.on_superseded: Callable[[str, bytes], None] = _ignore_superseded
        self.on_replaced: Callable[[], None] = _ignore_replaced
        self.on_recovered: Callable[[], None] = _ignore_recovery
        self._reads_begun = 0
        self._last_success = 0  # number of the latest read that succeeded
        self._read_soon = asyncio.Event()
        self._read_ended = ChangeSignal(timers)
        self._store = store
        self._timers = timers
        self._health = health
        self._period_ms = period_ms
        self._wait_ms = wait_ms
        self._listeners: list[Listener] = []
        self._failures = 0
        # Whether the next read may wait at the store. After a failure it may not: a
        # long poll on a store that is still silent would outlive the outage.
        self._may_wait = False
        self._loaded = asyncio.Event()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    async def wait_until_loaded(self) -> None:
        """Wait for the first records, from the store or from a peer."""
        await self._loaded.wait()

    def snapshot(self) -> TopicSnapshot:
        """Return a copy of the current records with their end offset."""
        return TopicSnapshot(dict(self.items), self.end, self.era)

    def restore(self, snapshot: TopicSnapshot) -> None:
        """Replace the records by a peer's snapshot if it is newer."""
        if snapshot.position <= self.snapshot().position:
            return
        logger.info("topic restored from a peer", topic=self.topic, end=snapshot.end)
        self._replace(snapshot)

    @property
    def is_failing(self) -> bool:
        """Whether the latest read failed."""
        return self._failures > 0

    async def confirm(self, timeout_ms: int) -> bool:
        """Return whether the records are those that the store has now.

        A read that begins after the call shows it; at most ``timeout_ms`` later.
        """
        own_read = self._reads_begun + 1
        deadline_ms = self._timers.now_ms() + timeout_ms
        self._read_soon.set()
        while not self._failures and (left := deadline_ms - self._timers.now_ms()) > 0:
            if self._last_success >= own_read:
                return True
            await self._read_ended.wait(left)
        return False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            started_ms = self._timers.now_ms()
            self._read_soon.clear()
            self._reads_begun += 1
            error = await self._read_once()
            if error is None:
                self._last_success = self._reads_begun
                self._read_ended.notify_all()
                elapsed_ms = self._timers.now_ms() - started_ms
                await self._pause(self._period_ms - elapsed_ms)
            elif error.reason is TopicErrorReason.TRIMMED:
                logger.info(
                    "topic offset trimmed; reading a snapshot",
                    topic=self.topic,
                    detail=error.detail,
                )
                self.is_current = False
            else:
                await self._back_off(error)

    async def _pause(self, pause_ms: int) -> None:
        """Wait until the next read is due or wanted."""
        await self._timers.sleep_ms(MIN_READ_PAUSE_MS)
        if pause_ms <= MIN_READ_PAUSE_MS:
            return
        try:
            async with self._timers.timeout_ms(pause_ms - MIN_READ_PAUSE_MS):
                await self._read_soon.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> TopicError | None:
        if self.end < 0 or not self.is_current:
            snapshot = await self._store.read_snapshot(self.topic)
            if isinstance(snapshot, TopicError):
                return snapshot
            if snapshot.era < self.era:
                return _earlier_era(snapshot.era)
            self.is_current = True
            self._record_success()
            self._replace(snapshot)
            return None
        page = await self._read_page()
        if page is None:
            return None
        if isinstance(page, TopicError):
            return page
        if page.era < self.era:
            return _earlier_era(page.era)
        if page.era > self.era:
            # The offset may be valid and name other records in this era.
            return TopicError(TopicErrorReason.TRIMMED, f"era {page.era} began")
        self.end = page.end
        self._record_success()
        if page.records:
            newest = {record.key: record for record in page.records}
            for record in page.records:
                if record.value is not None and newest[record.key] is not record:
                    self.on_superseded(record.key, record.value)
                self._apply(record)
            self._notify_listeners()
        return None

    async def _read_page(self) -> TopicPage | TopicError | None:
        """Read the next page; None when a long poll was abandoned.

        Another follower's failure may mean that the store went silent, which a long
        poll notices only at its end.
        """
        if not self._wait_ms or not self._may_wait:
            return await self._store.read(self.topic, self.end, wait_ms=0)
        poll = asyncio.create_task(
            self._store.read(self.topic, self.end, wait_ms=self._wait_ms)
        )
        failure = asyncio.create_task(self._health.wait_failure())
        try:
            await asyncio.wait({poll, failure}, return_when=asyncio.FIRST_COMPLETED)
            if poll.done():
                return poll.result()
            self._may_wait = False
            return None
        finally:
            poll.cancel()
            failure.cancel()

    def _replace(self, snapshot: TopicSnapshot) -> None:
        self.on_replaced()
        fell_back = self.end >= 0 and snapshot.era > self.era
        self._health.record_era(snapshot.era)
        if fell_back:
            self.copied = set(snapshot.items)
            # Records that the copy lacks are written again, as after an outage.
            self.recovered_ms = self._timers.now_ms()
        else:
            self.copied = {
                key
                for key in self.copied
                if snapshot.items.get(key) == self.items.get(key)
            }
        self.items = dict(snapshot.items)
        self.end = snapshot.end
        self.era = snapshot.era
        self._notify_listeners()

    def _apply(self, record: TopicRecord) -> None:
        self.copied.discard(record.key)
        if record.value is None:
            self.items.pop(record.key, None)
        else:
            self.items[record.key] = record.value

    def _notify_listeners(self) -> None:
        self._loaded.set()
        for listener in self._listeners:
            listener()

    def _record_success(self) -> None:
        self.read_ms = self._timers.now_ms()
        self._may_wait = True
        if self._failures:
            logger.info("store available again", topic=self.topic, end=self.end)
            self.recovered_ms = self.read_ms
            self._failures = 0
            self.on_recovered()
            self._health.announce_recovery()

    async def _back_off(self, error: TopicError) -> None:
        self._failures += 1
        self._may_wait = False
        if self._failures == 1:
            logger.warning(
                "store unavailable", topic=self.topic, detail=error.detail, end=self.end
            )
            self._health.announce_failure()
        self._read_ended.notify_all()
        delay_ms = min(RETRY_DELAY_MS * self._failures, MAX_RETRY_DELAY_MS)
        await self._health.wait_recovery(delay_ms)


def _ignore_superseded(key: str, value: bytes) -> None:
    """Ignore a record that was replaced."""


def _ignore_replaced() -> None:
    """Ignore that all records were replaced."""


def _ignore_recovery() -> None:
    """Ignore that the store can be read again."""


def _earlier_era(era: int) -> TopicError:
    detail = f"answer of the earlier era {era}"
    return TopicError(TopicErrorReason.UNAVAILABLE, detail)
