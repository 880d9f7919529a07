"""One side process: its parts and its tasks."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from copperrun.admission.queue import AdmissionQueue
from copperrun.configuration.follower import Follower
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Pool
from copperrun.configuration.schema import Service as ServiceSpec
from copperrun.membership.claims import claim
from copperrun.membership.directory import Directory
from copperrun.membership.lifecycle import State
from copperrun.model import Instance
from copperrun.once.journal import Journal
from copperrun.placement.keeper import Keeper
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderDesk
from copperrun.placement.pins import Pins
from copperrun.ports.engine import Engine
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineState
from copperrun.ports.instances import Instances
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.peers import Peers
from copperrun.ports.service import Service
from copperrun.ports.sides import Sides
from copperrun.ports.sides import SideStatus
from copperrun.ports.timers import Timers
from copperrun.ports.weights import Weights
from copperrun.side.agent import Agent
from copperrun.side.model_server import ModelServer
from copperrun.side.plain_server import PlainServer

ENGINE_RETRY_MS = 500
INCARNATION_BITS = 62


class SidePorts(NamedTuple):
    """Everything outside a side."""

    log: Log
    instances: Instances
    weights: Weights
    sides: Sides
    backend: Engine | Service
    timers: Timers
    metrics: Metrics
    open_peers: Callable[[Directory], Peers]


class SideIdentity(NamedTuple):
    """Who a side is.

    Attributes:
        instance: Name in the platform's list.
        pool: Pool of the backend server.
        is_engine: Whether the backend server is a model engine.
        appends_per_second: Share of the log's append rate.
    """

    instance: str
    pool: str
    is_engine: bool
    appends_per_second: float


class SideProcess:
    """Wires the parts of a side and runs its tasks."""

    agent: Agent

    def __init__(self, identity: SideIdentity, ports: SidePorts) -> None:
        self.identity = identity
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.directory = Directory(ports.instances, ports.timers)
        self.follower = Follower(
            ports.log,
            ports.open_peers(self.directory),
            ports.timers,
            ports.metrics,
        )
        self.queue = AdmissionQueue(ports.timers, slots=1)
        self.ledger = Ledger(0)
        self._ports = ports
        self._desk: OrderDesk | None = None
        self.keeper: Keeper | None = None
        self._plain: PlainServer | None = None
        server = self._build_engine() if identity.is_engine else self._build_service()
        self.agent = Agent(
            identity.instance,
            self.incarnation,
            server,
            self.follower,
            self.queue,
            ports.timers,
            ports.metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this side serves under a configuration without a gap."""
        return self.agent.lifecycle.accepts_work and self.follower.fold.is_whole()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self.directory.run())
            self.directory.subscribe(self._watch_own_entry)
            if self.keeper is not None and self._desk is not None:
                await self._adopt_engine(self._desk)
                tasks.create_task(self._claim(self._desk))
                tasks.create_task(self.keeper.run())
            self.follower.subscribe(self._configure)
            await self.follower.wait_for_configuration()
            if self.agent.lifecycle.state is State.STARTING:
                self.agent.lifecycle.serve()

    async def drain(self) -> None:
        """Finish what runs and refuse the rest."""
        await self.agent.drain()
        if self._plain is not None:
            self._plain.close()

    def grant_pin(self, name: str) -> bool:
        """Promise another side to keep an object, so that it may drop its copy."""
        if self.keeper is None or not self.agent.lifecycle.accepts_work:
            return False
        return self.keeper.grant_pin(name)

    def status(self) -> SideStatus:
        """Return what this side says of itself."""
        return SideStatus(
            instance=self.identity.instance,
            incarnation=self.incarnation,
            state=self.agent.lifecycle.state.value,
            revision=self.follower.revision,
            load=self.agent.load(),
            resident=self.ledger.resident(),
        )

    def _build_engine(self) -> ModelServer:
        ports = self._ports
        engine: Engine = ports.backend  # type: ignore[assignment]
        self._desk = OrderDesk(engine, self.ledger, ports.timers)
        self.keeper = Keeper(
            self.identity.instance,
            self.identity.pool,
            self._desk,
            self.ledger,
            ports.weights,
            Pins(ports.sides, self.directory),
            ports.timers,
            ports.metrics,
        )
        self.directory.subscribe(self.keeper.set_instances)
        return ModelServer(engine, self.keeper, ports.timers)

    def _build_service(self) -> PlainServer:
        service: Service = self._ports.backend  # type: ignore[assignment]
        self._plain = PlainServer(service, self._ports.timers, self._open_journal)
        return self._plain

    def _open_journal(self, name: str, spec: ServiceSpec) -> Journal:
        return Journal(
            name,
            self._ports.log,
            self._ports.timers,
            self._ports.metrics,
            window_ms=spec.window,
            appends_per_second=self.identity.appends_per_second,
        )

    def _configure(self, cfg: Configuration, revision: int) -> None:
        pool = cfg.pools.get(self.identity.pool)
        if pool is None:
            logger.error("pool is not configured", pool=self.identity.pool)
            return
        self.queue.set_slots(pool.slots)
        if self.keeper is not None and self._desk is not None:
            self._configure_engine(self._desk, pool)
            self.keeper.set_configuration(cfg, revision)
        if self._plain is not None:
            self._plain.set_configuration(cfg, self.identity.pool)

    def _configure_engine(self, desk: OrderDesk, pool: Pool) -> None:
        desk.checks_orders = pool.checks_orders
        # The engine's own figure bounds what the configuration claims.
        memory = min(pool.memory, self._engine_memory_bytes)
        self.ledger.capacity_bytes = memory - pool.kv_reserve

    async def _adopt_engine(self, desk: OrderDesk) -> None:
        engine: Engine = self._ports.backend  # type: ignore[assignment]
        state = await engine.state()
        while isinstance(state, EngineError):
            logger.warning("engine not reached", detail=state.detail)
            await self._ports.timers.sleep_ms(ENGINE_RETRY_MS)
            state = await engine.state()
        self._take_state(state)

    def _take_state(self, state: EngineState) -> None:
        self._engine_memory_bytes = state.memory_bytes
        self.ledger.adopt(state)

    async def _claim(self, desk: OrderDesk) -> None:
        ports = self._ports
        claimed = await claim(
            ports.log, ports.timers, self.identity.instance, self.incarnation
        )
        ports.metrics.appended("claims")
        # The configuration says whether the engine checks order numbers.
        await self.follower.wait_for_configuration()
        await desk.take_over(claimed.epoch, had_earlier_side=claimed.had_earlier_side)
        if self.keeper is not None:
            self.keeper.wake()

    def _watch_own_entry(self, instances: Sequence[Instance]) -> None:
        own = self.directory.find(self.identity.instance)
        if own is not None and own.leaving:
            self.agent.lifecycle.leave()
