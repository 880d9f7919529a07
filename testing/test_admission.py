"""Admission to one engine: waits, refusals and released resources."""

from __future__ import annotations

import asyncio

from factories import model
from factories import server
from factories import spec
from loguru import logger
from network import NullMetrics
from test_controller import LOAD_LIMIT
from test_controller import Engine
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.embedded.clock import ManualTimers
from copperrun.placement.adapter_slots import USE_TTL_MS
from copperrun.placement.controller import PlacementController
from copperrun.placement.demand import DemandView
from copperrun.placement.loads import LoadRateLimiter
from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import Granted
from copperrun.ports.admission import NotHeld
from copperrun.ports.admission import Overloaded
from copperrun.side.admission import AdmissionController


def admission_request(name: str, **changes: object) -> AdmissionRequest:
    plain = AdmissionRequest(
        name,
        "a",
        "",
        priority=1,
        tokens=1_500,
        gap_ms=300,
        target_ms=1_000,
        remaining_ms=4_000,
    )
    return plain._replace(**changes)


class Bench:
    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.engine = Engine(self.timers, {"a": set()})
        self.placement = PlacementController(
            self.engine,
            DemandView(self.timers),
            LoadRateLimiter(LOAD_LIMIT, self.timers),
            self.timers,
            NullMetrics(),
        )
        self.placement.spec = spec(model("a"), adapters=2)
        self.placement.epoch = 1
        self.placement.set_servers("addr", server("i-1", born_ms=1), [])
        self.admission = AdmissionController(self.placement, self.timers)

    async def start(self) -> None:
        self._task = asyncio.create_task(self.placement.run())
        await self.timers.advance(1)

    def admit(self, req: AdmissionRequest) -> asyncio.Task:
        return asyncio.create_task(self.admission.admit(req))

    async def finish_admitted(self, until_ms: int, *, each_ms: int) -> None:
        """Prefill one admitted prompt every ``each_ms`` and end its request."""
        while self.timers.now_ms() < until_ms:
            await self.timers.advance(each_ms)
            admitted = list(self.admission._admitted)
            if admitted:
                self.admission.record_progress([admitted[0]], [admitted[0]])


async def test_idle_engine_admits_a_request_at_once():
    bench = Bench()
    await bench.start()
    admitted = bench.admit(admission_request("r"))
    await bench.timers.advance(5)
    assert_that(admitted.result(), IsInstance(Granted))


async def test_log_records_the_outcome_of_each_request():
    # Guards against logging admitted requests as cancelled by their callers.
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(dict(message.record["extra"])))
    bench = Bench()
    await bench.start()
    bench.admit(admission_request("in"))
    gone = bench.admit(admission_request("gone", tokens=50_000, remaining_ms=60_000))
    await bench.timers.advance(5)
    gone.cancel()
    await bench.timers.advance(5)
    logger.remove(sink)
    outcomes = {line["request"]: line["outcome"] for line in lines if "outcome" in line}
    assert_that(outcomes, Equals({"in": "Granted", "gone": "left"}))


async def test_request_for_a_model_not_held_is_refused_at_once():
    bench = Bench()
    await bench.start()
    admitted = bench.admit(admission_request("r", model="b"))
    await bench.timers.advance(1)
    assert_that(admitted.result(), IsInstance(NotHeld))


async def test_request_overtaken_by_urgent_ones_is_refused_before_its_deadline():
    # Guards against requests that wait behind later, more urgent ones until their
    # callers disconnect; hundreds did in scenario scale-1 of the joint venture.
    bench = Bench()
    await bench.start()
    first = [bench.admit(admission_request(f"u{n}", priority=0)) for n in range(5)]
    pushed = bench.admit(admission_request("pushed", priority=2))
    ended_ms: list[int] = []
    pushed.add_done_callback(lambda _: ended_ms.append(bench.timers.now_ms()))
    await bench.timers.advance(200)
    late = [bench.admit(admission_request(f"v{n}", priority=0)) for n in range(60)]
    await bench.finish_admitted(3_900, each_ms=100)
    result = pushed.result()
    assert isinstance(result, Overloaded)
    assert_that(ended_ms[0], LessThan(3_000))
    assert_that(result.retry_after_ms > 0, Equals(True))
    for task in (*first, *late):
        task.cancel()


async def test_request_of_a_disconnected_caller_leaves_the_queue():
    bench = Bench()
    await bench.start()
    running = bench.admit(admission_request("big", tokens=50_000, remaining_ms=60_000))
    await bench.timers.advance(5)
    assert running.done()
    waiting = bench.admit(admission_request("gone", remaining_ms=60_000))
    await bench.timers.advance(5)
    waiting.cancel()
    await bench.timers.advance(5)
    report = bench.admission.report()
    assert report is not None
    assert_that(report.queued, Equals(0))


async def test_adapter_is_released_when_its_request_ends():
    bench = Bench()
    await bench.start()
    for name in ("a1", "a2", "a3", "a4"):
        admitted = bench.admit(admission_request(name, adapter=name))
        await bench.timers.advance(200)
        assert_that(admitted.result(), IsInstance(Granted))
        bench.admission.record_progress([name], [name])
    assert_that(bench.engine.overloads, Equals(0))


async def test_admitted_requests_of_a_dead_entry_expire():
    bench = Bench()
    await bench.start()
    admitted = bench.admit(admission_request("r"))
    await bench.timers.advance(5)
    assert_that(admitted.result(), IsInstance(Granted))
    assert_that(set(bench.placement.active), Equals({"a"}))
    await bench.timers.advance(USE_TTL_MS + 5)
    bench.admission.report()
    assert_that(set(bench.placement.active), Equals(set()))
    assert_that(bench.admission._admitted, Equals({}))
