"""Serves the stand-ins over HTTP, like the platform and the backend servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from copperrun.adapters.client import CALL_ID_HEADER
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.events import DONE
from copperrun.adapters.events import EVENT_STREAM
from copperrun.adapters.events import Event
from copperrun.adapters.events import encode_event
from copperrun.adapters.server import json_response
from copperrun.embedded.engine import EngineStandIn
from copperrun.embedded.instances import InstancesStandIn
from copperrun.embedded.log import LogStandIn
from copperrun.embedded.service import ServiceStandIn
from copperrun.embedded.weights import WeightsStandIn
from copperrun.model import Instance
from copperrun.model import Role
from copperrun.ports.engine import EngineCall
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineErrorReason
from copperrun.ports.engine import EngineState
from copperrun.ports.engine import Order
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine import OrderNumber
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.service import ServiceCall
from copperrun.ports.service import ServiceError
from copperrun.ports.service import ServiceErrorReason
from copperrun.ports.weights import WeightsError

MAX_BODY_BYTES = 64 * 1024 * 1024
FETCH_TIMEOUT_MS = 600_000


def platform_application(
    log: LogStandIn, instances: InstancesStandIn, weights: WeightsStandIn
) -> web.Application:
    """Return an application with the log, the instance list and the weight store."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    handlers = _PlatformHandlers(log, instances, weights)
    app.router.add_post("/streams/{name:.+}", handlers.append)
    app.router.add_get("/streams/{name:.+}", handlers.read)
    app.router.add_get("/instances", handlers.list_instances)
    app.router.add_put("/instances/{id}", handlers.put_instance)
    app.router.add_delete("/instances/{id}", handlers.remove_instance)
    app.router.add_get("/weights/{name:.+}", handlers.describe)
    app.router.add_post("/weights/{name:.+}", handlers.fetch)
    app.router.add_post("/faults/log", _faults_handler(log))
    app.router.add_post("/faults/instances", _faults_handler(instances))
    app.router.add_post("/faults/weights", _faults_handler(weights))
    return app


def engine_application(engine: EngineStandIn) -> web.Application:
    """Return an application with one model engine."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.on_response_prepare.append(_return_call_id)
    handlers = _EngineHandlers(engine)
    app.router.add_post("/v1/chat/completions", handlers.complete)
    app.router.add_post("/v1/completions", handlers.complete)
    app.router.add_delete("/requests/{id}", handlers.cancel)
    app.router.add_post("/orders", handlers.order)
    app.router.add_get("/state", handlers.state)
    app.router.add_get("/records", handlers.records)
    app.router.add_post("/faults", _faults_handler(engine))
    return app


def service_application(service: ServiceStandIn) -> web.Application:
    """Return an application with one plain service; counts are at ``/executions``."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.on_response_prepare.append(_return_call_id)
    handlers = _ServiceHandlers(service)
    app.router.add_get("/executions", handlers.executions)
    app.router.add_post("/faults", _faults_handler(service))
    app.router.add_route("*", "/{path:.*}", handlers.call)
    return app


async def _return_call_id(request: web.Request, response: web.StreamResponse) -> None:
    """Return the id of a call, by which its answer is known."""
    call_id = request.headers.get(CALL_ID_HEADER)
    if call_id is not None:
        response.headers[CALL_ID_HEADER] = call_id


class HttpWeightSource:
    """Loads from a weight store stand-in in another process."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self, name: str, size_bytes: int) -> bool:
        """Wait as long as a load takes; return False when the store is down."""
        reply = await self._client.call_json(
            "POST",
            f"{self._url}/weights/{name}",
            {"size_bytes": size_bytes},
            timeout_ms=FETCH_TIMEOUT_MS,
        )
        return not isinstance(reply, HttpFailure) and reply.status == 200


class _PlatformHandlers:
    def __init__(
        self, log: LogStandIn, instances: InstancesStandIn, weights: WeightsStandIn
    ) -> None:
        self._log = log
        self._instances = instances
        self._weights = weights

    async def append(self, request: web.Request) -> web.StreamResponse:
        records = (await request.json())["records"]
        result = await self._log.append(request.match_info["name"], records)
        if isinstance(result, LogError):
            return _log_error(request, result)
        return json_response({"offset": result})

    async def read(self, request: web.Request) -> web.StreamResponse:
        page = await self._log.read(
            request.match_info["name"],
            int(request.query["from"]),
            wait_ms=int(request.query.get("wait_ms", 0)),
        )
        if isinstance(page, LogError):
            return _log_error(request, page)
        records = [list(record) for record in page.records]
        return json_response({"records": records, "start": page.start, "end": page.end})

    async def list_instances(self, request: web.Request) -> web.StreamResponse:
        instances = await self._instances.list()
        if not isinstance(instances, list | tuple):
            return json_response({"error": "down"}, 503)
        return json_response(
            [{**item._asdict(), "role": item.role.value} for item in instances]
        )

    async def put_instance(self, request: web.Request) -> web.StreamResponse:
        fields = await request.json()
        fields["role"] = Role(fields["role"])
        self._instances.put(Instance(**fields))
        return json_response({})

    async def remove_instance(self, request: web.Request) -> web.StreamResponse:
        self._instances.remove(request.match_info["id"])
        return json_response({})

    async def describe(self, request: web.Request) -> web.StreamResponse:
        weights = await self._weights.describe(request.match_info["name"])
        if isinstance(weights, WeightsError):
            return json_response(
                {"error": weights.detail}, 404 if weights.missing else 503
            )
        return json_response(weights._asdict())

    async def fetch(self, request: web.Request) -> web.StreamResponse:
        size_bytes = (await request.json())["size_bytes"]
        fetched = await self._weights.fetch(request.match_info["name"], size_bytes)
        return json_response({}, 200 if fetched else 503)


class _EngineHandlers:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    async def complete(self, request: web.Request) -> web.StreamResponse:
        call, stream = _parse_call(request.path, await request.read())
        if stream:
            return await self._stream(request, call)
        try:
            outcome = await self._engine.complete(call)
        except asyncio.CancelledError:
            await self._engine.cancel(call.request_id)
            raise
        if isinstance(outcome, EngineError):
            return _engine_error(request, outcome)
        return web.Response(body=outcome.body, content_type=outcome.content_type)

    async def cancel(self, request: web.Request) -> web.StreamResponse:
        await self._engine.cancel(request.match_info["id"])
        return json_response({})

    async def order(self, request: web.Request) -> web.StreamResponse:
        value = await request.json()
        order = Order(
            OrderNumber(value["epoch"], value["sequence"]),
            OrderKind(value["kind"]),
            value["name"],
            value["size_bytes"],
        )
        # A received order is executed even when its sender disconnects.
        state = await asyncio.shield(self._engine.order(order))
        return self._state_response(request, state)

    async def state(self, request: web.Request) -> web.StreamResponse:
        return self._state_response(request, await self._engine.state())

    async def records(self, request: web.Request) -> web.StreamResponse:
        return json_response(
            {
                "started": [list(record) for record in self._engine.started],
                "unfinished": self._engine.unfinished,
                "running": self._engine.running,
                "memory_high_water": self._engine.memory_high_water,
                "memory_bytes": self._engine.memory_bytes,
            }
        )

    async def _stream(
        self, request: web.Request, call: EngineCall
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": EVENT_STREAM})
        items = self._engine.stream(call)
        try:
            async for item in items:
                if isinstance(item, EngineError):
                    return _engine_error(request, item)
                if not response.prepared:
                    await response.prepare(request)
                await response.write(encode_event(Event(item)))
            await response.write(encode_event(Event(DONE)))
            await response.write_eof()
            return response
        finally:
            await items.aclose()

    def _state_response(
        self, request: web.Request, state: EngineState | EngineError
    ) -> web.StreamResponse:
        if isinstance(state, EngineError):
            return _engine_error(request, state)
        return json_response(state._asdict())


class _ServiceHandlers:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    async def executions(self, request: web.Request) -> web.StreamResponse:
        return json_response(dict(self._service.executions))

    async def call(self, request: web.Request) -> web.StreamResponse:
        call = ServiceCall(
            request.method,
            request.raw_path,
            request.headers.get("Content-Type", ""),
            request.headers.get("Idempotency-Key", ""),
            await request.read(),
        )
        # A received call is executed even when its sender disconnects.
        outcome = await asyncio.shield(self._service.call(call))
        if isinstance(outcome, ServiceError):
            if outcome.reason is ServiceErrorReason.ANSWER_LOST:
                return _abort_connection(request)
            return json_response({"error": outcome.detail}, 503)
        return web.Response(body=outcome.body, content_type=outcome.content_type)


def _faults_handler(
    stand_in: Any,
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    async def set_faults(request: web.Request) -> web.StreamResponse:
        for name, value in (await request.json()).items():
            if not hasattr(stand_in.faults, name):
                return json_response({"error": f"unknown fault {name!r}"}, 400)
            setattr(stand_in.faults, name, value)
        return json_response({})

    return set_faults


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection to simulate a lost answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _log_error(request: web.Request, error: LogError) -> web.Response:
    match error.reason:
        case LogErrorReason.UNAVAILABLE:
            return json_response({"error": error.detail}, 503)
        case LogErrorReason.TRIMMED:
            return json_response({"start": error.start}, 410)
        case LogErrorReason.ANSWER_LOST:
            return _abort_connection(request)


def _engine_error(request: web.Request, error: EngineError) -> web.Response:
    match error.reason:
        case EngineErrorReason.REFUSED:
            return json_response({"detail": error.detail}, 409)
        case EngineErrorReason.STALE_ORDER:
            return json_response({"detail": error.detail}, 412)
        case _:
            return _abort_connection(request)


def _parse_call(path: str, body: bytes) -> tuple[EngineCall, bool]:
    value = json.loads(body)
    resume = value.get("resume", {})
    call = EngineCall(
        request_id=value["request_id"],
        path=path,
        model=value["model"],
        adapter=value.get("adapter", ""),
        priority=value["priority"],
        body=body,
        resume_chunks=resume.get("chunks", 0),
        resume_text=resume.get("text", ""),
    )
    return call, bool(value["stream"])
