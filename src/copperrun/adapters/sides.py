"""Calls from an entry to the sides: thrift messages and event streams over HTTP."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import aiohttp

from copperrun.adapters import wire
from copperrun.adapters.bodies import MAX_ANSWER_BYTES
from copperrun.adapters.bodies import read_body
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.adapters.client import HttpReply
from copperrun.adapters.events import EVENT_STREAM
from copperrun.adapters.events import Event
from copperrun.adapters.events import read_events
from copperrun.gen import ttypes
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Chunk
from copperrun.model import StreamStart
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.sides import SideReply
from copperrun.ports.sides import SideStatus
from copperrun.ports.sides import StreamItem

SHARED_KEY_HEADER = "X-Copperrun-Shared-Key"
START_EVENT = "start"
END_EVENT = "end"
REFUSAL_EVENT = "refusal"
HELLO_TIMEOUT_MS = 500
CANCEL_TIMEOUT_MS = 1_000
PIN_TIMEOUT_MS = 1_000

ATTEMPTS_PATH = "/internal/attempts"
CANCEL_PATH = "/internal/cancel"
HELLO_PATH = "/internal/hello"
PIN_PATH = "/internal/pin"

_HEADERS = {"Content-Type": wire.CONTENT_TYPE}


class HttpSides:
    """Calls to sides by address."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def submit(self, address: str, attempt: Attempt) -> SideReply:
        """Send an attempt and wait for its complete answer."""
        reply = await self._client.call(
            "POST",
            f"http://{address}{ATTEMPTS_PATH}",
            body=wire.encode_attempt(attempt),
            headers=_HEADERS,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, HttpFailure):
            return SideReply(side_error(reply))
        return _parse_reply(reply, attempt.id)

    async def stream(
        self, address: str, attempt: Attempt
    ) -> AsyncGenerator[StreamItem, None]:
        """Send an attempt and yield its chunks; the last item is not a chunk."""
        response = await self._client.open(
            "POST",
            f"http://{address}{ATTEMPTS_PATH}",
            body=wire.encode_attempt(attempt),
            headers=_HEADERS,
        )
        if isinstance(response, HttpFailure):
            yield side_error(response)
            return
        try:
            async with response:
                async for item in _read_items(response, attempt.id):
                    yield item
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            yield SideError(SideErrorReason.ANSWER_LOST, repr(exc))

    async def cancel(self, address: str, attempt_id: AttemptId) -> bool | SideError:
        """Cancel an attempt; return whether it had started."""
        message = ttypes.Cancel(wire.id_to_wire(attempt_id))
        reply = await self._client.call(
            "POST",
            f"http://{address}{CANCEL_PATH}",
            body=wire.encode(message),
            headers=_HEADERS,
            timeout_ms=CANCEL_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        result = wire.decode(ttypes.CancelResult, reply.body)
        if isinstance(result, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, result.detail)
        if wire.id_from_wire(result.id) != attempt_id:
            return SideError(
                SideErrorReason.ANSWER_LOST, "cancel answered for a different attempt"
            )
        return bool(result.started)

    async def pin(self, address: str, name: str) -> bool | SideError:
        """Ask a side to keep an object resident; return whether it agrees."""
        reply = await self._client.call(
            "POST",
            f"http://{address}{PIN_PATH}",
            body=wire.encode(ttypes.Pin(name)),
            headers=_HEADERS,
            timeout_ms=PIN_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        result = wire.decode(ttypes.PinResult, reply.body)
        if reply.status != 200 or isinstance(result, wire.WireError):
            return SideError(
                SideErrorReason.ANSWER_LOST, f"pin: side answered {reply.status}"
            )
        return bool(result.granted)

    async def hello(self, address: str) -> SideStatus | SideError:
        """Ask a side for its status."""
        reply = await self._client.call(
            "GET", f"http://{address}{HELLO_PATH}", timeout_ms=HELLO_TIMEOUT_MS
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        if reply.status != 200:
            detail = f"{address} answered {reply.status}"
            return SideError(SideErrorReason.UNREACHABLE, detail)
        status = wire.decode_status(reply.body)
        if isinstance(status, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, status.detail)
        return status


def _parse_reply(reply: HttpReply, attempt_id: AttemptId) -> SideReply:
    if reply.status == 200:
        return _parse_answer(reply.body, attempt_id)
    if reply.status == 503:
        return _parse_refusal(reply.body, attempt_id)
    detail = f"side answered {reply.status}"
    return SideReply(SideError(SideErrorReason.ANSWER_LOST, detail))


def _parse_answer(body: bytes, attempt_id: AttemptId) -> SideReply:
    answer = wire.decode(ttypes.Answer, body)
    if isinstance(answer, wire.WireError):
        return SideReply(SideError(SideErrorReason.ANSWER_LOST, answer.detail))
    if wire.id_from_wire(answer.id) != attempt_id:
        return _wrong_attempt()
    if wire.checksum([answer.body]) != answer.checksum:
        return SideReply(
            SideError(SideErrorReason.ANSWER_LOST, "answer checksum mismatch")
        )
    outcome = Answer(answer.status, answer.content_type, answer.body, answer.recorded)
    return SideReply(outcome, wire.load_from_wire(answer.load))


def _parse_refusal(body: bytes, attempt_id: AttemptId) -> SideReply:
    refusal = wire.decode(ttypes.Refusal, body)
    if isinstance(refusal, wire.WireError):
        return SideReply(SideError(SideErrorReason.ANSWER_LOST, refusal.detail))
    if wire.id_from_wire(refusal.id) != attempt_id:
        return _wrong_attempt()
    return SideReply(wire.refusal_from_wire(refusal), wire.load_from_wire(refusal.load))


def _wrong_attempt() -> SideReply:
    return SideReply(
        SideError(SideErrorReason.ANSWER_LOST, "side answered a different attempt")
    )


async def _read_items(
    response: aiohttp.ClientResponse, attempt_id: AttemptId
) -> AsyncGenerator[StreamItem, None]:
    if response.content_type != EVENT_STREAM:
        body = await read_body(response, MAX_ANSWER_BYTES)
        reply = HttpReply(response.status, response.content_type, body)
        outcome = _parse_reply(reply, attempt_id).outcome
        if isinstance(outcome, Answer):
            outcome = SideError(
                SideErrorReason.ANSWER_LOST, "side answered without a stream"
            )
        yield outcome
        return
    prefix = f"{attempt_id}/"
    async for event in read_events(response.content):
        if not event.id.startswith(prefix):
            # Never pass a chunk of another attempt on to this caller.
            continue
        item = _parse_event(event, event.id[len(prefix) :])
        yield item
        if not isinstance(item, StreamStart | Chunk):
            return
    yield SideError(SideErrorReason.ANSWER_LOST, "stream ended without its end event")


def _parse_event(event: Event, sequence: str) -> StreamItem:
    match event.name:
        case "":
            return Chunk(int(sequence), event.data)
        case str(name) if name == START_EVENT:
            return StreamStart(event.data)
        case str(name) if name == END_EVENT:
            return wire.stream_end_from_json(event.data)
        case _:
            return wire.refusal_from_json(event.data)


def side_error(failure: HttpFailure) -> SideError:
    """Convert the failure of a call to a side."""
    match failure.reason:
        case HttpFailureReason.NOT_SENT:
            return SideError(SideErrorReason.UNREACHABLE, failure.detail)
        case HttpFailureReason.ANSWER_LOST:
            return SideError(SideErrorReason.ANSWER_LOST, failure.detail)
