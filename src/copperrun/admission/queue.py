"""Admission queue of one backend server.

Attempts are ordered by class priority, then by a fair share for each tenant of that
priority (deficit round robin), then by the least slack to their target. The queue is
bounded by expected wait, not by length.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from copperrun.model import Load
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.timers import Timers

SERVICE_TIME_WEIGHT = 0.1  # of the newest sample in the moving average of run times
MIN_RETRY_AFTER_MS = 50


class Ticket(NamedTuple):
    """Properties of an attempt that set its place in the queue.

    Attributes:
        tenant: Tenant of the caller.
        weight: Fair-share weight of the tenant.
        priority: Lower is served first.
        target_ms: Time left until the target of the first token.
        remaining_ms: Time left until the caller's deadline.
        queue_bound_ms: Longest expected wait at which it is queued.
    """

    tenant: str
    weight: int
    priority: int
    target_ms: int
    remaining_ms: int
    queue_bound_ms: int


@dataclass
class _Waiter:
    fut: asyncio.Future[Refusal | None]
    deadline_ms: int


@dataclass
class _TenantQueue:
    weight: int
    deficit: int = 0
    heap: list[tuple[int, int, _Waiter]] = field(default_factory=list)


@dataclass
class _PriorityLevel:
    """Waiting attempts of one priority."""

    tenants: dict[str, _TenantQueue] = field(default_factory=dict)
    round_robin: deque[str] = field(default_factory=deque)
    waiting: int = 0


class Slot:
    """A slot at the backend server, released when the attempt ends."""

    def __init__(self, queue: AdmissionQueue, started_ms: int, queued_ms: int) -> None:
        self.queued_ms = queued_ms
        self._queue = queue
        self._started_ms = started_ms

    def __enter__(self) -> Slot:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._queue.release(self._started_ms)


class AdmissionQueue:
    """Admits attempts to a bounded number of slots."""

    def __init__(self, timers: Timers, slots: int) -> None:
        self.slots = slots
        self._timers = timers
        self._running = 0
        self._levels: dict[int, _PriorityLevel] = {}
        self._service_ms = 0.0
        self._sequence = itertools.count()

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running attempts are not affected."""
        self.slots = slots
        self._admit()

    def load(self) -> Load:
        """Return the current load."""
        queued = sum(level.waiting for level in self._levels.values())
        return Load(queued, self._running, self._expected_wait_ms(queued))

    async def acquire(self, ticket: Ticket, fut: asyncio.Future) -> Slot | Refusal:
        """Wait for a slot.

        Args:
            ticket: Properties of the attempt.
            fut: Pending future; setting a refusal on it withdraws the attempt.
        """
        arrived_ms = self._timers.now_ms()
        if self._running < self.slots and not self._has_waiters():
            self._running += 1
            return Slot(self, arrived_ms, 0)
        refusal = self._check_bound(ticket)
        if refusal is not None:
            return refusal
        self._enqueue(ticket, fut, arrived_ms)
        self._admit()
        try:
            async with self._timers.timeout_ms(ticket.remaining_ms):
                granted = await asyncio.shield(fut)
        except TimeoutError:
            granted = self._refuse_unless_granted(fut, _expired())
        except asyncio.CancelledError:
            if self._refuse_unless_granted(fut, _expired()) is None:
                self._free_slot()
            raise
        if granted is not None:
            return granted
        now_ms = self._timers.now_ms()
        return Slot(self, now_ms, now_ms - arrived_ms)

    def release(self, started_ms: int) -> None:
        """Free a slot and admit the next attempt."""
        sample = self._timers.now_ms() - started_ms
        self._service_ms += SERVICE_TIME_WEIGHT * (sample - self._service_ms)
        self._free_slot()

    def _free_slot(self) -> None:
        self._running -= 1
        self._admit()

    def _admit(self) -> None:
        while self._running < self.slots:
            waiter = self._next_waiter()
            if waiter is None:
                return
            if waiter.fut.done():
                continue
            if waiter.deadline_ms <= self._timers.now_ms():
                waiter.fut.set_result(_expired())
                continue
            self._running += 1
            waiter.fut.set_result(None)

    def _has_waiters(self) -> bool:
        return any(level.waiting for level in self._levels.values())

    def _check_bound(self, ticket: Ticket) -> Refusal | None:
        ahead = sum(
            level.waiting
            for priority, level in self._levels.items()
            if priority <= ticket.priority
        )
        wait_ms = self._expected_wait_ms(ahead)
        if wait_ms <= min(ticket.queue_bound_ms, ticket.remaining_ms):
            return None
        retry_after_ms = max(wait_ms - ticket.queue_bound_ms, MIN_RETRY_AFTER_MS)
        return Refusal(
            RefusalReason.QUEUE_FULL,
            Ran.NO,
            f"expected queue wait of {wait_ms} ms exceeds the bound",
            retry_after_ms,
        )

    def _expected_wait_ms(self, ahead: int) -> int:
        if self._running < self.slots:
            return 0
        return int((ahead + 1) * self._service_ms / self.slots)

    def _enqueue(self, ticket: Ticket, fut: asyncio.Future, now_ms: int) -> None:
        level = self._levels.setdefault(ticket.priority, _PriorityLevel())
        tenant = level.tenants.get(ticket.tenant)
        if tenant is None:
            tenant = level.tenants[ticket.tenant] = _TenantQueue(ticket.weight)
            level.round_robin.append(ticket.tenant)
        tenant.weight = ticket.weight
        waiter = _Waiter(fut, now_ms + ticket.remaining_ms)
        entry = (now_ms + ticket.target_ms, next(self._sequence), waiter)
        heapq.heappush(tenant.heap, entry)
        level.waiting += 1
        fut.add_done_callback(lambda _: self._decrement_waiting(level))

    def _decrement_waiting(self, level: _PriorityLevel) -> None:
        level.waiting -= 1

    def _next_waiter(self) -> _Waiter | None:
        for priority in sorted(self._levels):
            level = self._levels[priority]
            waiter = _pop_next_by_weight(level)
            if waiter is not None:
                return waiter
            del self._levels[priority]
        return None

    def _refuse_unless_granted(
        self, fut: asyncio.Future, refusal: Refusal
    ) -> Refusal | None:
        """Refuse a waiting attempt, unless a slot was granted to it just before."""
        if not fut.done():
            fut.set_result(refusal)
        result: Refusal | None = fut.result()
        return result


def _pop_next_by_weight(level: _PriorityLevel) -> _Waiter | None:
    """Pop the next waiter; each tenant is served ``weight`` attempts per round."""
    while level.round_robin:
        name = level.round_robin[0]
        tenant = level.tenants[name]
        while tenant.heap and tenant.heap[0][2].fut.done():
            heapq.heappop(tenant.heap)
        if not tenant.heap:
            level.round_robin.popleft()
            del level.tenants[name]
            continue
        if tenant.deficit < 1:
            tenant.deficit += tenant.weight
        tenant.deficit -= 1
        if tenant.deficit < 1:
            level.round_robin.rotate(-1)
        return heapq.heappop(tenant.heap)[2]
    return None


def _expired() -> Refusal:
    return Refusal(
        RefusalReason.DEADLINE_EXPIRED,
        Ran.NO,
        "the deadline passed while the request was queued",
    )
