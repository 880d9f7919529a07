"""What the listener holds for slow callers: measures it and cuts who gives way."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from contextlib import contextmanager
from typing import Protocol

from loguru import logger

from copperrun.admission.buffers import BufferBounds
from copperrun.admission.buffers import BufferBudget
from copperrun.admission.buffers import Measure
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers

MEMORY_RETRY_MS = 1_000  # after a head or a body that did not fit


class Reader(Protocol):
    """A caller's connection."""

    def measure(self) -> Measure:
        """Return what is held for the caller."""

    def cut(self) -> None:
        """Close the connection at once; what is held is lost."""


class Upload:
    """One request body and the bytes that it was granted.

    Attributes:
        size: Bytes granted.
        scope: Ends the wait for further bytes.
    """

    def __init__(self, buffers: CallerBuffers) -> None:
        self.size = 0
        self.scope: asyncio.Timeout | None = None
        self._buffers = buffers

    def take(self, size: int) -> bool:
        """Take further bytes, or return False."""
        return self._buffers.take(self, size)

    def give_way(self) -> None:
        """End the wait for further bytes."""
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())
            self.scope = None


class CallerBuffers:
    """Bounds what is held for callers."""

    def __init__(self, bounds: BufferBounds, timers: Timers, metrics: Metrics) -> None:
        self.timers = timers
        self._budget = BufferBudget[Reader, Upload](bounds)
        self._metrics = metrics

    @property
    def answer_bound(self) -> int:
        """Bound of one answer, in bytes."""
        return self._budget.bounds.answer

    @property
    def held_bytes(self) -> int:
        """Bytes held for callers."""
        return self._budget.held_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes held for callers, with heads and answers that are collected."""
        return self._budget.total_bytes

    def record(self, reader: Reader) -> None:
        """Record what is held for a caller after a write."""
        budget = self._budget
        now_ms = self.timers.now_ms()
        budget.record(reader, reader.measure(), now_ms)
        if budget.is_near_bound:
            losers = budget.make_room(lambda other: other.measure(), now_ms)
            self._cut(losers, "memory")

    def forget(self, reader: Reader) -> None:
        """Record that a connection is closed."""
        self._budget.forget(reader)

    def check(self, unread_limit_ms: int) -> None:
        """Measure all slow callers; called every few moments."""
        budget = self._budget
        now_ms = self.timers.now_ms()
        for reader in budget.readers:
            budget.record(reader, reader.measure(), now_ms)
        self._cut(budget.unread_too_long(unread_limit_ms, now_ms), "unread")
        losers = budget.make_room(lambda other: other.measure(), now_ms)
        self._cut(losers, "memory")
        answer_bytes = budget.answer_bytes + budget.collected_bytes
        self._metrics.record_held(answer_bytes, budget.upload_bytes, budget.head_bytes)

    @contextmanager
    def upload(self) -> Iterator[Upload]:
        """Count an upload until its request ends."""
        upload = Upload(self)
        try:
            yield upload
        finally:
            self._budget.release_upload(upload.size)

    @asynccontextmanager
    async def arrival(self, upload: Upload, limit_ms: int) -> AsyncIterator[None]:
        """Wait for an upload; raise ``TimeoutError`` when it takes too long."""
        self._budget.begin_upload(upload, self.timers.now_ms())
        try:
            async with self.timers.timeout_ms(limit_ms) as scope:
                upload.scope = scope
                yield
        finally:
            upload.scope = None
            self._budget.end_upload(upload)

    def may_begin(self, size: int) -> bool:
        """Return whether an upload of ``size`` bytes may begin; slow ones give way."""
        return self._budget.fits_upload(size) or (
            self._end_slow_uploads(size) and self._budget.fits_upload(size)
        )

    def take(self, upload: Upload, size: int) -> bool:
        """Take further bytes of an upload, or return False."""
        taken = self._budget.take_upload(upload, size)
        if not taken and self._end_slow_uploads(size) and upload.scope is not None:
            taken = self._budget.take_upload(upload, size)
        if taken:
            upload.size += size
        return taken

    def hold_head(self, size: int, *, is_small: bool) -> bool:
        """Record further bytes of a head; return whether they fit."""
        return self._budget.hold_head(size, is_small=is_small)

    def record_refused_head(self) -> None:
        """Record a request that was refused before it was parsed."""
        self._metrics.record_refused_head()

    def take_collected(self, size: int) -> bool:
        """Grant bytes of an answer that is not sent yet, or return False."""
        return self._budget.take_collected(size)

    def return_collected(self, size: int) -> None:
        """Return bytes of such an answer."""
        self._budget.return_collected(size)

    def record_refused_upload(self, reason: str) -> None:
        """Record an upload that was not taken."""
        self._metrics.record_refused_upload(reason)

    def _end_slow_uploads(self, size: int) -> bool:
        losers = self._budget.make_upload_room(size, self.timers.now_ms())
        for upload in losers:
            upload.give_way()
            self._budget.end_upload(upload)
            self._budget.release_upload(upload.size)
            upload.size = 0
        if losers:
            logger.info(
                "slow uploads ended", uploads=len(losers), held_bytes=self.held_bytes
            )
        return bool(losers)

    def _cut(self, losers: list[Reader], reason: str) -> None:
        if not losers:
            return
        for reader in losers:
            reader.cut()
            self._metrics.record_cut_caller(reason)
        logger.info(
            "answers of slow callers ended",
            callers=len(losers),
            reason=reason,
            held_bytes=self.held_bytes,
        )
