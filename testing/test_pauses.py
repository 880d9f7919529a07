"""Streams at an entry that stood still while servers started again."""

from __future__ import annotations

import asyncio

import pytest
from factories import engine
from factories import model
from factories import pool
from factories import spec
from test_relay import STREAM
from test_relay import Bench
from test_relay import Caller
from test_relay import Plan
from test_relay import events
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.pauses import MIN_PAUSE_MS
from copperrun.pauses import PULSE_MS
from copperrun.pauses import PauseDetector
from copperrun.ports.admission import Granted
from copperrun.ports.backends import BackendCall
from copperrun.routing.requests import RoutedRequest

PAUSE_MS = 3_000


class PausingBench(Bench):
    """An entry whose pulse beats, but while it stands still."""

    def __init__(self, *records) -> None:
        super().__init__(*records)
        self.pauses = self.relay._ports.starts._pauses
        self.pulse = self.timers.subscribe(PULSE_MS, self._beat)
        self.stands_still = False
        self.sides.admission = lambda record: Granted(1, record.id)

    async def _beat(self) -> None:
        if not self.stands_still:
            await self.pauses.pulse()

    def take_up(self) -> tuple[Caller, asyncio.Task]:
        """Begin to continue a stream that began at server a."""
        call = BackendCall(
            "id-1", "GET", "h", "/a/b", [], None, None, model="m", resume_after="1"
        )
        now = self.timers.now_ms()
        request = RoutedRequest(
            call,
            STREAM,
            pool("llm", spec(model("m"))),
            now,
            now + STREAM.timeout_ms,
            self.servers.find("a").record.origin,
        )
        caller = Caller()
        return caller, asyncio.create_task(self.relay.handle(request, caller))

    async def stand_still(self) -> None:
        """Let time pass while no pulse beats; nothing else is due in it."""
        self.stands_still = True
        await self.timers.advance(PAUSE_MS)
        self.stands_still = False


async def test_a_pause_is_noticed_by_who_asks_first():
    for asks_first in (True, False):
        timers = ManualTimers()
        pauses = PauseDetector(timers)
        await pauses.pulse()
        began_ms = pauses.observe()
        await timers.advance(PULSE_MS + MIN_PAUSE_MS)
        assert_that(pauses.has_paused_since(began_ms), Equals(False))
        await timers.advance(PULSE_MS + MIN_PAUSE_MS + 1)
        if not asks_first:
            await pauses.pulse()
        assert_that(pauses.has_paused_since(began_ms), Equals(True))
        assert_that(pauses.has_paused_since(pauses.observe()), Equals(False))


async def test_without_a_pulse_no_pause_is_noticed():
    timers = ManualTimers()
    pauses = PauseDetector(timers)
    began_ms = pauses.observe()
    await timers.advance(PAUSE_MS)
    assert_that(pauses.has_paused_since(began_ms), Equals(False))


# An admission waited for an entry that stood still while the engine started again.
@pytest.mark.parametrize("runs", [True, False], ids=["same_start", "other_start"])
async def test_a_stream_goes_on_after_a_pause_only_where_its_start_still_runs(runs):
    bench = PausingBench(engine("a", ["m"]))
    bench.sides.delay_ms = PAUSE_MS
    await bench.timers.advance(PULSE_MS)
    bench.backends.plans = {"a": [Plan(parts=events(2, 3))]}
    bench.backends.runs = lambda record: runs
    caller, task = bench.take_up()
    await bench.timers.advance(10)
    await bench.stand_still()
    await run_until(bench.timers, task, 20_000)
    assert_that(caller.is_complete, Equals(runs))
    assert_that(bench.backends.calls, HasLength(int(runs)))
    bench.pulse.cancel()


# An entry stood still between the sending of a stream and its answer.
@pytest.mark.parametrize("runs", [True, False], ids=["same_start", "other_start"])
async def test_an_answer_after_a_pause_counts_only_if_its_start_still_runs(runs):
    bench = PausingBench(engine("a", ["m"]))
    bench.backends.plans = {"a": [Plan(delay_ms=PAUSE_MS, parts=events(2, 3))]}
    await bench.timers.advance(PULSE_MS)
    bench.backends.runs = lambda record: runs
    caller, task = bench.take_up()
    await bench.timers.advance(10)
    await bench.stand_still()
    await run_until(bench.timers, task, 20_000)
    assert_that((caller.is_complete, bool(caller.body)), Equals((runs, runs)))
    bench.pulse.cancel()


# The origin of a stream that began after a pause named a start that had ended.
@pytest.mark.parametrize("pauses", [True, False])
async def test_the_origin_of_a_stream_that_began_after_a_pause_is_confirmed(pauses):
    recorded = []
    bench = PausingBench(engine("a", ["m"]))
    bench.relay._record_origin = lambda request_id, origin: recorded.append(origin)
    bench.backends.plans = {"a": [Plan(delay_ms=PAUSE_MS, parts=events(1, 3))]}
    await bench.timers.advance(PULSE_MS)
    bench.backends.runs = lambda record: False
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(10)
    if pauses:
        await bench.stand_still()
    await run_until(bench.timers, task, 20_000)
    assert_that(caller.is_complete, Equals(True))
    assert_that(recorded, HasLength(int(not pauses)))
    bench.pulse.cancel()
