"""Keyed topics of the platform's store: the newest record of each key."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol


class TopicErrorReason(Enum):
    """Why a call to the store gave no result."""

    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    TRIMMED = "trimmed"


class TopicError(NamedTuple):
    """A failed call; returned, not raised.

    Attributes:
        reason: ``UNAVAILABLE`` when nothing was done, ``ANSWER_LOST`` when a write
            may have been or may yet be done, ``TRIMMED`` when the offset asked for
            is no longer kept.
        detail: One line for the operator's log.
    """

    reason: TopicErrorReason
    detail: str


class TopicRecord(NamedTuple):
    """One record.

    Attributes:
        key: What it describes.
        value: New value, or None when the key was dropped.
    """

    key: str
    value: bytes | None


class TopicPage(NamedTuple):
    """Records in order.

    Attributes:
        records: Records from the offset asked for.
        end: Offset to read on from.
    """

    records: Sequence[TopicRecord]
    end: int


class TopicSnapshot(NamedTuple):
    """Newest record of each key.

    Attributes:
        items: Values by key.
        end: Offset from which later records are read.
    """

    items: Mapping[str, bytes]
    end: int


class TopicStore(Protocol):
    """Reads and writes keyed topics."""

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        """Read from ``offset``; wait up to ``wait_ms`` when there is nothing new."""

    async def put(self, topic: str, key: str, value: bytes) -> int | TopicError:
        """Write a record and return its offset."""


class PeerViews(Protocol):
    """Topics as other processes know them."""

    async def fetch(self) -> Mapping[str, TopicSnapshot]:
        """Return the newest view of the peers asked; empty when none has one."""
