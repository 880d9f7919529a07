"""The platform's append-only log service."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.model import LogRecord


class LogErrorReason(Enum):
    """Why a call to the log failed."""

    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    TRIMMED = "trimmed"


class LogError(NamedTuple):
    """A failed call to the log; returned, not raised.

    Attributes:
        reason: ``UNAVAILABLE`` when nothing was appended, ``ANSWER_LOST`` when the
            records may have been or may yet be appended, ``TRIMMED`` when the
            requested offset is no longer retained.
        detail: One line for the operator's log.
        start: First retained offset; only with ``TRIMMED``.
    """

    reason: LogErrorReason
    detail: str
    start: int = 0


class LogPage(NamedTuple):
    """Records read from a stream.

    Attributes:
        records: Records in offset order.
        start: First retained offset.
        end: Offset that the next appended record will get.
    """

    records: Sequence[LogRecord]
    start: int
    end: int


class Log(Protocol):
    """Named streams of records with offsets."""

    async def append(self, stream: str, records: Sequence[str]) -> int | LogError:
        """Append ``records`` together and return the offset of the first."""

    async def read(
        self, stream: str, offset: int, *, wait_ms: int = 0
    ) -> LogPage | LogError:
        """Read from ``offset``; wait up to ``wait_ms`` for new records."""
