"""Applies the records of the configuration stream to a state."""

from __future__ import annotations

from loguru import logger

from copperrun.configuration.changes import STREAM
from copperrun.configuration.state import ApplyOutcome
from copperrun.configuration.state import ApplyResult
from copperrun.configuration.state import ConfigurationState
from copperrun.model import LogRecord
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason


async def read_page(
    log: Log, state: ConfigurationState, *, wait_ms: int = 0
) -> LogError | None:
    """Read and apply the next records, waiting up to ``wait_ms`` for one."""
    page = await log.read(STREAM, state.next_offset, wait_ms=wait_ms)
    if isinstance(page, LogError):
        if page.reason is not LogErrorReason.TRIMMED:
            return page
        state.skip_to(page.start)
        return None
    for record in page.records:
        _log_result(record, state.apply(record))
    return None


async def read_to_end(log: Log, state: ConfigurationState) -> LogError | None:
    """Read and apply records until the end of the stream."""
    while True:
        before = state.next_offset
        error = await read_page(log, state)
        if error is not None or state.next_offset == before:
            return error


def _log_result(record: LogRecord, result: ApplyResult) -> None:
    match result.outcome:
        case ApplyOutcome.CORRUPT:
            logger.error(
                "corrupt configuration record skipped",
                offset=record.offset,
                detail=result.detail,
            )
        case ApplyOutcome.UNKNOWN:
            logger.error("unknown configuration record kept", offset=record.offset)
        case ApplyOutcome.CONFLICT | ApplyOutcome.INVALID:
            logger.warning(
                "configuration change rejected",
                offset=record.offset,
                change=result.change_id,
                detail=result.detail,
            )
