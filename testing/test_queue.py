"""Admission queue of a side (order, bounds, withdrawal) and rate limits."""

from __future__ import annotations

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import IsInstance

from copperrun.admission.limits import EqualShare
from copperrun.admission.queue import AdmissionQueue
from copperrun.admission.queue import Slot
from copperrun.admission.queue import Ticket
from copperrun.configuration.schema import Caller
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until_idle
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason


def ticket(tenant: str = "a", **fields: int) -> Ticket:
    values = {
        "weight": 1,
        "priority": 1,
        "target_ms": 1_000,
        "remaining_ms": 60_000,
        "queue_bound_ms": 60_000,
    }
    return Ticket(tenant=tenant, **{**values, **fields})


class Bench:
    """An admission queue with one slot, and tasks that wait for it."""

    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.queue = AdmissionQueue(self.timers, slots=1)
        self.order: list[str] = []
        self.results: dict[str, Slot | Refusal] = {}
        self.futs: dict[str, asyncio.Future[Refusal | None]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def acquire_slot(self) -> Slot:
        fut = asyncio.get_running_loop().create_future()
        slot = await self.queue.acquire(ticket(), fut)
        assert isinstance(slot, Slot)
        return slot

    async def add(self, name: str, request: Ticket) -> None:
        self.futs[name] = asyncio.get_running_loop().create_future()
        self.tasks[name] = asyncio.create_task(self._wait(name, request))
        await run_until_idle()

    async def _wait(self, name: str, request: Ticket) -> None:
        result = await self.queue.acquire(request, self.futs[name])
        self.results[name] = result
        if isinstance(result, Slot):
            self.order.append(name)
            with result:
                await self.timers.sleep_ms(10)


def test_slots_follow_priority_then_least_slack() -> None:
    async def scenario() -> None:
        bench = Bench()
        slot = await bench.acquire_slot()
        await bench.add("late", ticket(priority=5, target_ms=1))
        await bench.add("loose", ticket(target_ms=900))
        await bench.add("tight", ticket(target_ms=100))
        await bench.add("urgent", ticket(priority=0))
        slot.__exit__()
        await bench.timers.advance(100)
        assert_that(bench.order, Equals(["urgent", "tight", "loose", "late"]))

    asyncio.run(scenario())


def test_tenants_of_one_priority_share_by_weight() -> None:
    async def scenario() -> None:
        bench = Bench()
        slot = await bench.acquire_slot()
        for number in range(8):
            await bench.add(f"a{number}", ticket("a", weight=1))
        for number in range(8):
            await bench.add(f"b{number}", ticket("b", weight=3))
        slot.__exit__()
        await bench.timers.advance(75)
        names = [name[0] for name in bench.order]
        assert_that((names.count("a"), names.count("b")), Equals((2, 6)))

    asyncio.run(scenario())


def test_expected_wait_over_the_bound_is_refused_at_once() -> None:
    async def scenario() -> None:
        bench = Bench()
        for _ in range(60):
            slot = await bench.acquire_slot()
            await bench.timers.advance(1_000)
            slot.__exit__()
        await bench.acquire_slot()
        for number in range(4):
            await bench.add(f"w{number}", ticket(queue_bound_ms=10_000))
        await bench.add("patient", ticket(queue_bound_ms=10_000))
        await bench.add("hurried", ticket(queue_bound_ms=3_000))
        refusal = bench.results["hurried"]
        assert isinstance(refusal, Refusal)
        assert_that((refusal.reason, refusal.ran), Equals(
            (RefusalReason.QUEUE_FULL, Ran.NO)
        ))  # fmt: skip
        assert_that(refusal.retry_after_ms, GreaterThan(0))
        assert_that("patient" in bench.results, Is(False))
        await bench.add("first", ticket(priority=0, queue_bound_ms=3_000))
        assert_that("first" in bench.results, Is(False))

    asyncio.run(scenario())


def test_attempt_whose_deadline_expires_in_the_queue_is_refused() -> None:
    async def scenario() -> None:
        bench = Bench()
        await bench.acquire_slot()
        await bench.add("a", ticket(remaining_ms=50))
        await bench.timers.advance(51)
        refusal = bench.results["a"]
        assert isinstance(refusal, Refusal)
        assert_that(refusal.reason, Is(RefusalReason.DEADLINE_EXPIRED))
        assert_that(refusal.ran, Is(Ran.NO))

    asyncio.run(scenario())


def test_withdrawn_and_cancelled_waiters_leak_no_slot() -> None:
    async def scenario() -> None:
        bench = Bench()
        slot = await bench.acquire_slot()
        await bench.add("withdrawn", ticket())
        await bench.add("cancelled", ticket())
        await bench.add("last", ticket())
        bench.futs["withdrawn"].set_result(Refusal(RefusalReason.CANCELLED, Ran.NO, ""))
        bench.tasks["cancelled"].cancel()
        await run_until_idle()
        slot.__exit__()
        await bench.timers.advance(100)
        assert_that(bench.order, Equals(["last"]))
        load = bench.queue.load()
        assert_that((load.queued, load.running), Equals((0, 0)))

    asyncio.run(scenario())


def test_waiter_cancelled_right_after_its_admission_frees_the_slot() -> None:
    async def scenario() -> None:
        bench = Bench()
        slot = await bench.acquire_slot()
        await bench.add("a", ticket())
        slot.__exit__()
        bench.tasks["a"].cancel()
        await run_until_idle()
        assert_that(bench.queue.load().running, Equals(0))
        assert_that(await bench.acquire_slot(), IsInstance(Slot))

    asyncio.run(scenario())


def test_the_share_of_an_entry_is_its_part_of_the_rate() -> None:
    timers = ManualTimers()
    limiter = EqualShare(timers)
    limiter.entry_count = 2
    caller = Caller("t", "c", requests_per_second=10, burst=4)
    results = [limiter.admit("x", caller) for _ in range(3)]
    assert_that(results[:2], Equals([None, None]))
    refusal = results[2]
    assert refusal is not None
    assert_that(refusal.retry_after_ms, Equals(201))
