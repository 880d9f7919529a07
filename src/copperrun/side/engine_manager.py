"""Memory, orders and copies of the engine beside a side."""

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

ENGINE_RETRY_MS = 500


class EngineManager:
    """Takes an engine over and keeps its ledger within bounds."""

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
        """Count what the engine holds, once it can be reached."""
        state = await self._engine.state()
        while isinstance(state, EngineError):
            logger.warning("engine not reached", detail=state.detail)
            await self._timers.sleep_ms(ENGINE_RETRY_MS)
            state = await self._engine.state()
        self._memory_bytes = state.memory_bytes
        self._ledger.sync(state)

    def configure(self, cfg: Configuration, revision: int, pool: Pool) -> None:
        """Take a new configuration; call ``adopt`` before."""
        self._orders.checks_orders = pool.checks_orders
        # The engine's own figure bounds what the configuration claims.
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
        """Claim the engine in the log, then allow orders to it."""
        claimed = await claim(log, self._timers, instance, incarnation)
        metrics.record_append("claims")
        # The configuration says whether the engine checks order numbers.
        await follower.wait_for_configuration()
        await self._orders.take_over(
            claimed.epoch, had_earlier_side=claimed.had_earlier_side
        )
        self.reconciler.wake()
