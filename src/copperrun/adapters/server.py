"""HTTP server of all roles: connection limits, shared keys, JSON responses."""

from __future__ import annotations

import hmac
import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from copperrun.adapters.listener import BoundedRunner
from copperrun.adapters.sides import SHARED_KEY_HEADER
from copperrun.ports.timers import Subscription
from copperrun.ports.timers import Timers

IDLE_SWEEP_MS = 1_000
SHUTDOWN_TIMEOUT_S = 0.1  # short: requests are drained before the server closes
UNAUTHENTICATED_PATHS = frozenset({"/healthz", "/readyz"})

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ServerLimits(NamedTuple):
    """Limits on connections.

    Attributes:
        max_connections: Open connections; requests beyond it are answered 503.
        idle_timeout_ms: Time after which a connection that has not sent a complete
            request head, before its first request or between two, is closed.
    """

    max_connections: int
    idle_timeout_ms: int


class HttpServer:
    """One listener with its connections."""

    def __init__(
        self, app: web.Application, limits: ServerLimits, timers: Timers
    ) -> None:
        self._limits = limits
        self._timers = timers
        app.middlewares.append(self._track_request)
        app.on_response_prepare.append(self._set_response_headers)
        self._runner = BoundedRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._site: web.BaseSite | None = None
        self._idle_sweep: Subscription | None = None
        self._idle_since: dict[RequestHandler, int] = {}
        self._busy: set[RequestHandler] = set()
        self._closes_after_response = False

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return len(self._busy)

    def close_after_responses(self) -> None:
        """Close each connection after its next response."""
        self._closes_after_response = True

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; port 0 picks a free one."""
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()
        self._idle_sweep = self._timers.subscribe(IDLE_SWEEP_MS, self._close_idle)
        return int(self._runner.addresses[0][1])

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Close every connection."""
        if self._idle_sweep is not None:
            self._idle_sweep.cancel()
        await self._runner.cleanup()

    async def _set_response_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Server"] = "copperrun"
        if self._closes_after_response:
            response.force_close()

    @web.middleware
    async def _track_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Track connections with a request, and answer 503 beyond the limit."""
        protocol = request.protocol
        self._busy.add(protocol)
        self._idle_since.pop(protocol, None)
        try:
            if len(self._connections()) > self._limits.max_connections:
                response = web.Response(status=503, headers={"Retry-After": "1"})
                response.force_close()
                return response
            return await handler(request)
        finally:
            self._busy.discard(protocol)

    def _connections(self) -> Sequence[RequestHandler]:
        server = self._runner.server
        return server.connections if server is not None else ()

    async def _close_idle(self) -> None:
        """Close connections that exceeded the idle timeout."""
        now = self._timers.now_ms()
        connections = set(self._connections())
        for gone in self._idle_since.keys() - connections:
            del self._idle_since[gone]
        for protocol in connections - self._busy:
            since = self._idle_since.setdefault(protocol, now)
            if now - since >= self._limits.idle_timeout_ms:
                protocol.force_close()
                del self._idle_since[protocol]


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=json.dumps(value).encode(), status=status, content_type="application/json"
    )


def shared_key_middleware(keys: Sequence[str]) -> Any:
    """Return a middleware that answers 401 unless a shared key is given."""
    accepted = [key.encode() for key in keys]

    @web.middleware
    async def check_key(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path in UNAUTHENTICATED_PATHS or has_shared_key(request, accepted):
            return await handler(request)
        return json_response({"error": "the shared key is missing or wrong"}, 401)

    return check_key


def has_shared_key(request: web.Request, accepted: Sequence[bytes]) -> bool:
    """Return whether a request carries a shared key, compared in constant time."""
    bearer = request.headers.get("Authorization", "").removeprefix("Bearer ")
    given = request.headers.get(SHARED_KEY_HEADER, bearer).encode()
    matches = [hmac.compare_digest(given, key) for key in accepted]
    return any(matches)
