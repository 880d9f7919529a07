"""HTTP application of a side's internal listener."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Sequence

import xxhash
from aiohttp import web

from copperrun.adapters import wire
from copperrun.adapters.allotments import AllotmentRoutes
from copperrun.adapters.events import EVENT_STREAM
from copperrun.adapters.events import Event
from copperrun.adapters.events import encode_event
from copperrun.adapters.server import json_response
from copperrun.adapters.server import shared_key_middleware
from copperrun.adapters.sides import ATTEMPTS_PATH
from copperrun.adapters.sides import CANCEL_PATH
from copperrun.adapters.sides import END_EVENT
from copperrun.adapters.sides import HELLO_PATH
from copperrun.adapters.sides import PIN_PATH
from copperrun.adapters.sides import REFUSAL_EVENT
from copperrun.adapters.sides import START_EVENT
from copperrun.gen import ttypes
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Refusal
from copperrun.model import StreamEnd
from copperrun.model import StreamStart
from copperrun.side.agent import Agent
from copperrun.side.process import SideProcess

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


def build_application(process: SideProcess, keys: Sequence[str]) -> web.Application:
    """Return the application of a side's internal listener."""
    handlers = _Handlers(process)
    app = web.Application(
        middlewares=[shared_key_middleware(keys)], client_max_size=MAX_MESSAGE_BYTES
    )
    app.router.add_post(ATTEMPTS_PATH, handlers.attempt)
    app.router.add_post(CANCEL_PATH, handlers.cancel)
    app.router.add_get(HELLO_PATH, handlers.hello)
    app.router.add_post(PIN_PATH, handlers.pin)
    AllotmentRoutes(process.keeper).add_to(app)
    return app


class _Handlers:
    def __init__(self, process: SideProcess) -> None:
        self._process = process

    @property
    def _agent(self) -> Agent:
        return self._process.agent

    async def attempt(self, request: web.Request) -> web.StreamResponse:
        """Run an attempt."""
        attempt = wire.decode_attempt(await request.read())
        if isinstance(attempt, wire.WireError):
            return json_response({"error": attempt.detail}, 400)
        if attempt.stream:
            return await self._stream(request, attempt)
        outcome = await self._agent.submit(attempt)
        return self._response(attempt.id, outcome)

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel an attempt."""
        message = wire.decode(ttypes.Cancel, await request.read())
        if isinstance(message, wire.WireError):
            return json_response({"error": message.detail}, 400)
        started = self._agent.cancel(wire.id_from_wire(message.id))
        result = wire.encode(ttypes.CancelResult(message.id, started))
        return web.Response(body=result, content_type=wire.CONTENT_TYPE)

    async def pin(self, request: web.Request) -> web.StreamResponse:
        """Grant or decline a pin on an object."""
        message = wire.decode(ttypes.Pin, await request.read())
        if isinstance(message, wire.WireError):
            return json_response({"error": message.detail}, 400)
        result = ttypes.PinResult(self._process.grant_pin(message.object))
        return web.Response(body=wire.encode(result), content_type=wire.CONTENT_TYPE)

    async def hello(self, request: web.Request) -> web.StreamResponse:
        """Return the status of this side."""
        status = wire.encode_status(self._process.status())
        return web.Response(body=status, content_type=wire.CONTENT_TYPE)

    def _response(
        self, attempt_id: AttemptId, outcome: Answer | Refusal
    ) -> web.StreamResponse:
        load = self._agent.load()
        if isinstance(outcome, Refusal):
            body = wire.encode_refusal(attempt_id, outcome, load)
            return web.Response(body=body, status=503, content_type=wire.CONTENT_TYPE)
        body = wire.encode_answer(attempt_id, outcome, load)
        return web.Response(body=body, content_type=wire.CONTENT_TYPE)

    async def _stream(
        self, request: web.Request, attempt: Attempt
    ) -> web.StreamResponse:
        items = self._agent.stream(attempt)
        try:
            first = await anext(items, None)
            if isinstance(first, Refusal):
                return self._response(attempt.id, first)
            response = web.StreamResponse(headers={"Content-Type": EVENT_STREAM})
            await response.prepare(request)
            await _write_stream(response, attempt.id, first, items)
            await response.write_eof()
            return response
        finally:
            # Cancels the generation at once when the entry has disconnected.
            await items.aclose()


async def _write_stream(
    response: web.StreamResponse,
    attempt_id: AttemptId,
    first: StreamStart | str | None,
    rest: AsyncGenerator[StreamStart | str | Refusal, None],
) -> None:
    digest = xxhash.xxh64()
    sequence = 0
    item: StreamStart | str | Refusal | None = first
    while item is not None:
        event_id = f"{attempt_id}/{sequence}"
        if isinstance(item, Refusal):
            data = wire.refusal_to_json(item)
            await response.write(encode_event(Event(data, REFUSAL_EVENT, event_id)))
            return
        if isinstance(item, StreamStart):
            await response.write(
                encode_event(Event(item.weights, START_EVENT, event_id))
            )
            item = await anext(rest, None)
            continue
        digest.update(item.encode())
        await response.write(encode_event(Event(item, id=event_id)))
        sequence += 1
        item = await anext(rest, None)
    end = StreamEnd(sequence, digest.intdigest() - 2**63)
    data = wire.stream_end_to_json(end)
    await response.write(
        encode_event(Event(data, END_EVENT, f"{attempt_id}/{sequence}"))
    )
