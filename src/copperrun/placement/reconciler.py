"""Keeps the configured deployments of one engine loaded."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from loguru import logger

from copperrun.configuration.schema import Configuration
from copperrun.model import Instance
from copperrun.placement.assignments import Assignments
from copperrun.placement.assignments import assign_deployments
from copperrun.placement.assignments import resident_versions
from copperrun.placement.assignments import weights_object
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderError
from copperrun.placement.orders import OrderErrorReason
from copperrun.placement.orders import OrderExecutor
from copperrun.placement.pins import PinClient
from copperrun.ports.engine import EngineError
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.ports.weights import Weights
from copperrun.ports.weights import WeightsError

RECONCILE_INTERVAL_MS = 5_000
ADAPTER_PREFIX = "adapter/"


def adapter_object(adapter: str) -> str:
    """Return the object name of an adapter in stores and engines."""
    return ADAPTER_PREFIX + adapter


class DeploymentReconciler:
    """Loads the deployments assigned to this side, and adapters on demand."""

    def __init__(
        self,
        instance: str,
        pool: str,
        orders: OrderExecutor,
        ledger: Ledger,
        weights: Weights,
        pins: PinClient,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._pool = pool
        self._orders = orders
        self._ledger = ledger
        self._weights = weights
        self._pins = pins
        self._timers = timers
        self._metrics = metrics
        self._cfg: Configuration | None = None
        self._instances: Sequence[Instance] = ()
        self._assignments: Assignments = {}
        self._unloading: set[str] = set()
        self._refusals: Counter[str] = Counter()
        self._in_use: Counter[str] = Counter()
        self._last_used_ms: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._adapter_loads: dict[str, asyncio.Task[OrderError | None]] = {}

    def set_configuration(self, cfg: Configuration, revision: int) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._update_assignments()

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Apply a new instance list."""
        self._instances = instances
        self._update_assignments()

    def wake(self) -> None:
        """Make ``run`` reconcile now."""
        self._wake.set()

    async def run(self) -> None:
        """Reconcile after each change and periodically, until cancelled."""
        while True:
            self._wake.clear()
            error = await self._orders.sync_ledger()
            if isinstance(error, EngineError):
                logger.warning("engine state could not be read", detail=error.detail)
            else:
                await self.reconcile()
            try:
                async with self._timers.timeout_ms(RECONCILE_INTERVAL_MS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def other_assigned_instance(self, deployment: str) -> str:
        """Return another instance that a deployment is assigned to, or ''."""
        return next(iter(self._other_assigned(deployment)), "")

    def servable_weights(self, cfg: Configuration, deployment: str) -> str | None:
        """Return the resident weights that serve a deployment, or None.

        While the configured version is not resident here, another version of the
        model serves, so that requests are answered throughout a version switch.
        """
        weights, _ = weights_object(cfg, deployment)
        if self._ledger.is_resident(weights):
            return weights
        resident = self._ledger.resident()
        versions = resident_versions(resident, cfg.deployments[deployment].model)
        return versions[-1] if versions else None

    def record_refusal(self, deployment: str) -> None:
        """Count a request refused because its deployment is not resident here."""
        self._refusals[deployment] += 1

    def grant_pin(self, name: str) -> bool:
        """Promise to keep an object resident; False if absent or being unloaded."""
        return self._ledger.is_resident(name) and name not in self._unloading

    async def reconcile(self) -> None:
        """Load missing assigned deployments and unload obsolete objects."""
        cfg = self._cfg
        if not self._orders.may_order or cfg is None:
            return
        for deployment in self._missing_deployments(cfg):
            name, size_bytes = weights_object(cfg, deployment)
            if await self._make_room(cfg, size_bytes):
                await self._load_checked(name, size_bytes)
        for name in self._ledger.resident():
            if not self._in_use[name] and await self._begin_unload_if_obsolete(
                cfg, name
            ):
                await self._finish_unload(name)

    async def ensure_adapter(self, adapter: str, size_bytes: int) -> OrderError | None:
        """Load an adapter unless resident; concurrent calls share one load."""
        name = adapter_object(adapter)
        if self._ledger.is_resident(name):
            return None
        task = self._adapter_loads.get(name)
        if task is None:
            task = asyncio.create_task(self._load_adapter(name, size_bytes))
            self._adapter_loads[name] = task
            task.add_done_callback(lambda _: self._adapter_loads.pop(name, None))
        return await asyncio.shield(task)

    def begin_use(self, name: str) -> bool:
        """Protect an object from unloading for a call; False when not resident."""
        if not self._ledger.is_resident(name):
            return False
        self._in_use[name] += 1
        self._last_used_ms[name] = self._timers.now_ms()
        return True

    def end_use(self, name: str) -> None:
        """Release an object after a call."""
        self._in_use[name] -= 1

    def _update_assignments(self) -> None:
        if self._cfg is not None:
            self._assignments = assign_deployments(self._cfg, self._instances)
        self._wake.set()

    def _other_assigned(self, deployment: str) -> list[str]:
        assigned = self._assignments.get(deployment, ())
        return [instance for instance in assigned if instance != self._instance]

    def _assigned_here(self) -> list[str]:
        """Return the deployments that are assigned to this side."""
        return [
            name
            for name, assigned in self._assignments.items()
            if self._instance in assigned
        ]

    def _missing_deployments(self, cfg: Configuration) -> list[str]:
        """Return assigned deployments that are not resident, most refused first."""
        missing = [
            name
            for name in self._assigned_here()
            if not self._ledger.is_resident(weights_object(cfg, name)[0])
        ]
        missing.sort(key=lambda name: -self._refusals[name])
        self._refusals.clear()
        return missing

    async def _make_room(self, cfg: Configuration, size_bytes: int) -> bool:
        """Unload copies that other sides keep, least recently used first."""
        free_bytes = self._free_weights_bytes(cfg)
        candidates = sorted(
            self._spare_copies(cfg), key=lambda name: self._last_used_ms.get(name, 0)
        )
        for name in candidates:
            if free_bytes >= size_bytes:
                break
            freed_bytes = self._ledger.size_bytes(name)
            if await self.begin_unload(cfg, name) and await self._finish_unload(name):
                free_bytes += freed_bytes
        if free_bytes < size_bytes:
            logger.warning(
                "not enough memory for an assigned deployment", free_bytes=free_bytes
            )
            return False
        return await self._evict_adapters(size_bytes)

    def _free_weights_bytes(self, cfg: Configuration) -> int:
        """Return the bytes free for weights, without the adapters' reserve."""
        weights_bytes = sum(
            self._ledger.size_bytes(name)
            for name in self._ledger.names()
            if not name.startswith(ADAPTER_PREFIX)
        )
        reserve_bytes = cfg.pools[self._pool].adapter_reserve
        return self._ledger.capacity_bytes - reserve_bytes - weights_bytes

    async def _evict_adapters(self, size_bytes: int) -> bool:
        """Unload idle adapters that exceed their reserve."""
        while self._ledger.free_bytes < size_bytes:
            victim = self._least_recently_used_adapter()
            if victim is None or await self._unload(victim) is not None:
                return False
        return True

    def _spare_copies(self, cfg: Configuration) -> list[str]:
        """Return idle weights that are not assigned to this side."""
        assigned = {weights_object(cfg, name)[0] for name in self._assigned_here()}
        return [
            name
            for name in self._ledger.resident()
            if name not in assigned
            and not name.startswith(ADAPTER_PREFIX)
            and not self._in_use[name]
        ]

    async def _begin_unload_if_obsolete(self, cfg: Configuration, name: str) -> bool:
        """Return whether an object is no longer configured and may be unloaded."""
        if name.startswith(ADAPTER_PREFIX):
            return name.removeprefix(ADAPTER_PREFIX) not in cfg.adapters
        if name in (weights_object(cfg, other)[0] for other in cfg.deployments):
            return False
        return await self.begin_unload(cfg, name)

    async def begin_unload(self, cfg: Configuration, name: str) -> bool:
        """Mark an object as being unloaded if its deployments stay served without it.

        The mark is set first, so that this side grants no pin on the object meanwhile.

        Returns:
            False when the object is being unloaded already, or when no other copy
            could be secured for one of its deployments.
        """
        if name in self._unloading:
            return False
        self._unloading.add(name)
        for deployment, spec in cfg.deployments.items():
            if name not in resident_versions([name], spec.model):
                continue
            if not await self._is_safe_without(cfg, deployment, name):
                self._unloading.discard(name)
                return False
        return True

    async def _is_safe_without(
        self, cfg: Configuration, deployment: str, name: str
    ) -> bool:
        current, _ = weights_object(cfg, deployment)
        if current != name and self.grant_pin(current):
            return True
        return await self._pins.obtain(current, self._other_assigned(deployment))

    async def _finish_unload(self, name: str) -> bool:
        """Unload an object that ``begin_unload`` found safe to unload."""
        try:
            return await self._unload(name) is None
        finally:
            self._unloading.discard(name)

    async def _load_checked(self, name: str, size_bytes: int) -> None:
        found = await self._weights.describe(name)
        if isinstance(found, WeightsError) and found.missing:
            logger.error(
                "weights not found in the store", name=name, detail=found.detail
            )
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
            victim = self._least_recently_used_adapter()
            if victim is None:
                return error
            if await self._unload(victim) is not None:
                return error
            error = await self._load(name, size_bytes)
        return error

    def _least_recently_used_adapter(self) -> str | None:
        """Return the idle adapter unused for longest, or None when all are in use."""
        idle = [
            name
            for name in self._ledger.resident()
            if name.startswith(ADAPTER_PREFIX) and not self._in_use[name]
        ]
        return min(idle, key=lambda name: self._last_used_ms.get(name, 0), default=None)

    async def _load(self, name: str, size_bytes: int) -> OrderError | None:
        error = await self._orders.load(name, size_bytes)
        if error is None:
            self._metrics.record_move("load", _object_kind(name))
        elif error.reason is not OrderErrorReason.NO_EPOCH:
            logger.warning("load failed", reason=error.reason.value, name=name)
        return error

    async def _unload(self, name: str) -> OrderError | None:
        error = await self._orders.unload(name)
        if error is not None:
            logger.warning("unload failed", reason=error.reason.value, name=name)
        else:
            self._metrics.record_move("unload", _object_kind(name))
        return error


def _object_kind(name: str) -> str:
    return "adapter" if name.startswith(ADAPTER_PREFIX) else "model"
