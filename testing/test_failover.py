"""Requests at servers that fall silent, while another server is tried."""

from __future__ import annotations

import pytest
from factories import engine
from factories import route
from factories import server
from loguru import logger
from test_relay import FULL
from test_relay import LOST
from test_relay import NEVER_MS
from test_relay import NOT_SENT
from test_relay import SAFE
from test_relay import STREAM
from test_relay import Bench
from test_relay import Part
from test_relay import Plan
from test_relay import events
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is

from copperrun.embedded.clock import run_until
from copperrun.model import Ran
from copperrun.ports.admission import Overloaded
from copperrun.ports.backends import BackendError
from copperrun.ports.backends import BackendErrorReason
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow

SILENCE_MS = 2_000
PAUSED_STREAM = Plan(parts=[*events(1, 2), Part(SILENCE_MS, b""), *events(3, 4)])
PAUSED_HEAD = Plan(delay_ms=SILENCE_MS)
WHOLE_STREAM = b"".join(b"id: %d\n\n" % number for number in range(1, 5))


def prefer_a(bench: Bench) -> None:
    bench.servers.find("b").begin_request()


def spend_budget(bench: Bench) -> None:
    bench.budget = RetryWindow(bench.timers, RetryBounds(0.0, 0, 10_000))


@pytest.mark.parametrize(
    "other", [FULL, NOT_SENT, LOST], ids=["full", "unreachable", "lost"]
)
async def test_a_silent_stream_is_kept_while_the_other_server_gives_no_answer(other):
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_STREAM], "b": [other]}
    caller = await bench.handle(STREAM)
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))


async def test_a_silent_stream_is_kept_without_a_retry_left():
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    spend_budget(bench)
    bench.backends.plans = {"a": [PAUSED_STREAM]}
    caller = await bench.handle(STREAM)
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))
    assert_that(bench.servers_called(), Equals(["a"]))


async def test_a_silent_stream_is_kept_while_no_other_engine_admits_the_request():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_STREAM]}
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(100)
    bench.sides.admission = lambda record: Overloaded(500)
    await run_until(bench.timers, task, 60_000)
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))


async def test_a_silent_stream_is_kept_while_the_other_engine_loads_the_model():
    bench = Bench(engine("a", ["m"]), engine("b", ["n"]))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_STREAM]}
    caller = await bench.handle(STREAM, model="m")
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))
    assert_that(bench.servers_called(), Equals(["a"]))


async def test_a_silent_stream_goes_on_when_its_server_answers_before_the_other_one():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    prefer_a(bench)
    bench.backends.plans = {
        "a": [PAUSED_STREAM],
        "b": [Plan(parts=[Part(1_500, b"id: 3\ndata: b\n\n"), *events(4, 4)])],
    }
    caller = await bench.handle(STREAM, model="m")
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))
    assert_that(bench.servers_called(), Equals(["a", "b"]))
    assert_that(bench.backends.closed, Equals(2))
    assert_that(bench.sides.ended, Equals(["id-1", "id-1"]))
    assert_that(bench.servers.find("a").inflight, Equals(0))
    assert_that(bench.servers.find("b").inflight, Equals(1))  # that of prefer_a


async def test_the_server_left_behind_is_closed_once_the_other_one_answers():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    prefer_a(bench)
    stalled = Plan(parts=[*events(1, 2), Part(NEVER_MS, b"")])
    slow = Plan(parts=[Part(800, b"id: 3\n\n"), Part(800, b"id: 4\n\n")])
    bench.backends.plans = {"a": [stalled], "b": [slow]}
    caller, task = bench.begin(STREAM, model="m")
    while bench.servers_called() != ["a", "b"]:
        await bench.timers.advance(10)
    await bench.timers.advance(700)
    assert_that(bench.backends.closed, Equals(0))
    await bench.timers.advance(200)
    assert_that(bench.backends.closed, Equals(1))
    assert_that(bench.servers.find("a").inflight, Equals(0))
    await run_until(bench.timers, task, 5_000)
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))


async def test_a_caller_that_leaves_during_a_failover_ends_both_attempts():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    prefer_a(bench)
    silent = Plan(parts=[Part(NEVER_MS, b"")])
    bench.backends.plans = {"a": [silent], "b": [silent]}
    _, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(3_000)
    assert_that(bench.servers_called(), Equals(["a", "b"]))
    task.cancel()
    await bench.timers.advance(0)
    assert_that(bench.backends.closed, Equals(2))
    assert_that(bench.sides.ended, Equals(["id-1", "id-1"]))
    assert_that(bench.servers.find("b").inflight, Equals(1))  # that of prefer_a


@pytest.mark.parametrize(
    "other", [FULL, NOT_SENT, LOST], ids=["full", "unreachable", "lost"]
)
async def test_a_silent_server_is_waited_for_while_the_other_gives_no_answer(other):
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_HEAD], "b": [other]}
    caller = await bench.handle(SAFE)
    assert_that((caller.body, caller.is_complete), Equals((b"whole", True)))


async def test_a_silent_server_is_waited_for_without_a_retry_left():
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    spend_budget(bench)
    bench.backends.plans = {"a": [PAUSED_HEAD]}
    caller = await bench.handle(SAFE)
    assert_that((caller.body, caller.is_complete), Equals((b"whole", True)))


async def test_the_first_of_two_silent_servers_that_answers_serves_the_request():
    for first, second, name in ((1_400, 900, b"a"), (2_500, 100, b"b")):
        bench = Bench(server("a"), server("b"))
        prefer_a(bench)
        bench.backends.plans = {
            "a": [Plan(delay_ms=first, parts=[Part(0, b"a")])],
            "b": [Plan(delay_ms=second, parts=[Part(0, b"b")])],
        }
        caller = await bench.handle(SAFE)
        assert_that((caller.body, caller.is_complete), Equals((name, True)))
        assert_that(bench.servers_called(), Equals(["a", "b"]))


async def test_a_server_that_fails_during_a_failover_leaves_the_request_to_the_other():
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    cut = Part(300, BackendError(BackendErrorReason.LOST, "cut"))
    stalled = Plan(parts=[*events(1, 2), Part(1_200, b""), cut])
    slow = Plan(parts=[Part(1_000, b"id: 3\n\n"), *events(4, 4)])
    bench.backends.plans = {"a": [stalled], "b": [slow]}
    caller = await bench.handle(STREAM)
    assert_that((caller.body, caller.is_complete), Equals((WHOLE_STREAM, True)))
    assert_that(bench.servers_called(), Equals(["a", "b"]))


async def test_an_unsafe_request_at_a_silent_server_is_never_sent_to_another():
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_HEAD]}
    caller = await bench.handle(route(retry_safety=RetrySafety.UNSAFE, max_attempts=2))
    assert_that(caller.is_complete, Is(True))
    assert_that(bench.servers_called(), Equals(["a"]))


async def test_retries_that_find_no_server_are_given_back():
    bench = Bench(engine("a", ["m"]), engine("b", ["n"]))
    prefer_a(bench)
    bench.budget = RetryWindow(bench.timers, RetryBounds(0.0, 1.25, 10_000))
    bench.backends.plans = {"a": [PAUSED_STREAM]}
    await bench.handle(STREAM, model="m")
    assert bench.budget.try_acquire()


async def test_a_request_at_two_silent_servers_ends_at_its_deadline():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {
        "a": [Plan(delay_ms=NEVER_MS)],
        "b": [Plan(delay_ms=NEVER_MS)],
    }
    caller = await bench.handle(SAFE)
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.UNKNOWN))
    assert_that(bench.timers.now_ms(), Equals(SAFE.timeout_ms))


async def test_a_failover_is_logged_with_its_result():
    bench = Bench(server("a"), server("b"))
    prefer_a(bench)
    bench.backends.plans = {"a": [PAUSED_STREAM], "b": [FULL]}
    lines: list[tuple[str, dict]] = []
    sink = logger.add(
        lambda line: lines.append((line.record["message"], line.record["extra"]))
    )
    await bench.handle(STREAM)
    logger.remove(sink)
    found = [fields for text, fields in lines if text == "silent server"]
    assert_that(len(found), GreaterThan(0))
    assert_that((found[0]["server"], found[0]["result"]), Equals(("a", "kept")))
