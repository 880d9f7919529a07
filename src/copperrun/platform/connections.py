"""Connections of callers: which of them are idle, and when those close."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from copperrun.adapters.listener import HEAD_TIMEOUT_ANSWER
from copperrun.adapters.listener import HEAD_TOO_LARGE_ANSWER
from copperrun.adapters.listener import BoundedConnection
from copperrun.adapters.turns import Turns
from copperrun.admission.buffers import SMALL_HEAD_BYTES
from copperrun.admission.buffers import Measure
from copperrun.admission.buffers import head_cost
from copperrun.platform.heads import MAX_PARSED_LINES
from copperrun.platform.heads import MIN_HEADER_BYTES
from copperrun.platform.heads import compact_head
from copperrun.platform.readers import MEMORY_RETRY_MS
from copperrun.platform.readers import CallerBuffers
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import CallerLimits

CHECK_INTERVAL_MS = 500
FILE_DESCRIPTORS = 200  # of a process's descriptors, which are no sockets
# Listeners, the store, sides, other entries; on a machine of few descriptors half of
# its sockets at most.
OWN_SOCKETS = 64
MIN_CALLER_SOCKETS = 16  # for callers and their servers, whatever the machine states
# aiohttp's own idle timeout is fixed when a connection opens, so it is not used.
UNUSED_KEEPALIVE_S = 7 * 86_400

# A request that was not parsed has not run.
FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d.000\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
) % (MEMORY_RETRY_MS // 1000)

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)

RequestCallback = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class IdleTimeout:
    """The idle timeout that callers know; they learn a lower one with a delay."""

    def __init__(self, lowering_delay_ms: int) -> None:
        self._lowering_delay_ms = lowering_delay_ms
        self._value_ms = 0
        self._target_ms = 0
        self._target_since_ms = 0

    def update(self, target_ms: int, now_ms: int) -> int:
        """Return the timeout, given the one in the newest configuration."""
        if target_ms != self._target_ms:
            self._target_ms, self._target_since_ms = target_ms, now_ms
        waited_ms = now_ms - self._target_since_ms
        if target_ms > self._value_ms or waited_ms >= self._lowering_delay_ms:
            self._value_ms = target_ms
        return self._value_ms


class CallerConnection(BoundedConnection):
    """A connection that knows whether a request has begun on it."""

    too_large_answer = HEAD_TOO_LARGE_ANSWER
    __slots__ = (
        "_buffers",
        "_caller_server",
        "_counted_held_bytes",
        "_head_cost",
        "_head_since_ms",
        "_idle_since_ms",
        "_idle_timeout_ms",
        "_sending",
        "_timers",
        "_written_bytes",
    )

    def __init__(
        self,
        server: CallerServer,
        timers: Timers,
        buffers: CallerBuffers | None = None,
        *,
        max_head_bytes: int,
        **options: Any,
    ) -> None:
        self._head_since_ms: int | None = None
        self._caller_server = server
        self._head_cost = 0  # of the request that is handled
        self._counted_held_bytes = 0
        self._timers = timers
        super().__init__(
            server,
            max_head_bytes=max_head_bytes,
            max_headers=max_head_bytes // MIN_HEADER_BYTES,
            **options,
        )
        self._buffers = buffers
        # aiohttp forgets the transport of a connection that it closes, which may go on
        # to hold unread bytes.
        self._sending: asyncio.Transport | None = None
        self._written_bytes = 0
        self._idle_since_ms: int | None = None
        self._idle_timeout_ms = 0

    @property
    def is_idle(self) -> bool:
        """Whether the last answer has been sent and no part of a request arrived."""
        return (
            self.awaits_request
            and self._head_since_ms is None
            and not self._has_unsent_bytes
            and not self._has_unread_bytes
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set how much of an answer may wait for its caller."""
        super().connection_made(transport)
        if self._buffers is None or self.transport is None:
            return
        self._sending = self.transport
        bound = self._buffers.answer_bound
        self.transport.set_write_buffer_limits(high=bound, low=bound // 2)

    def begin_write(self, size: int) -> None:
        """Record that an answer grows; before the bytes are written."""
        self._written_bytes += size

    def end_write(self) -> None:
        """Record what the caller has left unread."""
        sending = self._sending
        if (
            self._buffers is not None
            and sending is not None
            and sending.get_write_buffer_size()
        ):
            self._buffers.record(self)

    def pause_writing(self) -> None:
        """Record an answer at its bound, whose writer is about to wait."""
        super().pause_writing()
        self.end_write()

    def measure(self) -> Measure:
        """Return what is held for the caller."""
        if self._sending is None:
            return Measure(0, self._written_bytes)
        held = self._sending.get_write_buffer_size()
        return Measure(held, self._written_bytes, self.writing_paused)

    def cut(self) -> None:
        """Reset the connection, so that a partial answer does not look complete."""
        if self._sending is None:
            return
        sock = self._sending.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        self._sending.abort()

    def data_received(self, data: bytes) -> None:
        """Take data, and note the begin of a head."""
        self._idle_since_ms = None
        super().data_received(data)

    def held_changed(self) -> None:
        """Note the begin of a head, and count what is held."""
        self._note_head()
        size = len(self._held)
        if self._buffers is None or size == self._counted_held_bytes:
            return
        is_small = size <= SMALL_HEAD_BYTES
        fits = self._buffers.hold_head(
            size - self._counted_held_bytes, is_small=is_small
        )
        self._counted_held_bytes = size
        if not fits and self.awaits_request:
            self._refuse_unread()

    def pass_head(self, head: bytes) -> None:
        """Let the library parse a head, or a short form of one of many lines."""
        if not self._caller_server.may_begin(self):
            self._refuse_unread()
            return
        lines = head.count(b"\n")
        if self._buffers is not None:
            cost = head_cost(len(head), min(lines, MAX_PARSED_LINES))
            is_small = len(head) <= SMALL_HEAD_BYTES
            self._head_cost = cost
            if not self._buffers.hold_head(cost, is_small=is_small):
                self._refuse_unread()
                return
        compact = None
        if lines > MAX_PARSED_LINES:
            compact = compact_head(head, self, self._max_head_bytes)
        if compact is None:
            super().pass_head(head)
            return
        super().pass_head(compact.head)
        message, payload = self._messages[-1]
        if isinstance(message, RawRequestMessage):
            # The ingress takes them as they are.
            headers: Any = compact.headers
            self._messages[-1] = message._replace(raw_headers=headers), payload

    def request_awaited(self) -> None:
        """Note that a request was answered; the next head may have begun."""
        self._release_head()
        super().request_awaited()
        self._note_head()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what was held for the caller."""
        self._sending = None
        super().connection_lost(exc)
        self._release_head()
        if self._buffers is not None:
            self._buffers.forget(self)
            self._buffers.hold_head(-self._counted_held_bytes, is_small=True)
            self._counted_held_bytes = 0

    @property
    def head_since_ms(self) -> int | None:
        """When a head began that is not complete; None for none."""
        return None if self._waits_turn else self._head_since_ms

    def close_expired(self, idle_timeout_ms: int, head_timeout_ms: int) -> bool:
        """Close the connection if it was idle too long, or a head takes too long.

        Returns:
            Whether it was idle too long.
        """
        now_ms = self._timers.now_ms()
        if self._head_since_ms is not None:
            since_ms = self.head_since_ms
            if since_ms is not None and now_ms - since_ms >= head_timeout_ms:
                self.refuse_head(HEAD_TIMEOUT_ANSWER)
            return False
        if not self.awaits_request:
            return False
        if self._idle_since_ms is None:
            self._idle_since_ms = now_ms
            self._idle_timeout_ms = 0
        # The greatest value in force in the idle time is the one its caller may know.
        self._idle_timeout_ms = max(self._idle_timeout_ms, idle_timeout_ms)
        if now_ms - self._idle_since_ms < self._idle_timeout_ms:
            return False
        if self._has_unread_bytes:
            return False
        self.force_close()
        return True

    def _note_head(self) -> None:
        """Note whether a head has begun and is not complete."""
        if not (self.awaits_request and self._held):
            self._head_since_ms = None
        elif self._head_since_ms is None:
            self._head_since_ms = self._timers.now_ms()

    def _release_head(self) -> None:
        if self._buffers is not None and self._head_cost:
            self._buffers.hold_head(-self._head_cost, is_small=True)
            self._head_cost = 0

    def _refuse_unread(self) -> None:
        """Refuse a request that has not been parsed."""
        if self._buffers is not None:
            self._buffers.record_refused_head()
        self.refuse_head(FULL_ANSWER)

    @property
    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether the socket has bytes that the event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        sock = self.transport.get_extra_info("socket")
        count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", count)[0])


class CallerServer(web.Server):
    """HTTP server whose limits follow the configuration.

    Args:
        handler: Answers one request.
        limits: Returns the limits in force; None before the first configuration.
        timers: Timer service.
        lowering_delay_ms: Time in which callers learn of a lower idle timeout.
        buffers: Bound on what is held for callers; None for none.
        descriptors: Descriptors that the process may have open; 0 for no bound.
        server_connections: Returns how many connections to servers are open.
    """

    def __init__(
        self,
        handler: RequestCallback,
        limits: Callable[[], CallerLimits | None],
        timers: Timers,
        lowering_delay_ms: int,
        buffers: CallerBuffers | None = None,
        descriptors: int = 0,
        server_connections: Callable[[], int] = int,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._max_sockets = _caller_sockets(descriptors) if descriptors else 0
        self._server_connections = server_connections
        self._limits = limits
        self._timers = timers
        self._idle_timeout = IdleTimeout(lowering_delay_ms)
        self._buffers = buffers
        self._turns = Turns()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        limits = self._limits()
        if limits is not None:
            self._current_idle_timeout_ms(limits)
        limits = limits or CallerLimits()
        return CallerConnection(
            self,
            self._timers,
            self._buffers,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=UNUSED_KEEPALIVE_S,
            max_head_bytes=limits.header_bytes,
            turns=self._turns,
            auto_decompress=False,
        )

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Keep the number of sockets within what the process may have open."""
        super().connection_made(handler, transport)
        if not self._make_room(handler, 0):
            logger.info("new connection closed for want of sockets")
            handler.force_close()

    def may_begin(self, conn: CallerConnection) -> bool:
        """Return whether there is a socket for a request, which its server needs."""
        return self._make_room(conn, 1)

    def _make_room(self, newest: RequestHandler, sockets: int) -> bool:
        """Close a connection if there may be too many sockets.

        That is the oldest idle one, or the one whose head has been incomplete for
        longest.

        Returns:
            False if there is none, so that the newest has to give way.
        """
        if 2 * len(self._connections) < self._max_sockets or not self._max_sockets:
            return True
        conns = [conn for conn in self.caller_connections if conn.transport is not None]
        others = [conn for conn in conns if conn is not newest]
        busy = sum(not conn.awaits_request for conn in others)
        in_use = len(conns) + max(busy + sockets, self._server_connections())
        if in_use <= self._max_sockets:
            return True
        idle = next((conn for conn in others if conn.is_idle), None)
        if idle is not None:
            logger.info("idle connection closed for want of sockets", open=len(conns))
            idle.force_close()
            return True
        began = [conn for conn in others if conn.head_since_ms is not None]
        if not began:
            return False
        oldest = min(began, key=lambda conn: conn.head_since_ms or 0)
        oldest.refuse_head(HEAD_TIMEOUT_ANSWER)
        return True

    @property
    def caller_connections(self) -> list[CallerConnection]:
        """The open connections."""
        return [conn for conn in self.connections if isinstance(conn, CallerConnection)]

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun on any connection."""
        return not all(conn.is_idle for conn in self.caller_connections)

    def close_idle(self) -> None:
        """Close the idle connections."""
        idle = [conn for conn in self.caller_connections if conn.is_idle]
        for conn in idle:
            conn.force_close()
        kept = len(self.connections) - len(idle)
        logger.info("idle connections closed", closed=len(idle), kept=kept)

    async def close_expired(self) -> None:
        """Close the connections whose time is over; called every few moments."""
        limits = self._limits()
        if limits is None:
            return
        idle_timeout_ms = self._current_idle_timeout_ms(limits)
        if self._buffers is not None:
            self._buffers.check(idle_timeout_ms)
        closed = sum(
            conn.close_expired(idle_timeout_ms, limits.header_timeout_ms)
            for conn in self.caller_connections
        )
        if closed:
            logger.info(
                "idle connections closed", closed=closed, timeout_ms=idle_timeout_ms
            )

    def _current_idle_timeout_ms(self, limits: CallerLimits) -> int:
        return self._idle_timeout.update(limits.idle_timeout_ms, self._timers.now_ms())


def _caller_sockets(descriptors: int) -> int:
    """Return how many sockets are for callers and their servers."""
    sockets = descriptors - FILE_DESCRIPTORS
    return max(sockets - min(OWN_SOCKETS, sockets // 2), MIN_CALLER_SOCKETS)
