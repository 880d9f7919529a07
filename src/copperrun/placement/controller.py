"""Loads and unloads models on the engine beside this side, one move at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from loguru import logger

from copperrun.placement.adapter_slots import AdapterKey
from copperrun.placement.adapter_slots import AdapterSlots
from copperrun.placement.demand import DemandView
from copperrun.placement.loads import LoadRateLimiter
from copperrun.placement.moves import TYPICAL_DRAIN_S
from copperrun.placement.moves import EngineView
from copperrun.placement.moves import ModelDemand
from copperrun.placement.moves import Move
from copperrun.placement.moves import demand_from_copies
from copperrun.placement.moves import load_ms
from copperrun.placement.moves import model_memory_mb
from copperrun.placement.moves import plan_moves
from copperrun.ports.admission import Granted
from copperrun.ports.admission import PeerEngine
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine_control import EngineControl
from copperrun.ports.engine_control import EngineOrder
from copperrun.ports.engine_control import EngineStatus
from copperrun.ports.engine_control import OrderResult
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.signals import ChangeSignal

STATUS_INTERVAL_MS = 100  # reads by the engine's own side are free of charge
# Beyond it, the status does not show which start of the engine runs. Reading it takes
# up to 500 ms.
MAX_STATUS_AGE_MS = 700
PLAN_INTERVAL_MS = 300  # entries report a newly missing model within this time
ADAPTER_POLL_INTERVAL_MS = 5  # adapters load in 7 to 130 ms
SLOT_POLL_INTERVAL_MS = 30  # while all adapter slots are in use or an order is pending
# Time after the expected end of a load in which the model is not evicted; as long as a
# load from the store takes.
MIN_RESIDENCY_MS = 5_000
EVICTION_NOTICE_MS = 200  # lets entries stop sending requests before the unload
TYPICAL_DRAIN_MS = int(TYPICAL_DRAIN_S * 1000)
REFUSED_RETRY_DELAY_MS = 500  # pause in orders after the engine refused one
UNANSWERED_RETRY_DELAY_MS = 600  # pause in orders after one without an answer
DEFAULT_CAPACITY_RPS = 12.0  # until the first report to an entry sets an estimate
INITIAL_DEMAND_WAIT_MS = 1_500  # after a start; entries report twice in this time


@dataclass
class _OngoingMove:
    """A move under way.

    Attributes:
        move: The planned move.
        started_ms: When the move began.
        load_ordered_ms: When the load was ordered; None until then.
        expected_load_ms: Expected duration of the load.
        pending_victims: Models that are still to be unloaded.
    """

    move: Move
    started_ms: int
    load_ordered_ms: int | None = None
    expected_load_ms: int = 0
    pending_victims: list[str] = field(default_factory=list)


class PlacementController:
    """Loads and evicts models of one engine by demand; one task runs ``run``.

    Attributes:
        epoch: Fencing token of its orders; None while it may send none.
        spec: Properties of the engine; None while the pool is not known.
        status: Latest status of the engine; None while it cannot be read.
        address: Address of the engine, which identifies it within the pool.
        on_change: Called when the models held or about to be loaded change.
        utilization: Fraction of time that the engine spends on prefill.
        active: Models with running requests.
        capacity_rps: Requests per second that the engine can prefill when fully used.
        pause_ms: Time for prefill within the pause that streams of the pool allow; None
            when they allow any, or when callers wait for a load. All sides know it
            alike, also those of idle engines.

    Each order carries the number of orders that the engine must have accepted before
    it, so an unanswered order has no effect once a later one has been accepted.
    """

    def __init__(
        self,
        control: EngineControl,
        demand: DemandView,
        loads: LoadRateLimiter,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self.epoch: int | None = None
        self.spec: EngineSpec | None = None
        self.status: EngineStatus | None = None
        self.address = ""
        self.on_change: Callable[[], None] | None = None
        self.utilization = 0.0
        self.active: frozenset[str] = frozenset()
        self.capacity_rps = DEFAULT_CAPACITY_RPS
        self.pause_ms: float | None = None
        self._control = control
        self._demand = demand
        self._loads = loads
        self._timers = timers
        self._metrics = metrics
        self._peer_servers: list[ServerRecord] = []
        self._own_record: ServerRecord | None = None
        self._id_from_engine = ""
        self._ongoing: _OngoingMove | None = None
        self._adapter_slots = AdapterSlots()
        self._order_lock = asyncio.Lock()
        self._sequence = 0
        self._changed = ChangeSignal(timers)
        self._paused_until_ms = 0
        self._last_plan_ms = timers.now_ms() - PLAN_INTERVAL_MS
        self._loaded_at_ms: dict[str, int] = {}
        self._started_ms = timers.now_ms()
        self._is_stepping = False
        self._status_ms = timers.now_ms()  # when the status was asked for

    @property
    def server_id(self) -> str:
        """Identity of the engine's current start; empty while unknown."""
        status, record = self.status, self._own_record
        if record and status and record.born_ms == status.born_ms:
            return record.id
        return self._id_from_engine

    def set_servers(
        self,
        address: str,
        own_record: ServerRecord | None,
        peer_servers: Sequence[ServerRecord],
    ) -> None:
        """Set the registry records of this engine and of its pool's other engines."""
        self.address = address
        self._own_record = own_record
        self._peer_servers = [server for server in peer_servers if not server.leaving]

    async def run(self) -> None:
        """Poll the engine's status and carry out moves until cancelled."""
        while True:
            async with self._order_lock:
                await self._refresh_status()
            await self.step()
            await self._timers.sleep_ms(STATUS_INTERVAL_MS)

    async def wait_change(self, timeout_ms: int) -> None:
        """Wait until the models in the report change, at most ``timeout_ms``."""
        await self._changed.wait(timeout_ms)

    def end_waits(self) -> None:
        """Wake the tasks in ``wait_change`` without a change."""
        self._changed.notify_all()

    def report(self) -> ServerReport | None:
        """Return the engine's report for entries; None while its status is unknown."""
        status = self.status
        if status is None:
            return None
        evicting = self._ongoing.move.victims if self._ongoing is not None else ()
        held = {
            model: adapters
            for model, adapters in status.held.items()
            if model not in evicting
        }
        return ServerReport(
            status.born_ms,
            held,
            status.running,
            status.queued,
            self._expected_load_waits_ms(),
            utilization=self.utilization,
            server_id=self.server_id,
            active=self.active,
        )

    def grant(self) -> Granted:
        """Return the admission of a request, with the engine's start if it is sure.

        After this process was paused, its status may be that of an earlier start.
        """
        age_ms = self._timers.now_ms() - self._status_ms
        if self.status is None or age_ms > MAX_STATUS_AGE_MS:
            return Granted()
        return Granted(self.status.born_ms, self.server_id)

    def peer_servers(self) -> Sequence[ServerRecord]:
        """Return the registry records of the pool's other engines."""
        return self._peer_servers

    def as_peer(self) -> PeerEngine | None:
        """Return the report for other sides; None while the status is unknown."""
        report = self.report()
        if report is None:
            return None
        return PeerEngine(
            frozenset(report.held),
            frozenset(report.loading),
            self.utilization,
            self.active,
        )

    async def step(self) -> None:
        """Continue the move under way, or begin the next one."""
        if self._is_stepping:
            return
        self._is_stepping = True
        try:
            await self._step()
        finally:
            self._is_stepping = False

    async def _step(self) -> None:
        spec, status = self.spec, self.status
        if spec is None or status is None or self.epoch is None:
            return
        now = self._timers.now_ms()
        if status.busy or now < self._paused_until_ms:
            return
        if self._ongoing is None:
            self._begin_move(spec, status, now)
        if self._ongoing is not None:
            await self._advance_move(self._ongoing, spec, status, now)

    def holds(self, model: str) -> bool:
        """Return whether new requests may use a model."""
        status = self.status
        if status is None or model not in status.held:
            return False
        return self._ongoing is None or model not in self._ongoing.move.victims

    async def prepare(
        self, use_id: str, model: str, adapter: str, timeout_ms: int
    ) -> bool:
        """Load the adapter of a request, if any; return whether the request can run.

        The adapter is not evicted until ``end_use``.
        """
        if not adapter:
            return self.holds(model)
        key = AdapterKey(model, adapter)
        self._adapter_slots.begin_use(use_id, key, self._timers.now_ms())
        ready = False
        try:
            async with self._timers.timeout_ms(timeout_ms):
                ready = await self._wait_for_adapter(key)
        except TimeoutError:
            logger.info("adapter load timed out", model=model, adapter=adapter)
        finally:
            if not ready:
                self.end_use(use_id)
        return ready

    def end_use(self, use_id: str) -> None:
        """Release the adapter that was loaded for a request."""
        self._adapter_slots.end_use(use_id, self._timers.now_ms())

    async def _refresh_status(self) -> None:
        """Read the engine's status; the caller holds the order lock."""
        asked_ms = self._timers.now_ms()
        status = await self._control.status()
        previous, self.status = self.status, status
        self._status_ms = asked_ms
        if status is None:
            if previous is not None:
                logger.warning("engine status unavailable")
            return
        if previous is None or previous.born_ms != status.born_ms:
            logger.info(
                "engine status available",
                born_ms=status.born_ms,
                held=sorted(status.held),
            )
            self._ongoing = None
            self._paused_until_ms = 0
            self._id_from_engine = ""
        self._sequence = status.sequence
        if previous is None or previous.held.keys() != status.held.keys():
            self._notify_change()

    def _begin_move(self, spec: EngineSpec, status: EngineStatus, now: int) -> None:
        if now - self._last_plan_ms < PLAN_INTERVAL_MS:
            return
        # Planning without demand would load models that no caller requests.
        if now - self._started_ms < INITIAL_DEMAND_WAIT_MS and (
            status.held or not self._demand.has_demand
        ):
            return
        self._last_plan_ms = now
        views = self._engine_views(status)
        self._demand.update_held(frozenset[str]().union(*(view.held for view in views)))
        if self._demand.has_demand:
            demand = self._demand.demand()
        else:
            demand = demand_from_copies(views, self.capacity_rps)
        utilizations = [peer.utilization for peer in self._demand.peers().values()]
        utilizations.append(self.utilization)
        pressure = sum(utilizations) / len(utilizations)
        for move in self._plan_moves(spec, views, demand, pressure):
            if move.engine != self.address:
                continue
            if self._load_delay_ms(spec, status, move.model) > 0:
                return
            model_demand = demand.get(move.model, ModelDemand())
            logger.info(
                "move started",
                model=move.model,
                victims=move.victims,
                gain=round(move.gain, 3),
                rate=round(model_demand.rate, 2),
                steady_rate=round(model_demand.steady_rate, 2),
                waiting=model_demand.waiting,
                queued=model_demand.queued,
                missing_s=round(model_demand.missing_s, 1),
                pressure=round(pressure, 3),
                engines=len(views),
            )
            self._ongoing = _OngoingMove(move, now, pending_victims=list(move.victims))
            self._notify_change()
            return

    def _plan_moves(
        self,
        spec: EngineSpec,
        views: Sequence[EngineView],
        demand: Mapping[str, ModelDemand],
        pressure: float,
    ) -> Iterator[Move]:
        """Yield the moves worth making; first those for streams that must go on here.

        Such a stream goes on only at engines of one software version, so a copy at
        another engine is none for it.
        """
        pause_prompts = None
        if self.pause_ms is not None:
            pause_prompts = self.pause_ms * self.capacity_rps / 1000
        continuing = self._demand.continuing()
        own = self._own_record
        if continuing and own is not None and own.software_version:
            alike = {
                server.address
                for server in self._peer_servers
                if server.software_version == own.software_version
            }
            alike.add(self.address)
            needed = dict(demand)
            for model, count in continuing.items():
                item = needed.get(model, ModelDemand())
                needed[model] = item._replace(waiting=item.waiting + count)
            same_version = [view for view in views if view.id in alike]
            for move in plan_moves(
                spec,
                same_version,
                needed,
                pressure,
                self.capacity_rps,
                pause_prompts,
                self.address,
            ):
                if continuing[move.model]:
                    yield move
        yield from plan_moves(
            spec,
            views,
            demand,
            pressure,
            self.capacity_rps,
            pause_prompts,
            self.address,
        )

    async def _advance_move(
        self, ongoing: _OngoingMove, spec: EngineSpec, status: EngineStatus, now: int
    ) -> None:
        model = ongoing.move.model
        ongoing.pending_victims = [
            name for name in ongoing.pending_victims if name in status.held
        ]
        if ongoing.pending_victims:
            if now - ongoing.started_ms >= EVICTION_NOTICE_MS:
                victim = ongoing.pending_victims[0]
                if await self._send_order(OrderKind.UNLOAD, victim) in _SUCCESSFUL:
                    self._metrics.record_move("unload", "model")
            return
        if model in status.held or ongoing.load_ordered_ms is not None:
            self._ongoing = None
            self._notify_change()
            return
        used_mb = sum(
            spec.models[name].size_mb for name in status.held if name in spec.models
        )
        if used_mb + spec.models[model].size_mb > model_memory_mb(spec):
            logger.warning(
                "move cancelled: not enough accelerator memory",
                model=model,
                held=list(status.held),
            )
            self._ongoing = None
            self._notify_change()
            return
        if await self._send_order(OrderKind.LOAD, model) in _SUCCESSFUL:
            ongoing.load_ordered_ms = now
            ongoing.expected_load_ms = load_ms(
                self._own_view(status), spec.models[model]
            )
            self._loaded_at_ms[model] = now + ongoing.expected_load_ms
            self._notify_change()
            self._metrics.record_move("load", "model")

    async def _wait_for_adapter(self, key: AdapterKey) -> bool:
        while True:
            pause_ms = ADAPTER_POLL_INTERVAL_MS
            async with self._order_lock:
                await self._refresh_status()
                status, spec = self.status, self.spec
                if status is None or spec is None or not self.holds(key.model):
                    return False
                unloading = self._adapter_slots.is_unloading(key, self._timers.now_ms())
                if key.adapter in status.held[key.model] and not unloading:
                    return True
                if key not in status.loading_adapters:
                    if self.epoch is None:
                        return False
                    if unloading or not await self._order_adapter(spec, status, key):
                        pause_ms = SLOT_POLL_INTERVAL_MS
            await self._timers.sleep_ms(pause_ms)

    async def _order_adapter(
        self, spec: EngineSpec, status: EngineStatus, key: AdapterKey
    ) -> bool:
        """Order a load of an adapter, or an unload that frees a slot for it.

        The caller holds the order lock.
        """
        now = self._timers.now_ms()
        if status.busy or now < self._paused_until_ms:
            return False
        loaded = _loaded_adapters(status)
        if (
            self._adapter_slots.used_count(loaded, status.loading_adapters, now)
            < spec.max_adapters
        ):
            result = await self._send_order_locked(OrderKind.LOAD, *key)
            return result in _SUCCESSFUL
        victim = self._adapter_slots.choose_victim(loaded, now)
        if victim is None:
            return False
        result = await self._send_order_locked(OrderKind.UNLOAD, *victim)
        if result is not OrderResult.IN_EFFECT and result is not OrderResult.CONFLICT:
            # The unload waits for running requests, or may be carried out later.
            self._adapter_slots.mark_unloading(victim, now)
        return result is OrderResult.IN_EFFECT

    async def _send_order(
        self, kind: OrderKind, model: str, adapter: str = ""
    ) -> OrderResult:
        async with self._order_lock:
            return await self._send_order_locked(kind, model, adapter)

    async def _send_order_locked(
        self, kind: OrderKind, model: str, adapter: str = ""
    ) -> OrderResult:
        """Send one order; the caller holds the lock that orders sequence numbers."""
        if self.epoch is None or self.status is None:
            return OrderResult.REFUSED
        is_model_order = not adapter
        from_store = (
            is_model_order
            and kind is OrderKind.LOAD
            and model not in self.status.in_host | self.status.on_disk
        )
        if from_store:
            self._loads.record_load()
        sequence = self._sequence
        # An unknown identity is left empty. A late order is harmless even then: its
        # sequence number is out of date, and a new start has empty memory.
        server_id = self.server_id
        result, reply_server_id = await self._control.order(
            EngineOrder(kind, model, adapter, self.epoch, sequence, server_id)
        )
        logger.info(
            "order sent",
            kind=kind.value,
            model=model,
            adapter=adapter,
            epoch=self.epoch,
            after_sequence=sequence,
            from_store=from_store,
            result=result.value,
        )
        match result:
            case OrderResult.ACCEPTED:
                self._sequence = sequence + 1
                if is_model_order:
                    # The next status may have been read before the order.
                    self._paused_until_ms = self._timers.now_ms() + STATUS_INTERVAL_MS
            case OrderResult.UNANSWERED:
                self._paused_until_ms = (
                    self._timers.now_ms() + UNANSWERED_RETRY_DELAY_MS
                )
            case OrderResult.WRONG_START:
                self._id_from_engine = reply_server_id
                self._paused_until_ms = self._timers.now_ms() + STATUS_INTERVAL_MS
            case OrderResult.REFUSED:
                self._paused_until_ms = self._timers.now_ms() + REFUSED_RETRY_DELAY_MS
        return result

    def _engine_views(self, status: EngineStatus) -> list[EngineView]:
        """Return all engines of the pool by the latest report of each."""
        peers = self._demand.peers()
        views = [_peer_view(server, peers) for server in self._peer_servers]
        return [*views, self._own_view(status)]

    def _own_view(self, status: EngineStatus) -> EngineView:
        return EngineView(
            self.address,
            frozenset(status.held),
            status.in_host,
            status.on_disk,
            self.active,
            self._recently_loaded(),
        )

    def _recently_loaded(self) -> frozenset[str]:
        """Return the models that were loaded too recently to be evicted."""
        oldest = self._timers.now_ms() - MIN_RESIDENCY_MS
        self._loaded_at_ms = {
            model: at_ms
            for model, at_ms in self._loaded_at_ms.items()
            if at_ms > oldest
        }
        return frozenset(self._loaded_at_ms)

    def _expected_load_waits_ms(self) -> Mapping[str, int]:
        """Return the model being loaded or about to be, with the expected wait."""
        ongoing, spec, status = self._ongoing, self.spec, self.status
        if ongoing is None or spec is None or status is None:
            return {}
        model = ongoing.move.model
        now = self._timers.now_ms()
        if ongoing.load_ordered_ms is not None:
            remaining_ms = ongoing.load_ordered_ms + ongoing.expected_load_ms - now
            return {model: max(remaining_ms, STATUS_INTERVAL_MS)}
        total_ms = load_ms(self._own_view(status), spec.models[model])
        if ongoing.pending_victims:
            drain_ms = (
                TYPICAL_DRAIN_MS
                if self.active.intersection(ongoing.pending_victims)
                else 0
            )
            drained_ms = ongoing.started_ms + EVICTION_NOTICE_MS + drain_ms
            total_ms += max(drained_ms - now, STATUS_INTERVAL_MS + drain_ms // 2)
        return {model: total_ms}

    def _load_delay_ms(self, spec: EngineSpec, status: EngineStatus, model: str) -> int:
        if model in status.in_host or model in status.on_disk:
            return 0
        return self._loads.delay_ms(spec.loads_per_s, len(self._peer_servers) + 1)

    def _notify_change(self) -> None:
        if self.on_change is not None:
            self.on_change()
        self._changed.notify_all()


_SUCCESSFUL: frozenset[OrderResult] = frozenset(
    {OrderResult.ACCEPTED, OrderResult.IN_EFFECT}
)


def _loaded_adapters(status: EngineStatus) -> list[AdapterKey]:
    return [
        AdapterKey(model, adapter)
        for model, adapters in status.held.items()
        for adapter in sorted(adapters)
    ]


def _peer_view(server: ServerRecord, peers: Mapping[str, PeerEngine]) -> EngineView:
    peer = peers.get(server.address)
    if peer is None:
        held = frozenset(model.name for model in server.models)
        return EngineView(server.address, held, server.in_host, server.on_disk)
    return EngineView(
        server.address,
        peer.held | peer.loading,
        server.in_host,
        server.on_disk,
        peer.active,
        is_busy=bool(peer.loading),
    )
