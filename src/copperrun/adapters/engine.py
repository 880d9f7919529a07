"""A model engine over its OpenAI-compatible HTTP interface."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator
from typing import Any
from urllib.parse import quote
from uuid import uuid4

import aiohttp

from copperrun.adapters.bodies import MAX_ANSWER_BYTES
from copperrun.adapters.client import JSON_HEADERS
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.adapters.client import HttpReply
from copperrun.adapters.events import DONE
from copperrun.adapters.events import read_events
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import printable_text
from copperrun.decoding import whole_number
from copperrun.model import Answer
from copperrun.ports.engine import EngineCall
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineErrorReason
from copperrun.ports.engine import EngineState
from copperrun.ports.engine import Order
from copperrun.ports.engine import OrderNumber

STATE_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 120_000
CANCEL_TIMEOUT_MS = 2_000


class HttpEngine:
    """Calls, orders and state of one engine."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def complete(self, call: EngineCall) -> Answer | EngineError:
        """Generate the complete answer."""
        reply = await self._client.call(
            "POST",
            self._url + call.path,
            body=_engine_body(call, stream=False),
            headers=JSON_HEADERS,
            call_id=uuid4().hex,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, HttpFailure):
            return _engine_error(reply)
        if reply.status == 409:
            return EngineError(EngineErrorReason.REFUSED, _error_detail(reply))
        return Answer(reply.status, reply.content_type, reply.body)

    async def stream(self, call: EngineCall) -> AsyncGenerator[str | EngineError, None]:
        """Generate event payloads; an ``EngineError`` ends an interrupted stream."""
        response = await self._client.open(
            "POST",
            self._url + call.path,
            body=_engine_body(call, stream=True),
            headers=JSON_HEADERS,
            call_id=uuid4().hex,
        )
        if isinstance(response, HttpFailure):
            yield _engine_error(response)
            return
        async with response:
            async for item in _read_stream(response):
                yield item

    async def cancel(self, request_id: str) -> EngineError | None:
        """Stop a generation and free its memory."""
        reply = await self._client.call_json(
            "DELETE",
            f"{self._url}/requests/{quote(request_id)}",
            timeout_ms=CANCEL_TIMEOUT_MS,
        )
        return _engine_error(reply) if isinstance(reply, HttpFailure) else None

    async def order(self, order: Order) -> EngineState | EngineError:
        """Carry out an order and return the state after it."""
        reply = await self._client.call_json(
            "POST",
            f"{self._url}/orders",
            {
                "epoch": order.number.epoch,
                "sequence": order.number.sequence,
                "kind": order.kind.value,
                "name": order.name,
                "size_bytes": order.size_bytes,
            },
            timeout_ms=ORDER_TIMEOUT_MS,
            is_separate=True,
        )
        return _parse_state_reply(reply)

    async def state(self) -> EngineState | EngineError:
        """Return the engine's state."""
        reply = await self._client.call_json(
            "GET", f"{self._url}/state", timeout_ms=STATE_TIMEOUT_MS
        )
        return _parse_state_reply(reply)


async def _read_stream(
    response: aiohttp.ClientResponse,
) -> AsyncGenerator[str | EngineError, None]:
    if response.status != 200:
        yield EngineError(
            EngineErrorReason.REFUSED, f"engine answered {response.status}"
        )
        return
    try:
        async for event in read_events(response.content):
            if event.data == DONE:
                return
            yield event.data
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        yield EngineError(EngineErrorReason.ANSWER_LOST, repr(exc))
        return
    yield EngineError(EngineErrorReason.ANSWER_LOST, "stream ended without [DONE]")


def _engine_body(call: EngineCall, *, stream: bool) -> bytes:
    request = json.loads(call.body)
    request["model"] = call.model
    request["stream"] = stream
    request["request_id"] = call.request_id
    request["priority"] = call.priority
    if call.adapter:
        request["adapter"] = call.adapter
    if call.resume_chunks:
        request["resume"] = {"chunks": call.resume_chunks, "text": call.resume_text}
    return json.dumps(request).encode()


def _parse_state_reply(reply: HttpReply | HttpFailure) -> EngineState | EngineError:
    if isinstance(reply, HttpFailure):
        return _engine_error(reply)
    if reply.status == 412:
        return EngineError(EngineErrorReason.STALE_ORDER, _error_detail(reply))
    if reply.status == 409:
        return EngineError(EngineErrorReason.REFUSED, _error_detail(reply))
    if reply.status != 200:
        return EngineError(
            EngineErrorReason.ANSWER_LOST, f"engine answered {reply.status}"
        )
    state = decode(reply.body, _parse_state)
    if isinstance(state, DecodeError):
        return EngineError(EngineErrorReason.ANSWER_LOST, f"state: {state.detail}")
    return state


def _parse_state(value: dict[str, Any]) -> EngineState:
    return EngineState(
        memory_bytes=whole_number(value["memory_bytes"], 0),
        resident=tuple(
            (printable_text(name), whole_number(size, 0))
            for name, size in value["resident"]
        ),
        last_order=OrderNumber(*map(whole_number, value["last_order"])),
        busy=bool(value["busy"]),
    )


def _engine_error(failure: HttpFailure) -> EngineError:
    match failure.reason:
        case HttpFailureReason.NOT_SENT:
            return EngineError(EngineErrorReason.UNREACHABLE, failure.detail)
        case HttpFailureReason.ANSWER_LOST:
            return EngineError(EngineErrorReason.ANSWER_LOST, failure.detail)


def _error_detail(reply: HttpReply) -> str:
    value = reply.json()
    return str(value.get("detail", "")) if isinstance(value, dict) else ""
