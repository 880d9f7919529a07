"""Demand, admission and topic snapshots between processes: thrift over HTTP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from aiohttp import web

from copperrun.adapters import wire
from copperrun.adapters.bodies import MAX_VIEW_BYTES
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.sides import side_error
from copperrun.gen import ttypes
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.ports.admission import Admission
from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import DemandReport
from copperrun.ports.admission import Granted
from copperrun.ports.admission import NotHeld
from copperrun.ports.admission import Overloaded
from copperrun.ports.admission import PeerEngine
from copperrun.ports.admission import PromptPart
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicSnapshot
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.side.admission import AdmissionController

DEMAND_PATH = "/internal/demand"
ADMIT_PATH = "/internal/admit"
PROGRESS_PATH = "/internal/progress"
PEER_CHANGE_PATH = "/internal/peer"
VIEW_PATH = "/internal/view"
DEMAND_REPLY_MARGIN_MS = 400  # added to hold_ms, for which a side may hold a reply
NEWER_THAN = "newer-than"  # asks for a catalog of a later version only
SIDES_ASKED = 2  # beside the seeds, which may be cut off from the store, too
VIEW_TIMEOUT_MS = 600  # a process that starts waits for the answers
PROGRESS_BATCH_MS = 5  # events within this time share one message
NOTIFY_TIMEOUT_MS = 1_000
# The system sends a lost first packet of a connection again after 1 s, then 3 s. After
# a power loss many machines come back within a second.
CONNECT_TIMEOUT_MS = 400

AddressResolver = Callable[[ServerRecord], str]


class HttpEngineSides:
    """Calls to the sides beside engines, which admit requests to them."""

    def __init__(
        self, client: HttpClient, resolve_address: AddressResolver, timers: Timers
    ) -> None:
        self._client = client
        self._resolve_address = resolve_address
        self._timers = timers
        self._progress_by_server: dict[str, ttypes.Progress] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def report_demand(
        self, server: ServerRecord, demand: DemandReport, hold_ms: int
    ) -> ServerReport | SideError:
        """Report demand; the side replies on a change or after ``hold_ms``."""
        message = ttypes.Demand(
            entry=demand.entry,
            arrivals=dict(demand.arrivals),
            waiting=dict(demand.waiting),
            queued=dict(demand.queued),
            engines={
                address: _encode_peer(peer) for address, peer in demand.engines.items()
            },
            hold_ms=hold_ms,
            continuing=dict(demand.continuing) or None,
        )
        body = await self._post(
            server, DEMAND_PATH, message, hold_ms + DEMAND_REPLY_MARGIN_MS
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
            reply.free_tokens,
            reply.step_ms or 0.0,
            reply.work_ms or 0.0,
            reply.wait_ms or {},
        )

    async def admit(
        self, server: ServerRecord, admission_request: AdmissionRequest
    ) -> Admission | SideError:
        """Wait until the engine can take a request, with its adapter loaded."""
        message = _encode_admission(admission_request)
        body = await self._post(
            server, ADMIT_PATH, message, admission_request.remaining_ms
        )
        if isinstance(body, SideError):
            return body
        reply = wire.decode(ttypes.AdmitResult, body)
        if isinstance(reply, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, reply.detail)
        match reply.admission:
            case ttypes.Admission.GRANTED:
                return Granted(reply.born_ms or 0, reply.server_id or "")
            case ttypes.Admission.NOT_HELD:
                return NotHeld()
            case _:
                return Overloaded(reply.retry_after_ms)

    def report_started(self, server: ServerRecord, request: str) -> None:
        """Notify the side, in the next batch, of a request's first event."""
        self._pending_progress(server).started.append(request)

    def report_ended(self, server: ServerRecord, request: str) -> None:
        """Notify the side, in the next batch, that an admitted request ended."""
        self._pending_progress(server).ended.append(request)

    def send_peer_change(
        self, server: ServerRecord, address: str, engine: PeerEngine
    ) -> None:
        """Notify another engine's side of the state of the one at ``address``."""
        message = ttypes.PeerChange(address=address, engine=_encode_peer(engine))
        # If it is lost, the entries report the change within a reporting interval.
        self._spawn(self._post(server, PEER_CHANGE_PATH, message, NOTIFY_TIMEOUT_MS))

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pending_progress(self, server: ServerRecord) -> ttypes.Progress:
        """Return the batch that is sent to the side next."""
        progress = self._progress_by_server.get(server.id)
        if progress is None:
            progress = ttypes.Progress(started=[], ended=[])
            self._progress_by_server[server.id] = progress
            self._spawn(self._send_progress(server))
        return progress

    async def _send_progress(self, server: ServerRecord) -> None:
        await self._timers.sleep_ms(PROGRESS_BATCH_MS)
        message = self._progress_by_server.pop(server.id)
        # If it is lost, the side's records of these requests expire.
        await self._post(server, PROGRESS_PATH, message, NOTIFY_TIMEOUT_MS)

    async def _post(
        self, server: ServerRecord, path: str, message: object, timeout_ms: int
    ) -> bytes | SideError:
        reply = await self._client.call(
            "POST",
            f"http://{self._resolve_address(server)}{path}",
            body=wire.encode(message),
            timeout_ms=timeout_ms,
            connect_ms=CONNECT_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        if reply.status != 200:
            detail = f"{path}: side answered {reply.status}"
            return SideError(SideErrorReason.ANSWER_LOST, detail)
        return reply.body


class EngineSideRoutes:
    """Handlers of a side for the messages of entries and other sides."""

    def __init__(
        self,
        placement: PlacementController,
        admission: AdmissionController,
        demand: DemandView,
    ) -> None:
        self._placement = placement
        self._admission = admission
        self._demand = demand
        self._is_leaving = False

    def add_to(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post(DEMAND_PATH, self._handle_demand)
        app.router.add_post(ADMIT_PATH, self._handle_admit)
        app.router.add_post(PROGRESS_PATH, self._handle_progress)
        app.router.add_post(PEER_CHANGE_PATH, self._handle_peer_change)
        app.on_shutdown.append(self._end_held_replies)

    async def _end_held_replies(self, app: web.Application) -> None:
        """End the replies that are held; cutting them off would be logged as errors."""
        self._is_leaving = True
        self._placement.end_waits()

    async def _handle_demand(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Demand, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        engines = {
            address: _decode_peer(peer) for address, peer in message.engines.items()
        }
        demand = DemandReport(
            message.entry,
            message.arrivals,
            message.waiting,
            message.queued,
            engines,
            message.continuing or {},
        )
        self._demand.apply_report(demand)
        if any(demand.waiting.values()) or any(demand.continuing.values()):
            await self._placement.step()
        if message.hold_ms > 0:
            await self._placement.wait_change(message.hold_ms)
        report = None if self._is_leaving else self._admission.report()
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
            use=report.utilization,
            server_id=report.server_id,
            active=set(report.active),
            free_tokens=report.free_tokens,
            step_ms=report.step_ms or None,
            work_ms=report.work_ms or None,
            wait_ms=dict(report.wait_ms) or None,
        )
        return web.Response(body=wire.encode(reply))

    async def _handle_admit(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Admit, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        admission = await self._admission.admit(_decode_admission(message))
        match admission:
            case Granted(born_ms, server_id):
                reply = ttypes.AdmitResult(
                    ttypes.Admission.GRANTED, 0, born_ms, server_id
                )
            case NotHeld():
                reply = ttypes.AdmitResult(ttypes.Admission.NOT_HELD, 0)
            case Overloaded(retry_after_ms):
                reply = ttypes.AdmitResult(ttypes.Admission.OVERLOADED, retry_after_ms)
        return web.Response(body=wire.encode(reply))

    async def _handle_peer_change(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.PeerChange, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        self._demand.apply_peer_report(message.address, _decode_peer(message.engine))
        return web.Response()

    async def _handle_progress(self, request: web.Request) -> web.Response:
        message = wire.decode(ttypes.Progress, await request.read())
        if isinstance(message, wire.WireError):
            return web.Response(status=400, text=message.detail)
        self._admission.record_progress(message.started, message.ended)
        return web.Response()


def _encode_admission(req: AdmissionRequest) -> ttypes.Admit:
    """Encode a request; fields without a value are left out."""
    return ttypes.Admit(
        request=req.request,
        model=req.model,
        adapter=req.adapter,
        priority=req.priority,
        tokens=req.tokens,
        gap_ms=req.gap_ms,
        target_ms=req.target_ms,
        remaining_ms=req.remaining_ms,
        account=req.account or None,
        output_tokens=req.output_tokens or None,
        expected_output=req.expected_output or None,
        likely_output=req.likely_output or None,
        alternatives=req.alternatives or None,
        continues=req.continues or None,
        parts=[ttypes.PromptPart(*part) for part in req.parts] or None,
        body_bytes=req.body_bytes or None,
    )


def _decode_admission(message: ttypes.Admit) -> AdmissionRequest:
    return AdmissionRequest(
        message.request,
        message.model,
        message.adapter,
        message.priority,
        message.tokens,
        message.gap_ms,
        message.target_ms,
        message.remaining_ms,
        message.account or "",
        message.output_tokens or 0,
        message.expected_output or 0,
        message.likely_output or 0,
        message.alternatives or 0,
        bool(message.continues),
        tuple(PromptPart(part.id, part.tokens) for part in message.parts or ()),
        message.body_bytes or 0,
    )


def _encode_peer(peer: PeerEngine) -> ttypes.PeerEngine:
    return ttypes.PeerEngine(
        held=set(peer.held),
        loading=set(peer.loading),
        use=peer.utilization,
        active=set(peer.active),
    )


def _decode_peer(peer: ttypes.PeerEngine) -> PeerEngine:
    return PeerEngine(
        frozenset(peer.held),
        frozenset(peer.loading),
        peer.use,
        frozenset(peer.active),
    )


class HttpTopicPeers:
    """Fetches topic snapshots from other processes.

    Attributes:
        addresses: ``host:port`` of the processes to ask.
        sides: ``host:port`` of the sides, which may be asked, too.
    """

    def __init__(self, client: HttpClient, addresses: Sequence[str]) -> None:
        self.addresses = addresses
        self.sides: Sequence[str] = ()
        self._client = client

    async def fetch_snapshots(self) -> Mapping[str, TopicSnapshot]:
        """Return the newest snapshot of each topic; empty when no peer has one."""
        newest: dict[str, TopicSnapshot] = {}
        for view in await asyncio.gather(*map(self._fetch_view, self.addresses)):
            for topic, snapshot in view.items():
                if topic not in newest or snapshot.position > newest[topic].position:
                    newest[topic] = snapshot
        return newest

    async def fetch_catalogs(self, version: int) -> Sequence[bytes]:
        """Return encoded catalogs of a few peers that are newer than ``version``."""
        sides = random.sample(self.sides, min(SIDES_ASKED, len(self.sides)))
        query = f"?{NEWER_THAN}={version}"
        views = await asyncio.gather(
            *(self._fetch_view(peer, query) for peer in (*self.addresses, *sides))
        )
        return [
            value
            for view in views
            for snapshot in view.values()
            for value in snapshot.items.values()
        ]

    async def _fetch_view(
        self, address: str, query: str = ""
    ) -> Mapping[str, TopicSnapshot]:
        reply = await self._client.call(
            "GET",
            f"http://{address}{VIEW_PATH}{query}",
            timeout_ms=VIEW_TIMEOUT_MS,
            max_bytes=MAX_VIEW_BYTES,
        )
        if isinstance(reply, HttpFailure) or reply.status != 200:
            return {}
        view = wire.decode(ttypes.View, reply.body)
        if isinstance(view, wire.WireError):
            return {}
        return {
            topic: TopicSnapshot(item.items, item.end, item.era or 0)
            for topic, item in view.topics.items()
        }


def encode_view(topics: Mapping[str, TopicSnapshot]) -> bytes:
    """Serialize the snapshots of the topics that have been read, for peers."""
    return wire.encode(
        ttypes.View(
            topics={
                topic: ttypes.TopicView(
                    items=dict(snapshot.items), end=snapshot.end, era=snapshot.era
                )
                for topic, snapshot in topics.items()
                if snapshot.end >= 0
            }
        )
    )
