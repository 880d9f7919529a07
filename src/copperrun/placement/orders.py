"""Sends orders to one engine; each has a known outcome before the next is sent."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

from loguru import logger

from copperrun.placement.ledger import Ledger
from copperrun.ports.engine import Engine
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineErrorReason
from copperrun.ports.engine import EngineState
from copperrun.ports.engine import Order
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine import OrderNumber
from copperrun.ports.timers import Timers

STATE_POLL_INTERVAL_MS = 200
ORDER_LIFETIME_MS = 30_000  # an unanswered order cannot arrive after this time
FENCE_OBJECT = "copperrun/fence"  # never loaded; its unload only raises the epoch


class OrderErrorReason(Enum):
    """Why an order had no effect.

    Attributes:
        NO_EPOCH: This side holds no claim yet, or no longer.
        NO_ROOM: The object does not fit into the free memory.
        REFUSED: The order could not be carried out.
        SUPERSEDED: A later side has claimed the engine.
    """

    NO_EPOCH = "no_epoch"
    NO_ROOM = "no_room"
    REFUSED = "refused"
    SUPERSEDED = "superseded"


class OrderError(NamedTuple):
    """An order that had no effect; returned, not raised.

    Attributes:
        reason: The cause.
        detail: One line for the operator's log.
    """

    reason: OrderErrorReason
    detail: str


class OrderExecutor:
    """Sends numbered orders to one engine and keeps its ledger up to date.

    Attributes:
        checks_orders: Whether the engine refuses orders by their numbers.
    """

    def __init__(self, engine: Engine, ledger: Ledger, timers: Timers) -> None:
        self.checks_orders = False
        self._engine = engine
        self._ledger = ledger
        self._timers = timers
        self._epoch: int | None = None
        self._sequence = 0
        self._lock = asyncio.Lock()

    @property
    def may_order(self) -> bool:
        """Whether this side holds an epoch, and so may send orders."""
        return self._epoch is not None

    async def take_over(self, epoch: int, *, had_earlier_side: bool) -> None:
        """Allow orders under a claim, once no earlier side's order can take effect.

        An engine that checks numbers refuses earlier epochs after the first order of
        this one. An engine that ignores them gets no order until every order that an
        earlier side may have sent has arrived.
        """
        async with self._lock:
            if self.checks_orders:
                state = await self._raise_fence(epoch)
            else:
                if had_earlier_side:
                    await self._timers.sleep_ms(ORDER_LIFETIME_MS)
                state = await self._wait_until_idle()
            self._ledger.sync(state)
            self._epoch = epoch
            self._step_down_if_superseded(state)

    async def load(self, name: str, size_bytes: int) -> OrderError | None:
        """Load an object; return when the engine's state shows the outcome."""
        async with self._lock:
            if self._epoch is None:
                return _no_epoch()
            if self._ledger.is_resident(name):
                return None
            if not self._ledger.reserve(name, size_bytes):
                detail = f"{name} needs {size_bytes} B, {self._ledger.free_bytes} free"
                return OrderError(OrderErrorReason.NO_ROOM, detail)
            return await self._execute(OrderKind.LOAD, name, size_bytes)

    async def unload(self, name: str) -> OrderError | None:
        """Unload an object; its memory counts until the engine confirms."""
        async with self._lock:
            if self._epoch is None:
                return _no_epoch()
            size_bytes = self._ledger.size_bytes(name)
            if not self._ledger.begin_release(name):
                return OrderError(OrderErrorReason.REFUSED, f"{name} is not resident")
            return await self._execute(OrderKind.UNLOAD, name, size_bytes)

    async def sync_ledger(self) -> EngineError | None:
        """Update the ledger from the engine's state while no order is pending."""
        async with self._lock:
            state = await self._engine.state()
            if isinstance(state, EngineError):
                return state
            self._ledger.sync(state)
            self._step_down_if_superseded(state)
            return None

    async def _execute(
        self, kind: OrderKind, name: str, size_bytes: int
    ) -> OrderError | None:
        sent_ms = self._timers.now_ms()
        order = self._next_order(kind, name, size_bytes)
        result = await self._engine.order(order)
        while not isinstance(result, EngineState):
            match result.reason:
                case EngineErrorReason.STALE_ORDER:
                    self._epoch = None
                    return await self._handle_failure(order, "a later side has claimed")
                case EngineErrorReason.REFUSED | EngineErrorReason.UNREACHABLE:
                    return await self._handle_failure(order, result.detail)
                case EngineErrorReason.ANSWER_LOST:
                    logger.warning(
                        "order outcome unknown", name=name, detail=result.detail
                    )
                    result = await self._resolve_lost_answer(order, sent_ms)
        self._ledger.sync_object(name, result)
        return None if _took_effect(order, result) else _refused(order, "no effect")

    async def _resolve_lost_answer(
        self, order: Order, sent_ms: int
    ) -> EngineState | EngineError:
        """Determine the outcome of an order whose answer was lost.

        An engine that checks numbers gets the order again under the next number, after
        which the first one can have no effect. An engine that ignores numbers gets no
        second order: the first one could arrive late and undo a later order.
        """
        await self._timers.sleep_ms(STATE_POLL_INTERVAL_MS)
        state = await self._engine.state()
        if isinstance(state, EngineState):
            # A repeated order may be pending however old the first one is.
            expired = (
                not self.checks_orders
                and self._timers.now_ms() - sent_ms >= ORDER_LIFETIME_MS
            )
            if _took_effect(order, state) or (expired and not state.busy):
                return state
            if self.checks_orders and not state.busy:
                renumbered = self._next_order(order.kind, order.name, order.size_bytes)
                return await self._engine.order(renumbered)
        return EngineError(EngineErrorReason.ANSWER_LOST, "outcome not known yet")

    async def _handle_failure(self, order: Order, detail: str) -> OrderError:
        """Update the ledger after an order that the engine did not carry out."""
        state = await self._engine.state()
        while isinstance(state, EngineError):
            await self._timers.sleep_ms(STATE_POLL_INTERVAL_MS)
            state = await self._engine.state()
        self._ledger.sync_object(order.name, state)
        self._step_down_if_superseded(state)
        if self._epoch is None:
            return OrderError(OrderErrorReason.SUPERSEDED, detail)
        return _refused(order, detail)

    async def _raise_fence(self, epoch: int) -> EngineState:
        """Send a first order of an epoch, so that the engine refuses earlier ones."""
        order = Order(OrderNumber(epoch, 0), OrderKind.UNLOAD, FENCE_OBJECT, 0)
        result = await self._engine.order(order)
        while isinstance(result, EngineError):
            if result.reason is EngineErrorReason.STALE_ORDER:
                logger.error("a later side has claimed this server; sending no orders")
                return await self._wait_until_idle()
            await self._timers.sleep_ms(STATE_POLL_INTERVAL_MS)
            result = await self._engine.order(order)
        return result

    async def _wait_until_idle(self) -> EngineState:
        """Return the engine's state once it has no order under way."""
        state = await self._engine.state()
        while isinstance(state, EngineError) or state.busy:
            await self._timers.sleep_ms(STATE_POLL_INTERVAL_MS)
            state = await self._engine.state()
        return state

    def _step_down_if_superseded(self, state: EngineState) -> None:
        if self._epoch is not None and state.last_order.epoch > self._epoch:
            logger.error("a later side has claimed this server; sending no more orders")
            self._epoch = None

    def _next_order(self, kind: OrderKind, name: str, size_bytes: int) -> Order:
        self._sequence += 1
        number = OrderNumber(self._epoch or 0, self._sequence)
        return Order(number, kind, name, size_bytes)


def _took_effect(order: Order, state: EngineState) -> bool:
    resident = any(name == order.name for name, _ in state.resident)
    return resident == (order.kind is OrderKind.LOAD)


def _refused(order: Order, detail: str) -> OrderError:
    message = f"{order.kind.value} {order.name}: {detail}"
    return OrderError(OrderErrorReason.REFUSED, message)


def _no_epoch() -> OrderError:
    detail = "no claim in the log yet; resident models are served"
    return OrderError(OrderErrorReason.NO_EPOCH, detail)
