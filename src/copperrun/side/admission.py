"""Admission control of the engine beside this side."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from copperrun.admission.memory import EngineMemory
from copperrun.admission.memory import need_of
from copperrun.admission.prefill import DEFAULT_TOKENS_PER_MS
from copperrun.admission.prefill import PrefillQueue
from copperrun.admission.tickets import Ticket
from copperrun.admission.work import EngineWork
from copperrun.placement.adapter_slots import USE_TTL_MS
from copperrun.placement.controller import PlacementController
from copperrun.ports.admission import Admission
from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import Granted
from copperrun.ports.admission import NotHeld
from copperrun.ports.admission import Overloaded
from copperrun.ports.engine_control import EngineStatus
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.servers import ServerReport


class _AdmittedRequest(NamedTuple):
    """An admitted request whose end has not been reported."""

    ticket_id: str
    model: str
    admitted_ms: int


class AdmissionController:
    """Admits requests to one engine; each waiting request has its own task.

    Args:
        placement: Knows the engine's status and models.
        timers: Timer service.
        memory: Bounds what the engine's requests hold; None where a full engine only
            makes them wait.
        metrics: Told of the memory; None without ``memory``.
    """

    def __init__(
        self,
        placement: PlacementController,
        timers: Timers,
        *,
        memory: EngineMemory | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._placement = placement
        self._timers = timers
        self._queue = PrefillQueue()
        self._memory = self._queue.memory = memory
        self._metrics = metrics
        self._work = EngineWork()
        # Entries state it only where they learn costs.
        self._expects_output = False
        self._status: EngineStatus | None = None
        # True for a grant, False for a request that gives way.
        self._waiters: dict[str, asyncio.Future[bool]] = {}
        self._spec: EngineSpec | None = None
        self._ticket_count = 0
        # By the caller's id, which several attempts may have, the first one in front.
        self._admitted: dict[str, list[_AdmittedRequest]] = {}
        self._prepared: set[str] = set()

    async def admit(self, req: AdmissionRequest) -> Admission:
        """Wait until the request's adapter is loaded, then for its grant."""
        if not self._placement.holds(req.model):
            return NotHeld()
        self._apply_spec()
        self._expects_output = self._expects_output or req.expected_output > 0
        arrived_ms = self._timers.now_ms()
        ticket = self._build_ticket(req, arrived_ms)
        self._queue.record_asked(ticket, arrived_ms)
        if not self._queue.can_meet_deadline(ticket, arrived_ms):
            return Overloaded(self._queue.backlog_ms())
        admission: Admission | None = None
        try:
            admission = await self._prepare_and_wait(req, ticket)
        finally:
            if not isinstance(admission, Granted):
                self._queue.remove(ticket.id)
                self._placement.end_use(ticket.id)
                self._issue_grants()
            self._log_outcome(
                req, ticket, admission, self._timers.now_ms() - arrived_ms
            )
            self._prepared.discard(ticket.id)
        return admission

    def record_progress(self, started: Iterable[str], ended: Iterable[str]) -> None:
        """Record the first events and the ends of admitted requests."""
        now_ms = self._timers.now_ms()
        for request_id in started:
            attempts = self._admitted.get(request_id)
            if attempts:
                self._queue.record_first_event(attempts[-1].ticket_id, now_ms)
        for request_id in ended:
            attempts = self._admitted.pop(request_id, [])
            if len(attempts) > 1:
                self._admitted[request_id] = attempts[1:]
            else:
                self._work.end(request_id)
            for admitted in attempts[:1]:
                self._queue.remove(admitted.ticket_id)
                self._placement.end_use(admitted.ticket_id)
        self._update_active_models()
        self._issue_grants()

    async def _prepare_and_wait(
        self, req: AdmissionRequest, ticket: Ticket
    ) -> Admission:
        ready = await self._placement.prepare(
            ticket.id, req.model, req.adapter, req.remaining_ms
        )
        if not ready:
            return NotHeld()
        self._prepared.add(ticket.id)
        if not await self._wait_for_grant(ticket):
            return Overloaded(self._queue.backlog_ms())
        if not self._placement.holds(req.model):
            return NotHeld()
        admitted = _AdmittedRequest(ticket.id, req.model, self._timers.now_ms())
        self._admitted.setdefault(req.request, []).append(admitted)
        self._work.begin(req)
        self._update_active_models()
        return self._placement.grant()

    def _log_outcome(
        self,
        req: AdmissionRequest,
        ticket: Ticket,
        admission: Admission | None,
        waited_ms: int,
    ) -> None:
        """Log the outcome; without one, the caller disconnected during the wait."""
        speed = self._queue.speed(req.model)
        logger.info(
            "request admitted" if isinstance(admission, Granted) else "not admitted",
            request=req.request,
            model=req.model,
            adapter=req.adapter,
            outcome="left" if admission is None else type(admission).__name__,
            had_adapter=ticket.id in self._prepared,
            waited_ms=waited_ms,
            remaining_ms=req.remaining_ms - waited_ms,
            tokens=req.tokens,
            backlog_ms=self._queue.backlog_ms(),
            tokens_per_ms=round(speed.tokens_per_ms, 1),
            delay_ms=int(speed.delay_ms),
            free_tokens=self._free_tokens(),
            step_ms=round(self._work.step_ms, 1),
        )

    def report(self) -> ServerReport | None:
        """Return the engine's report to entries, with the load of this queue."""
        self._update_active_models()
        self._placement.utilization = self._queue.utilization(self._timers.now_ms())
        self._placement.capacity_rps = 1000 / self._queue.mean_prefill_ms
        report = self._placement.report()
        if report is None:
            return None
        self._record_memory()
        return report._replace(
            queued=report.queued + self._queue.waiting_count,
            backlog_ms=self._queue.backlog_ms(),
            free_tokens=self._free_tokens(),
            step_ms=self._work.step_ms if self._expects_output else 0.0,
            work_ms=self._work.left_ms() if self._expects_output else 0.0,
        )

    def _free_tokens(self) -> int | None:
        """Return the memory for requests to come; None when it is not counted."""
        if self._memory is None:
            return None
        self._apply_status()
        return self._memory.free_tokens(self._timers.now_ms())

    def _record_memory(self) -> None:
        memory, now_ms = self._memory, self._timers.now_ms()
        if memory is not None and self._metrics is not None:
            self._metrics.record_engine_memory(
                memory.used_share(), memory.committed_share(now_ms)
            )

    def _apply_status(self) -> None:
        """Apply the engine's latest count of its memory and its runs."""
        status, previous = self._placement.status, self._status
        if status is None or status is previous:
            return
        self._status = status
        has_restarted = previous is not None and previous.born_ms != status.born_ms
        if self._memory is not None and has_restarted:
            self._memory.forget()
        if status.memory is None:
            return
        if self._memory is not None:
            self._memory.apply_report(status.memory)
        if self._expects_output and status.memory.runs is not None:
            self._work.apply_report(status.memory.runs, self._timers.now_ms())

    def _update_active_models(self) -> None:
        """Update the models that have admitted requests.

        Requests of an entry that died are removed after ``USE_TTL_MS``.
        """
        oldest = self._timers.now_ms() - USE_TTL_MS
        for request, attempts in list(self._admitted.items()):
            if attempts[0].admitted_ms > oldest:
                continue
            left = [item for item in attempts if item.admitted_ms > oldest]
            if self._memory is not None:
                for admitted in attempts[: len(attempts) - len(left)]:
                    self._memory.release(admitted.ticket_id)
            if left:
                self._admitted[request] = left
            else:
                del self._admitted[request]
                self._work.end(request)
        self._placement.active = frozenset(
            admitted.model
            for attempts in self._admitted.values()
            for admitted in attempts
        )

    def _build_ticket(self, req: AdmissionRequest, now_ms: int) -> Ticket:
        # A caller may send two attempts with the same id.
        self._ticket_count += 1
        return Ticket(
            f"{req.request}/{self._ticket_count}",
            req.model,
            req.priority,
            req.tokens,
            req.gap_ms,
            now_ms + req.target_ms,
            now_ms + req.remaining_ms,
            alternatives=req.alternatives,
            continues=req.continues,
            account=req.account,
            need=need_of(req) if self._memory is not None else None,
        )

    def _apply_spec(self) -> None:
        spec = self._placement.spec
        if spec is None or spec is self._spec:
            return
        self._spec = spec
        self._queue.tokens_per_event = spec.tokens_per_event
        self._work.tokens_per_event = spec.tokens_per_event
        if self._memory is not None:
            self._memory.capacity = spec.cache_tokens
            self._memory.tokens_per_event = spec.tokens_per_event
        largest = max((model.size_mb for model in spec.models.values()), default=1.0)
        self._queue.initial_tokens_per_ms = {
            name: DEFAULT_TOKENS_PER_MS * largest / max(model.size_mb, 1.0)
            for name, model in spec.models.items()
        }

    async def _wait_for_grant(self, ticket: Ticket) -> bool:
        """Return True once granted, False when it gives way or would come too late."""
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[ticket.id] = fut
        self._queue.enqueue(ticket)
        self._issue_grants()
        granted = False
        try:
            while not fut.done():
                now = self._timers.now_ms()
                # More urgent requests may have arrived since it was queued.
                if not self._queue.can_meet_deadline(ticket, now):
                    return False
                limit_ms = min(self._queue.next_grant_ms(now), ticket.deadline_ms - now)
                try:
                    async with self._timers.timeout_ms(limit_ms):
                        await asyncio.shield(fut)
                except TimeoutError:
                    self._issue_grants()
            granted = fut.result()
        finally:
            self._waiters.pop(ticket.id, None)
            if not granted:
                # The caller disconnected, or the deadline cannot be met.
                self._queue.remove(ticket.id)
                self._issue_grants()
        return granted

    def _issue_grants(self) -> None:
        self._apply_status()
        now_ms = self._timers.now_ms()
        for ticket in self._queue.yield_places(now_ms):
            self._wake(ticket, granted=False)
        for ticket in self._queue.issue_grants(now_ms):
            self._wake(ticket, granted=True)

    def _wake(self, ticket: Ticket, *, granted: bool) -> None:
        fut = self._waiters.get(ticket.id)
        if fut is not None and not fut.done():
            fut.set_result(granted)
