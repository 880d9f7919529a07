"""Keyed topics of the platform's store, which keeps the newest record of each key.

The store may come back from an older copy. Its era then rises by one, records written
since the copy are gone, and their offsets are given out again.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol


class TopicErrorReason(Enum):
    """Why a call to the store failed."""

    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    TRIMMED = "trimmed"
    CONFLICT = "conflict"


class TopicError(NamedTuple):
    """A failed call to the store; returned, not raised.

    Attributes:
        reason: ``UNAVAILABLE`` when nothing was done, ``ANSWER_LOST`` when a write
            may have taken effect or may yet do so, ``TRIMMED`` when the requested
            offset is no longer retained, ``CONFLICT`` when the topic ends elsewhere
            than a write requires; nothing was written then.
        detail: One line for the operator's log.
    """

    reason: TopicErrorReason
    detail: str


class TopicPosition(NamedTuple):
    """Place of a record in a topic; ordered and never repeated, also across eras.

    Attributes:
        era: Era of the store in which the record was written.
        offset: Offset of the record in that era.
    """

    era: int
    offset: int


class TopicRecord(NamedTuple):
    """One record of a topic.

    Attributes:
        key: Key whose value it sets.
        value: New value, or None for a tombstone.
    """

    key: str
    value: bytes | None


class TopicPage(NamedTuple):
    """Consecutive records of a topic.

    Attributes:
        records: Records from the requested offset on.
        end: Offset of the next read.
        era: Era of the store.
    """

    records: Sequence[TopicRecord]
    end: int
    era: int = 0


class TopicSnapshot(NamedTuple):
    """Newest record of each key of a topic.

    Attributes:
        items: Values by key.
        end: Offset from which to read later records.
        era: Era of the store in which the offset is valid.
    """

    items: Mapping[str, bytes]
    end: int
    era: int = 0

    @property
    def position(self) -> TopicPosition:
        """Position of the next record."""
        return TopicPosition(self.era, self.end)


class TopicStore(Protocol):
    """Reads and writes keyed topics."""

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        """Read from ``offset``; wait up to ``wait_ms`` for new records."""

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> TopicPosition | TopicError:
        """Write a record and return its position.

        With ``at`` it is written only if that is its offset: nobody has written to the
        topic since the read that ended there.
        """


class TopicPeers(Protocol):
    """Processes that may already have snapshots of the topics."""

    async def fetch_snapshots(self) -> Mapping[str, TopicSnapshot]:
        """Return the newest snapshot of each topic; empty when no peer has one."""

    async def fetch_catalogs(self, version: int) -> Sequence[bytes]:
        """Return encoded catalogs of a few peers that are newer than ``version``."""
