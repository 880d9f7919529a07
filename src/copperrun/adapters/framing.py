"""The rule for what an HTTP/1 answer is, from its first byte to its last.

The HTTP library's parsers let through what is no answer in the protocol, and differ in
what they let through.
"""

from __future__ import annotations

import re
from enum import Enum

MAX_HEAD_BYTES = 64 << 10  # of an answer, with its interim answers
MAX_INTERIM_ANSWERS = 16
MAX_LINE_BYTES = 4 << 10  # of a chunk's size, and of all trailers

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT + rb"\r\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: " + _TEXT + rb")?\r\n")
_FIELDS = re.compile(rb"(?:" + _FIELD + rb")*+")
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding):[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)",
    re.IGNORECASE,
)
_LENGTH = re.compile(rb"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;" + _TEXT + rb")?\r\n")
_CHUNK_SIZE_BEGIN = re.compile(rb"[0-9A-Fa-f]{1,16}(?:[ \t]*(?:;" + _TEXT + rb")?\r?)?")
_ANSWER_BEGIN = b"HTTP/1."
_LINE_END = b"\r\n"
_BODILESS_STATUSES = frozenset({204, 304})
_SWITCHING_PROTOCOLS = 101  # no request asks for it


class FramingError(Enum):
    """How the bytes of an answer break the protocol."""

    STATUS_LINE = "malformed status line"
    FIELD = "malformed header field"
    HEAD_TOO_LARGE = "head too large"
    INTERIM = "too many interim answers"
    LENGTH = "no usable length of the body"
    CHUNK = "malformed chunk"
    TRAILER = "malformed trailer"


# Parts of an answer. Members of an Enum take longer to look up than to compare.
_HEAD = 0
_CONTENT = 1  # of the announced length
_CHUNKS = 2
_CHUNK = 3
_CHUNK_END = 4
_TRAILERS = 5
_UNTIL_CLOSE = 6
_ENDED = 7


class AnswerFramer:
    """Checks the bytes of one answer before they are parsed.

    Args:
        is_bodiless: Whether the request's method allows no body in the answer.
        max_head_bytes: Size of the head beyond which it counts as malformed.

    Attributes:
        has_excess: Whether bytes followed the end of the answer; they are dropped.
    """

    __slots__ = (
        "_checked",
        "_held",
        "_interim_answers",
        "_is_bodiless",
        "_max_head_bytes",
        "_part",
        "_remaining",
        "_status",
        "_version",
        "has_excess",
    )

    def __init__(
        self, *, is_bodiless: bool = False, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        self.has_excess = False
        self._is_bodiless = is_bodiless
        self._max_head_bytes = max_head_bytes
        self._part = _HEAD
        self._held = b""  # of a head, a line or trailers that are not complete
        self._checked = 0  # of the bytes held
        self._interim_answers = 0
        self._remaining = 0  # of a body or chunk
        self._status = 0
        self._version = b""

    def feed(self, data: bytes) -> bytes | FramingError:
        """Check further bytes.

        Args:
            data: What has arrived.

        Returns:
            The bytes to parse now; a head only once it is complete.
        """
        if self._held:
            data, self._held = self._held + data, b""
        at = 0
        while at < len(data):
            end = self._check(data, at)
            if isinstance(end, FramingError):
                return end
            if end is None:
                self._held = data[at:]
                return data[:at]
            if self._part == _ENDED:
                self.has_excess |= end < len(data)
                return data[:end]
            at = end
        return data

    def _check(self, data: bytes, at: int) -> int | FramingError | None:
        """Check the next part of an answer.

        Returns:
            Where it ends, or None if it has to be complete and is not.
        """
        part = self._part
        if part == _CHUNKS:
            return self._check_chunks(data, at)
        if part == _HEAD:
            return self._check_head(data, at)
        if part in (_CONTENT, _CHUNK):
            return self._skip_content(data, at)
        if part == _CHUNK_END:
            return self._check_chunk_end(data, at)
        if part == _TRAILERS:
            return self._check_trailers(data, at)
        return len(data) if part == _UNTIL_CLOSE else at

    def _check_head(self, data: bytes, at: int) -> int | FramingError | None:
        if not self._checked:
            line = _STATUS_LINE.match(data, at)
            if line is None:
                return self._await_status_line(data, at)
            self._version, self._status = line[1], int(line[2])
            self._checked = line.end() - at
        end = self._check_fields(data, at, self._max_head_bytes)
        if end is None and len(data) - at > self._max_head_bytes:
            return FramingError.HEAD_TOO_LARGE
        if not isinstance(end, int):
            return end
        self._max_head_bytes -= end - at
        # The line end before the fields shows where a name begins.
        framing = _FRAMING_FIELD.findall(data, at, end)
        return self._begin_body(framing) or end

    def _await_status_line(self, data: bytes, at: int) -> FramingError | None:
        begin = data[at : at + len(_ANSWER_BEGIN)]
        is_line = b"\n" in data[at:]
        if is_line or not _ANSWER_BEGIN.startswith(begin):
            return FramingError.STATUS_LINE
        if len(data) - at > self._max_head_bytes:
            return FramingError.HEAD_TOO_LARGE
        return None

    def _check_fields(
        self, data: bytes, at: int, max_bytes: int
    ) -> int | FramingError | None:
        """Check lines from ``_checked`` on; return the end of the blank line."""
        fields = _FIELDS.match(data, at + self._checked)
        lines_end = fields.end() if fields is not None else at
        if data.startswith(_LINE_END, lines_end):
            self._checked = 0
            end = lines_end + len(_LINE_END)
            return end if end - at <= max_bytes else FramingError.HEAD_TOO_LARGE
        if data.find(b"\n", lines_end) >= 0:
            return FramingError.FIELD
        self._checked = lines_end - at
        return None

    def _begin_body(self, framing: list[tuple[bytes, bytes]]) -> FramingError | None:
        """Take what the head says about the body."""
        if self._status < 200:
            return self._await_final_answer(framing)
        part = _UNTIL_CLOSE
        if framing:
            name, value = framing[0]
            if len(framing) > 1:
                return FramingError.LENGTH
            if name[:1] in b"Tt":
                if self._version == b"0" or value.lower() != b"chunked":
                    return FramingError.LENGTH
                part = _CHUNKS
            elif not _LENGTH.fullmatch(value):
                return FramingError.LENGTH
            else:
                self._remaining = int(value)
                part = _CONTENT if self._remaining else _ENDED
        if self._is_bodiless or self._status in _BODILESS_STATUSES:
            part = _ENDED
        self._part = part
        return None

    def _await_final_answer(
        self, framing: list[tuple[bytes, bytes]]
    ) -> FramingError | None:
        """Expect another head behind an interim answer, which has no body."""
        if self._status == _SWITCHING_PROTOCOLS:
            return FramingError.STATUS_LINE
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            return FramingError.INTERIM
        return FramingError.LENGTH if framing else None

    def _skip_content(self, data: bytes, at: int) -> int:
        end = min(at + self._remaining, len(data))
        self._remaining -= end - at
        if not self._remaining:
            is_chunk = self._part == _CHUNK
            self._part = _CHUNK_END if is_chunk else _ENDED
        return end

    def _check_chunks(self, data: bytes, at: int) -> int | FramingError | None:
        """Check the chunks that are complete, or else the first line of one."""
        begin = at
        while line := _CHUNK_SIZE.match(data, at):
            if line.end() - at > MAX_LINE_BYTES:
                return FramingError.CHUNK
            size = int(line[1], 16)
            end = line.end() + size
            if not size or data[end : end + len(_LINE_END)] != _LINE_END:
                self._remaining = size
                self._part = _CHUNK if size else _TRAILERS
                return line.end()
            at = end + len(_LINE_END)
        if at > begin:
            return at
        rest = data[at : at + MAX_LINE_BYTES + 1]
        if len(rest) > MAX_LINE_BYTES or not _CHUNK_SIZE_BEGIN.fullmatch(rest):
            return FramingError.CHUNK
        return None

    def _check_chunk_end(self, data: bytes, at: int) -> int | FramingError | None:
        if data.startswith(_LINE_END, at):
            self._part = _CHUNKS
            return at + len(_LINE_END)
        return None if data[at:] == _LINE_END[:1] else FramingError.CHUNK

    def _check_trailers(self, data: bytes, at: int) -> int | FramingError | None:
        end = self._check_fields(data, at, MAX_LINE_BYTES)
        if end is None and len(data) - at <= MAX_LINE_BYTES:
            return None
        if not isinstance(end, int):
            return FramingError.TRAILER
        self._part = _ENDED
        return end
