"""Stand-in for the platform's engines; streams events and counts its executions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from copperrun.adapters.timers import SystemTimers

EVENTS_PER_STREAM = 6
EVENT_INTERVAL_MS = 15
LOAD_MS = 80
TIMERS = SystemTimers()


class PlatformEngine:
    """Serves every path; a request that names a model needs it loaded."""

    def __init__(self, server_id: str, max_models: int = 0) -> None:
        self.id = server_id
        self.software_version = ""
        self.events_per_stream = EVENTS_PER_STREAM
        self.born_ms = time.time_ns() // 1_000_000
        self.max_models = max_models
        self.held: dict[str, set[str]] = {}
        self.sequence = 0
        self.busy = False
        self.overloads = 0
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.port = 0
        # Requests with this part of their prompt end the engine.
        self.crash_part = ""
        # Requests with this body do, too.
        self.crash_body = b""
        self.on_crash: Callable[[], None] = lambda: None
        self.on_run: Callable[[str, Mapping[str, str]], None] = lambda run, headers: (
            None
        )
        self._runner: web.AppRunner | None = None

    async def start(self, host: str) -> None:
        app = web.Application()
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._order)
        app.router.add_get("/health", self._check_health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def begin_again(self, server_id: str) -> None:
        """Take the state of a new start."""
        self.id = server_id
        self.born_ms = time.time_ns() // 1_000_000
        self.held = {}
        self.sequence = 0
        self.busy = False

    def registry_entry(self, service: str, address: str, zone: str) -> dict[str, Any]:
        """Return the engine's registry entry."""
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "slots": 16,
            "state": "ready",
            "born": self.born_ms,
            "sequence": self.sequence,
            "version": self.software_version,
            "models": self._models(),
        }

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.held.items()
        ]

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "born": self.born_ms,
                "models": self._models(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "running": 0,
            }
        )

    async def _check_health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Instance-Id": self.id})

    async def _order(self, request: web.Request) -> web.Response:
        fields = await request.json()
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return web.Response(status=421)
        if fields.get("precondition", self.sequence) != self.sequence or self.busy:
            return web.Response(status=409)
        self.sequence += 1
        model, load = fields["model"], fields["operation"] == "load"
        if "adapter" in fields:
            adapters = self.held.get(model, set())
            (adapters.add if load else adapters.discard)(fields["adapter"])
            return web.Response(status=202 if load else 200)
        self.busy = True
        self._task = asyncio.create_task(self._execute(model, load))
        return web.Response(status=202)

    async def _execute(self, model: str, load: bool) -> None:
        await TIMERS.sleep_ms(LOAD_MS)
        if load:
            self.held[model] = set()
            self.overloads += len(self.held) > self.max_models
        else:
            self.held.pop(model, None)
        self.busy = False

    def _reject(self, request_id: str) -> web.Response:
        """Return the answer to what another server or start was to run."""
        headers = {"Instance-Id": self.id, "Request-Id": request_id}
        return web.Response(status=421, headers=headers | {"Not-Executed": "1"})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["Request-Id"]
        headers = {"Request-Id": request_id, "Response-Signature": f"sig.{request_id}"}
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return self._reject(request_id)
        model, _, adapter = request.headers.get("Model", "").partition("/")
        missing = model and model not in self.held
        if missing or (adapter and adapter not in self.held[model]):
            return self._reject(request_id)
        body = await request.read()
        self.runs[request_id] += 1
        self.on_run(request_id, request.headers)
        if body and body == self.crash_body:
            self.on_crash()
            await TIMERS.sleep_ms(60_000)
        if not model:
            await TIMERS.sleep_ms(EVENT_INTERVAL_MS)
            text = f"{request_id}:{len(body)}"
            return web.Response(text=text, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        parts = request.headers.get("Prompt-Prefix", "").split(",")[:-1]
        if self.crash_part in [part.partition(":")[0] for part in parts]:
            self.on_crash()
            await TIMERS.sleep_ms(60_000)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        text = f"{request_id} {self.software_version}".rstrip()
        for number in range(first, self.events_per_stream + 1):
            await TIMERS.sleep_ms(EVENT_INTERVAL_MS)
            await response.write(event(text, number))
        await response.write_eof()
        return response


def event(text: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}/{number}\n\n".encode()
