"""Reads the configuration stream into a fold."""

from __future__ import annotations

from loguru import logger

from copperrun.configuration.changes import STREAM
from copperrun.configuration.fold import Fold
from copperrun.configuration.fold import Outcome
from copperrun.configuration.fold import Verdict
from copperrun.model import LogRecord
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason


async def read_page(log: Log, fold: Fold, *, wait_ms: int = 0) -> LogError | None:
    """Read the next records, waiting up to ``wait_ms`` for one."""
    page = await log.read(STREAM, fold.next_offset, wait_ms=wait_ms)
    if isinstance(page, LogError):
        if page.reason is not LogErrorReason.TRIMMED:
            return page
        fold.begin(page.start)
        return None
    for record in page.records:
        _log_verdict(record, fold.apply(record))
    return None


async def read_to_end(log: Log, fold: Fold) -> LogError | None:
    """Read until the stream has nothing more."""
    while True:
        before = fold.next_offset
        error = await read_page(log, fold)
        if error is not None or fold.next_offset == before:
            return error


def _log_verdict(record: LogRecord, verdict: Verdict) -> None:
    match verdict.outcome:
        case Outcome.CORRUPT:
            logger.error(
                "corrupt configuration record skipped",
                offset=record.offset,
                detail=verdict.detail,
            )
        case Outcome.UNKNOWN:
            logger.error("unknown configuration record kept", offset=record.offset)
        case Outcome.CONFLICT | Outcome.INVALID:
            logger.warning(
                "configuration change rejected",
                offset=record.offset,
                change=verdict.change_id,
                detail=verdict.detail,
            )
