"""What began each stream, so that it goes on only where it began."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from copperrun.ports.timers import Timers

# Longer than a stream and its caller's attempts to take it up may last.
RETENTION_MS = 120_000
MAX_RECORDS = 20_000  # bounds the memory; the oldest are dropped
DIGEST_BYTES = 16


class StreamOrigin(NamedTuple):
    """The server that sent the first event of a stream.

    What servers of two software versions write does not fit together.

    Attributes:
        pool: Pool of the server.
        start_id: Start of the server; empty when it is not known which one answered.
        software_version: Version of its program; empty when unknown, which is equal to
            no other.
    """

    pool: str
    start_id: str
    software_version: str


class OriginRecord(NamedTuple):
    """The origin of one stream, as processes tell it each other.

    Attributes:
        key: Key of the stream.
        origin: What began it.
        age_ms: Time since its first event or since it was last taken up.
    """

    key: bytes
    origin: StreamOrigin
    age_ms: int


def stream_key(request_id: str) -> bytes:
    """Return the key of the stream that an attempt of a caller began.

    Callers choose their ids, so a digest bounds their length.
    """
    data = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class OriginTable:
    """Origins of recent streams; keeps the newest ones up to a bound."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # In the order of their times, the oldest first.
        self._entries: dict[bytes, tuple[int, StreamOrigin]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def merge(self, records: Iterable[OriginRecord]) -> None:
        """Add records.

        A key with two origins is that of two streams whose caller gave them one id;
        which one a later attempt means is not known.
        """
        now = self._timers.now_ms()
        for record in records:
            entry = (now - record.age_ms, record.origin)
            known = self._entries.pop(record.key, None)
            if known is not None:
                origin = _common_origin(known[1], record.origin)
                entry = (max(known[0], entry[0]), origin)
            self._entries[record.key] = entry
        self._drop_old()

    def find(self, key: bytes) -> OriginRecord | None:
        """Return the record of a stream, or None."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        age_ms = self._timers.now_ms() - entry[0]
        return OriginRecord(key, entry[1], age_ms) if age_ms < RETENTION_MS else None

    def records(self) -> list[OriginRecord]:
        """Return all records."""
        self._drop_old()
        now = self._timers.now_ms()
        return [
            OriginRecord(key, origin, now - at_ms)
            for key, (at_ms, origin) in self._entries.items()
        ]

    def _drop_old(self) -> None:
        oldest_ms = self._timers.now_ms() - RETENTION_MS
        while self._entries:
            key = next(iter(self._entries))
            if len(self._entries) <= MAX_RECORDS and self._entries[key][0] > oldest_ms:
                return
            del self._entries[key]


def _common_origin(first: StreamOrigin, second: StreamOrigin) -> StreamOrigin:
    if first == second:
        return first
    pool = first.pool if first.pool == second.pool else ""
    return StreamOrigin(pool, "", "")
