"""Keeps one engine's memory as the configuration asks."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from loguru import logger

from copperrun.configuration.schema import Configuration
from copperrun.model import Instance
from copperrun.placement.homes import assign_homes
from copperrun.placement.homes import object_of
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderDesk
from copperrun.placement.orders import OrderError
from copperrun.placement.orders import OrderErrorReason
from copperrun.ports.engine import EngineError
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.ports.weights import Weights
from copperrun.ports.weights import WeightsError

RECONCILE_MS = 5_000
ADAPTER_PREFIX = "adapter/"


def adapter_object(adapter: str) -> str:
    """Return the object name of an adapter in stores and engines."""
    return ADAPTER_PREFIX + adapter


class Keeper:
    """Loads the deployments homed at this side and adapters on demand."""

    def __init__(
        self,
        instance: str,
        desk: OrderDesk,
        ledger: Ledger,
        weights: Weights,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._desk = desk
        self._ledger = ledger
        self._weights = weights
        self._timers = timers
        self._metrics = metrics
        self._cfg: Configuration | None = None
        self._instances: Sequence[Instance] = ()
        self._in_use: Counter[str] = Counter()
        self._last_used: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._loading: dict[str, asyncio.Task[OrderError | None]] = {}

    def set_configuration(self, cfg: Configuration, revision: int) -> None:
        """Take a new configuration."""
        self._cfg = cfg
        self._wake.set()

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Take a new instance list."""
        self._instances = instances
        self._wake.set()

    def wake(self) -> None:
        """Reconcile now."""
        self._wake.set()

    async def run(self) -> None:
        """Reconcile after each change, and now and then, until cancelled."""
        while True:
            self._wake.clear()
            error = await self._desk.adopt()
            if isinstance(error, EngineError):
                logger.warning("engine state not read", detail=error.detail)
            else:
                await self.reconcile()
            try:
                async with self._timers.timeout_ms(RECONCILE_MS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def homed_here(self) -> dict[str, int]:
        """Return the weights objects homed here, with their sizes in bytes."""
        cfg = self._cfg
        if cfg is None:
            return {}
        homes = assign_homes(cfg, self._instances)
        return dict(
            object_of(cfg, name)
            for name, owners in homes.items()
            if self._instance in owners
        )

    def other_home(self, deployment: str) -> str:
        """Return another instance that should hold a deployment, or ''."""
        if self._cfg is None or deployment not in self._cfg.deployments:
            return ""
        homes = assign_homes(self._cfg, self._instances)[deployment]
        return next((home for home in homes if home != self._instance), "")

    async def reconcile(self) -> None:
        """Load what is homed here, and drop what nobody deploys any more."""
        if not self._desk.may_order or self._cfg is None:
            return
        for name in self._undeployed():
            await self._unload(name)
        for name, size_bytes in self.homed_here().items():
            if name not in self._ledger.resident():
                await self._load_checked(name, size_bytes)

    async def ensure_adapter(self, adapter: str, size_bytes: int) -> OrderError | None:
        """Have an adapter resident; several callers share one load."""
        name = adapter_object(adapter)
        if name in self._ledger.resident():
            return None
        task = self._loading.get(name)
        if task is None:
            task = asyncio.create_task(self._load_adapter(name, size_bytes))
            self._loading[name] = task
            task.add_done_callback(lambda _: self._loading.pop(name, None))
        return await asyncio.shield(task)

    def begin_use(self, name: str) -> bool:
        """Hold an object for a call; False when it is not resident."""
        if name not in self._ledger.resident():
            return False
        self._in_use[name] += 1
        self._last_used[name] = self._timers.now_ms()
        return True

    def end_use(self, name: str) -> None:
        """Release an object after a call."""
        self._in_use[name] -= 1

    def _undeployed(self) -> list[str]:
        cfg = self._cfg
        if cfg is None:
            return []
        deployed = {object_of(cfg, name)[0] for name in cfg.deployments}
        deployed |= {adapter_object(name) for name in cfg.adapters}
        return [
            name
            for name in self._ledger.resident()
            if name not in deployed and not self._in_use[name]
        ]

    async def _load_checked(self, name: str, size_bytes: int) -> None:
        found = await self._weights.describe(name)
        if isinstance(found, WeightsError) and found.missing:
            logger.error("weights missing", name=name, detail=found.detail)
            return
        if not isinstance(found, WeightsError) and found.size_bytes > size_bytes:
            logger.error(
                "weights larger than configured",
                name=name,
                size_bytes=found.size_bytes,
                configured_bytes=size_bytes,
            )
            return
        await self._load(name, size_bytes)

    async def _load_adapter(self, name: str, size_bytes: int) -> OrderError | None:
        error = await self._load(name, size_bytes)
        while error is not None and error.reason is OrderErrorReason.NO_ROOM:
            victim = self._idle_adapter()
            if victim is None:
                return error
            if await self._unload(victim) is not None:
                return error
            error = await self._load(name, size_bytes)
        return error

    def _idle_adapter(self) -> str | None:
        """Return the adapter unused for longest, or None when all are in use."""
        idle = [
            name
            for name in self._ledger.resident()
            if name.startswith(ADAPTER_PREFIX) and not self._in_use[name]
        ]
        return min(idle, key=lambda name: self._last_used.get(name, 0), default=None)

    async def _load(self, name: str, size_bytes: int) -> OrderError | None:
        error = await self._desk.load(name, size_bytes)
        if error is None:
            self._metrics.moved("load", _kind(name))
        elif error.reason is not OrderErrorReason.NO_EPOCH:
            logger.warning("load failed", reason=error.reason.value, name=name)
        return error

    async def _unload(self, name: str) -> OrderError | None:
        error = await self._desk.unload(name)
        if error is not None:
            logger.warning("unload failed", reason=error.reason.value, name=name)
        else:
            self._metrics.moved("unload", _kind(name))
        return error


def _kind(name: str) -> str:
    return "adapter" if name.startswith(ADAPTER_PREFIX) else "model"
