"""Lets requests into the engine beside this side, in order and at its pace."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from loguru import logger

from copperrun.admission.prefill import DEFAULT_RATE
from copperrun.admission.prefill import PrefillQueue
from copperrun.admission.prefill import Ticket
from copperrun.placement.steward import Steward
from copperrun.ports.engines import Admission
from copperrun.ports.engines import Entrance
from copperrun.ports.engines import Granted
from copperrun.ports.engines import NotHeld
from copperrun.ports.engines import Overloaded
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.fleet import ServerReport

ADAPTER_TIMEOUT_MS = 400  # adapters load in 7 to 130 ms


@dataclass
class _Waiter:
    ticket: Ticket
    admitted: asyncio.Future[None]


class EngineDoor:
    """Admission to one engine; each waiting request is held by its own task."""

    def __init__(self, steward: Steward, timers: Timers) -> None:
        self._steward = steward
        self._timers = timers
        self._queue = PrefillQueue()
        self._waiters: dict[str, _Waiter] = {}
        self._spec: EngineSpec | None = None
        self._numbers = 0
        self._tickets: dict[str, str] = {}

    async def admit(self, entrance: Entrance) -> Admission:
        """Wait for the request's turn, then for its adapter."""
        if not self._steward.holds(entrance.model):
            return NotHeld()
        self._take_spec()
        now = self._timers.now_ms()
        ticket = self._ticket(entrance, now)
        if not self._queue.can_serve(ticket, now):
            return Overloaded(self._queue.backlog_ms())
        if not await self._wait_turn(ticket):
            return Overloaded(self._queue.backlog_ms())
        timeout_ms = min(ADAPTER_TIMEOUT_MS, entrance.remaining_ms)
        held = False
        try:
            held = await self._steward.prepare(
                entrance.model, entrance.adapter, timeout_ms
            )
        finally:
            if not held:
                self._queue.withdraw(ticket.id)
                self._grant()
        if not held:
            return NotHeld()
        self._tickets[entrance.request] = ticket.id
        logger.info(
            "request admitted",
            request=entrance.request,
            model=entrance.model,
            adapter=entrance.adapter,
            waited_ms=self._timers.now_ms() - now,
            tokens=entrance.tokens,
            backlog_ms=self._queue.backlog_ms(),
            tokens_per_ms=round(self._queue.speed(entrance.model).rate, 1),
            delay_ms=int(self._queue.speed(entrance.model).delay_ms),
        )
        return Granted()

    def note_started(self, request: str) -> None:
        """Note the first event of an admitted request."""
        ticket_id = self._tickets.pop(request, None)
        if ticket_id is not None:
            self._queue.note_read(ticket_id, self._timers.now_ms())
            self._grant()

    def report(self) -> ServerReport | None:
        """Return what entries need to know of the engine."""
        self._steward.use = self._queue.use(self._timers.now_ms())
        report = self._steward.report()
        if report is None:
            return None
        return report._replace(
            queued=report.queued + self._queue.waiting_count,
            backlog_ms=self._queue.backlog_ms(),
        )

    def _ticket(self, entrance: Entrance, now: int) -> Ticket:
        # A caller may send two attempts under one id.
        self._numbers += 1
        return Ticket(
            f"{entrance.request}/{self._numbers}",
            entrance.model,
            entrance.priority,
            entrance.tokens,
            entrance.gap_ms,
            now + entrance.target_ms,
            now + entrance.remaining_ms,
        )

    def _take_spec(self) -> None:
        spec = self._steward.spec
        if spec is None or spec is self._spec:
            return
        self._spec = spec
        self._queue.tokens_per_event = spec.tokens_per_event
        largest = max((model.size_mb for model in spec.models.values()), default=1.0)
        self._queue.first_rates = {
            name: DEFAULT_RATE * largest / max(model.size_mb, 1.0)
            for name, model in spec.models.items()
        }

    async def _wait_turn(self, ticket: Ticket) -> bool:
        """Return whether the turn came before the deadline."""
        admitted = asyncio.get_running_loop().create_future()
        self._waiters[ticket.id] = _Waiter(ticket, admitted)
        self._queue.offer(ticket)
        self._grant()
        granted = False
        try:
            while not admitted.done():
                now = self._timers.now_ms()
                if now >= ticket.deadline_ms:
                    return False
                limit_ms = min(self._queue.next_grant_ms(now), ticket.deadline_ms - now)
                try:
                    async with self._timers.timeout_ms(limit_ms):
                        await asyncio.shield(admitted)
                except TimeoutError:
                    self._grant()
            granted = True
        finally:
            self._waiters.pop(ticket.id, None)
            if not granted:
                # The caller left, or the deadline passed.
                self._queue.withdraw(ticket.id)
                self._grant()
        return granted

    def _grant(self) -> None:
        for ticket in self._queue.grants(self._timers.now_ms()):
            waiter = self._waiters.get(ticket.id)
            if waiter is not None and not waiter.admitted.done():
                waiter.admitted.set_result(None)
