"""Connections of clients, read one request at a time."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from copperrun.adapters.chunks import ChunkJoiner
from copperrun.adapters.turns import Turns

MAX_HEAD_BYTES = 16 << 10  # of a request at the system's own listeners
READ_BYTES = 64 << 10  # read of a body at once
CHUNK_READ_BYTES = 16 << 10  # the same of one in chunks, each of which has a cost
CHEAP_LINES = 64  # that are read without waiting for a turn
MAX_REASON_CHARACTERS = 200
HEAD_END = b"\r\n\r\n"
_BLANK = b"\r\n"
_CLOSING = b"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
BAD_HEAD_ANSWER = b"HTTP/1.1 400 Bad Request" + _CLOSING
HEAD_TIMEOUT_ANSWER = b"HTTP/1.1 408 Request Timeout" + _CLOSING
HEAD_TOO_LARGE_ANSWER = b"HTTP/1.1 431 Request Header Fields Too Large" + _CLOSING

# Shared by all connections; what is read into it is copied before the next read.
_READ_BUFFER = bytearray(READ_BYTES)


class BoundedConnection(RequestHandler, asyncio.BufferedProtocol):
    """A connection that holds what has arrived as bytes until it is its turn.

    The HTTP library parses what it reads at once, and a parsed line costs many times
    its bytes. So a head goes to its parser whole, and only once the answer before it
    has been sent. Until then it is held, up to the limit of a head, and then nothing
    more is read.

    Attributes:
        too_large_answer: Sent to a head beyond the limit.
    """

    too_large_answer = BAD_HEAD_ANSWER
    __slots__ = (
        "_body_bytes",
        "_chunks",
        "_held",
        "_is_garbled",
        "_max_head_bytes",
        "_next_request",
        "_payload",
        "_turns",
        "_waits_turn",
    )

    def __init__(
        self,
        server: Any,
        *,
        max_head_bytes: int,
        turns: Turns | None = None,
        **options: Any,
    ) -> None:
        self._max_head_bytes = max_head_bytes
        self._turns = turns or Turns()
        self._waits_turn = False
        self._held = bytearray()
        self._payload: Any = None  # body of the request that was read last
        self._body_bytes = 0  # still to come, where the head tells
        self._chunks: ChunkJoiner | None = None
        self._is_garbled = False
        self._next_request: asyncio.Future[None] | None = None
        super().__init__(
            server,
            max_line_size=max_head_bytes,
            max_field_size=max_head_bytes,
            **options,
        )

    # aiohttp has no other sign that it waits for the next request.
    @property
    def _waiter(self) -> asyncio.Future[None] | None:
        return self._next_request

    @_waiter.setter
    def _waiter(self, fut: asyncio.Future[None] | None) -> None:
        self._next_request = fut
        if fut is not None:
            self.request_awaited()

    def request_awaited(self) -> None:
        """Go on with what was held while a request was handled."""
        if self._held:
            self._loop.call_soon(self._read_on)

    @property
    def awaits_request(self) -> bool:
        """Whether the last request was answered."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_queued_requests(self) -> bool:
        """Whether a further request has arrived while one is handled."""
        return HEAD_END in self._held

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return room for what may be read now."""
        if self._chunks is not None:
            return memoryview(_READ_BUFFER)[:CHUNK_READ_BYTES]
        if self._body_bytes:
            return memoryview(_READ_BUFFER)
        room = 2 * self._max_head_bytes + 1 - len(self._held)
        return memoryview(_READ_BUFFER)[: max(room, 1)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has been read."""
        self.data_received(bytes(memoryview(_READ_BUFFER)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take data of a request, or let the parser go on with what it has."""
        if not data:  # aiohttp resumes its parser with no data
            super().data_received(data)
            return
        if self._force_close or self._close:
            return
        self._held += data
        self._read_on()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Log requests that have arrived and will not be answered."""
        if self._messages or self.has_queued_requests:
            logger.info("connection closed with unread requests", detail=repr(exc))
        self._held.clear()
        super().connection_lost(exc)

    def _read_on(self, *, has_turn: bool = False) -> None:
        """Pass what is held to the parser, as far as it is its turn."""
        while self._held and not self._force_close and not self._waits_turn:
            if self._is_garbled:
                self._held.clear()
            elif self._body_bytes:
                data = self._take(min(self._body_bytes, len(self._held)))
                self._body_bytes -= len(data)
                super().data_received(data)
            elif self._chunks is not None:
                if self._must_wait(len(self._held), has_turn=has_turn):
                    break
                has_turn = False
                if not self._pass_chunks(self._chunks):
                    break
            elif not self.awaits_request:
                break
            else:
                if self._must_wait(self._find_head_end(), has_turn=has_turn):
                    break
                has_turn = False
                if not self._pass_head():
                    break
        self._bound_reading()
        self.held_changed()

    def _must_wait(self, size: int, *, has_turn: bool) -> bool:
        """Wait for a turn if what is held up to ``size`` has many lines."""
        if has_turn or self._held.count(b"\n", 0, max(size, 0)) <= CHEAP_LINES:
            return False
        self._waits_turn = True
        self._turns.wait(self._take_turn)
        return True

    def _take_turn(self) -> None:
        self._waits_turn = False
        self._read_on(has_turn=True)

    def _find_head_end(self) -> int:
        self._drop_blank_lines()
        return self._held.find(HEAD_END)

    def held_changed(self) -> None:
        """Note that more or less may be held than before."""

    def _pass_chunks(self, chunks: ChunkJoiner) -> bool:
        """Pass the chunks that have arrived; return whether to go on."""
        joined = chunks.join(bytes(self._held))
        del self._held[: joined.used]
        if joined.data:
            super().data_received(joined.data)
        if joined.is_malformed:
            self._reject_body()
        if joined.is_last:
            self._chunks = None
        return joined.is_last

    def _reject_body(self) -> None:
        """End a body that is not what its head announced, and the connection."""
        self._is_garbled = True
        self._payload.set_exception(web.RequestPayloadError("malformed chunk"))
        self._payload.feed_eof()
        self.close()

    def _pass_head(self) -> bool:
        """Pass a head if it is complete; return whether to go on."""
        end = self._find_head_end()
        if end < 0:
            if _is_no_head(self._held):
                self.pass_head(self._take(len(self._held)))
                return True
            if self._is_too_large(len(self._held)):
                self.refuse_head(self.too_large_answer)
            return False
        if self._is_too_large(end):
            self.refuse_head(self.too_large_answer)
            return False
        self.pass_head(self._take(end + len(HEAD_END)))
        return True

    def pass_head(self, head: bytes) -> None:
        """Let the library parse a head, and expect the body that it announces."""
        super().data_received(head)
        if not self._messages:
            self.refuse_head(BAD_HEAD_ANSWER)
            return
        message, self._payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._is_garbled = True  # its answer is 400
        elif self._payload.is_eof():
            return
        elif message.chunked:
            self._chunks = ChunkJoiner(self._max_head_bytes)
        else:
            self._body_bytes = int(message.headers["Content-Length"])

    def refuse_head(self, answer: bytes) -> None:
        """Answer a request that is not parsed, and close the connection."""
        status = answer[len(b"HTTP/1.1 ") :].partition(b" ")[0].decode()
        logger.info("connection closed with a head that was not read", status=status)
        if self.transport is not None:
            self.transport.write(answer)
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer an error; one that the client made is no error of this process."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        reason = (message or "malformed request").partition("\n")[0]
        logger.info("malformed request", detail=reason[:MAX_REASON_CHARACTERS])
        response = web.Response(
            status=status, text=f"{reason[:MAX_REASON_CHARACTERS]}\n"
        )
        response.force_close()
        return response

    def _drop_blank_lines(self) -> None:
        """Drop what the protocol allows before a request line."""
        begin = len(self._held) - len(self._held.lstrip(_BLANK))
        del self._held[:begin]

    def _is_too_large(self, size: int) -> bool:
        """Return whether a head, or its part of ``size`` bytes, exceeds the limit.

        That holds for the request line, and for all other lines together.
        """
        first = self._held.find(b"\n", 0, size) + 1
        return max(first, size - first) > self._max_head_bytes

    def _take(self, size: int) -> bytes:
        data = bytes(memoryview(self._held)[:size])
        del self._held[:size]
        return data

    def _bound_reading(self) -> None:
        """Read nothing more while a request is handled and enough is held."""
        is_full = self._waits_turn or len(self._held) > 2 * self._max_head_bytes
        if is_full and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif self._buffer_paused and not is_full:
            self._resume_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        """Do nothing: what is held decides when to read on."""


def _is_no_head(data: bytearray) -> bool:
    """Return whether data surely does not begin a head that the library accepts."""
    if not data[:1].isalpha():
        return bool(data)
    end = data.find(b"\n")
    return end > 0 and data[end - 1 : end] != b"\r"


class BoundedServer(web.Server):
    """HTTP server of one application, whose connections are bounded."""

    def __init__(self, server: web.Server, max_head_bytes: int) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
        self._max_head_bytes = max_head_bytes
        self._turns = Turns()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedConnection(
            self,
            loop=asyncio.get_running_loop(),
            max_head_bytes=self._max_head_bytes,
            turns=self._turns,
            **self._kwargs,
        )


class BoundedRunner(web.AppRunner):
    """Runs an application on bounded connections."""

    async def _make_server(self) -> web.Server:
        return BoundedServer(await super()._make_server(), MAX_HEAD_BYTES)
