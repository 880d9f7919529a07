"""Keyed topics on the platform's append-only log.

The log writes without a condition. A record states the offset at which it must stand
to count, so that all readers agree which records do, also on one that is written late.
"""

from __future__ import annotations

import json
from typing import NamedTuple

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.log import LogPage
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot

_REASONS = {
    LogErrorReason.UNAVAILABLE: TopicErrorReason.UNAVAILABLE,
    LogErrorReason.ANSWER_LOST: TopicErrorReason.ANSWER_LOST,
    LogErrorReason.TRIMMED: TopicErrorReason.TRIMMED,
}


class _Read(NamedTuple):
    records: list[TopicRecord]
    end: int
    era: int


class LogTopics:
    """Topics as streams of a log.

    The log drops old records; a topic is in era 1 from then on, in which what is not
    there may have been dropped.
    """

    def __init__(self, log: Log) -> None:
        self._log = log

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        """Return the newest record of each key."""
        read = await self._read_all(topic, 0)
        if isinstance(read, TopicError):
            return read
        items: dict[str, bytes] = {}
        for record in read.records:
            if record.value is not None:
                items[record.key] = record.value
        return TopicSnapshot(items, read.end, read.era)

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        """Read from ``offset``; returns at once."""
        read = await self._read_all(topic, offset)
        return read if isinstance(read, TopicError) else TopicPage(*read)

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> TopicPosition | TopicError:
        """Write a record; with ``at`` it counts only if that is its offset."""
        fields = {"version": 1, "key": key, "value": value.decode(), "at": at}
        offset = await self._log.append(topic, [json.dumps(fields)])
        if isinstance(offset, LogError):
            return _error(offset)
        if at is not None and at != offset:
            return TopicError(TopicErrorReason.CONFLICT, f"written at {offset}")
        page = await self._log.read(topic, offset)
        if isinstance(page, LogError):
            # It stands there; which era that is shows the next read.
            return TopicError(TopicErrorReason.ANSWER_LOST, page.detail)
        return TopicPosition(_era(page), offset)

    async def _read_all(self, topic: str, offset: int) -> _Read | TopicError:
        records: list[TopicRecord] = []
        while True:
            page = await self._log.read(topic, offset)
            if isinstance(page, LogError):
                if page.reason is LogErrorReason.TRIMMED and page.start > offset == 0:
                    offset = page.start
                    continue
                return _error(page)
            for record in page.records:
                decoded = _decode(record.data, record.offset)
                if decoded is not None:
                    records.append(decoded)
                offset = record.offset + 1
            if offset >= page.end or not page.records:
                return _Read(records, max(offset, page.end), _era(page))


def _era(page: LogPage) -> int:
    return 1 if page.start else 0


def _decode(data: str, offset: int) -> TopicRecord | None:
    """Decode a record; None for one that does not count."""
    fields = decode(data, lambda item: (item["key"], item["value"], item["at"]))
    if isinstance(fields, DecodeError):
        return None
    key, value, at = fields
    if at not in (None, offset) or not isinstance(value, str):
        return None
    return TopicRecord(str(key), value.encode() or None)


def _error(error: LogError) -> TopicError:
    return TopicError(_REASONS[error.reason], error.detail)
