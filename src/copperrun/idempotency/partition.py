"""One partition stream: reading, group commit and appends whose answer was lost."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

from loguru import logger

from copperrun.idempotency.budget import AppendBudget
from copperrun.idempotency.index import KeyIndex
from copperrun.idempotency.records import Record
from copperrun.idempotency.records import RecordError
from copperrun.idempotency.records import decode
from copperrun.idempotency.records import encode
from copperrun.model import LogRecord
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers

READ_BACK_TIMEOUT_MS = 2_000
READ_BACK_INTERVAL_MS = 50
MAX_BATCH_RECORDS = 500


class CommitErrorReason(Enum):
    """Why a record was not read back from the stream."""

    LOG_DOWN = "log_down"
    UNSETTLED = "unsettled"


class CommitError(NamedTuple):
    """A record that was not read back; returned, not raised.

    Attributes:
        reason: ``LOG_DOWN`` when it was not appended, ``UNSETTLED`` when it may still
            be appended.
        detail: One line for the operator's log.
    """

    reason: CommitErrorReason
    detail: str


class _PendingRecord(NamedTuple):
    data: str
    record: Record
    fut: asyncio.Future[CommitError | None]


class Partition:
    """Appends records and reads them back in log order.

    Attributes:
        index: Key states after the records read so far.
        covered_from_ms: Unix time from which all records have been read, in
            milliseconds; 0 when none were trimmed, None until records or the end of
            the stream have been read.
        is_log_down: Whether the log was unavailable at the last call.
        has_unknown_records: Whether a record of a later version was skipped.
    """

    def __init__(
        self,
        stream: str,
        log: Log,
        timers: Timers,
        budget: AppendBudget,
        metrics: Metrics,
    ) -> None:
        self.index = KeyIndex()
        self.covered_from_ms: int | None = None
        self.is_log_down = False
        self.has_unknown_records = False
        self._stream = stream
        self._log = log
        self._timers = timers
        self._budget = budget
        self._metrics = metrics
        self._next_offset = 0
        self._pending: list[_PendingRecord] = []
        self._has_pending = asyncio.Event()
        self._read_lock = asyncio.Lock()
        self._unread: set[str] = set()

    async def run(self) -> None:
        """Commit pending records in groups until cancelled."""
        while True:
            await self._has_pending.wait()
            await self._budget.acquire()
            batch, self._pending = (
                self._pending[:MAX_BATCH_RECORDS],
                self._pending[MAX_BATCH_RECORDS:],
            )
            if not self._pending:
                self._has_pending.clear()
            await self._commit(batch)

    async def commit(self, record: Record) -> CommitError | None:
        """Append a record and return once it has been read back."""
        fut = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingRecord(encode(record), record, fut))
        self._has_pending.set()
        return await asyncio.shield(fut)

    async def catch_up(self) -> bool:
        """Read to the end of the stream; return whether the log answered."""
        async with self._read_lock:
            while True:
                page = await self._log.read(self._stream, self._next_offset)
                if isinstance(page, LogError):
                    if page.reason is not LogErrorReason.TRIMMED:
                        self.is_log_down = True
                        return False
                    self._skip_gap(page.start)
                    continue
                self.is_log_down = False
                for record in page.records:
                    self._apply(record)
                if self._next_offset >= page.end:
                    self._set_coverage(page.start)
                    return True

    def _set_coverage(self, start: int) -> None:
        if self.covered_from_ms is not None:
            return
        # An emptied stream does not show until when it had records; assume until now.
        self.covered_from_ms = 0 if start == 0 else self._timers.wall_ms()

    def _skip_gap(self, start: int) -> None:
        """Continue after records that the log trimmed before they were read."""
        logger.warning(
            "log records trimmed before they were read",
            stream=self._stream,
            up_to=start,
        )
        self._next_offset = start
        self.covered_from_ms = None

    def _apply(self, log_record: LogRecord) -> None:
        self._next_offset = log_record.offset + 1
        record = decode(log_record.data)
        if isinstance(record, RecordError):
            # A record of a later version may be the intent of a call sent to this side.
            self.has_unknown_records |= record.unknown
            logger.error(
                "unreadable log record skipped",
                stream=self._stream,
                offset=log_record.offset,
                detail=record.detail,
            )
            return
        if self.covered_from_ms is None and log_record.offset > 0:
            self.covered_from_ms = record.at_ms
        elif self.covered_from_ms is None:
            self.covered_from_ms = 0
        self.index.apply(record)
        self._unread.discard(log_record.data)

    async def _commit(self, batch: list[_PendingRecord]) -> None:
        if not batch:
            return
        self._unread = {item.data for item in batch}
        self._metrics.record_append("once")
        result = await self._log.append(self._stream, [item.data for item in batch])
        if isinstance(result, LogError) and result.reason is LogErrorReason.UNAVAILABLE:
            self.is_log_down = True
            _resolve(batch, CommitError(CommitErrorReason.LOG_DOWN, result.detail))
            return
        await self._read_back(batch)

    async def _read_back(self, batch: list[_PendingRecord]) -> None:
        """Wait for the records in the stream, at most ``READ_BACK_TIMEOUT_MS``."""
        deadline = self._timers.now_ms() + READ_BACK_TIMEOUT_MS
        while True:
            await self.catch_up()
            missing = [item for item in batch if item.data in self._unread]
            _resolve([item for item in batch if item.data not in self._unread], None)
            if not missing or self._timers.now_ms() >= deadline:
                break
            await self._timers.sleep_ms(READ_BACK_INTERVAL_MS)
        detail = f"not read back from the stream within {READ_BACK_TIMEOUT_MS} ms"
        _resolve(missing, CommitError(CommitErrorReason.UNSETTLED, detail))


def _resolve(batch: list[_PendingRecord], result: CommitError | None) -> None:
    for item in batch:
        if not item.fut.done():
            item.fut.set_result(result)
