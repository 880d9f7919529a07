"""One side process: its components and tasks."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from loguru import logger

from copperrun.admission.queue import AdmissionQueue
from copperrun.configuration.follower import ConfigurationFollower
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Service as ServiceSpec
from copperrun.idempotency.journal import Journal
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.directory import Directory
from copperrun.membership.lifecycle import State
from copperrun.membership.log_topics import LogTopics
from copperrun.membership.tenures import TenureKeeper
from copperrun.model import Instance
from copperrun.model import Role
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderExecutor
from copperrun.placement.pins import PinClient
from copperrun.placement.reconciler import DeploymentReconciler
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.configuration_peers import ConfigurationPeers
from copperrun.ports.engine import Engine
from copperrun.ports.instances import Instances
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.service import Service
from copperrun.ports.sides import Sides
from copperrun.ports.sides import SideStatus
from copperrun.ports.timers import Timers
from copperrun.ports.weights import Weights
from copperrun.side.agent import Agent
from copperrun.side.engine_manager import EngineManager
from copperrun.side.model_server import ModelServer
from copperrun.side.plain_server import PlainServer

INCARNATION_BITS = 62
ALLOTMENTS_STREAM = "allotments"


@dataclass(frozen=True)
class EngineBackend:
    """A model engine beside the side."""

    engine: Engine


@dataclass(frozen=True)
class ServiceBackend:
    """A plain service beside the side."""

    service: Service


class SidePorts(NamedTuple):
    """Ports to everything outside a side."""

    log: Log
    instances: Instances
    weights: Weights
    sides: Sides
    backend: EngineBackend | ServiceBackend
    timers: Timers
    metrics: Metrics
    open_peers: Callable[[Directory], ConfigurationPeers]
    open_keepers: Callable[[Directory], AllotmentKeepers]


class SideIdentity(NamedTuple):
    """Identity of a side.

    Attributes:
        instance: Name in the platform's instance list.
        pool: Pool of the backend server.
        appends_per_second: Share of the log's append rate that it may use.
    """

    instance: str
    pool: str
    appends_per_second: float


class SideProcess:
    """Builds the components of a side and runs its tasks."""

    def __init__(self, identity: SideIdentity, ports: SidePorts) -> None:
        self.identity = identity
        self.incarnation = secrets.randbits(INCARNATION_BITS)
        self.directory = Directory(ports.instances, ports.timers)
        self.follower = ConfigurationFollower(
            ports.log,
            ports.open_peers(self.directory),
            ports.timers,
            ports.metrics,
        )
        self.queue = AdmissionQueue(ports.timers, slots=1)
        self.ledger = Ledger(0)
        by = Incarnation(identity.instance, Role.SIDE.value, str(self.incarnation))
        self.keeper = TenureKeeper(
            by,
            LogTopics(ports.log),
            ALLOTMENTS_STREAM,
            ports.open_keepers(self.directory),
            ports.timers,
        )
        self._ports = ports
        self._server: ModelServer | PlainServer
        self._engine_manager: EngineManager | None = None
        match ports.backend:
            case EngineBackend(engine):
                self._engine_manager = self._build_engine_manager(engine)
                reconciler = self._engine_manager.reconciler
                self._server = ModelServer(engine, reconciler, ports.timers)
            case ServiceBackend(service):
                self._server = PlainServer(service, ports.timers, self._open_journal)
        self.agent = Agent(
            identity.instance,
            self.incarnation,
            self._server,
            self.follower,
            self.queue,
            ports.timers,
            ports.metrics,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this side serves and misses no configuration record."""
        return self.agent.lifecycle.accepts_work and self.follower.state.is_complete()

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await self._run()
        finally:
            self.keeper.close()

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self.directory.run())
            self.directory.subscribe(self._watch_own_instance)
            self.directory.subscribe(lambda _: self._prepare_keeper())
            if self._engine_manager is not None:
                await self._engine_manager.initialize()
                tasks.create_task(self._claim(self._engine_manager))
                tasks.create_task(self._engine_manager.reconciler.run())
            self.follower.subscribe(self._configure)
            await self.follower.wait_for_configuration()
            if self.agent.lifecycle.state is State.STARTING:
                self.agent.lifecycle.serve()

    async def drain(self) -> None:
        """Finish running attempts and refuse new ones."""
        await self.agent.drain()
        if isinstance(self._server, PlainServer):
            self._server.close()

    def grant_pin(self, name: str) -> bool:
        """Promise another side to keep an object, so that it may unload its copy."""
        if self._engine_manager is None or not self.agent.lifecycle.accepts_work:
            return False
        return self._engine_manager.reconciler.grant_pin(name)

    @property
    def reconciler(self) -> DeploymentReconciler | None:
        """Reconciler of the engine's copies; None beside a plain service."""
        return self._engine_manager.reconciler if self._engine_manager else None

    def status(self) -> SideStatus:
        """Return the status of this side."""
        return SideStatus(
            instance=self.identity.instance,
            incarnation=self.incarnation,
            state=self.agent.lifecycle.state.value,
            revision=self.follower.revision,
            load=self.agent.load(),
            resident=self.ledger.resident(),
        )

    def _build_engine_manager(self, engine: Engine) -> EngineManager:
        ports = self._ports
        orders = OrderExecutor(engine, self.ledger, ports.timers)
        reconciler = DeploymentReconciler(
            self.identity.instance,
            self.identity.pool,
            orders,
            self.ledger,
            ports.weights,
            PinClient(ports.sides, self.directory),
            ports.timers,
            ports.metrics,
        )
        self.directory.subscribe(reconciler.set_instances)
        return EngineManager(engine, self.ledger, orders, reconciler, ports.timers)

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
            logger.error("pool not in configuration", pool=self.identity.pool)
            return
        self.queue.set_slots(pool.slots)
        self._prepare_keeper()
        if self._engine_manager is not None:
            self._engine_manager.configure(cfg, revision, pool)
        if isinstance(self._server, PlainServer):
            self._server.set_configuration(cfg, self.identity.pool)

    def _prepare_keeper(self) -> None:
        """Claim limits that entries will ask this side for."""
        cfg = self.follower.configuration
        sides = frozenset(side.id for side in self.directory.live(Role.SIDE))
        if cfg is not None and self.identity.instance in sides:
            self.keeper.prepare(cfg.callers, sides)

    async def _claim(self, manager: EngineManager) -> None:
        ports = self._ports
        await manager.claim(
            self.identity.instance,
            self.incarnation,
            ports.log,
            self.follower,
            ports.metrics,
        )

    def _watch_own_instance(self, instances: Sequence[Instance]) -> None:
        own = self.directory.find(self.identity.instance)
        if own is not None and own.leaving:
            self.agent.lifecycle.leave()
