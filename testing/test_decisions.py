"""Waits for models, server scoring, adapter slots, load rates and retry windows."""

from __future__ import annotations

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.admission.waiting import ANNOUNCE_TIMEOUT_MS
from copperrun.admission.waiting import Refuse
from copperrun.admission.waiting import Wait
from copperrun.admission.waiting import decide_wait
from copperrun.embedded.clock import ManualTimers
from copperrun.entry.reports import ENTRY_COUNT_TTL_MS
from copperrun.entry.reports import INITIAL_ENTRY_COUNT
from copperrun.entry.reports import DemandReporter
from copperrun.placement.adapter_slots import PENDING_UNLOAD_TTL_MS
from copperrun.placement.adapter_slots import USE_TTL_MS
from copperrun.placement.adapter_slots import AdapterKey
from copperrun.placement.adapter_slots import AdapterSlots
from copperrun.placement.demand import DemandMeter
from copperrun.placement.loads import LoadRateLimit
from copperrun.placement.loads import LoadRateLimiter
from copperrun.routing.retries import BUDGET_MARGIN
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow
from copperrun.routing.scoring import Candidate
from copperrun.routing.scoring import Distance
from copperrun.routing.scoring import choose_engine
from copperrun.routing.scoring import choose_plain_server

A1, A2, A3 = (AdapterKey("m", f"a{number}") for number in (1, 2, 3))


def test_a_load_in_time_is_waited_for():
    decision = decide_wait(
        expected_ms=1_000,
        waited_ms=0,
        remaining_ms=4_000,
        target_ms=1_000,
        any_side_reported=True,
    )
    assert_that(decision, IsInstance(Wait))


def test_load_that_ends_too_late_is_refused_at_once_with_its_remaining_time():
    decision = decide_wait(
        expected_ms=5_400,
        waited_ms=0,
        remaining_ms=4_800,
        target_ms=1_000,
        any_side_reported=True,
    )
    assert_that(decision, Equals(Refuse(5_400)))


def test_without_an_announced_load_the_wait_is_short():
    first = decide_wait(
        expected_ms=None,
        waited_ms=0,
        remaining_ms=9_000,
        target_ms=1_000,
        any_side_reported=True,
    )
    later = decide_wait(
        expected_ms=None,
        waited_ms=ANNOUNCE_TIMEOUT_MS,
        remaining_ms=9_000,
        target_ms=1_000,
        any_side_reported=True,
    )
    assert_that(first, Equals(Wait(ANNOUNCE_TIMEOUT_MS)))
    assert_that(later, IsInstance(Refuse))


def test_the_wait_continues_while_no_side_has_reported():
    # After a restart of all processes, requests were refused before any side had
    # received a demand report.
    decision = decide_wait(
        expected_ms=None,
        waited_ms=ANNOUNCE_TIMEOUT_MS,
        remaining_ms=9_000,
        target_ms=1_000,
        any_side_reported=False,
    )
    assert_that(decision, IsInstance(Wait))


def candidate(**changes: object) -> Candidate:
    plain = Candidate(0, 0, 6, Distance.ZONE, 0.0)
    return plain._replace(**changes)


def test_a_remote_engine_is_chosen_only_when_the_near_one_is_far_behind():
    near = candidate(wait_ms=100)
    remote = candidate(distance=Distance.REMOTE)
    assert_that(choose_engine([near, remote]), Equals(0))
    assert_that(choose_engine([near._replace(wait_ms=400), remote]), Equals(1))


def test_an_engine_whose_side_is_unresponsive_comes_last():
    unresponsive = candidate(is_side_unresponsive=True)
    assert_that(choose_engine([unresponsive, candidate(wait_ms=2_000)]), Equals(1))


def test_an_engine_that_holds_the_adapter_is_preferred():
    assert_that(
        choose_engine([candidate(adapter_rank=1), candidate(load=2)]), Equals(1)
    )


def test_a_plain_server_in_the_zone_is_used_while_it_has_free_slots():
    near, remote = candidate(load=1), candidate(distance=Distance.REMOTE)
    assert_that(choose_plain_server([near, remote]), Equals(0))
    assert_that(choose_plain_server([near._replace(load=6), remote]), Equals(1))


def test_a_failing_plain_server_is_avoided():
    failing = candidate(failure_rate=0.6)
    assert_that(choose_plain_server([failing, candidate(load=2)]), Equals(1))


def test_an_adapter_in_use_is_never_a_victim():
    slots = AdapterSlots()
    slots.begin_use("r1", A1, 0)
    slots.begin_use("r2", A2, 10)
    assert_that(slots.choose_victim([A1, A2], 20), Is(None))
    slots.end_use("r1", 30)
    assert_that(slots.choose_victim([A1, A2], 40), Equals(A1))


def test_the_least_recently_used_adapter_is_evicted_first():
    slots = AdapterSlots()
    for at_ms, key in ((0, A2), (10, A1), (20, A3)):
        slots.begin_use(str(at_ms), key, at_ms)
        slots.end_use(str(at_ms), at_ms)
    assert_that(slots.choose_victim([A1, A2, A3], 100), Equals(A2))


def test_a_pending_unload_keeps_its_slot():
    # An adapter in use that was ordered to unload left the engine's list at once but
    # still occupied its slot, so the next load exceeded the limit (rule LIMIT).
    slots = AdapterSlots()
    slots.mark_unloading(A1, 0)
    assert_that(slots.used_count([A2], [], 100), Equals(2))
    assert_that(slots.used_count([A2], [], PENDING_UNLOAD_TTL_MS), Equals(1))


def test_the_use_of_a_lost_request_expires():
    slots = AdapterSlots()
    slots.begin_use("lost", A1, 0)
    assert_that(slots.choose_victim([A1], USE_TTL_MS + 1), Equals(A1))


def test_loads_of_all_engines_together_keep_the_limit():
    timers = ManualTimers()
    limit = LoadRateLimit(window_ms=5_000, overage=1.1, slack=3)
    for engines in (1, 6, 9, 40):
        limiter = LoadRateLimiter(limit, timers)
        started = []
        now = timers.now_ms()
        for at_ms in range(0, 60_000, 100):
            timers._now_ms = now + at_ms
            if limiter.delay_ms(1.8, engines) <= 0:
                limiter.record_load()
                started.append(at_ms)
        allowed = 1.8 * 5 * 1.1 + 3
        for begin in started:
            inside = [at for at in started if begin <= at < begin + 5_000]
            assert_that(len(inside) * engines <= max(allowed, engines), Equals(True))
        assert_that(len(started), GreaterThan(0))


def test_retries_keep_to_the_ratio_and_a_share_of_the_slack():
    timers = ManualTimers()
    budget = RetryWindow(timers, RetryBounds(0.2, 50, 10_000))
    budget.entries = 5
    for _ in range(100):
        budget.record_request()
    retries = sum(budget.try_acquire() for _ in range(100))
    assert_that(retries, Equals(int((20 + 10) * BUDGET_MARGIN)))


def test_the_budget_recovers_with_time():
    timers = ManualTimers()
    budget = RetryWindow(timers, RetryBounds(0.2, 5, 10_000))
    while budget.try_acquire():
        pass
    timers._now_ms += 10_001
    assert_that(budget.try_acquire(), Equals(True))


def test_changed_bounds_apply_at_once():
    timers = ManualTimers()
    budget = RetryWindow(timers, RetryBounds(0.2, 100, 10_000))
    assert_that(budget.try_acquire(), Equals(True))
    budget.bounds = RetryBounds(0.2, 1, 10_000)
    assert_that(budget.try_acquire(), Equals(False))
    loads = LoadRateLimiter(
        LoadRateLimit(window_ms=5_000, overage=1.1, slack=100), timers
    )
    loads.record_load()
    assert_that(loads.delay_ms(2.0, 9), Equals(0))
    loads.limit = LoadRateLimit(window_ms=5_000, overage=1.1, slack=0)
    assert_that(loads.delay_ms(2.0, 20), GreaterThan(0))


# Each start of an entry began with a whole share of the slack.
async def test_restarts_in_series_spend_no_more_than_one_window_allows():
    timers = ManualTimers()
    bounds = RetryBounds(0.0, 20, 10_000)
    spent: list[int] = []
    budget = RetryWindow(timers, bounds)
    for _ in range(8):
        for _ in range(30):
            if budget.try_acquire():
                spent.append(timers.now_ms())
            await timers.advance(100)
        budget = RetryWindow(timers, bounds, restarted_ms=timers.now_ms())
    for begin in spent:
        inside = [at for at in spent if begin <= at < begin + bounds.window_ms]
        assert_that(len(inside), LessThan(21))
    await timers.advance(bounds.window_ms)
    assert_that(budget.try_acquire(), Equals(True))


# A side that had just started told entries that they were few.
async def test_the_number_of_entries_falls_only_after_a_time():
    timers = ManualTimers()
    reporter = DemandReporter(
        None,
        None,
        None,
        DemandMeter(),
        timers,
        on_report=lambda *_: None,
        on_responsive=lambda *_: None,
    )
    assert_that(reporter.entry_count, Equals(INITIAL_ENTRY_COUNT))
    counts = [reporter.record_entry_count(count) for count in (5, 1, 5, 9, 2)]
    assert_that(counts, Equals([5, 5, 5, 9, 9]))
    await timers.advance(ENTRY_COUNT_TTL_MS)
    assert_that(reporter.record_entry_count(4), Equals(4))
