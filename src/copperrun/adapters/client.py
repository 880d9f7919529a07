"""HTTP client shared by the adapters."""

from __future__ import annotations

import json
import socket
import struct
from collections.abc import Mapping
from contextlib import AbstractAsyncContextManager
from contextlib import nullcontext
from enum import Enum
from functools import lru_cache
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

import aiohttp
from yarl import URL

from copperrun.adapters.bodies import MAX_REPLY_BYTES
from copperrun.adapters.bodies import read_body
from copperrun.adapters.connector import ANSWER_BUFFER_BYTES
from copperrun.adapters.connector import Exchange
from copperrun.adapters.connector import ServerConnector
from copperrun.adapters.connector import ServerRequest
from copperrun.adapters.connector import exchanging
from copperrun.adapters.timers import SystemTimers
from copperrun.decoding import DecodeError
from copperrun.decoding import parse_json
from copperrun.ports.timers import Timers

MAX_CONNECTIONS = 4_096
TCP_KEEPALIVE_IDLE_S = 2  # with the probes, an unreachable peer is noticed in 4 s
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 4_000  # longest time that sent data may stay unacknowledged
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s: reset on close
# Identifies a call; a server that returns it may be called over kept connections.
CALL_ID_HEADER = "X-Copperrun-Call-Id"
JSON_HEADERS = {"Content-Type": "application/json"}


class HttpFailureReason(Enum):
    """How far a failed exchange got."""

    NOT_SENT = "not_sent"
    ANSWER_LOST = "answer_lost"


class HttpFailure(NamedTuple):
    """An exchange without a complete response.

    Attributes:
        reason: Whether the request may have reached the server.
        detail: One line for the operator's log.
        is_refused: Whether the host refused the connection: no process listens there.
    """

    reason: HttpFailureReason
    detail: str
    is_refused: bool = False


class HttpReply(NamedTuple):
    """A response whose body has been read."""

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})

    def json(self) -> Any:
        """Return the parsed body, or None when it is not JSON."""
        value = parse_json(self.body)
        return None if isinstance(value, DecodeError) else value


def open_session() -> aiohttp.ClientSession:
    """Return a session without total time limits; callers set their own."""
    session = aiohttp.ClientSession(
        connector=ServerConnector(
            SystemTimers(), limit=MAX_CONNECTIONS, socket_factory=_open_socket
        ),
        timeout=aiohttp.ClientTimeout(total=None),
        request_class=ServerRequest,
        read_bufsize=ANSWER_BUFFER_BYTES,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )
    # aiohttp retries a GET whose connection breaks and has no public setting to turn
    # that off. Only callers know which requests are safe to retry.
    session._retry_connection = False
    return session


def _open_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Open a socket that detects unreachable peers and is reset on close.

    The reset discards a request that is still in the send buffer, for example during a
    network partition, so that it is not delivered after its caller has left.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock


class HttpClient:
    """Requests to one kind of server; failures are returned, not raised."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        timers: Timers,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self._session = session
        self._timers = timers
        self._headers = dict(headers or {})
        self._echoing: set[tuple[str | None, int | None]] = set()

    async def call(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_ms: int | None = None,
        connect_ms: int | None = None,
        is_separate: bool = False,
        call_id: str = "",
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> HttpReply | HttpFailure:
        """Send a request and read the complete response.

        Args:
            method: HTTP method.
            url: Absolute URL.
            body: Body of the request.
            headers: Headers beside those of all requests.
            timeout_ms: Time for all of it; None for no limit.
            connect_ms: Time for a new connection; None for the system's limit.
            is_separate: Whether it needs a connection of its own: where an answer bears
                no id, only that tells it from a late copy of an earlier one.
            call_id: Unique id to send along, for the same. Once a server has returned
                one, its later calls share connections.
            max_bytes: Size of the response beyond which it counts as lost.
        """
        limit: AbstractAsyncContextManager[Any] = nullcontext()
        if timeout_ms is not None:
            limit = self._timers.timeout_ms(timeout_ms)
        try:
            async with limit:
                response = await self.open(
                    method,
                    url,
                    body=body,
                    headers=headers,
                    connect_ms=connect_ms,
                    is_separate=is_separate,
                    call_id=call_id,
                )
                return await _read_reply(method, url, response, max_bytes)
        except TimeoutError:
            detail = f"{method} {url}: no response within {timeout_ms} ms"
            return HttpFailure(HttpFailureReason.ANSWER_LOST, detail)

    async def call_json(
        self,
        method: str,
        url: str,
        value: Any = None,
        *,
        headers: Mapping[str, str] = JSON_HEADERS,
        timeout_ms: int | None = None,
        is_separate: bool = False,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> HttpReply | HttpFailure:
        """Send a JSON value and read the complete response."""
        body = None if value is None else json.dumps(value).encode()
        return await self.call(
            method,
            url,
            body=body,
            headers=headers,
            timeout_ms=timeout_ms,
            is_separate=is_separate,
            max_bytes=max_bytes,
        )

    async def open(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        connect_ms: int | None = None,
        is_separate: bool = False,
        call_id: str = "",
    ) -> aiohttp.ClientResponse | HttpFailure:
        """Send a request and return the response with its body unread."""
        parsed = _parse_url(url)
        address = parsed.host, parsed.port
        if call_id:
            headers = {**(headers or {}), CALL_ID_HEADER: call_id}
            is_separate = is_separate or address not in self._echoing
        exchange = Exchange(call_id, is_separate=is_separate)
        try:
            with exchanging(exchange):
                response = await self._session.request(
                    method,
                    parsed,
                    data=body,
                    headers=self._merge_headers(headers),
                    timeout=_timeout(connect_ms),
                )
        except aiohttp.ConnectionTimeoutError as exc:
            return HttpFailure(HttpFailureReason.NOT_SENT, f"{method} {url}: {exc}")
        except aiohttp.ClientConnectorError as exc:
            is_refused = isinstance(exc.os_error, ConnectionRefusedError)
            detail = f"{method} {url}: {exc}"
            return HttpFailure(HttpFailureReason.NOT_SENT, detail, is_refused)
        except (aiohttp.ClientError, OSError) as exc:
            return _answer_lost(method, url, exc)
        if not call_id:
            return response
        answered_id = response.headers.get(CALL_ID_HEADER)
        if not exchange.is_answered_by(answered_id):
            response.close()
            self._echoing.discard(address)
            detail = f"{method} {url}: answer of another call"
            return HttpFailure(HttpFailureReason.ANSWER_LOST, detail)
        if answered_id is not None:
            self._echoing.add(address)
        return response

    def _merge_headers(self, headers: Mapping[str, str] | None) -> Mapping[str, str]:
        if not headers:
            return self._headers
        return {**self._headers, **headers}


async def _read_reply(
    method: str,
    url: str,
    response: aiohttp.ClientResponse | HttpFailure,
    max_bytes: int,
) -> HttpReply | HttpFailure:
    """Read the body of a response, if there is one."""
    if isinstance(response, HttpFailure):
        return response
    try:
        async with response:
            data = await read_body(response, max_bytes)
    except (aiohttp.ClientError, OSError) as exc:
        return _answer_lost(method, url, exc)
    return HttpReply(response.status, response.content_type, data, response.headers)


@lru_cache
def _timeout(connect_ms: int | None) -> aiohttp.ClientTimeout:
    seconds = None if connect_ms is None else connect_ms / 1000
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds)


@lru_cache(maxsize=MAX_CONNECTIONS)
def _parse_url(url: str) -> URL:
    """Parse a URL once; requests use few distinct URLs."""
    return URL(url, encoded=True)


def _answer_lost(method: str, url: str, exc: Exception) -> HttpFailure:
    return HttpFailure(HttpFailureReason.ANSWER_LOST, f"{method} {url}: {exc!r}")
