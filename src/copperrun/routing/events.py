"""Whole events of a server-sent event stream."""

from __future__ import annotations

from typing import NamedTuple

_ID_FIELD = b"id:"
_TERMINATOR = b"\n\n"


class StreamEvent(NamedTuple):
    """One whole event.

    Attributes:
        data: The event's bytes with its blank line.
        id: Its id, or an empty string.
    """

    data: bytes
    id: str


class EventSplitter:
    """Cuts the bytes of a stream into whole events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an event are held whose end has not arrived."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that are whole now."""
        *whole, self._partial = (self._partial + data).split(_TERMINATOR)
        return [StreamEvent(event + _TERMINATOR, _event_id(event)) for event in whole]


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("ascii", "replace")
    return ""
