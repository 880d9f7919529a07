"""HTTP API for callers."""

from __future__ import annotations

from collections.abc import AsyncGenerator

from aiohttp import web

from copperrun.adapters.events import DONE
from copperrun.adapters.events import EVENT_STREAM
from copperrun.adapters.events import Event
from copperrun.adapters.events import encode_event
from copperrun.adapters.server import json_response
from copperrun.entry.errors import error_body
from copperrun.entry.errors import error_response
from copperrun.entry.gateway import AdmittedRequest
from copperrun.entry.gateway import CallerRequest
from copperrun.entry.gateway import Gateway
from copperrun.entry.gateway import new_request_id
from copperrun.entry.requests import CHAT_PATH
from copperrun.entry.requests import COMPLETIONS_PATH
from copperrun.model import Answer
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.timers import Timers
from copperrun.settings import Limits

DEADLINE_HEADER = "X-Copperrun-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
RECORDED_HEADER = "X-Copperrun-Recorded"
SERVICES_PREFIX = "/services/"


def add_api_routes(
    app: web.Application, gateway: Gateway, timers: Timers, limits: Limits
) -> None:
    """Add the routes of the callers' API to an application."""
    handlers = _Handlers(gateway, timers, limits)
    app.router.add_post(CHAT_PATH, handlers.complete)
    app.router.add_post(COMPLETIONS_PATH, handlers.complete)
    app.router.add_get("/v1/models", handlers.list_models)
    app.router.add_route("*", "/services/{service}", handlers.call_service)
    app.router.add_route("*", "/services/{service}/{path:.*}", handlers.call_service)


class _Handlers:
    def __init__(self, gateway: Gateway, timers: Timers, limits: Limits) -> None:
        self._gateway = gateway
        self._timers = timers
        self._limits = limits

    async def list_models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller may use."""
        request_id = new_request_id()
        identity = self._gateway.authenticate(request.headers.get("Authorization", ""))
        if isinstance(identity, Refusal):
            return self._refuse(identity, request_id)
        names = self._gateway.list_models(identity)
        data = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": data})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion request, streamed or as a whole."""
        caller_request = await self._read_request(request, request.path)
        if isinstance(caller_request, web.StreamResponse):
            return caller_request
        admitted = await self._gateway.admit_model(caller_request)
        if isinstance(admitted, Refusal):
            return self._refuse(admitted, caller_request.id)
        if admitted.dispatch_request.template.stream:
            return await self._respond_streamed(request, admitted)
        return await self._respond_whole(admitted)

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to a plain service."""
        service = request.match_info["service"]
        # The service receives the path as sent, without decoding or normalization.
        raw = request.raw_path[len(SERVICES_PREFIX) :]
        path = "/" + raw.partition("/")[2]
        caller_request = await self._read_request(request, path)
        if isinstance(caller_request, web.StreamResponse):
            return caller_request
        admitted = await self._gateway.admit_service(caller_request, service)
        if isinstance(admitted, Refusal):
            return self._refuse(admitted, caller_request.id)
        return await self._respond_whole(admitted)

    async def _read_request(
        self, request: web.Request, path: str
    ) -> CallerRequest | web.StreamResponse:
        request_id = new_request_id()
        arrived_ms = self._timers.now_ms()
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            response = self._refuse(body, request_id)
            # The rest of the body stays unread, so the connection cannot be reused.
            response.force_close()
            return response
        headers = request.headers
        return CallerRequest(
            id=request_id,
            arrived_ms=arrived_ms,
            authorization=headers.get("Authorization", ""),
            deadline=headers.get(DEADLINE_HEADER),
            idempotency_key=headers.get(IDEMPOTENCY_HEADER, ""),
            method=request.method,
            path=path,
            content_type=headers.get("Content-Type", ""),
            body=body,
        )

    async def _read_body(self, request: web.Request) -> bytes | Refusal:
        if (request.content_length or 0) > self._limits.body:
            return _body_too_large(self._limits.body)
        try:
            async with self._timers.timeout_ms(self._limits.body_timeout):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            return _body_too_large(self._limits.body)
        except web.RequestPayloadError as exc:
            detail = f"the body cannot be read: {exc}"
            return Refusal(RefusalReason.BAD_REQUEST, Ran.NO, detail)
        except TimeoutError:
            return Refusal(
                RefusalReason.BODY_TIMEOUT,
                Ran.NO,
                f"the body did not arrive within {self._limits.body_timeout} ms",
            )

    async def _respond_whole(self, admitted: AdmittedRequest) -> web.StreamResponse:
        outcome = await self._gateway.submit(admitted)
        if isinstance(outcome, Refusal):
            return error_response(outcome, admitted.dispatch_request.request_id)
        return _answer_response(outcome, admitted.dispatch_request.request_id)

    async def _respond_streamed(
        self, request: web.Request, admitted: AdmittedRequest
    ) -> web.StreamResponse:
        items = self._gateway.stream(admitted)
        try:
            first = await anext(items, None)
            if isinstance(first, Refusal):
                return error_response(first, admitted.dispatch_request.request_id)
            response = web.StreamResponse(
                headers={
                    "Content-Type": EVENT_STREAM,
                    "Cache-Control": "no-cache",
                    "X-Request-Id": admitted.dispatch_request.request_id,
                }
            )
            await response.prepare(request)
            await self._write_events(response, first, items)
            return response
        finally:
            # If the caller has disconnected, this cancels the request at the engine.
            await items.aclose()

    async def _write_events(
        self,
        response: web.StreamResponse,
        first: str | None,
        rest: AsyncGenerator[str | Refusal, None],
    ) -> None:
        item: str | Refusal | None = first
        while item is not None:
            if isinstance(item, Refusal):
                await self._write_event(response, Event(error_body(item), "error"))
                await response.write_eof()
                return
            await self._write_event(response, Event(item))
            item = await anext(rest, None)
        await self._write_event(response, Event(DONE))
        await response.write_eof()

    async def _write_event(self, response: web.StreamResponse, event: Event) -> None:
        """Write one event; a caller that does not read it in time is disconnected."""
        async with self._timers.timeout_ms(self._limits.write_timeout):
            await response.write(encode_event(event))

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self._gateway.record_refusal(request_id, refusal)
        return error_response(refusal, request_id)


def _answer_response(answer: Answer, request_id: str) -> web.Response:
    headers = {"X-Request-Id": request_id}
    if answer.recorded:
        headers[RECORDED_HEADER] = "true"
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return web.Response(body=answer.body, status=answer.status, headers=headers)


def _body_too_large(limit: int) -> Refusal:
    return Refusal(
        RefusalReason.BODY_TOO_LARGE,
        Ran.NO,
        f"the body is larger than {limit} bytes",
    )
