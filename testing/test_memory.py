"""Memory that the requests of an engine hold, and what may be added."""

from __future__ import annotations

from random import Random

import pytest
from factories import engine
from test_admission import Bench
from test_admission import admission_request
from test_relay import STREAM
from test_relay import Bench as RelayBench
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.admission.memory import CLAIM_TTL_MS
from copperrun.admission.memory import SUM_TTL_MS
from copperrun.admission.memory import EngineMemory
from copperrun.admission.memory import EngineRun
from copperrun.admission.memory import MemoryReport
from copperrun.admission.memory import MemoryShare
from copperrun.admission.memory import can_ever_fit
from copperrun.admission.memory import need_of
from copperrun.model import RefusalReason
from copperrun.placement.adapter_slots import USE_TTL_MS
from copperrun.ports.admission import Granted
from copperrun.ports.admission import PromptPart
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.routing.servers import ServerReport
from copperrun.side.admission import AdmissionController

SHARED = (PromptPart("a1", 300), PromptPart("b2", 200))


def memory(capacity: int = 10_000) -> EngineMemory:
    counted = EngineMemory()
    counted.capacity = capacity
    return counted


def need(name: str, **changes: object) -> object:
    return need_of(admission_request(name, output_tokens=100, **changes))


def claim(counted: EngineMemory, name: str, **changes: object) -> bool:
    """Claim memory for a request if it fits."""
    item = need(name, **changes)
    if not counted.fits(item, 0):
        return False
    counted.claim(name, item, 0)
    return True


def test_requests_wait_once_their_prompts_and_outputs_fill_the_memory():
    counted = memory()
    claimed = [claim(counted, str(number), tokens=1_500) for number in range(8)]
    assert_that(claimed, Equals([True] * 6 + [False] * 2))
    assert_that(counted.claimed, Equals(6 * 1_600))
    counted.release("0")
    assert claim(counted, "next", tokens=1_500)


def test_a_shared_part_counts_once_and_until_its_last_request_ends():
    counted = memory()
    for name in ("x", "y"):
        assert claim(counted, name, tokens=700, parts=SHARED)
    assert_that(counted.claimed, Equals(500 + 2 * 300))
    counted.release("x")
    assert_that(counted.claimed, Equals(500 + 300))
    counted.release("y")
    counted.release("y")
    assert_that(counted.claimed, Equals(0))


@pytest.mark.parametrize("stated", [(300, 100), (100, 300), (0, 300), (300, 300)])
@pytest.mark.parametrize("last", [0, 1])
def test_a_part_of_which_callers_state_other_tokens_is_released_whole(stated, last):
    counted = memory()
    for number, tokens in enumerate(stated):
        parts = (PromptPart("a1", tokens),)
        assert claim(counted, str(number), tokens=500, parts=parts)
    own_tokens = sum(500 - tokens + 100 for tokens in stated)
    assert_that(counted.claimed, Equals(own_tokens + max(stated)))
    counted.release(str(1 - last))
    counted.release(str(last))
    assert_that(counted.claimed, Equals(0))


def test_parts_are_shared_only_after_the_same_beginning_and_by_one_adapter():
    counted = memory()
    for name, changes in (
        ("x", {"parts": SHARED}),
        ("other adapter", {"parts": SHARED, "adapter": "t"}),
        ("other beginning", {"parts": SHARED[1:]}),
    ):
        assert claim(counted, name, tokens=700, **changes)
    assert_that(counted.claimed, Equals(3 * 800))


def test_the_learned_output_counts_below_the_maximum():
    item = need_of(admission_request("r", output_tokens=4_000, likely_output=200))
    assert_that((item.output_tokens, item.output_limit), Equals((400, 4_000)))
    item = need_of(admission_request("r", output_tokens=100, likely_output=200))
    assert_that(item.output_tokens, Equals(100))


def test_outputs_that_all_double_what_was_likely_overfill_no_memory():
    counted, held = memory(), 0
    for number in range(50):
        item = need_of(
            admission_request(
                str(number), tokens=100, output_tokens=4_000, likely_output=400
            )
        )
        if counted.fits(item, 0):
            counted.claim(str(number), item, 0)
            held += 100 + 2 * 400
    assert_that(held, LessThan(10_001))


def test_an_idle_engine_takes_any_request_that_fits_alone():
    counted = memory()
    assert not counted.fits(need("too large", tokens=9_950), 0)
    assert claim(counted, "whole", tokens=9_900)
    assert not counted.fits(need("small", tokens=1), 0)


def test_an_idle_engine_takes_a_prompt_whose_output_is_not_stated():
    counted = memory()
    item = need_of(admission_request("r", tokens=9_900))
    assert counted.fits(item, 0)
    counted.claim("r", item, 0)
    counted.apply_report(
        MemoryReport(10_000, 10_600, runs=(EngineRun("r", 10_600, 700),))
    )
    assert not counted.fits(need("next", tokens=1), 0)


def test_a_request_larger_than_an_engine_never_fits():
    assert can_ever_fit(9_900, 100, 10_000)
    assert not can_ever_fit(9_901, 100, 10_000)
    assert not can_ever_fit(10_000, 0, 10_000)
    assert can_ever_fit(10_000, 0, 0)


def test_a_new_side_counts_the_requests_that_run_already():
    counted = memory()
    runs = tuple(EngineRun(f"old {n}", 1_550, 5) for n in range(5))
    counted.apply_report(MemoryReport(10_000, 5 * 1_550, runs=runs))
    # They may grow like those that it is asked for.
    assert claim(counted, "x", tokens=1_500)
    assert not claim(counted, "y", tokens=1_500)


def test_a_new_side_goes_by_the_counts_of_an_engine_that_lists_no_runs():
    counted = memory()
    counted.apply_report(MemoryReport(10_000, 5 * 1_550, running=5))
    # The first request tells how far those that run may grow.
    assert claim(counted, "x", tokens=1_500)
    assert not claim(counted, "y", tokens=51)


def test_what_the_engine_holds_beyond_the_claims_counts():
    counted = memory()
    assert claim(counted, "x", tokens=1_500)
    runs = (EngineRun("x", 1_550, 50), EngineRun("unknown", 6_000, 10))
    counted.apply_report(MemoryReport(10_000, 7_550, runs=runs))
    assert not counted.fits(need("y", tokens=2_500), 0)
    assert counted.fits(need("y", tokens=1_500), 0)


def test_reserved_memory_counts():
    counted = memory()
    counted.apply_report(MemoryReport(10_000, 0, reserved=9_000, runs=()))
    assert not counted.fits(need("x", tokens=1_500), 0)


def test_a_report_from_before_a_grant_does_not_free_its_claim():
    # The report lags by some hundred ms; six grants follow it at once.
    counted = memory()
    counted.apply_report(MemoryReport(10_000, 0, runs=()))
    claimed = [claim(counted, str(number), tokens=1_500) for number in range(8)]
    assert_that(claimed.count(True), Equals(6))


def test_a_request_that_ended_since_the_report_frees_its_memory():
    counted = memory()
    for number in range(6):
        claim(counted, str(number), tokens=1_500)
    runs = tuple(EngineRun(str(n), 1_600, 100) for n in range(6))
    counted.apply_report(MemoryReport(10_000, 9_600, runs=runs))
    assert not counted.fits(need("x", tokens=1_500), 0)
    counted.release("0")
    assert counted.fits(need("x", tokens=1_500), 0)


def test_a_claim_of_a_lost_request_lapses():
    counted = memory()
    for number in range(6):
        claim(counted, str(number), tokens=1_500)
    counted.apply_report(MemoryReport(10_000, 0, runs=()))
    assert not counted.fits(need("x", tokens=1_500), CLAIM_TTL_MS)
    assert counted.fits(need("x", tokens=1_500), CLAIM_TTL_MS + SUM_TTL_MS)


def test_a_request_that_outlived_its_estimate_may_reach_its_limit():
    counted = memory()
    item = need_of(
        admission_request("x", tokens=1_000, output_tokens=8_000, likely_output=100)
    )
    counted.claim("x", item, 0)
    counted.apply_report(
        MemoryReport(10_000, 1_200, runs=(EngineRun("x", 1_200, 200),))
    )
    assert not counted.fits(need("y", tokens=1_500), 0)


def test_bodies_that_wait_at_the_engine_are_bounded():
    counted = memory()
    counted.queue_bytes = 1_000
    assert claim(counted, "large", tokens=10, body_bytes=2_000)
    assert not claim(counted, "next", tokens=10, body_bytes=10)
    counted.record_begun("large")
    assert claim(counted, "next", tokens=10, body_bytes=10)


def test_a_load_of_long_outputs_neither_overfills_nor_idles_the_memory():
    # Requests whose outputs are longer than their prompts, at an engine that reports
    # every 100 ms and stops as soon as its memory overflows.
    random, capacity = Random(5), 20_000
    counted = memory(capacity)
    running: dict[str, list[int]] = {}
    shares = []
    count = 0
    for now_ms in range(0, 60_000, 10):
        if not now_ms % 100:
            runs = tuple(EngineRun(n, 200 + r[0], r[0]) for n, r in running.items())
            used = sum(run.tokens for run in runs)
            counted.apply_report(MemoryReport(capacity, used, runs=runs))
        while True:
            limit = random.randint(200, 1_000)
            item = need_of(
                admission_request(str(count), tokens=200, output_tokens=limit)
            )
            if not counted.fits(item, now_ms):
                break
            counted.claim(str(count), item, now_ms)
            running[str(count)] = [0, limit]
            count += 1
        for name, state in list(running.items()):
            state[0] += 1
            if state[0] >= state[1]:
                del running[name]
                counted.release(name)
        held = sum(200 + state[0] for state in running.values())
        assert held <= capacity
        shares.append(counted.committed_share(now_ms))
    assert_that(sum(shares) / len(shares), GreaterThan(0.9))


def test_an_entry_alone_keeps_to_its_share():
    share = MemoryShare(4)
    assert share.fits(0, 2_500, 10_000)
    assert not share.fits(2_000, 501, 10_000)
    assert share.fits(9_000, 9_000, 0)


class MemoryBench(Bench):
    """An engine with room for six requests of 1,600 tokens."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = EngineMemory()
        self.admission = AdmissionController(
            self.placement, self.timers, memory=self.memory
        )
        self.placement.spec = self.placement.spec._replace(cache_tokens=10_000)

    async def admit_all(self, count: int, **changes: object) -> list[object]:
        """Admit requests; each that is granted begins at once."""
        tasks = []
        for number in range(count):
            req = admission_request(
                str(number), output_tokens=100, remaining_ms=60_000, **changes
            )
            tasks.append(self.admit(req))
            await self.timers.advance(200)
            self.admission.record_progress([str(number)], [])
        return tasks


async def test_a_grant_waits_until_the_request_fits_the_memory():
    bench = MemoryBench()
    await bench.start()
    tasks = await bench.admit_all(8)
    assert_that([task.done() for task in tasks], Equals([True] * 6 + [False] * 2))
    report = bench.admission.report()
    assert report is not None
    assert_that(report.free_tokens, Equals(400))
    bench.admission.record_progress([], ["0"])
    await bench.timers.advance(1)
    assert_that(tasks[6].result(), IsInstance(Granted))
    assert not tasks[7].done()
    tasks[7].cancel()


@pytest.mark.parametrize("is_reported", [True, False])
async def test_two_attempts_with_one_id_both_release_their_claims(is_reported):
    bench = MemoryBench()
    await bench.start()
    for _ in range(2):
        bench.admit(admission_request("r", output_tokens=100))
        await bench.timers.advance(200)
        bench.admission.record_progress(["r"], [])
    assert_that(bench.memory.claimed, Equals(2 * 1_600))
    if is_reported:
        bench.admission.record_progress([], ["r"])
        assert_that(bench.memory.claimed, Equals(1_600))
        bench.admission.record_progress([], ["r"])
    else:
        await bench.timers.advance(USE_TTL_MS)
        bench.admission.report()
    assert_that(bench.memory.claimed, Equals(0))
    assert_that(bench.admission._admitted, Equals({}))


async def test_without_the_bound_memory_holds_no_request_back():
    bench = Bench()
    await bench.start()
    bench.placement.spec = bench.placement.spec._replace(cache_tokens=10_000)
    tasks = await MemoryBench.admit_all(bench, 8)
    assert all(task.done() for task in tasks)
    report = bench.admission.report()
    assert report is not None
    assert report.free_tokens is None


def relay_bench(*names: str) -> RelayBench:
    bench = RelayBench(*(engine(name, ["m"]) for name in names))
    bench.relay._selector._memory_share = MemoryShare(4)
    return bench


async def test_a_request_larger_than_an_engine_is_refused_at_once():
    bench = relay_bench("e")
    caller = await bench.handle(
        STREAM, model="m", prompt_tokens=99_000, output_tokens=2_000
    )
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Equals(RefusalReason.BODY_TOO_LARGE))
    assert_that(bench.sides.admission_requests, Equals([]))


async def test_without_a_side_an_entry_sends_no_more_than_its_share():
    bench = relay_bench("e")
    bench.sides.admission = lambda record: SideError(SideErrorReason.UNREACHABLE, "")
    caller = await bench.handle(STREAM, model="m", prompt_tokens=26_000)
    assert caller.refusal is not None
    assert_that(bench.servers_called(), Equals([]))
    await bench.handle(STREAM, model="m", prompt_tokens=24_000)
    assert_that(bench.servers_called(), Equals(["e"]))


async def test_an_engine_with_room_is_preferred():
    bench = relay_bench("e", "f")
    held = {"m": frozenset[str]()}
    for name, free_tokens in (("e", 500), ("f", 5_000)):
        server = bench.servers.find(name)
        server.apply_report(ServerReport(1, held, 0, 0, {}, free_tokens=free_tokens))
    await bench.handle(STREAM, model="m", prompt_tokens=1_500)
    assert_that(bench.servers_called()[0], Equals("f"))
    request = bench.sides.admission_requests[0][1]
    assert_that(request.body_bytes, Equals(4))
    server = bench.servers.find("f")
    assert_that(server.work.free_tokens, LessThan(5_000))
    assert_that(server.work.own_tokens, Equals(0))


async def test_an_engine_that_started_again_holds_nothing():
    bench = MemoryBench()
    await bench.start()
    tasks = await bench.admit_all(6)
    assert all(task.done() for task in tasks)
    bench.engine.born_ms += 1
    await bench.timers.advance(200)
    report = bench.admission.report()
    assert report is not None
    assert_that(report.free_tokens, Equals(10_000))
