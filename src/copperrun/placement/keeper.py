"""Keeps one engine's memory as the configuration asks."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from loguru import logger

from copperrun.configuration.schema import Configuration
from copperrun.model import Instance
from copperrun.placement.homes import Homes
from copperrun.placement.homes import assign_homes
from copperrun.placement.homes import object_of
from copperrun.placement.homes import versions_in
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderDesk
from copperrun.placement.orders import OrderError
from copperrun.placement.orders import OrderErrorReason
from copperrun.placement.pins import Pins
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
        pool: str,
        desk: OrderDesk,
        ledger: Ledger,
        weights: Weights,
        pins: Pins,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._pool = pool
        self._desk = desk
        self._ledger = ledger
        self._weights = weights
        self._pins = pins
        self._timers = timers
        self._metrics = metrics
        self._cfg: Configuration | None = None
        self._instances: Sequence[Instance] = ()
        self._homes: Homes = {}
        self._dropping: set[str] = set()
        self._refused: Counter[str] = Counter()
        self._in_use: Counter[str] = Counter()
        self._last_used: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._loading: dict[str, asyncio.Task[OrderError | None]] = {}

    def set_configuration(self, cfg: Configuration, revision: int) -> None:
        """Take a new configuration."""
        self._cfg = cfg
        self._assign_homes()

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Take a new instance list."""
        self._instances = instances
        self._assign_homes()

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

    def other_home(self, deployment: str) -> str:
        """Return another instance that should hold a deployment, or ''."""
        return next(iter(self._other_homes(deployment)), "")

    def servable(self, cfg: Configuration, deployment: str) -> str | None:
        """Return the resident object that serves a deployment.

        While the version in force is not resident here, another one of the model
        serves, so that a version switch leaves no time without an answer.
        """
        weights, _ = object_of(cfg, deployment)
        if self._ledger.is_resident(weights):
            return weights
        resident = self._ledger.resident()
        versions = versions_in(resident, cfg.deployments[deployment].model)
        return versions[-1] if versions else None

    def note_refused(self, deployment: str) -> None:
        """Note demand for a deployment that is not resident here."""
        self._refused[deployment] += 1

    def grant_pin(self, name: str) -> bool:
        """Promise to keep an object, unless it is about to be dropped here."""
        return self._ledger.is_resident(name) and name not in self._dropping

    async def reconcile(self) -> None:
        """Load what is homed here, and drop what is no longer needed."""
        cfg = self._cfg
        if not self._desk.may_order or cfg is None:
            return
        for deployment in self._missing(cfg):
            name, size_bytes = object_of(cfg, deployment)
            if await self._make_room(cfg, size_bytes):
                await self._load_checked(name, size_bytes)
        for name in self._ledger.resident():
            if not self._in_use[name] and await self._is_replaced(cfg, name):
                await self._drop(name)

    async def ensure_adapter(self, adapter: str, size_bytes: int) -> OrderError | None:
        """Have an adapter resident; several callers share one load."""
        name = adapter_object(adapter)
        if self._ledger.is_resident(name):
            return None
        task = self._loading.get(name)
        if task is None:
            task = asyncio.create_task(self._load_adapter(name, size_bytes))
            self._loading[name] = task
            task.add_done_callback(lambda _: self._loading.pop(name, None))
        return await asyncio.shield(task)

    def begin_use(self, name: str) -> bool:
        """Hold an object for a call; False when it is not resident."""
        if not self._ledger.is_resident(name):
            return False
        self._in_use[name] += 1
        self._last_used[name] = self._timers.now_ms()
        return True

    def end_use(self, name: str) -> None:
        """Release an object after a call."""
        self._in_use[name] -= 1

    def _assign_homes(self) -> None:
        if self._cfg is not None:
            self._homes = assign_homes(self._cfg, self._instances)
        self._wake.set()

    def _other_homes(self, deployment: str) -> list[str]:
        homes = self._homes.get(deployment, ())
        return [home for home in homes if home != self._instance]

    def _homed_here(self) -> list[str]:
        """Return the deployments that this side should hold."""
        return [name for name, homes in self._homes.items() if self._instance in homes]

    def _missing(self, cfg: Configuration) -> list[str]:
        """Return deployments homed here and not resident, most asked for first."""
        missing = [
            name
            for name in self._homed_here()
            if not self._ledger.is_resident(object_of(cfg, name)[0])
        ]
        missing.sort(key=lambda name: -self._refused[name])
        self._refused.clear()
        return missing

    async def _make_room(self, cfg: Configuration, size_bytes: int) -> bool:
        """Drop copies that other sides keep, least recently used first."""
        room = self._weights_room(cfg)
        candidates = sorted(
            self._spare_copies(cfg), key=lambda name: self._last_used.get(name, 0)
        )
        for name in candidates:
            if room >= size_bytes:
                break
            freed = self._ledger.size_bytes(name)
            if await self.secure_elsewhere(cfg, name) and await self._drop(name):
                room += freed
        if room < size_bytes:
            logger.warning("no room for a homed deployment", free_bytes=room)
            return False
        return await self._evict_adapters(size_bytes)

    def _weights_room(self, cfg: Configuration) -> int:
        """Return the bytes left for weights beside the adapters' reserve."""
        weights = sum(
            self._ledger.size_bytes(name)
            for name in self._ledger.names()
            if not name.startswith(ADAPTER_PREFIX)
        )
        reserve = cfg.pools[self._pool].adapter_reserve
        return self._ledger.capacity_bytes - reserve - weights

    async def _evict_adapters(self, size_bytes: int) -> bool:
        """Drop idle adapters that have outgrown their reserve."""
        while self._ledger.free_bytes < size_bytes:
            victim = self._idle_adapter()
            if victim is None or await self._unload(victim) is not None:
                return False
        return True

    def _spare_copies(self, cfg: Configuration) -> list[str]:
        """Return idle weights that are not homed here."""
        homed = {object_of(cfg, name)[0] for name in self._homed_here()}
        return [
            name
            for name in self._ledger.resident()
            if name not in homed
            and not name.startswith(ADAPTER_PREFIX)
            and not self._in_use[name]
        ]

    async def _is_replaced(self, cfg: Configuration, name: str) -> bool:
        """Return whether nothing would miss an object that no deployment names."""
        if name.startswith(ADAPTER_PREFIX):
            return name.removeprefix(ADAPTER_PREFIX) not in cfg.adapters
        if name in (object_of(cfg, other)[0] for other in cfg.deployments):
            return False
        return await self.secure_elsewhere(cfg, name)

    async def secure_elsewhere(self, cfg: Configuration, name: str) -> bool:
        """Return whether every deployment that ``name`` serves is safe without it."""
        if name in self._dropping:
            return False
        self._dropping.add(name)
        for deployment, spec in cfg.deployments.items():
            if name not in versions_in([name], spec.model):
                continue
            if not await self._is_safe_without(cfg, deployment, name):
                self._dropping.discard(name)
                return False
        return True

    async def _is_safe_without(
        self, cfg: Configuration, deployment: str, name: str
    ) -> bool:
        current, _ = object_of(cfg, deployment)
        if current != name and self.grant_pin(current):
            return True
        return await self._pins.obtain(current, self._other_homes(deployment))

    async def _drop(self, name: str) -> bool:
        """Unload an object whose removal is safe."""
        try:
            return await self._unload(name) is None
        finally:
            self._dropping.discard(name)

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
