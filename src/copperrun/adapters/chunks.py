"""Chunked bodies with fewer chunks than they were sent in."""

from __future__ import annotations

import re
from typing import NamedTuple

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\r\n]*)?\r\n")
_SIZE_LINE_BEGIN = re.compile(rb"[0-9A-Fa-f]{1,16}(?:[ \t;]|\r?$)")
_LINE_END = b"\r\n"
_SECTION_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class JoinedChunks(NamedTuple):
    """Part of a chunked body.

    Attributes:
        data: The same body in few chunks, without extensions and trailers.
        used: Bytes of the input that it stands for; the others come again.
        is_last: Whether the body has ended.
        is_malformed: Whether what follows is no chunk, or its line is too long.
    """

    data: bytes
    used: int
    is_last: bool = False
    is_malformed: bool = False


class ChunkJoiner:
    """Joins the chunks of one body, for which a parser has a cost each.

    Args:
        max_line_bytes: Size of a chunk's first line, and of all trailers.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._remaining = 0  # of a chunk that has begun, with its line end
        self._trailer_bytes = -1  # read so far; negative before the last chunk

    def join(self, data: bytes) -> JoinedChunks:
        """Return the chunks at the begin of ``data``."""
        if self._trailer_bytes >= 0:
            return self._skip_trailers(data, 0, b"")
        parts: list[bytes] = []
        at = 0
        while at < len(data):
            if not self._remaining:
                line = _SIZE_LINE.match(data, at)
                if line is None:
                    return self._without_line(data, at, _as_chunk(parts))
                size = int(line[1], 16)
                at = line.end()
                if not size:
                    self._trailer_bytes = 0
                    # The end of the size line may be the section's own.
                    return self._skip_trailers(data, at, _as_chunk(parts))
                self._remaining = size + len(_LINE_END)
            end = at + self._remaining
            if end <= len(data):
                body_end = max(end - len(_LINE_END), at)
                parts.append(data[at:body_end])
                if not _LINE_END.endswith(data[body_end:end]):
                    return JoinedChunks(_as_chunk(parts), at, is_malformed=True)
                at, self._remaining = end, 0
                continue
            body_end = min(len(data), end - len(_LINE_END))
            parts.append(data[at:body_end])
            used = max(body_end, at)
            self._remaining -= used - at
            return JoinedChunks(_as_chunk(parts), used)
        return JoinedChunks(_as_chunk(parts), at)

    def _without_line(self, data: bytes, at: int, joined: bytes) -> JoinedChunks:
        rest = data[at : at + self._max_line_bytes + 1]
        is_malformed = (
            len(rest) > self._max_line_bytes
            or b"\n" in rest
            or not _SIZE_LINE_BEGIN.match(rest)
        )
        return JoinedChunks(joined, at, is_malformed=is_malformed)

    def _skip_trailers(self, data: bytes, at: int, joined: bytes) -> JoinedChunks:
        """Leave out the trailers, which no server gets."""
        if not self._trailer_bytes and data.startswith(_LINE_END, at):
            used = at + len(_LINE_END)
            return JoinedChunks(joined + LAST_CHUNK, used, is_last=True)
        end = data.find(_SECTION_END, at)
        if end >= 0:
            used = end + len(_SECTION_END)
            self._trailer_bytes += used - at
            if self._trailer_bytes <= self._max_line_bytes:
                return JoinedChunks(joined + LAST_CHUNK, used, is_last=True)
            return JoinedChunks(joined, used, is_malformed=True)
        # What may be the begin of the section's end comes again.
        used = max(at, len(data) - len(_SECTION_END) + 1)
        self._trailer_bytes += used - at
        too_long = self._trailer_bytes > self._max_line_bytes
        return JoinedChunks(joined, used, is_malformed=too_long)


def _as_chunk(parts: list[bytes]) -> bytes:
    body = b"".join(parts)
    return b"%x\r\n%b\r\n" % (len(body), body) if body else b""
