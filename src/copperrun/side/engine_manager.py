"""Startup, configuration and claim of the engine beside a side."""

from __future__ import annotations

from loguru import logger

from copperrun.configuration.follower import ConfigurationFollower
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Pool
from copperrun.membership.claims import claim
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import OrderExecutor
from copperrun.placement.reconciler import DeploymentReconciler
from copperrun.ports.engine import Engine
from copperrun.ports.engine import EngineError
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers

ENGINE_RETRY_DELAY_MS = 500


class EngineManager:
    """Takes over an engine and bounds its memory ledger."""

    def __init__(
        self,
        engine: Engine,
        ledger: Ledger,
        orders: OrderExecutor,
        reconciler: DeploymentReconciler,
        timers: Timers,
    ) -> None:
        self.reconciler = reconciler
        self._engine = engine
        self._ledger = ledger
        self._orders = orders
        self._timers = timers
        self._memory_bytes = 0

    async def initialize(self) -> None:
        """Wait until the engine answers and initialize the ledger from its state."""
        state = await self._engine.state()
        while isinstance(state, EngineError):
            logger.warning("engine unreachable", detail=state.detail)
            await self._timers.sleep_ms(ENGINE_RETRY_DELAY_MS)
            state = await self._engine.state()
        self._memory_bytes = state.memory_bytes
        self._ledger.sync(state)

    def configure(self, cfg: Configuration, revision: int, pool: Pool) -> None:
        """Apply a configuration; ``initialize`` must have been called before."""
        self._orders.checks_orders = pool.checks_orders
        # The configuration cannot grant more memory than the engine reports.
        memory = min(pool.memory, self._memory_bytes)
        self._ledger.capacity_bytes = memory - pool.kv_reserve
        self.reconciler.set_configuration(cfg, revision)

    async def claim(
        self,
        instance: str,
        incarnation: int,
        log: Log,
        follower: ConfigurationFollower,
        metrics: Metrics,
    ) -> None:
        """Append a claim on the engine to the log, then enable orders to it."""
        claimed = await claim(log, self._timers, instance, incarnation)
        metrics.record_append("claims")
        # Only the configuration says whether the engine checks order numbers.
        await follower.wait_for_configuration()
        await self._orders.take_over(
            claimed.epoch, had_earlier_side=claimed.had_earlier_side
        )
        self.reconciler.wake()
