"""Attempts, retries, stream resumption and refusals of the relay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import pytest
from factories import engine
from factories import model
from factories import pool
from factories import route
from factories import server
from factories import spec
from loguru import logger
from network import NullMetrics
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import Is
from testtools.matchers import LessThan

from copperrun.admission.buffers import BufferBounds
from copperrun.admission.buffers import BufferBudget
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import Admission
from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import Granted
from copperrun.ports.admission import NotHeld
from copperrun.ports.admission import Overloaded
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import BackendError
from copperrun.ports.backends import BackendErrorReason
from copperrun.ports.backends import Execution
from copperrun.ports.sides import SideError
from copperrun.routing.attempt import SMALL_EVENT_BYTES
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.crashes import CrashLog
from copperrun.routing.fingerprints import fingerprint
from copperrun.routing.quarantine import MIN_CRASHES
from copperrun.routing.quarantine import Quarantine
from copperrun.routing.relay import Relay
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow
from copperrun.routing.scoring import Distance
from copperrun.routing.servers import REPLACED_TTL_MS
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport
from copperrun.routing.servers import ServerTable

NEVER_MS = 1 << 30
SAFE = route(retry_safety=RetrySafety.SAFE, max_attempts=2)
UNSAFE = route(retry_safety=RetrySafety.UNSAFE, max_attempts=2)
STREAM = route(
    streaming=True,
    resumable=True,
    max_attempts=2,
    timeout_ms=15_000,
    target_ms=1_000,
    target_gap_ms=300,
    caller_timeout_ms=4_000,
)


class Part(NamedTuple):
    """A part of a response body, sent after a delay."""

    delay_ms: int
    item: bytes | BackendError


class Plan(NamedTuple):
    """How a server answers one call."""

    status: int = 200
    execution: Execution = Execution.RAN
    delay_ms: int = 5
    parts: Sequence[Part] = (Part(0, b"whole"),)
    error: BackendError | None = None
    retry_after_ms: int = 0
    leaving: bool = False
    answered_by: str = ""


LOST = Plan(error=BackendError(BackendErrorReason.LOST, "reset"))
NOT_SENT = Plan(error=BackendError(BackendErrorReason.NOT_SENT, "refused"))
FULL = Plan(503, Execution.NOT_RUN)
PAUSE = Plan(503, Execution.NOT_RUN, retry_after_ms=2_000)
LEAVING = Plan(leaving=True)
FAILED = Plan(500, parts=(Part(0, b"own failure"),))


def events(first: int, last: int, *, gap_ms: int = 20) -> list[Part]:
    return [Part(gap_ms, b"id: %d\n\n" % number) for number in range(first, last + 1)]


class Backends:
    """Servers that answer as planned, with one plan for each call."""

    def __init__(self, timers: ManualTimers) -> None:
        self.plans: dict[str, list[Plan]] = {}
        self.calls: list[tuple[str, int, str]] = []
        self.closed = 0
        self.checks = 0
        self.has_crashed: Callable[[ServerRecord], bool] = lambda record: False
        self.runs: Callable[[ServerRecord], bool] = lambda record: True
        self._timers = timers

    async def has_ended(
        self, record: ServerRecord, *, health_path: str, timeout_ms: int
    ) -> bool:
        self.checks += 1
        await self._timers.sleep_ms(1)
        return self.has_crashed(record)

    async def is_running(self, record: ServerRecord, *, timeout_ms: int) -> bool:
        await self._timers.sleep_ms(1)
        return self.runs(record)

    async def open(
        self,
        record: ServerRecord,
        call: BackendCall,
        *,
        remaining_ms: int,
        priority: int,
        resume_after: str,
    ) -> Answer | BackendError:
        self.calls.append((record.id, remaining_ms, resume_after))
        plans = self.plans.get(record.id) or [Plan()]
        plan = plans.pop(0) if len(plans) > 1 else plans[0]
        await self._timers.sleep_ms(plan.delay_ms)
        return plan.error or Answer(self, plan, self._timers)


class Answer:
    def __init__(self, owner: Backends, plan: Plan, timers: ManualTimers) -> None:
        self.head = AnswerHead(
            plan.status,
            [("X-Proof", "p")],
            None,
            plan.execution,
            plan.retry_after_ms,
            plan.leaving,
            answered_by=plan.answered_by,
        )
        self._owner = owner
        self._parts = list(plan.parts)
        self._timers = timers
        self._due_ms: int | None = None

    async def read(self) -> bytes | BackendError | None:
        if not self._parts:
            return None
        now = self._timers.now_ms()
        if self._due_ms is None:
            self._due_ms = now + self._parts[0].delay_ms
        await self._timers.sleep_ms(max(self._due_ms - now, 0))
        self._due_ms = None
        return self._parts.pop(0).item

    def close(self) -> None:
        self._owner.closed += 1


class EngineSides:
    """Sides whose admission decisions the test sets."""

    def __init__(self, timers: ManualTimers) -> None:
        self.admission: Callable[[ServerRecord], Admission | SideError] = (
            lambda record: Granted()
        )
        self.delay_ms = 1
        self.admission_requests: list[tuple[str, AdmissionRequest]] = []
        self.started: list[str] = []
        self.ended: list[str] = []
        self._timers = timers

    async def admit(
        self, record: ServerRecord, admission_request: AdmissionRequest
    ) -> Admission | SideError:
        self.admission_requests.append((record.id, admission_request))
        await self._timers.sleep_ms(self.delay_ms)
        return self.admission(record)

    def report_started(self, record: ServerRecord, request: str) -> None:
        self.started.append(request)

    def report_ended(self, record: ServerRecord, request: str) -> None:
        self.ended.append(request)


class Caller:
    """Records what the caller receives."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.is_aborted = False
        self.refusal: Refusal | None = None

    async def start(self, head: AnswerHead, length: int | None) -> None:
        assert not self.status, "an answer began twice"
        self.status = head.status

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.is_complete = True

    async def refuse(self, refusal: Refusal) -> None:
        assert not self.status, "a refusal after an answer"
        self.refusal = refusal

    def abort(self) -> None:
        self.is_aborted = True


class Bench:
    """A relay with a manual clock and stub servers and sides."""

    def __init__(self, *records: ServerRecord, memory_bytes: int = 1 << 30) -> None:
        self.timers = ManualTimers()
        self.buffers: BufferBudget[str, str] = BufferBudget(
            BufferBounds(memory_bytes, memory_bytes, memory_bytes)
        )
        self.servers = ServerTable(self.timers)
        self.servers.set_records(records)
        self.backends = Backends(self.timers)
        self.sides = EngineSides(self.timers)
        self.demand = DemandMeter()
        self.budget = RetryWindow(self.timers, RetryBounds(1.0, 100, 10_000))
        self.quarantine = Quarantine(CrashLog(self.timers), self.timers)
        self.relay = Relay(
            self.servers,
            self.backends,
            self.sides,
            self.demand,
            self.timers,
            NullMetrics(),
            self.quarantine,
            distance_to=lambda zone: Distance.ZONE,
            budget_for=lambda name: self.budget,
            record_origin=lambda request_id, origin: None,
            buffers=self.buffers,
        )

    def begin(
        self,
        kind: object = SAFE,
        progress: Progress | None = None,
        **changes: object,
    ) -> tuple[Caller, asyncio.Task]:
        caller = Caller()
        plain = BackendCall("id-1", "POST", "h.example", "/a/b?c", [], b"body", 3_000)
        call = plain._replace(**changes)
        engine_spec = spec(model("m"), model("n")) if call.model else None
        now = self.timers.now_ms()
        request = RoutedRequest(
            call,
            kind,
            pool("llm" if call.model else "pay", engine_spec),
            now,
            now + kind.timeout_ms,
        )
        return caller, asyncio.create_task(
            self.relay.handle(request, caller, *filter(None, [progress]))
        )

    async def handle(self, kind: object = SAFE, **changes: object) -> Caller:
        caller, task = self.begin(kind, **changes)
        await run_until(self.timers, task, 60_000)
        task.result()
        return caller

    def servers_called(self) -> list[str]:
        return [name for name, _, _ in self.backends.calls]


async def test_a_complete_answer_is_forwarded():
    bench = Bench(server("a"))
    caller = await bench.handle()
    assert_that(
        (caller.status, caller.body, caller.is_complete), Equals((200, b"whole", True))
    )


@pytest.mark.parametrize("memory_bytes", [10, 5, 3, 0])
async def test_an_answer_without_memory_to_collect_it_is_forwarded_as_it_comes(
    memory_bytes: int,
):
    parts = [Part(5, b"ab"), Part(5, b"cd"), Part(5, b"ef")]
    bench = Bench(server("a"), memory_bytes=memory_bytes)
    bench.backends.plans = {"a": [Plan(parts=parts)]}
    caller = await bench.handle()
    assert_that((caller.body, caller.is_complete), Equals((b"abcdef", True)))
    assert_that(bench.buffers.collected_bytes, Equals(0))


async def test_memory_for_an_answer_is_returned_however_the_attempt_ends():
    lost = Part(5, BackendError(BackendErrorReason.LOST, "reset"))
    for plan in (
        Plan(parts=[Part(5, b"ab"), lost]),
        Plan(500, parts=[Part(5, b"ab"), lost]),
        FAILED,
        Plan(parts=[Part(5, b"ab"), Part(NEVER_MS, b"cd")]),
    ):
        bench = Bench(server("a"))
        bench.backends.plans = {"a": [plan]}
        await bench.handle(UNSAFE)
        assert_that(bench.buffers.collected_bytes, Equals(0))


@pytest.mark.parametrize(("memory_bytes", "held"), [(100_000, True), (1_000, False)])
async def test_a_large_event_that_does_not_end_is_counted(
    memory_bytes: int, held: bool
):
    part = Part(5, b"data: " + b"x" * 2 * SMALL_EVENT_BYTES)
    bench = Bench(server("a"), memory_bytes=memory_bytes)
    plan = Plan(parts=[part, Part(50, b"\nid: 1\n\n")])
    bench.backends.plans = {"a": [plan]}
    caller, task = bench.begin(STREAM._replace(resumable=False))
    await bench.timers.advance(30)
    is_counted = bench.buffers.collected_bytes > 0
    assert_that((not task.done(), is_counted), Equals((held, held)))
    await run_until(bench.timers, task, 60_000)
    assert_that(caller.is_complete, Equals(held))
    assert_that(bench.buffers.collected_bytes, Equals(0))


async def test_a_safe_request_is_tried_at_another_server_after_any_failure():
    for failure in (LOST, NOT_SENT, FULL, FAILED):
        bench = Bench(server("a"), server("b"))
        bench.backends.plans = {"a": [failure]}
        caller = await bench.handle()
        assert_that(caller.body, Equals(b"whole"))


async def test_an_unsafe_request_is_never_sent_again_once_it_may_have_run():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [LOST], "b": [LOST]}
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(bench.servers_called(), HasLength(1))
    assert_that(caller.refusal.ran, Is(Ran.UNKNOWN))


async def test_an_unsafe_request_that_was_not_run_is_tried_elsewhere():
    for failure in (NOT_SENT, FULL):
        bench = Bench(server("a"), server("b"))
        bench.backends.plans = {"a": [failure]}
        caller = await bench.handle(UNSAFE)
        assert_that(caller.body, Equals(b"whole"))


async def test_a_refusal_says_not_run_only_when_no_attempt_may_have_run():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [FULL], "b": [FULL]}
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, GreaterThan(0))
    mixed = Bench(server("a"), server("b"))
    mixed.backends.plans = {"a": [LOST], "b": [FULL]}
    other = await mixed.handle(SAFE)
    assert other.refusal is not None or other.is_complete
    if other.refusal is not None and len(mixed.backends.calls) == 2:
        assert_that(other.refusal.ran, Is(Ran.UNKNOWN))


async def test_a_servers_error_response_is_returned_when_no_attempt_succeeds():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [FAILED], "b": [FAILED]}
    caller = await bench.handle(SAFE)
    assert_that((caller.status, caller.body), Equals((500, b"own failure")))


async def test_a_request_is_sent_to_no_more_servers_than_the_route_allows():
    bench = Bench(*(server(name) for name in "abcd"))
    bench.backends.plans = {name: [FULL] for name in "abcd"}
    await bench.handle(route(retry_safety=RetrySafety.SAFE, max_attempts=3))
    assert_that(bench.backends.calls, HasLength(3))


async def test_retries_stop_when_the_budget_is_exhausted():
    bench = Bench(server("a"), server("b"))
    bench.budget = RetryWindow(bench.timers, RetryBounds(0.0, 0, 10_000))
    bench.backends.plans = {"a": [FULL], "b": [FULL]}
    caller = await bench.handle(SAFE)
    assert_that(bench.backends.calls, HasLength(1))
    assert caller.refusal is not None


async def test_each_attempt_carries_the_remaining_time():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {name: [FULL._replace(delay_ms=700)] for name in "ab"}
    await bench.handle(SAFE)
    first, second = (remaining for _, remaining, _ in bench.backends.calls)
    assert_that((first, second), Equals((3_000, 2_300)))


async def test_a_request_is_refused_at_its_deadline():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [Plan(delay_ms=NEVER_MS)]}
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.DEADLINE_EXPIRED))
    assert_that(caller.refusal.ran, Is(Ran.UNKNOWN))
    assert_that(bench.timers.now_ms(), LessThan(3_100))


@pytest.mark.parametrize(
    "plan",
    [
        LOST,
        Plan(503),
        Plan(parts=[Part(0, BackendError(BackendErrorReason.LOST, "cut at 10.0.0.1"))]),
    ],
    ids=["lost", "bare_503", "cut"],
)
async def test_a_failure_names_no_server_and_no_exception(plan):
    bench = Bench(server("i-7"))
    bench.backends.plans = {"i-7": [plan]}
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(
        caller.refusal.detail,
        Equals("the backend servers failed to give a complete answer"),
    )


async def test_a_cut_stream_resumes_after_its_last_complete_event():
    bench = Bench(server("a"), server("b"))
    cut = [
        *events(1, 3),
        Part(0, b"id: 4\nda"),
        Part(0, BackendError(BackendErrorReason.LOST, "cut")),
    ]
    bench.backends.plans = {
        name: [Plan(parts=cut), Plan(parts=events(4, 6))] for name in "ab"
    }
    caller = Caller()
    # Server a cuts the stream and server b continues it.
    bench.backends.plans["b"] = [Plan(parts=events(4, 6))]
    bench.backends.plans["a"] = [Plan(parts=cut)]
    caller = await bench.handle(STREAM)
    expected = b"".join(b"id: %d\n\n" % number for number in range(1, 7))
    assert_that((caller.body, caller.is_complete), Equals((expected, True)))
    assert_that(bench.backends.calls[1][2], Equals("3"))


async def test_a_cut_stream_that_cannot_resume_never_looks_complete():
    bench = Bench(server("a"), server("b"))
    cut = [*events(1, 3), Part(0, BackendError(BackendErrorReason.LOST, "cut"))]
    bench.backends.plans = {name: [Plan(parts=cut)] for name in "ab"}
    caller = await bench.handle(STREAM._replace(resumable=False))
    assert_that((caller.is_complete, caller.is_aborted), Equals((False, True)))
    assert_that(bench.backends.calls, HasLength(1))


async def test_a_stream_that_ends_within_an_event_is_aborted():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [Plan(parts=[*events(1, 2), Part(0, b"id: 3\n")])]}
    caller = await bench.handle(STREAM)
    assert_that((caller.is_complete, caller.is_aborted), Equals((False, True)))


async def test_a_stalled_stream_resumes_at_another_server():
    # Streams on a frozen machine stayed open until their callers disconnected.
    bench = Bench(server("a"), server("b"))
    stalled = [*events(1, 2), Part(NEVER_MS, b"")]
    bench.backends.plans = {"a": [Plan(parts=stalled)], "b": [Plan(parts=events(3, 4))]}
    caller = await bench.handle(STREAM)
    assert_that(caller.is_complete, Equals(True))
    assert_that(bench.timers.now_ms(), LessThan(STREAM.caller_timeout_ms))


async def test_a_callers_own_resumption_is_forwarded():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [Plan(parts=events(8, 9))]}
    await bench.handle(STREAM, resume_after="7")
    assert_that(bench.backends.calls[0][2], Equals("7"))


async def test_a_caller_that_disconnects_ends_the_attempt_at_the_server():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [Plan(parts=[Part(NEVER_MS, b"")])]}
    _, task = bench.begin(SAFE)
    await bench.timers.advance(100)
    task.cancel()
    await bench.timers.advance(0)
    assert_that(bench.backends.closed, Equals(1))
    found = bench.servers.find("a")
    assert found is not None
    assert_that(found.inflight, Equals(0))


async def test_a_request_waits_for_a_model_that_is_being_loaded():
    bench = Bench(engine("a"))
    found = bench.servers.find("a")
    assert found is not None
    found.apply_report(ServerReport(1, {}, 0, 0, {"m": 1_000}))
    bench.backends.plans = {"a": [Plan(parts=events(1, 2))]}
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(900)
    assert_that(bench.demand.waiting_counts("llm"), Equals({"m": 1}))
    found.apply_report(ServerReport(1, {"m": frozenset()}, 0, 0, {}))
    bench.servers.notify_change()
    await run_until(bench.timers, task, 5_000)
    assert_that(caller.is_complete, Equals(True))
    assert_that(bench.demand.waiting_counts("llm"), Equals({}))


async def test_a_load_that_ends_too_late_is_refused_at_once_with_its_remaining_time():
    bench = Bench(engine("a"))
    found = bench.servers.find("a")
    assert found is not None
    found.apply_report(ServerReport(1, {}, 0, 0, {"m": 5_400}))
    caller = await bench.handle(STREAM, model="m")
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.NOT_RESIDENT))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, Equals(5_400))
    assert_that(bench.timers.now_ms(), LessThan(50))


async def test_an_unknown_model_is_refused():
    bench = Bench(engine("a", ["m"]))
    caller = await bench.handle(STREAM, model="other")
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.UNKNOWN_DEPLOYMENT))


async def test_a_request_that_an_overloaded_engine_refuses_is_sent_to_another():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    bench.sides.admission = lambda record: (
        Overloaded(900) if record.id == "a" else Granted()
    )
    bench.backends.plans = {"b": [Plan(parts=events(1, 2))]}
    caller = await bench.handle(STREAM, model="m")
    assert_that(caller.is_complete, Equals(True))
    assert_that(bench.servers_called(), Equals(["b"]))


async def test_a_refusal_by_all_engines_carries_their_retry_after():
    bench = Bench(engine("a", ["m"]))
    bench.sides.admission = lambda record: Overloaded(900)
    caller = await bench.handle(STREAM, model="m")
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, Equals(900))


async def test_overload_of_all_holders_is_refused_without_waiting_for_a_load():
    # In scenario scale-2 of both sites, a thousand requests that every engine holding
    # the model had refused waited another 0.6 s for the model and were counted as
    # demand for a load of it.
    bench = Bench(engine("a", ["m"]), engine("b", ["n"]))
    bench.sides.admission = lambda record: Overloaded(900)
    caller = await bench.handle(STREAM, model="m")
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.QUEUE_FULL))
    assert_that(caller.refusal.retry_after_ms, Equals(900))
    assert_that(bench.timers.now_ms(), LessThan(50))


async def test_the_first_event_and_the_end_are_reported_to_the_side():
    bench = Bench(engine("a", ["m"]))
    bench.backends.plans = {"a": [Plan(parts=events(1, 3))]}
    await bench.handle(STREAM, model="m")
    assert_that((bench.sides.started, bench.sides.ended), Equals((["id-1"],) * 2))


async def test_a_server_that_leaves_while_a_request_waits_is_not_called():
    # In scenario trouble-1 (rule DRAIN), a request that waited for admission was sent
    # to its server 2.7 s after the server had been listed as leaving.
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = 2_000
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(500)
    bench.servers.set_records([engine("a", ["m"], leaving=True)])
    await run_until(bench.timers, task, 10_000)
    assert_that(bench.backends.calls, HasLength(0))
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.NO))


@pytest.mark.parametrize(("leaves_ms", "may_have_run"), [(500, False), (2_500, True)])
async def test_a_request_whose_caller_leaves_before_it_is_sent_has_not_run(
    leaves_ms, may_have_run
):
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = 2_000
    bench.backends.plans = {"a": [Plan(delay_ms=5_000, parts=events(1, 3))]}
    progress = Progress("")
    _, task = bench.begin(STREAM, progress, model="m")
    await bench.timers.advance(leaves_ms)
    assert_that(bench.backends.calls, HasLength(int(may_have_run)))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert_that(progress.may_have_run, Is(may_have_run))


async def test_an_unresponsive_side_does_not_delay_requests():
    # Requests to a frozen side waited for its admission until their callers
    # disconnected.
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = NEVER_MS
    bench.backends.plans = {"a": [Plan(parts=events(1, 2))]}
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(300)
    found = bench.servers.find("a")
    assert found is not None
    found.is_side_unresponsive = True
    bench.servers.notify_change()
    await run_until(bench.timers, task, 5_000)
    assert_that(caller.is_complete, Equals(True))


async def test_an_engine_that_no_longer_holds_the_model_is_recorded_as_such():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    for name in "ab":
        bench.backends.plans[name] = [Plan(421, Execution.WRONG_SERVER)]
    caller = await bench.handle(STREAM, model="m")
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.NO))
    held = [item.held for item in bench.servers.in_pool("llm")]
    assert_that(held, Equals([{}, {}]))


# An entry of another writer, at the address of a sound server, drew work for nothing.
@pytest.mark.parametrize(
    ("record", "answered_by"), [(server, ""), (server, "b"), (engine, "b")]
)
async def test_a_server_at_whose_address_another_one_answers_is_not_tried_again(
    record, answered_by
):
    other = record("other", ["m"]) if record is engine else record("other")
    bench = Bench(other)
    bench.backends.plans["other"] = [
        Plan(421, Execution.WRONG_SERVER, answered_by=answered_by) for _ in range(3)
    ]
    served, model = (STREAM, "m") if record is engine else (SAFE, "")
    for _ in range(3):
        caller = await bench.handle(served, model=model)
        assert caller.refusal is not None
        assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(bench.backends.calls, HasLength(1))
    # It counts for some time, and for one start.
    await bench.timers.advance(REPLACED_TTL_MS)
    await bench.handle(served, model=model)
    assert_that(bench.backends.calls, HasLength(2))
    bench.servers.set_records([other._replace(born_ms=2)])
    await bench.handle(served, model=model)
    assert_that(bench.backends.calls, HasLength(3))


async def test_the_size_of_a_record_draws_no_more_than_a_server_may_take():
    huge = server("huge", slots=65_535, address="10.0.0.1:1")
    sound = server("sound", slots=6, address="10.0.0.1:1")
    bench = Bench(huge, sound)
    bench.backends.plans = {
        "huge": [Plan(421, Execution.WRONG_SERVER)],
        "sound": [Plan(delay_ms=100)],
    }
    served = 0
    for _ in range(8):
        begun = [bench.begin(UNSAFE._replace(max_attempts=1)) for _ in range(6)]
        for caller, task in begun:
            await run_until(bench.timers, task, 5_000)
            served += caller.is_complete
    # At most the first ones that are sent at the same time go astray.
    assert_that(served, GreaterThan(41))


async def test_an_engine_whose_side_does_not_hold_the_model_is_not_called():
    bench = Bench(engine("a", ["m"]))
    bench.sides.admission = lambda record: NotHeld()
    caller = await bench.handle(STREAM, model="m")
    assert_that(bench.backends.calls, HasLength(0))
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.NO))


async def test_a_leaving_entry_refuses_unsent_requests():
    # In scenario trouble-2 (rule LOST), connections of requests that waited for a model
    # were closed without an answer.
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = NEVER_MS
    waiting, waiting_task = bench.begin(STREAM, model="m")
    await bench.timers.advance(100)
    bench.relay.refuse_unsent()
    later, later_task = bench.begin(STREAM, model="m")
    await bench.timers.advance(10)
    for caller, task in ((waiting, waiting_task), (later, later_task)):
        assert task.done()
        assert caller.refusal is not None
        assert_that(caller.refusal.reason, Is(RefusalReason.LEAVING))
        assert_that(caller.refusal.ran, Is(Ran.NO))


async def test_a_leaving_entry_finishes_sent_requests():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [Plan(parts=events(1, 50))]}
    caller, task = bench.begin(STREAM)
    await bench.timers.advance(200)
    bench.relay.refuse_unsent()
    await run_until(bench.timers, task, 5_000)
    assert_that(caller.is_complete, Equals(True))


async def test_a_refusal_without_any_server_says_not_run():
    caller = await Bench().handle(SAFE)
    assert caller.refusal is not None
    assert_that([caller.refusal.ran], Contains(Ran.NO))


async def test_a_server_that_says_it_leaves_gets_no_more_requests():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [LEAVING], "b": [LEAVING]}
    first, second, third = [await bench.handle(SAFE) for _ in range(3)]
    assert first.is_complete
    assert second.is_complete
    assert third.refusal is not None
    assert_that(sorted(bench.servers_called()), Equals(["a", "b"]))


async def test_a_leave_notice_outlasts_the_registry_until_the_server_starts_again():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [LEAVING, Plan()]}
    await bench.handle(SAFE)
    bench.servers.set_records([])
    bench.servers.set_records([server("a")])
    refused = await bench.handle(SAFE)
    assert refused.refusal is not None
    bench.servers.set_records([server("a", born_ms=2)])
    served = await bench.handle(SAFE)
    assert_that(served.is_complete, Is(True))
    bench.backends.plans = {"a": [LEAVING, Plan()]}
    await bench.handle(SAFE)
    refused_again = await bench.handle(SAFE)
    assert refused_again.refusal is not None
    other = server("b", address=server("a").address)
    bench.backends.plans = {"a": [LEAVING]}
    await bench.handle(SAFE)
    bench.servers.set_records([other])
    assert_that((await bench.handle(SAFE)).is_complete, Is(True))


async def test_requests_queued_for_a_server_that_says_it_leaves_go_elsewhere():
    bench = Bench(engine("e1", ["m"]), engine("e2", ["m"]))
    bench.backends.plans = {"e2": [Plan(parts=events(1, 2))]}
    bench.sides.delay_ms = 300
    bench.servers.find("e2").begin_request()  # the other one is preferred
    caller, task = bench.begin(STREAM, model="m")
    await bench.timers.advance(100)
    bench.servers.record_leaving(bench.servers.find("e1"))
    await run_until(bench.timers, task, 10_000)
    assert caller.is_complete
    assert_that(bench.servers_called(), Equals(["e2"]))


async def test_a_server_that_asks_for_a_pause_gets_nothing_until_its_end():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [PAUSE, Plan()]}
    for _ in range(6):
        assert_that((await bench.handle(SAFE)).is_complete, Is(True))
    assert_that(bench.servers_called().count("a"), Equals(1))
    assert_that(bench.servers.find("a").failure_rate, Equals(0))
    await bench.timers.advance(2_000)
    for _ in range(6):
        await bench.handle(SAFE)
    assert_that(bench.servers_called().count("a"), GreaterThan(1))


async def test_callers_are_refused_at_once_while_all_servers_ask_for_a_pause():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {
        "a": [PAUSE],
        "b": [PAUSE._replace(retry_after_ms=3_000)],
    }
    await bench.handle(SAFE)
    calls = len(bench.backends.calls)
    await bench.timers.advance(500)
    started_ms = bench.timers.now_ms()
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(len(bench.backends.calls), Equals(calls))
    assert_that(bench.timers.now_ms(), Equals(started_ms))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, GreaterThan(1_400))
    assert_that(caller.refusal.retry_after_ms, LessThan(1_501))


# A pause was forgotten when the server's record lapsed and came back.
async def test_a_pause_outlives_a_lapse_of_the_record_but_not_the_start():
    bench = Bench(server("a"))
    bench.backends.plans = {"a": [PAUSE]}
    await bench.handle(SAFE)
    for record, is_paused in (
        (server("a"), True),
        (server("a", slots=9), True),
        (server("a", born_ms=2), False),
        (server("a"), True),
    ):
        bench.servers.set_records([])
        await bench.timers.advance(100)
        bench.servers.set_records([record])
        assert_that(bench.servers.find("a").pause_ms > 0, Equals(is_paused))
    bench.servers.set_records([])
    await bench.timers.advance(2_000)
    bench.servers.set_records([server("a")])
    assert_that(bench.servers.find("a").pause_ms, Equals(0))


async def test_holders_that_ask_for_a_pause_are_not_waited_for():
    bench = Bench(engine("e1", ["m"]), engine("e2", ["n"]))
    bench.servers.find("e1").pause(1_000)
    caller = await bench.handle(STREAM, model="m")
    assert caller.refusal is not None
    assert_that(caller.refusal.retry_after_ms, Equals(1_000))
    assert_that(bench.servers_called(), Equals([]))


async def test_a_pause_without_a_promise_is_no_refusal_to_the_caller():
    bench = Bench(server("a"))
    ran = Plan(503, Execution.RAN, retry_after_ms=1_000)
    bench.backends.plans = {"a": [ran]}
    caller = await bench.handle(UNSAFE)
    assert caller.refusal is not None
    assert_that(caller.refusal.ran, Is(Ran.UNKNOWN))
    assert_that(bench.servers.find("a").failure_rate, Equals(0))


async def test_a_stalled_stream_that_sends_a_byte_now_and_then_resumes_elsewhere():
    bench = Bench(server("a"), server("b"))
    drips = [Part(200, b"x") for _ in range(60)]
    stalled = Plan(parts=[*events(1, 2), *drips])
    bench.backends.plans = {"a": [stalled], "b": [Plan(parts=events(3, 4))]}
    bench.servers.find("b").begin_request()  # the other one is preferred
    caller, task = bench.begin(STREAM)
    await bench.timers.advance(2_000)
    assert_that(caller.body.count(b"id:"), Equals(4))
    assert_that(bench.servers_called(), Equals(["a", "b"]))
    await run_until(bench.timers, task, 1_000)
    assert caller.is_complete


async def test_a_slow_but_sound_stream_is_not_cut():
    bench = Bench(server("a"), server("b"))
    bench.backends.plans = {"a": [Plan(parts=events(1, 8, gap_ms=1_300))]}
    bench.servers.find("b").begin_request()
    caller = await bench.handle(STREAM)
    assert caller.is_complete
    assert_that(bench.servers_called(), Equals(["a"]))


async def test_requests_lost_with_a_crashed_server_put_their_part_into_quarantine():
    bench = Bench(*(engine(f"e{number}", ["m"]) for number in range(9)))
    bench.backends.has_crashed = lambda record: True
    for number in range(9):
        bench.backends.plans[f"e{number}"] = [LOST]
    for number in range(6):
        await bench.timers.advance(1_000)
        await bench.handle(
            STREAM._replace(max_attempts=1),
            id=f"r{number}",
            model="m",
            prompt_parts=("first", "bad"),
        )
    assert_that(bench.backends.calls, HasLength(MIN_CRASHES))
    caller = await bench.handle(STREAM, model="m", prompt_parts=("first", "bad"))
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.QUARANTINED))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, GreaterThan(60_000))


async def test_answers_lost_by_servers_that_run_on_blame_no_part():
    bench = Bench(*(engine(f"e{number}", ["m"]) for number in range(9)))
    bench.backends.plans = {f"e{number}": [LOST] for number in range(9)}
    for _ in range(6):
        await bench.timers.advance(1_000)
        caller = await bench.handle(STREAM, model="m", prompt_parts=("part",))
        assert caller.refusal is not None
        assert_that(caller.refusal.reason, Is(RefusalReason.SERVER_FAILED))


async def test_a_request_whose_answer_had_begun_blames_no_part():
    bench = Bench(*(engine(f"e{number}", ["m"]) for number in range(9)))
    bench.backends.has_crashed = lambda record: True
    cut = Part(0, BackendError(BackendErrorReason.LOST, "cut"))
    plan = Plan(parts=[*events(1, 1), cut])
    bench.backends.plans = {f"e{number}": [plan] for number in range(9)}
    for _ in range(6):
        await bench.timers.advance(1_000)
        await bench.handle(STREAM, model="m", prompt_parts=("part",))
    assert_that(bench.quarantine.log.crashes(), Equals([]))


async def test_a_request_is_not_repeated_once_its_part_is_in_quarantine():
    bench = Bench(engine("a", ["m"]), engine("b", ["m"]))
    bench.backends.has_crashed = lambda record: True
    bench.backends.plans = {"a": [LOST], "b": [LOST]}
    for number in range(MIN_CRASHES - 1):
        bench.quarantine.record_crash(f"c{number}", "llm", ("bad",))
        await bench.timers.advance(1_000)
    caller = await bench.handle(STREAM, model="m", prompt_parts=("bad",))
    assert_that(bench.backends.calls, HasLength(1))
    assert caller.refusal is not None
    # It was sent once and may have run.
    assert_that(caller.refusal.ran, Is(Ran.UNKNOWN))


async def test_waiting_requests_are_refused_at_once_when_their_part_is_quarantined():
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = 3_000
    caller, task = bench.begin(STREAM, model="m", prompt_parts=("first", "bad"))
    sound, sound_task = bench.begin(STREAM, model="m", prompt_parts=("first", "ok"))
    bench.quarantine.record_begun("llm", ("first", "ok"))
    for number in range(MIN_CRASHES):
        await bench.timers.advance(300)
        bench.quarantine.record_crash(f"c{number}", "llm", ("first", "bad"))
    await bench.timers.advance(1)
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.QUARANTINED))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    await task
    bench.backends.plans = {"a": [Plan(parts=events(1, 3))]}
    await run_until(bench.timers, sound_task, 60_000)
    assert_that(sound.is_complete, Is(True))
    assert_that(bench.servers_called(), Equals(["a"]))


async def test_a_refused_prompt_asks_for_no_model():
    bench = Bench(engine("a", ["m"]))
    for number in range(MIN_CRASHES):
        await bench.timers.advance(300)
        bench.quarantine.record_crash(f"c{number}", "llm", ("bad",))
    await bench.handle(STREAM, model="n", prompt_parts=("bad",))
    assert_that(bench.demand.arrival_totals("llm"), Equals({}))


async def test_the_log_tells_repeats_of_a_request_from_other_requests():
    bench = Bench(server("a"))
    found: list[tuple[str, str]] = []
    sink = logger.add(
        lambda message: found.append(
            (message.record["message"], message.record["extra"].get("fingerprint"))
        )
    )
    for changes in ({}, {"id": "id-2"}, {"id": "id-3", "body": b"other"}):
        await bench.handle(**changes)
    logger.remove(sink)
    first, repeat, other = (value for name, value in found if name == "request ended")
    assert_that(repeat, Equals(first))
    assert_that(other != first, Is(True))


async def test_a_plain_request_lost_with_ended_servers_is_refused_at_once():
    bench = Bench(*(server(f"s{number}") for number in range(9)))
    bench.backends.has_crashed = lambda record: True
    bench.backends.plans = {f"s{number}": [LOST] for number in range(9)}
    for number in range(3):
        caller = await bench.handle(SAFE, id=f"r{number}")
        await bench.timers.advance(1_000)
    # The second one is sent once more, and not repeated after the third crash.
    assert_that(bench.backends.calls, HasLength(MIN_CRASHES))
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.QUARANTINED))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    assert_that(caller.refusal.retry_after_ms, GreaterThan(60_000))
    other = await bench.handle(SAFE, id="r9", target="/a/other")
    assert other.refusal is not None
    assert_that(other.refusal.reason, Is(RefusalReason.SERVER_FAILED))


async def test_an_answer_of_a_server_clears_the_request_whatever_its_status():
    for status in (200, 404, 500):
        bench = Bench(*(server(f"s{number}") for number in range(4)))
        bench.backends.has_crashed = lambda record: True
        bench.backends.plans = {
            "s0": [LOST],
            "s1": [LOST],
            "s2": [Plan(status)],
            "s3": [LOST],
        }
        for _ in range(4):
            await bench.handle(SAFE._replace(max_attempts=1))
            await bench.timers.advance(1_000)
        assert_that(bench.backends.calls, HasLength(4))
        await bench.handle(SAFE._replace(max_attempts=1))
        assert_that(bench.backends.calls, HasLength(5))


async def test_a_crash_is_recorded_though_the_caller_leaves_during_the_check():
    bench = Bench(server("a"))
    bench.backends.has_crashed = lambda record: True
    bench.backends.plans = {"a": [LOST]}
    _, task = bench.begin(SAFE)
    while not bench.backends.checks:
        await bench.timers.advance(1)
    task.cancel()
    await bench.timers.advance(1_000)
    assert_that(task.cancelled(), Is(True))
    assert_that(bench.quarantine.log.crashes(), HasLength(1))


async def test_a_waiting_request_is_refused_at_once_when_its_repeat_is_blamed():
    bench = Bench(engine("a", ["m"]))
    bench.sides.delay_ms = 3_000
    caller, task = bench.begin(STREAM, model="m")
    repeated = BackendCall("id-2", "POST", "h.example", "/a/b?c", [], b"body", 3_000)
    for number in range(MIN_CRASHES):
        await bench.timers.advance(300)
        bench.quarantine.record_crash(f"c{number}", "llm", [fingerprint(repeated)])
    await bench.timers.advance(1)
    assert caller.refusal is not None
    assert_that(caller.refusal.reason, Is(RefusalReason.QUARANTINED))
    assert_that(caller.refusal.ran, Is(Ran.NO))
    await task
    assert_that(bench.backends.calls, HasLength(0))
