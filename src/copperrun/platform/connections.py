"""Connections of callers, and which of them are idle."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from copperrun.routing.catalog import CallerLimits

RequestCallback = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(RequestHandler):
    """A connection that knows whether a request has begun on it."""

    __slots__ = ("_has_partial_head",)

    def __init__(self, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._has_partial_head = False

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request has arrived since the last answer."""
        return (
            self._awaits_request
            and not self._has_partial_head
            and not self._has_unread_bytes
        )

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser and note the begin of a head."""
        super().data_received(data)
        if not self._awaits_request:
            self._has_partial_head = False
        elif data.strip(b"\r\n"):
            self._has_partial_head = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Log requests that were read and will not be answered."""
        if self._messages:
            logger.info("connection closed with unread requests", detail=repr(exc))
        super().connection_lost(exc)

    @property
    def _awaits_request(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    @property
    def _has_unread_bytes(self) -> bool:
        """Whether the socket has bytes that the event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        sock = self.transport.get_extra_info("socket")
        count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", count)[0])


class CallerServer(web.Server):
    """HTTP server that can close its idle connections."""

    def __init__(
        self, handler: RequestCallback, limits: Callable[[], CallerLimits]
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        limits = self._limits()
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=limits.idle_timeout_ms / 1000,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )

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
