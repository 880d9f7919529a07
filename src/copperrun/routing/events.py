"""Parsing of server-sent event streams into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

_ID_FIELD = b"id:"
_TERMINATOR = b"\n\n"
# Fields have lower-case names; a line that begins with a colon is a comment.
_LINES = re.compile(rb"(?:(?:[a-z][a-z0-9_-]*)?(?::[^\n]*)?\n)*+")
_COMMENTS = re.compile(rb"(?:(?::[^\n]*)?\n)*+")
MAX_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
        data: Bytes of the event, including the blank line that ends it.
        id: Event id, or an empty string.
    """

    data: bytes
    id: str

    @property
    def is_well_formed(self) -> bool:
        """Whether it has no other lines than an event may have."""
        return _LINES.fullmatch(self.data) is not None

    @property
    def is_comment(self) -> bool:
        """Whether it holds nothing for the caller's program."""
        return _COMMENTS.fullmatch(self.data) is not None


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._partial)

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event is longer than any event may be."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        *complete, self._partial = (self._partial + data).split(_TERMINATOR)
        return [
            StreamEvent(event + _TERMINATOR, _event_id(event)) for event in complete
        ]


class EventSequence:
    """Tells which events belong to a stream whose ids increase.

    Args:
        last_id: Id of the last event that the caller has, or an empty string.

    Attributes:
        last_id: Id of the last event that was accepted.
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event may come next.

        One without an id is accepted only while none has an id: it could not be told
        from the text of an error.
        """
        if not event.is_well_formed:
            return False
        if event.is_comment:
            return True
        if not event.id:
            return not self.last_id
        if not _is_later(event.id, self.last_id):
            return False
        self.last_id = event.id
        return True


def _is_later(event_id: str, last_id: str) -> bool:
    if event_id.isdecimal() and last_id.isdecimal():
        # Numbers of any size compare without being converted.
        new, last = event_id.lstrip("0"), last_id.lstrip("0")
        return (len(new), new) > (len(last), last)
    return event_id != last_id


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("ascii", "replace")
    return ""
