"""Lets requests into the engine beside this side, in order and at its pace."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from copperrun.admission.prefill import DEFAULT_RATE
from copperrun.admission.prefill import PrefillQueue
from copperrun.admission.prefill import Ticket
from copperrun.placement.adapters import USE_LIFETIME_MS
from copperrun.placement.steward import Steward
from copperrun.ports.engines import Admission
from copperrun.ports.engines import Entrance
from copperrun.ports.engines import Granted
from copperrun.ports.engines import NotHeld
from copperrun.ports.engines import Overloaded
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.fleet import ServerReport


class _Admitted(NamedTuple):
    """A request that was let in and whose end is not known."""

    ticket_id: str
    model: str
    since_ms: int


class EngineDoor:
    """Admission to one engine; each waiting request is held by its own task."""

    def __init__(self, steward: Steward, timers: Timers) -> None:
        self._steward = steward
        self._timers = timers
        self._queue = PrefillQueue()
        self._waiters: dict[str, asyncio.Future[None]] = {}
        self._spec: EngineSpec | None = None
        self._numbers = 0
        self._admitted: dict[str, _Admitted] = {}
        self._prepared: set[str] = set()

    async def admit(self, entrance: Entrance) -> Admission:
        """Wait for the request's adapter, then for its turn."""
        if not self._steward.holds(entrance.model):
            return NotHeld()
        self._take_spec()
        began_ms = self._timers.now_ms()
        ticket = self._ticket(entrance, began_ms)
        if not self._queue.can_serve(ticket, began_ms):
            return Overloaded(self._queue.backlog_ms())
        admission: Admission | None = None
        try:
            admission = await self._let_in(entrance, ticket)
        finally:
            if not isinstance(admission, Granted):
                self._queue.withdraw(ticket.id)
                self._steward.end_use(ticket.id)
                self._grant()
            self._log(entrance, ticket, admission, self._timers.now_ms() - began_ms)
            self._prepared.discard(ticket.id)
        return admission

    def note_progress(self, started: Iterable[str], ended: Iterable[str]) -> None:
        """Take the first events and the ends of admitted requests."""
        now = self._timers.now_ms()
        for request in started:
            admitted = self._admitted.get(request)
            if admitted is not None:
                self._queue.note_read(admitted.ticket_id, now)
        for request in ended:
            admitted = self._admitted.pop(request, None)
            if admitted is not None:
                self._queue.withdraw(admitted.ticket_id)
                self._steward.end_use(admitted.ticket_id)
        self._note_active()
        self._grant()

    async def _let_in(self, entrance: Entrance, ticket: Ticket) -> Admission:
        ready = await self._steward.prepare(
            ticket.id, entrance.model, entrance.adapter, entrance.remaining_ms
        )
        if not ready:
            return NotHeld()
        self._prepared.add(ticket.id)
        if not await self._wait_turn(ticket):
            return Overloaded(self._queue.backlog_ms())
        if not self._steward.holds(entrance.model):
            return NotHeld()
        self._admitted[entrance.request] = _Admitted(
            ticket.id, entrance.model, self._timers.now_ms()
        )
        self._note_active()
        return Granted()

    def _log(
        self,
        entrance: Entrance,
        ticket: Ticket,
        admission: Admission | None,
        waited_ms: int,
    ) -> None:
        """Log the outcome; a request without one left while it waited."""
        speed = self._queue.speed(entrance.model)
        logger.info(
            "request admitted" if isinstance(admission, Granted) else "not admitted",
            request=entrance.request,
            model=entrance.model,
            adapter=entrance.adapter,
            outcome="left" if admission is None else type(admission).__name__,
            had_adapter=ticket.id in self._prepared,
            waited_ms=waited_ms,
            remaining_ms=entrance.remaining_ms - waited_ms,
            tokens=entrance.tokens,
            backlog_ms=self._queue.backlog_ms(),
            tokens_per_ms=round(speed.rate, 1),
            delay_ms=int(speed.delay_ms),
        )

    def report(self) -> ServerReport | None:
        """Return what entries need to know of the engine."""
        self._note_active()
        self._steward.use = self._queue.use(self._timers.now_ms())
        self._steward.capacity = 1000 / self._queue.typical_reading_ms
        report = self._steward.report()
        if report is None:
            return None
        return report._replace(
            queued=report.queued + self._queue.waiting_count,
            backlog_ms=self._queue.backlog_ms(),
        )

    def _note_active(self) -> None:
        """Tell the steward which models have requests that were let in.

        What an entry that died has left behind is forgotten after a while.
        """
        oldest = self._timers.now_ms() - USE_LIFETIME_MS
        self._admitted = {
            request: admitted
            for request, admitted in self._admitted.items()
            if admitted.since_ms > oldest
        }
        self._steward.active = frozenset(
            admitted.model for admitted in self._admitted.values()
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
        """Return whether the turn came; False once it would come too late."""
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[ticket.id] = admitted
        self._queue.offer(ticket)
        self._grant()
        granted = False
        try:
            while not admitted.done():
                now = self._timers.now_ms()
                # More urgent requests may have come since it was let wait.
                if not self._queue.can_serve(ticket, now):
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
            admitted = self._waiters.get(ticket.id)
            if admitted is not None and not admitted.done():
                admitted.set_result(None)
