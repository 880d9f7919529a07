"""Health check and operator routes of a process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypedDict

from aiohttp import web

from copperrun.adapters import metrics as metrics_adapter
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.server import json_response

STATUS_PATH = "/internal/status"
DRAIN_PATH = "/internal/drain"
SNAPSHOT_PATH = "/internal/configuration"


class ProcessStatus(TypedDict):
    """Status that one process reports to operators.

    Attributes:
        instance: Instance name.
        role: Entry or side.
        state: Lifecycle state.
        revision: Configuration offset in force; -1 for none.
        preset: Preset in force, or an empty string.
        pool: Pool of a side, or an empty string.
        queued: Attempts waiting.
        running: Attempts at the backend server.
        resident: Objects in accelerator memory.
        free_bytes: Accelerator memory that may be reserved.
    """

    instance: str
    role: str
    state: str
    revision: int
    preset: str
    pool: str
    queued: int
    running: int
    resident: list[str]
    free_bytes: int


class Operations:
    """Handlers for health, status, drain, metrics and the configuration snapshot."""

    def __init__(
        self,
        metrics: PrometheusMetrics,
        status: Callable[[], ProcessStatus],
        is_ready: Callable[[], bool],
        drain: Callable[[], None],
        snapshot: Callable[[], str],
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._is_ready = is_ready
        self._drain = drain
        self._snapshot = snapshot

    def add_health_routes(self, app: web.Application) -> None:
        """Add the routes for the load balancer and the platform."""
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)

    def add_operator_routes(self, app: web.Application) -> None:
        """Add the routes for operators; ``app`` has to authenticate them."""
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get(STATUS_PATH, self._get_status)
        app.router.add_post(DRAIN_PATH, self._start_drain)
        app.router.add_get(SNAPSHOT_PATH, self._get_snapshot)

    async def _healthz(self, request: web.Request) -> web.Response:
        return json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self._is_ready()
        state = self._status()["state"]
        return json_response({"ready": ready, "state": state}, 200 if ready else 503)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": metrics_adapter.CONTENT_TYPE},
        )

    async def _get_status(self, request: web.Request) -> web.Response:
        return json_response(self._status())

    async def _get_snapshot(self, request: web.Request) -> web.Response:
        return web.Response(text=self._snapshot(), content_type="application/json")

    async def _start_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return json_response(self._status())
