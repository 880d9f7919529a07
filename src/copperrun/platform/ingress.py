"""Listener for callers: decodes the platform's requests and writes the answers."""

from __future__ import annotations

import re
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from aiohttp import web
from loguru import logger

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.platform import http_headers
from copperrun.platform.connections import CallerConnection
from copperrun.platform.heads import HeaderBlock
from copperrun.platform.readers import MEMORY_RETRY_MS
from copperrun.platform.readers import CallerBuffers
from copperrun.platform.readers import Upload
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import HeaderLines
from copperrun.ports.backends import HeaderList
from copperrun.ports.responder import Responder

CallHandler = Callable[[BackendCall, Responder], Awaitable[None]]

_STATUSES = {
    RefusalReason.UNKNOWN_DEPLOYMENT: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.BODY_TIMEOUT: 408,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.INVALID_KEY: 401,
}
_PART_ID = re.compile(r"[0-9A-Fa-f]{1,64}")
MAX_RESUMED_ID_CHARACTERS = 256
MAX_UPLOAD_MS = 30_000  # for a body whose caller states no time limit
MAX_COUNT = 2**31 - 1
MAX_DIGITS = 20
MAX_PARTS = 64  # of one prompt; the header is bounded in bytes only

_FAILURE_STATUS = 502
_TIMEOUT_STATUS = 504
_REFUSAL_STATUS = 503


class Ingress:
    """Handles the callers' requests.

    Attributes:
        is_leaving: Whether each connection closes after its next answer.
        is_refusing: Whether new requests are refused.
    """

    def __init__(
        self,
        handler: CallHandler,
        max_body_bytes: Callable[[], int],
        buffers: CallerBuffers | None = None,
    ) -> None:
        self._handler = handler
        self._buffers = buffers
        self._max_body_bytes = max_body_bytes
        self.is_leaving = False
        self.is_refusing = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; called by the HTTP server."""
        try:
            return await self._answer(request)
        except ConnectionError as exc:
            # The caller disconnected while its answer was being written.
            logger.info("caller disconnected", detail=repr(exc))
            if request.transport is not None:
                request.transport.abort()
            # Never sent; the HTTP server would log an exception as its own failure.
            return web.Response(status=_FAILURE_STATUS)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        responder = HttpResponder(request, lambda: self._closes_after(request))
        if self.is_refusing:
            await responder.refuse(_leaving())
            return responder.response
        if self._buffers is None or not request.body_exists:
            return await self._serve(request, responder, None)
        with self._buffers.upload() as upload:
            return await self._serve(request, responder, upload)

    async def _serve(
        self,
        request: web.BaseRequest,
        responder: HttpResponder,
        upload: Upload | None,
    ) -> web.StreamResponse:
        body = await self._read_body(request, upload)
        if self.is_refusing and not isinstance(body, Refusal):
            # Its body ended too late for an answer to be sure.
            body = _leaving()
        if isinstance(body, Refusal):
            await responder.refuse(body)
            return responder.response
        call = _decode_call(request, body)
        if isinstance(call, Refusal):
            await responder.refuse(call)
            return responder.response
        await self._handler(call, responder)
        return responder.response

    def _closes_after(self, request: web.BaseRequest) -> bool:
        """Return whether a request is the last one on its connection."""
        if not self.is_leaving:
            return False
        conn = request.protocol
        return not (isinstance(conn, CallerConnection) and conn.has_queued_requests)

    async def _read_body(
        self, request: web.BaseRequest, upload: Upload | None
    ) -> bytes | Refusal | None:
        if not request.body_exists:
            return None
        limit = self._max_body_bytes()
        if upload is None or self._buffers is None:
            return await _collect_body(request, limit, None)
        limit_ms = _upload_limit_ms(request)
        body: bytes | Refusal
        try:
            if not self._buffers.may_begin(min(request.content_length or 0, limit)):
                body = _memory_full()
            elif request.content.is_eof():
                body = await _collect_body(request, limit, upload)
            else:
                async with self._buffers.arrival(upload, limit_ms):
                    body = await _collect_body(request, limit, upload)
        except TimeoutError:
            detail = "the body arrived too slowly"
            body = Refusal(RefusalReason.BODY_TIMEOUT, Ran.NO, detail)
        except web.RequestPayloadError as exc:
            body = _bad_request(f"the body cannot be read: {exc}")
        if isinstance(body, Refusal):
            self._buffers.record_refused_upload(body.reason.value)
        return body


async def _collect_body(
    request: web.BaseRequest, limit: int, upload: Upload | None
) -> bytes | Refusal:
    if _awaits_continue(request):
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0  # counts the bytes of the final answer
    body = bytearray()
    async for data in request.content.iter_any():
        if len(body) + len(data) > limit:
            detail = f"the body is larger than {limit} bytes"
            return Refusal(RefusalReason.BODY_TOO_LARGE, Ran.NO, detail)
        if upload is not None and not upload.take(len(data)):
            return _memory_full()
        body += data
    return bytes(body)


def _upload_limit_ms(request: web.BaseRequest) -> int:
    """Return the time in which a body has to arrive."""
    timeout = request.headers.get(http_headers.TIMEOUT, "")
    return _decimal(timeout) or MAX_UPLOAD_MS


def _leaving() -> Refusal:
    return Refusal(RefusalReason.LEAVING, Ran.NO, "this entry is leaving", 1)


def _memory_full() -> Refusal:
    return Refusal(
        RefusalReason.MEMORY_FULL,
        Ran.NO,
        "this entry holds as many bytes of bodies as it may",
        MEMORY_RETRY_MS,
    )


class HttpResponder:
    """Writes one answer with the aiohttp server."""

    def __init__(
        self, request: web.BaseRequest, closes_after: Callable[[], bool]
    ) -> None:
        self.response: web.StreamResponse = web.Response(status=_FAILURE_STATUS)
        self._request = request
        self._closes_after = closes_after
        self._pending_head: tuple[AnswerHead, int] | None = None

    async def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head.

        With a known length it waits for the first data, so that a short answer is sent
        as a whole.
        """
        if length is not None:
            self._pending_head = (head, length)
            return
        self.response = web.StreamResponse(status=head.status)
        _copy_headers(self.response, head.headers)
        if self._request.version >= (1, 1):
            self.response.enable_chunked_encoding()
        else:
            self.response.force_close()
        await self._prepare()

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        conn = self._request.protocol
        if not isinstance(conn, CallerConnection):
            await self._write(data)
            return
        conn.begin_write(len(data))
        await self._write(data)
        conn.end_write()

    async def _write(self, data: bytes) -> None:
        if self._pending_head is not None:
            head, length = self._pending_head
            self._pending_head = None
            if len(data) == length:
                self.response = web.Response(status=head.status, body=data)
                _copy_headers(self.response, head.headers)
                await self._prepare()
                return
            self.response = web.StreamResponse(status=head.status)
            _copy_headers(self.response, head.headers)
            self.response.content_length = length
            await self._prepare()
        await self.response.write(data)

    async def finish(self) -> None:
        """End a complete body."""
        await self.response.write_eof()
        conn = self._request.protocol
        if isinstance(conn, CallerConnection):
            conn.end_write()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal or failure that copperrun itself returns."""
        response = web.Response(
            status=_status(refusal), text=f"{refusal.reason.value}: {refusal.detail}\n"
        )
        if response.status in (_REFUSAL_STATUS, 429) and refusal.retry_after_ms:
            seconds = refusal.retry_after_ms / 1000
            response.headers[http_headers.RETRY_AFTER] = f"{seconds:.3f}"
        self.response = response
        await self._prepare()
        await response.write_eof()

    def abort(self) -> None:
        """Close the connection, so that a partial answer does not look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def _prepare(self) -> None:
        if self._closes_after():
            self.response.force_close()
        await self.response.prepare(self._request)


def _awaits_continue(request: web.BaseRequest) -> bool:
    """Return whether the caller sends the body only after an interim answer."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    return expects and request.version >= (1, 1) and not request.content.total_bytes


def _decode_call(request: web.BaseRequest, body: bytes | None) -> BackendCall | Refusal:
    headers = request.headers
    request_id = headers.get(http_headers.REQUEST_ID, "")
    if not request_id or len(headers.getall(http_headers.REQUEST_ID)) > 1:
        return _bad_request(f"send one {http_headers.REQUEST_ID} header")
    timeout = headers.get(http_headers.TIMEOUT)
    if timeout is not None and not (timeout.isascii() and timeout.isdecimal()):
        return _bad_request(f"{http_headers.TIMEOUT} is not a whole number")
    parts = headers.get(http_headers.PROMPT_PARTS, "")
    usage = headers.get(http_headers.TOKEN_USAGE, "")
    model, _, adapter = headers.get(http_headers.MODEL, "").partition("/")
    return BackendCall(
        request_id,
        request.method,
        headers.get("Host", ""),
        request.raw_path,
        _headers_to_forward(request),
        body,
        _decimal(timeout) if timeout is not None else None,
        model,
        adapter,
        *_token_counts(usage),
        headers.get(http_headers.LAST_EVENT_ID, ""),
        _shared_parts(parts),
        _resumed_id(headers.getall(http_headers.RESUMES, [])),
        tuple(headers.getall(http_headers.AUTHORIZATION, [])),
        part_tokens=_part_tokens(parts),
        output_hint=_decimal(headers.get(http_headers.OUTPUT_HINT, "")),
        states_tokens=_states_tokens(usage),
    )


def _headers_to_forward(request: web.BaseRequest) -> HeaderLines:
    headers: object = request.raw_headers
    if isinstance(headers, HeaderBlock):
        return headers
    return http_headers.to_forward(request.raw_headers)


def _token_counts(text: str) -> tuple[int, int]:
    """Decode the prompt tokens and the maximum output tokens; 0 when not given."""
    prompt, _, output = text.partition(",")
    return _decimal(prompt), _decimal(output)


def _states_tokens(text: str) -> bool:
    """Return whether both counts are given as whole numbers."""
    prompt, _, output = text.partition(",")
    return prompt.strip().isdecimal() and output.strip().isdecimal()


def _decimal(text: str) -> int:
    """Decode a whole number that fits the messages between processes; 0 for others."""
    text = text.strip()
    if not (text.isascii() and text.isdecimal()):
        return 0
    return min(int(text), MAX_COUNT) if len(text) < MAX_DIGITS else MAX_COUNT


def _shared_parts(text: str) -> tuple[str, ...]:
    """Decode the ids of all parts of a prompt but the last; others are ignored.

    The ids go to other processes, so what is no hexadecimal number is left out.
    """
    return tuple(name for name, _ in _sized_parts(text))


def _part_tokens(text: str) -> tuple[int, ...]:
    """Decode the tokens of the parts that ``_shared_parts`` returns."""
    return tuple(_decimal(tokens) for _, tokens in _sized_parts(text))


def _sized_parts(text: str) -> list[tuple[str, str]]:
    pairs = [item.partition(":") for item in text.split(",")[:-1][:MAX_PARTS]]
    return [
        (name.strip(), tokens)
        for name, _, tokens in pairs
        if _PART_ID.fullmatch(name.strip())
    ]


def _resumed_id(values: Sequence[str]) -> str:
    """Return the attempt that began a stream; empty unless it is stated once."""
    if len(values) != 1 or len(values[0]) > MAX_RESUMED_ID_CHARACTERS:
        return ""
    return values[0]


def _bad_request(detail: str) -> Refusal:
    logger.info("malformed request", detail=detail)
    return Refusal(RefusalReason.BAD_REQUEST, Ran.NO, detail)


def _status(refusal: Refusal) -> int:
    """Return the HTTP status.

    Only a refusal with ``ran: no`` may get a status that promises that the request did
    not run, such as 503.
    """
    if refusal.ran is Ran.UNKNOWN:
        expired = refusal.reason is RefusalReason.DEADLINE_EXPIRED
        return _TIMEOUT_STATUS if expired else _FAILURE_STATUS
    return _STATUSES.get(refusal.reason, _REFUSAL_STATUS)


def _copy_headers(response: web.StreamResponse, headers: HeaderList) -> None:
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
