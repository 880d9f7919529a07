"""Connections to servers, and which of them a request may use again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from loguru import logger

from copperrun.adapters.framing import MAX_HEAD_BYTES
from copperrun.adapters.framing import AnswerFramer
from copperrun.adapters.framing import FramingError
from copperrun.ports.timers import Timers

HTTP_KEEPALIVE_S = 30.0
# A server begins to count when it has sent its answer.
IDLE_LIMIT_MARGIN_MS = 100
MAX_IDLE_LIMITS = 10_000  # addresses of servers; they announce theirs again
MAX_REQUESTS = 500  # of one connection, whose ids it keeps
HASH_BYTES = 8
READ_BYTES = 32 << 10  # read of an answer at once
# The library stops reading an answer that nobody takes at twice this size.
ANSWER_BUFFER_BYTES = 16 << 10

# Shared by all connections; what is read into it is copied before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class Exchange:
    """One request and its answer, as far as the choice of a connection goes.

    Attributes:
        request_id: Sent at most once on a connection; empty for a request without id.
        is_separate: Whether it needs a connection that no other request uses.
        forwarded: Returns the headers to send beside the request's own, if any.
        is_reused: Whether its connection has carried other requests before.
    """

    def __init__(
        self,
        request_id: str = "",
        *,
        is_separate: bool = False,
        forwarded: Callable[[], Iterable[tuple[str, str]]] | None = None,
    ) -> None:
        self.request_id = request_id
        self.is_separate = is_separate
        self.forwarded = forwarded
        self.is_reused = False

    def is_answered_by(self, request_id: str | None) -> bool:
        """Return whether an answer with that id can only be the one to this request.

        One without an id is, where its connection has carried nothing else.
        """
        if request_id is None:
            return not self.is_reused
        return request_id == self.request_id


_CURRENT: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


@contextmanager
def exchanging(exchange: Exchange) -> Iterator[Exchange]:
    """Choose connections for ``exchange`` in the requests of this block."""
    token = _CURRENT.set(exchange)
    try:
        yield exchange
    finally:
        _CURRENT.reset(token)


class ServerRequest(aiohttp.ClientRequest):
    """A request that has the headers to forward only while its head is written.

    The HTTP client holds several copies of its headers until the answer has come.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._exchange = _CURRENT.get()

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Write the head, and begin to write the body."""
        if self._exchange is None or self._exchange.forwarded is None:
            return await super().send(conn)
        own = self.headers.copy()
        for name, value in self._exchange.forwarded():
            self.headers.add(name, value)
        try:
            return await super().send(conn)
        finally:
            # The same object, which the answer refers to.
            self.headers.clear()
            self.headers.update(own)


class ServerConnection(ResponseHandler, asyncio.BufferedProtocol):
    """A connection that ends when its server sends what is no answer to a request.

    Attributes:
        is_idle: Whether it waits for its next request.
        idle_since_ms: When it last began to wait.
        is_separate: Whether it serves one request only.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.idle_since_ms = 0
        self.is_separate = False
        self._framer = AnswerFramer()
        # Hashes of the ids; bytes are searched many times faster than numbers, and a
        # match by chance costs no more than a new connection.
        self._id_hashes = bytearray()

    @property
    def is_reused(self) -> bool:
        """Whether it has carried more than one request."""
        return len(self._id_hashes) > HASH_BYTES

    @property
    def is_used_up(self) -> bool:
        """Whether it may carry no further request."""
        return self.is_separate or len(self._id_hashes) >= MAX_REQUESTS * HASH_BYTES

    def carry(self, request_id: str) -> bool:
        """Record a request to send, unless one with its id has been sent before.

        A late copy of the answer to that one could not be told from its answer.
        """
        id_hash = hash(request_id).to_bytes(HASH_BYTES, "little", signed=True)
        if request_id and id_hash in self._id_hashes:
            return False
        self._id_hashes += id_hash
        return True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return room for what may be read at once."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what has been read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def set_response_params(
        self,
        *,
        skip_payload: bool = False,
        max_field_size: int = 0,
        **options: Any,
    ) -> None:
        """Expect the answer to another request."""
        self._framer = AnswerFramer(
            is_bodiless=skip_payload, max_head_bytes=MAX_HEAD_BYTES + max_field_size
        )
        super().set_response_params(
            skip_payload=skip_payload, max_field_size=max_field_size, **options
        )

    def data_received(self, data: bytes) -> None:
        """Read a part of an answer; close the connection when none is due."""
        if self.is_idle and data:
            self._close_idle()
            return
        if not data or self._parser is None:
            # aiohttp resumes its parser with no data, and holds what comes before it
            # has one.
            super().data_received(data)
            return
        checked = self._framer.feed(data)
        if isinstance(checked, FramingError):
            self._reject(checked)
            return
        if self._framer.has_excess:
            self.force_close()
        if checked:
            super().data_received(checked)
        # The answer may have ended within these bytes.
        if self.is_idle and self._framer.has_excess:
            self._close_idle()

    def _close_idle(self) -> None:
        logger.warning("connection closed: the server sent bytes while it was idle")
        self.close()

    def _reject(self, error: FramingError) -> None:
        """End an answer that breaks the protocol, and the connection."""
        logger.warning("connection closed: malformed answer", reason=error.value)
        payload, transport = self._payload, self.transport
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(error.value))
        self.set_exception(HttpProcessingError(code=400, message=error.value))
        if transport is not None:
            transport.close()


class ServerConnector(aiohttp.TCPConnector):
    """Uses no connection again that may bring another answer than the request's.

    Nor one that its server has announced to close.
    """

    def __init__(self, timers: Timers, **options: Any) -> None:
        super().__init__(keepalive_timeout=HTTP_KEEPALIVE_S, **options)
        # aiohttp has no public setting for the class of its connections.
        self._factory = partial(ServerConnection, self._loop)  # type: ignore[assignment]
        self._timers = timers
        self._idle_limit_ms: dict[tuple[str, int | None], int] = {}

    def record_idle_limit(self, host: str, port: int | None, limit_ms: int) -> None:
        """Record for how long a server keeps connections open that are idle."""
        if len(self._idle_limit_ms) >= MAX_IDLE_LIMITS:
            self._idle_limit_ms.clear()
        self._idle_limit_ms[host, port] = limit_ms - IDLE_LIMIT_MARGIN_MS

    @property
    def open_connections(self) -> int:
        """Number of connections, in use or idle."""
        return len(self._acquired) + sum(map(len, self._conns.values()))

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return a connection for the current exchange."""
        exchange = _CURRENT.get() or Exchange()
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol: Any = conn.protocol
            protocol.is_separate = exchange.is_separate
            if protocol.carry(exchange.request_id):
                exchange.is_reused = protocol.is_reused
                return conn
            conn.close()

    async def _get(self, key: Any, traces: Any) -> Any:
        exchange = _CURRENT.get()
        if exchange is not None and exchange.is_separate:
            return None
        limit_ms = self._idle_limit_ms.get((key.host, key.port))
        idle = self._conns.get(key)
        if limit_ms is not None and idle:
            # aiohttp has one limit for all servers; the oldest connection goes first.
            oldest_ms = self._timers.now_ms() - limit_ms
            while idle and _idle_since_ms(idle[0]) < oldest_ms:
                idle.popleft()[0].close()
        conn: Any = await super()._get(key, traces)
        if conn is not None:
            conn.protocol.is_idle = False
        return conn

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        is_used_up = protocol.is_used_up
        super()._release(key, protocol, should_close=should_close or is_used_up)
        protocol.is_idle = True
        protocol.idle_since_ms = self._timers.now_ms()


def _idle_since_ms(pooled: Any) -> int:
    """Return since when a connection of aiohttp's pool waits."""
    conn: ServerConnection = pooled[0]
    return conn.idle_since_ms
