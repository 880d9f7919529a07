"""Forwards requests to backend servers and streams their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from contextlib import asynccontextmanager

import aiohttp
from loguru import logger
from yarl import URL

from copperrun.adapters.bodies import MAX_REPORT_BYTES
from copperrun.adapters.bodies import read_body
from copperrun.adapters.connector import Exchange
from copperrun.adapters.connector import ServerConnector
from copperrun.adapters.connector import exchanging
from copperrun.decoding import MALFORMED
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import digits
from copperrun.decoding import finite_number
from copperrun.decoding import whole_number
from copperrun.platform import http_headers
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import BackendError
from copperrun.ports.backends import BackendErrorReason
from copperrun.ports.backends import Execution
from copperrun.routing.servers import ServerRecord

MAX_DETAIL_CHARACTERS = 300
MIN_FIELD_BYTES = 8_190  # of one header of an answer
MAX_PAUSE_MS = 3_600_000  # that a server may ask for
REPORT_PATH = "/report"  # of an engine
BODILESS_STATUSES = frozenset({204, 304})


class BackendAnswer:
    """A backend server's answer whose body is still to be read."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        headers = response.headers
        self._is_framed = (
            response.status in BODILESS_STATUSES
            or response.method == "HEAD"
            or "Content-Length" in headers
            or "chunked" in headers.get("Transfer-Encoding", "").lower()
        )
        # Tells a close by the server from a reset. aiohttp creates the future on first
        # access, which has to come before the connection ends.
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        self._connection_closed = None
        if not self._is_framed and protocol is not None:
            self._connection_closed = protocol.closed
        if self._connection_closed is not None:
            self._connection_closed.add_done_callback(_retrieve_exception)
        self.head = AnswerHead(
            response.status,
            http_headers.end_to_end(response.raw_headers),
            response.content_length,
            _execution(response),
            _retry_after_ms(headers.get(http_headers.RETRY_AFTER, "")),
            headers.get(http_headers.SERVER_LEAVING) == "1",
            not self._is_framed,
            headers.get(http_headers.SERVER_ID, ""),
            headers.get("Content-Type", "").partition(";")[0].strip().lower(),
        )

    async def read(self) -> bytes | BackendError | None:
        """Return the next bytes of the body, None at its end."""
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, OSError, RuntimeError) as exc:
            # A RuntimeError: aiohttp closed the connection over bytes it cannot parse.
            detail = f"body cut: {_describe(exc)}"
            return BackendError(BackendErrorReason.LOST, detail)
        if data:
            return data
        if not self._is_framed and self._was_reset():
            return BackendError(BackendErrorReason.LOST, "body ended by a reset")
        return None

    def close(self) -> None:
        """Close the connection unless the whole body was read."""
        if not self._response.content.is_eof():
            self._response.close()

    def _was_reset(self) -> bool:
        """Return whether a body that ends with its connection was truncated."""
        closed = self._connection_closed
        return closed is None or not closed.done() or closed.exception() is not None


class HttpBackends:
    """Sends requests to backend servers and returns failures as values.

    Args:
        session: HTTP client.
        max_head_bytes: Returns the limit on a caller's head. Servers return values of
            callers, at least their ids.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        max_head_bytes: Callable[[], int] = lambda: MIN_FIELD_BYTES,
    ) -> None:
        self._session = session
        self._max_head_bytes = max_head_bytes

    async def open(
        self,
        server: ServerRecord,
        call: BackendCall,
        *,
        remaining_ms: int,
        priority: int,
        resume_after: str,
    ) -> BackendAnswer | BackendError:
        """Send a call and return the head of its answer."""
        headers = {
            http_headers.TIMEOUT: str(max(remaining_ms, 1)),
            http_headers.EXPECTED_SERVER: server.id,
        }
        if call.host:
            headers["Host"] = call.host
        if call.account:
            headers[http_headers.ACCOUNT] = call.account
        if call.model:
            headers[http_headers.PRIORITY] = str(priority)
        if resume_after:
            headers[http_headers.LAST_EVENT_ID] = resume_after
        own_names = {name.lower() for name in headers}
        exchange = Exchange(
            call.id,
            is_separate=not call.id,
            forwarded=lambda: _forwarded_headers(call, own_names),
        )
        try:
            with exchanging(exchange):
                response = await self._session.request(
                    call.method,
                    URL(f"http://{server.address}{call.target}", encoded=True),
                    data=call.body,
                    headers=headers,
                    skip_auto_headers=("Content-Type",),
                    allow_redirects=False,
                    max_field_size=max(self._max_head_bytes(), MIN_FIELD_BYTES),
                )
        except aiohttp.ClientConnectorError as exc:
            return BackendError(BackendErrorReason.NOT_SENT, _describe(exc))
        except aiohttp.ConnectionTimeoutError as exc:
            return BackendError(BackendErrorReason.NOT_SENT, _describe(exc))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            is_garbled = isinstance(exc, aiohttp.ClientResponseError)
            return BackendError(BackendErrorReason.LOST, _describe(exc), is_garbled)
        if (fault := _find_fault(exchange, response)) is not None:
            response.close()
            return BackendError(BackendErrorReason.LOST, fault, is_garbled=True)
        self._record_idle_limit(response)
        return BackendAnswer(response)

    def _record_idle_limit(self, response: aiohttp.ClientResponse) -> None:
        """Record how long the server keeps the connection open after its answer."""
        seconds = _keep_alive_s(response.headers.get(http_headers.KEEP_ALIVE, ""))
        connector, url = self._session.connector, response.url
        if seconds is not None and url.host and isinstance(connector, ServerConnector):
            connector.record_idle_limit(url.host, url.port, seconds * 1000)

    async def has_ended(
        self, server: ServerRecord, *, health_path: str, timeout_ms: int
    ) -> bool:
        """Return whether a start of a server has surely ended.

        A refused connection shows it, and so do an engine's report of a later start
        and another server's id in the answer to a health check.
        """
        for _ in range(2):  # an ending server may reset the first connection
            try:
                async with self._check(server, health_path, timeout_ms) as response:
                    if health_path:
                        answered_by = response.headers.get(http_headers.SERVER_ID, "")
                        return answered_by not in ("", server.id)
                    report = await read_body(response, MAX_REPORT_BYTES)
            except aiohttp.ClientConnectorError as exc:
                return isinstance(exc.os_error, ConnectionRefusedError)
            except TimeoutError:
                return False
            except (aiohttp.ServerDisconnectedError, OSError):
                continue
            except aiohttp.ClientError:
                return False
            return _born_ms(report) > server.born_ms > 0
        return False

    async def is_running(self, server: ServerRecord, *, timeout_ms: int) -> bool:
        """Return whether a start of an engine surely runs; its report names it."""
        try:
            async with self._check(server, REPORT_PATH, timeout_ms) as response:
                report = await read_body(response, MAX_REPORT_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            logger.info(
                "start of an engine not confirmed",
                server=server.id,
                detail=_describe(exc),
            )
            return False
        return _born_ms(report) == server.born_ms > 0

    @asynccontextmanager
    async def _check(
        self, server: ServerRecord, path: str, timeout_ms: int
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Ask a server about itself.

        The answer has no id, so the connection must bring no other one: neither a late
        answer to a request, nor this one to the next request.
        """
        with exchanging(Exchange(is_separate=True)):
            response = await self._session.get(
                URL(f"http://{server.address}{path or REPORT_PATH}", encoded=True),
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
                allow_redirects=False,
            )
        async with response:
            yield response


def _forwarded_headers(
    call: BackendCall, own_names: Collection[str]
) -> Iterator[tuple[str, str]]:
    """Yield a call's headers but those that are set for the server."""
    headers = call.headers
    if call.account is not None:
        headers = http_headers.without_identity(headers)
    for name, value in headers:
        if name.lower() not in own_names:
            yield name, value


def _born_ms(report: bytes) -> int:
    """Return the start time in an engine's report; 0 if it cannot be read."""
    born_ms = decode(report, lambda fields: whole_number(fields["born"], 0))
    return 0 if isinstance(born_ms, DecodeError) else born_ms


def _describe(exc: BaseException) -> str:
    """Describe an error; those of the parser quote what the server sent."""
    return repr(exc)[:MAX_DETAIL_CHARACTERS]


def _retrieve_exception(closed: asyncio.Future[None]) -> None:
    """Retrieve the exception; asyncio would log a reset after a complete body."""
    if not closed.cancelled():
        closed.exception()


def _find_fault(exchange: Exchange, response: aiohttp.ClientResponse) -> str | None:
    """Return why a response is not surely the server's answer; None if it is.

    Servers echo the request's id, and prove each success. The only answer without an id
    is the refusal of a request that could not be read.
    """
    headers = response.headers
    ids = set(headers.getall(http_headers.REQUEST_ID, ()))
    answered_id = ids.pop() if ids else None
    # Without an id it may be a late answer to an earlier request on the connection.
    if ids or not exchange.is_answered_by(answered_id):
        return "answer of another request"
    if answered_id is None and exchange.request_id and not _is_unreadable(response):
        return "answer without an id"
    proofs = {proof.strip() for proof in headers.getall(http_headers.SIGNATURE, ())}
    if 200 <= response.status < 300 and (len(proofs) != 1 or "" in proofs):
        return "success without the proof of a run"
    return None


def _is_unreadable(response: aiohttp.ClientResponse) -> bool:
    """Return whether a server refuses a request because it cannot read it."""
    return response.status == 400 and http_headers.NOT_RUN in response.headers


def _execution(response: aiohttp.ClientResponse) -> Execution:
    if response.status == 421:
        return Execution.WRONG_SERVER
    if http_headers.NOT_RUN in response.headers:
        return Execution.NOT_RUN
    return Execution.RAN


def _keep_alive_s(text: str) -> int | None:
    """Return the idle timeout of a Keep-Alive header in seconds, if it has one."""
    for item in text.split(","):
        name, _, value = item.partition("=")
        if name.strip().lower() == "timeout":
            return digits(value)
    return None


def _retry_after_ms(text: str) -> int:
    try:
        pause_ms = finite_number(text) * 1000
    except MALFORMED:
        return 0
    return int(min(max(pause_ms, 0), MAX_PAUSE_MS))
