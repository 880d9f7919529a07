"""Control messages between entries and the sides beside engines: thrift over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from aiohttp import web

from copperrun.adapters import wire
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.sides import side_error
from copperrun.gen import ttypes
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.ports.engines import Admission
from copperrun.ports.engines import Demand
from copperrun.ports.engines import Entrance
from copperrun.ports.engines import Granted
from copperrun.ports.engines import NotHeld
from copperrun.ports.engines import Overloaded
from copperrun.ports.engines import PeerEngine
from copperrun.ports.feed import FeedSnapshot
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.side.admission import AdmissionController

EXCHANGE_PATH = "/internal/demand"
ADMIT_PATH = "/internal/admit"
PROGRESS_PATH = "/internal/progress"
PEER_PATH = "/internal/peer"
VIEW_PATH = "/internal/view"
EXCHANGE_MARGIN_MS = 400  # on top of the time that a side may hold a reply
VIEW_TIMEOUT_MS = 1_000
PROGRESS_DELAY_MS = 5  # what happens together is told together
PROGRESS_TIMEOUT_MS = 1_000

AddressOf = Callable[[ServerRecord], str]


class HttpEngines:
    """Calls of the sides, by the address of their engine."""

    def __init__(
        self, client: HttpClient, address_of: AddressOf, timers: Timers
    ) -> None:
        self._client = client
        self._address_of = address_of
        self._timers = timers
        self._progress: dict[str, ttypes.Progress] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def exchange(
        self, server: ServerRecord, demand: Demand, hold_ms: int
    ) -> ServerReport | SideError:
        """Report demand; the reply comes with a change or after ``hold_ms``."""
        message = ttypes.Demand(
            entry=demand.entry,
            arrivals=dict(demand.arrivals),
            waiting=dict(demand.waiting),
            queued=dict(demand.queued),
            engines={
                address: _encode_peer(peer) for address, peer in demand.engines.items()
            },
            hold_ms=hold_ms,
        )
        body = await self._post(
            server, EXCHANGE_PATH, message, hold_ms + EXCHANGE_MARGIN_MS
        )
        if isinstance(body, SideError):
            return body
        reply = wire.decode(ttypes.EngineReport, body)
        if isinstance(reply, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, reply.detail)
        return ServerReport(
            reply.born_ms,
            {model: frozenset(items) for model, items in reply.held.items()},
            reply.running,
            reply.queued,
            reply.loading,
            reply.entries,
            reply.backlog_ms,
            reply.use,
            reply.server_id,
            frozenset(reply.active),
        )

    async def admit(
        self, server: ServerRecord, entrance: Entrance
    ) -> Admission | SideError:
        """Wait until the engine can take a request, with its adapter loaded."""
        message = ttypes.Admit(**entrance._asdict())
        body = await self._post(server, ADMIT_PATH, message, entrance.remaining_ms)
        if isinstance(body, SideError):
            return body
        reply = wire.decode(ttypes.AdmitResult, body)
        if isinstance(reply, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, reply.detail)
        match reply.admission:
            case ttypes.Admission.GRANTED:
                return Granted()
            case ttypes.Admission.NOT_HELD:
                return NotHeld()
            case _:
                return Overloaded(reply.retry_after_ms)

    def note_started(self, server: ServerRecord, request: str) -> None:
        """Tell the side, soon, that an admitted request has its first event."""
        self._pending(server).started.append(request)

    def note_ended(self, server: ServerRecord, request: str) -> None:
        """Tell the side, soon, that an admitted request has ended."""
        self._pending(server).ended.append(request)

    def tell_peer(self, server: ServerRecord, address: str, engine: PeerEngine) -> None:
        """Tell the side of another engine what the one at ``address`` holds."""
        message = ttypes.PeerChange(address=address, engine=_encode_peer(engine))
        # When it is lost, the entries tell of it within a reporting period.
        self._start(self._post(server, PEER_PATH, message, PROGRESS_TIMEOUT_MS))

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pending(self, server: ServerRecord) -> ttypes.Progress:
        """Return the message that the side gets next."""
        progress = self._progress.get(server.id)
        if progress is None:
            progress = ttypes.Progress(started=[], ended=[])
            self._progress[server.id] = progress
            self._start(self._send_progress(server))
        return progress

    async def _send_progress(self, server: ServerRecord) -> None:
        await self._timers.sleep_ms(PROGRESS_DELAY_MS)
        message = self._progress.pop(server.id)
        # When it is lost, what it tells lapses at the side.
        await self._post(server, PROGRESS_PATH, message, PROGRESS_TIMEOUT_MS)

    async def _post(
        self, server: ServerRecord, path: str, message: object, timeout_ms: int
    ) -> bytes | SideError:
        reply = await self._client.call(
            "POST",
            f"http://{self._address_of(server)}{path}",
            body=wire.encode(message),
            timeout_ms=timeout_ms,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        if reply.status != 200:
            detail = f"{path}: side answered {reply.status}"
            return SideError(SideErrorReason.ANSWER_LOST, detail)
        return reply.body


class EngineRoutes:
    """A side's handlers of what entries ask."""

    def __init__(
        self,
        placement: PlacementController,
        admission: AdmissionController,
        demand: DemandView,
    ) -> None:
        self._placement = placement
        self._admission = admission
        self._demand = demand

    def add_to(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post(EXCHANGE_PATH, self._exchange)
        app.router.add_post(ADMIT_PATH, self._admit)
        app.router.add_post(PROGRESS_PATH, self._take_progress)
        app.router.add_post(PEER_PATH, self._take_peer)

    async def _exchange(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Demand, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        engines = {
            address: _decode_peer(peer) for address, peer in message.engines.items()
        }
        demand = Demand(
            message.entry, message.arrivals, message.waiting, message.queued, engines
        )
        self._demand.apply_report(demand)
        if any(demand.waiting.values()):
            await self._placement.step()
        if message.hold_ms > 0:
            await self._placement.wait_change(message.hold_ms)
        report = self._admission.report()
        if report is None:
            return web.Response(status=503)
        reply = ttypes.EngineReport(
            born_ms=report.born_ms,
            held={model: set(items) for model, items in report.held.items()},
            running=report.running,
            queued=report.queued,
            loading=dict(report.loading),
            entries=self._demand.entry_count(),
            backlog_ms=report.backlog_ms,
            use=report.use,
            server_id=report.server_id,
            active=set(report.active),
        )
        return web.Response(body=wire.encode(reply))

    async def _admit(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Admit, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        admission = await self._admission.admit(Entrance(**vars(message)))
        match admission:
            case Granted():
                reply = ttypes.AdmitResult(ttypes.Admission.GRANTED, 0)
            case NotHeld():
                reply = ttypes.AdmitResult(ttypes.Admission.NOT_HELD, 0)
            case Overloaded(retry_after_ms):
                reply = ttypes.AdmitResult(ttypes.Admission.OVERLOADED, retry_after_ms)
        return web.Response(body=wire.encode(reply))

    async def _take_peer(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.PeerChange, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        self._demand.apply_peer_report(message.address, _decode_peer(message.engine))
        return web.Response()

    async def _take_progress(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Progress, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        self._admission.record_progress(message.started, message.ended)
        return web.Response()


def _encode_peer(peer: PeerEngine) -> ttypes.PeerEngine:
    return ttypes.PeerEngine(
        held=set(peer.held),
        loading=set(peer.loading),
        use=peer.use,
        active=set(peer.active),
    )


def _decode_peer(peer: ttypes.PeerEngine) -> PeerEngine:
    return PeerEngine(
        frozenset(peer.held),
        frozenset(peer.loading),
        peer.use,
        frozenset(peer.active),
    )


class HttpViews:
    """Asks other processes for the topics that they know.

    Attributes:
        addresses: ``host:port`` of the processes that are asked.
    """

    def __init__(self, client: HttpClient, addresses: Sequence[str]) -> None:
        self.addresses = addresses
        self._client = client

    async def fetch(self) -> Mapping[str, FeedSnapshot]:
        """Return the newest view of each topic among the peers asked."""
        newest: dict[str, FeedSnapshot] = {}
        for address in self.addresses:
            reply = await self._client.call(
                "GET", f"http://{address}{VIEW_PATH}", timeout_ms=VIEW_TIMEOUT_MS
            )
            if isinstance(reply, HttpFailure) or reply.status != 200:
                continue
            view = wire.decode(ttypes.View, reply.body)
            if isinstance(view, wire.WireError):
                continue
            for topic, item in view.topics.items():
                if topic not in newest or item.end > newest[topic].end:
                    newest[topic] = FeedSnapshot(item.items, item.end)
        return newest


def encode_view(topics: Mapping[str, FeedSnapshot]) -> bytes:
    """Serialize what this process knows, for its peers."""
    return wire.encode(
        ttypes.View(
            topics={
                topic: ttypes.TopicView(items=dict(view.items), end=view.end)
                for topic, view in topics.items()
                if view.end >= 0
            }
        )
    )
