"""Heads of many lines, kept near their size on the wire.

The HTTP library holds each line as several objects for as long as its request is
handled, some 500 bytes beside the text.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser

from copperrun.platform import http_headers

MIN_HEADER_BYTES = 4  # a name of one character, a colon and the line's end
MAX_PARSED_LINES = 64  # of a head that stays as the library has parsed it
# More than one shows that a name occurs repeatedly; that is all that matters then.
MAX_READ_REPEATS = 2
_READ_NAMES = frozenset(name.lower().encode() for name in http_headers.READ_HEADERS)


class HeaderBlock:
    """Headers to pass on, decoded anew each time they are read."""

    __slots__ = ("_lines",)

    def __init__(self, headers: Iterable[tuple[str, str]]) -> None:
        self._lines = "\n".join(f"{name}:{value}" for name, value in headers).encode()

    def __iter__(self) -> Iterator[tuple[str, str]]:
        if not self._lines:
            return
        for line in self._lines.split(b"\n"):
            name, _, value = line.decode().partition(":")
            yield name, value


class CompactHead(NamedTuple):
    """A head that was parsed, and dropped again.

    Attributes:
        head: The same head with no lines but those that an entry itself reads.
        headers: All headers to pass on.
    """

    head: bytes
    headers: HeaderBlock


def compact_head(head: bytes, protocol: Any, max_head_bytes: int) -> CompactHead | None:
    """Return a head in compact form, or None if it cannot be parsed."""
    parser = HttpRequestParser(
        protocol,
        asyncio.get_running_loop(),
        max_head_bytes,
        max_line_size=max_head_bytes,
        max_field_size=max_head_bytes,
        max_headers=max_head_bytes // MIN_HEADER_BYTES,
    )
    try:
        messages, _, _ = parser.feed_data(head)
    except HttpProcessingError:
        return None
    if not messages:
        return None
    message = messages[0][0]
    lines = [head[: head.index(b"\r\n")], *_read_lines(message), b"", b""]
    headers = HeaderBlock(http_headers.to_forward(message.raw_headers))
    return CompactHead(b"\r\n".join(lines), headers)


def _read_lines(message: RawRequestMessage) -> Iterator[bytes]:
    """Yield the lines that an entry reads, and those that frame the request."""
    seen: Counter[bytes] = Counter()
    for name, value in message.raw_headers:
        key = name.lower()
        seen[key] += key in _READ_NAMES
        if 0 < seen[key] <= MAX_READ_REPEATS:
            yield b"%b: %b" % (name, value)
    if message.chunked:
        yield b"Transfer-Encoding: chunked"
    elif "Content-Length" in message.headers:
        yield b"Content-Length: %b" % message.headers["Content-Length"].encode()
    yield b"Connection: " + (b"close" if message.should_close else b"keep-alive")
