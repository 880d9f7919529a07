"""Streams that may go on at few engines, beside requests with other places to go."""

from __future__ import annotations

import asyncio

from factories import engine
from factories import model
from factories import pool
from factories import spec
from test_admission import Bench as SideBench
from test_admission import admission_request
from test_prefill import grant_ids
from test_prefill import queue
from test_prefill import ticket
from test_relay import STREAM
from test_relay import Bench
from test_relay import Caller
from test_relay import Plan
from test_relay import events
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.embedded.clock import run_until
from copperrun.ports.admission import Granted
from copperrun.ports.admission import Overloaded
from copperrun.ports.backends import BackendCall
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.servers import ServerReport

V1 = StreamOrigin("llm", "gone/1", "v1")


def test_a_stream_that_goes_on_only_here_is_first_of_its_rank():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 0)
    prefill.enqueue(ticket("new", target_ms=5_000))
    prefill.enqueue(ticket("stream", target_ms=6_000, continues=True))
    prefill.enqueue(ticket("higher", target_ms=7_000, priority=0))
    prefill.remove("running")
    order = []
    for now_ms in range(500, 3_000, 100):
        order += grant_ids(prefill, now_ms)
        for name in order:
            prefill.record_first_event(name, now_ms)
    assert_that(order, Equals(["higher", "stream", "new"]))


def test_requests_with_other_places_do_not_count_as_ahead_of_a_stream():
    # On the day `rejoined`, 92 of 118 streams that clients took up were refused as
    # they arrived at engines of their version, behind new requests.
    prefill = queue()
    for number in range(80):
        elsewhere = ticket(str(number), priority=0, alternatives=3)
        prefill.enqueue(elsewhere)
    stream = ticket("stream", deadline_ms=4_000)
    assert_that(prefill.can_meet_deadline(stream, 0), Equals(False))
    stream = stream._replace(continues=True)
    assert_that(prefill.can_meet_deadline(stream, 0), Equals(True))


def test_only_as_many_give_way_as_the_stream_needs_and_the_last_ones_first():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 0)
    for number in range(20):
        due = {"target_ms": 800 + number, "alternatives": number % 2}
        prefill.enqueue(ticket(str(number), priority=0, **due))
    prefill.enqueue(ticket("stream", continues=True, target_ms=1_800))
    # 100 ms each, its own prefill and a delay of 100 ms, times the safety factor.
    yielded = [item.id for item in prefill.yield_places(0)]
    assert_that(yielded, Equals([str(number) for number in range(19, 4, -2)]))
    assert_that(prefill.waiting_count, Equals(13))


def test_nobody_gives_way_without_such_a_stream():
    prefill = queue()
    for number in range(80):
        prefill.enqueue(ticket(str(number), alternatives=3))
    assert_that(list(prefill.yield_places(0)), Equals([]))


async def test_a_waiting_request_gives_way_at_once_and_a_stream_is_admitted():
    bench = SideBench()
    await bench.start()
    elsewhere = [
        bench.admit(admission_request(f"n{number}", priority=0, alternatives=2))
        for number in range(30)
    ]
    await bench.timers.advance(5)
    stream = bench.admit(admission_request("stream", continues=True))
    await bench.timers.advance(5)
    results = [task.result() for task in elsewhere if task.done()]
    gave_way = [item for item in results if isinstance(item, Overloaded)]
    assert_that(len(gave_way) > 10, Equals(True))
    await bench.finish_admitted(1_500, each_ms=100)
    assert_that(stream.result(), IsInstance(Granted))
    for task in elsewhere:
        task.cancel()


async def test_without_another_place_a_request_keeps_its_own():
    bench = SideBench()
    await bench.start()
    only_here = [bench.admit(admission_request(f"n{n}", priority=0)) for n in range(9)]
    await bench.timers.advance(5)
    stream = bench.admit(admission_request("stream", continues=True))
    await bench.finish_admitted(3_000, each_ms=100)
    kinds = {type(task.result()) for task in (*only_here, stream)}
    assert_that(kinds, Equals({Granted}))


# The entry's choice.


def _begin(bench: Bench, name: str, origin: StreamOrigin | None) -> asyncio.Task:
    call = BackendCall(name, "POST", "h.example", "/a/b", [], b"body", 3_000, model="m")
    llm = pool("llm", spec(model("m")))
    now = bench.timers.now_ms()
    deadline_ms = now + STREAM.timeout_ms
    request = RoutedRequest(call, STREAM, llm, now, deadline_ms, origin=origin)
    return asyncio.create_task(bench.relay.handle(request, Caller()))


def _two_versions() -> Bench:
    """Build engines a of version 1 and b of version 2, which is farther behind."""
    bench = Bench(engine("a", ["m"]), engine("b", ["m"], software_version="v2"))
    bench.backends.plans = {name: [Plan(parts=events(1, 2))] for name in "ab"}
    for name, backlog_ms in (("a", 0), ("b", 300)):
        held = {"m": frozenset[str]()}
        report = ServerReport(1, held, 0, 0, {}, backlog_ms=backlog_ms)
        bench.servers.find(name).apply_report(report)
    return bench


async def test_the_side_is_told_who_has_another_place():
    bench = _two_versions()
    for name, origin in (("new", None), ("stream", V1)):
        task = _begin(bench, name, origin)
        await run_until(bench.timers, task, 5_000)
    told = {
        item.request: (item.alternatives, item.continues)
        for _, item in bench.sides.admission_requests
    }
    assert_that(told, Equals({"new": (1, False), "stream": (0, True)}))


async def test_a_stream_of_the_only_version_is_like_any_other():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    bench.backends.plans = {name: [Plan(parts=events(1, 2))] for name in "ab"}
    await run_until(bench.timers, _begin(bench, "stream", V1), 5_000)
    (_, told), *_ = bench.sides.admission_requests
    assert_that((told.alternatives, told.continues), Equals((1, False)))


async def test_new_requests_leave_engines_where_streams_wait():
    bench = _two_versions()
    bench.sides.delay_ms = 500
    stream = _begin(bench, "stream", V1)
    await bench.timers.advance(5)
    new = _begin(bench, "new", None)
    await run_until(bench.timers, asyncio.gather(stream, new), 5_000)
    asked = {item.request: name for name, item in bench.sides.admission_requests}
    assert_that(asked, Equals({"stream": "a", "new": "b"}))


async def test_new_requests_stay_where_no_other_engine_would_serve_them_in_time():
    bench = _two_versions()
    bench.sides.delay_ms = 500
    held = {"m": frozenset[str]()}
    late = ServerReport(1, held, 0, 0, {}, backlog_ms=2_000)
    bench.servers.find("b").apply_report(late)
    stream = _begin(bench, "stream", V1)
    await bench.timers.advance(5)
    new = _begin(bench, "new", None)
    await run_until(bench.timers, asyncio.gather(stream, new), 5_000)
    asked = {item.request: name for name, item in bench.sides.admission_requests}
    assert_that(asked, Equals({"stream": "a", "new": "a"}))


async def test_many_new_requests_cost_a_stream_no_more_than_its_target():
    # Twofold load of new requests, each with another engine, and a stream a second.
    bench = SideBench()
    await bench.start()
    waits_ms: list[int] = []
    tasks: list[asyncio.Task] = []
    for turn in range(100):
        for number in range(2):
            name = f"n{turn}-{number}"
            tasks.append(bench.admit(admission_request(name, alternatives=1)))
        if turn % 10 == 5:
            begun_ms = bench.timers.now_ms()
            stream = bench.admit(admission_request(f"s{turn}", continues=True))
            stream.add_done_callback(
                lambda done, at=begun_ms: waits_ms.append(
                    bench.timers.now_ms() - at
                    if isinstance(done.result(), Granted)
                    else 1 << 30
                )
            )
        await bench.finish_admitted(bench.timers.now_ms() + 100, each_ms=100)
    await bench.finish_admitted(bench.timers.now_ms() + 4_000, each_ms=100)
    assert_that(len(waits_ms), Equals(10))
    assert_that(max(waits_ms), LessThan(1_000))
    for task in tasks:
        task.cancel()
