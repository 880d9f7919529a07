"""Server-sent events, read from and written to aiohttp streams."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp

DONE = "[DONE]"
EVENT_STREAM = "text/event-stream"
MAX_LINE_BYTES = 1024 * 1024
MAX_EVENT_CHARACTERS = 4 * MAX_LINE_BYTES


class Event(NamedTuple):
    """One event.

    Attributes:
        data: Payload.
        name: Event name; empty for the default.
        id: Event id; empty when it has none.
    """

    data: str
    name: str = ""
    id: str = ""


def encode_event(event: Event) -> bytes:
    """Serialize an event whose payload has no line breaks."""
    head = f"event: {event.name}\n" if event.name else ""
    if event.id:
        head += f"id: {event.id}\n"
    return f"{head}data: {event.data}\n\n".encode()


async def read_events(content: aiohttp.StreamReader) -> AsyncIterator[Event]:
    """Yield the complete events of a response and drop a truncated last one.

    Raises:
        ValueError: A line is longer than ``MAX_LINE_BYTES``, or an event longer than
            ``MAX_EVENT_CHARACTERS``.
    """
    data: list[str] = []
    size = 0
    name = event_id = ""
    async for raw in _read_lines(content):
        line = raw.rstrip(b"\r").decode()
        if not line:
            if data:
                yield Event("\n".join(data), name, event_id)
            data = []
            size = 0
            name = event_id = ""
            continue
        size += len(line)
        if size > MAX_EVENT_CHARACTERS:
            raise ValueError("event exceeds the maximum length")
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match field:
            case "data":
                data.append(value)
            case "event":
                name = value
            case "id":
                event_id = value


async def _read_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield lines without their line feeds, whatever the size of the reads."""
    rest = b""
    async for block in content.iter_any():
        *lines, rest = (rest + block).split(b"\n")
        for line in lines:
            yield line
        if len(rest) > MAX_LINE_BYTES:
            raise ValueError("event line exceeds the maximum length")
