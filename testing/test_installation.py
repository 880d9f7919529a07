"""Entries and sides together on a manual clock: each promise under its failures."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable

import callers
import pytest
from installation import GIB
from installation import TestInstallation
from installation import small_configuration
from installation import start_small_installation
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.entry.gateway import AdmittedRequest
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.sides import StreamItem
from copperrun.routing.dispatcher import chunk_text

PROMPT = {"model": "allowances", "prompt": "per diem in Split?", "max_tokens": 20}
BODY = json.dumps(PROMPT).encode()
STREAM_BODY = json.dumps({**PROMPT, "stream": True}).encode()

Scenario = Callable[[TestInstallation], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def started() -> None:
        async with TestInstallation() as installation:
            await start_small_installation(installation)
            await scenario(installation)

    asyncio.run(started())


def text_of(items: list[str | Refusal]) -> str:
    return "".join(chunk_text(item) for item in items if isinstance(item, str))


def refusals_in(items: list[str | Refusal]) -> list[Refusal]:
    return [item for item in items if isinstance(item, Refusal)]


def executions(installation: TestInstallation, key: str) -> int:
    return installation.service.executions[key]


def test_whole_answer_reaches_the_caller() -> None:
    async def scenario(installation: TestInstallation) -> None:
        answer = await installation.wait(installation.complete(BODY))
        assert_that(answer, IsInstance(Answer))
        text = json.loads(answer.body)["choices"][0]["text"]
        assert_that(text, Equals(callers.whole_text(PROMPT)))

    run(scenario)


@pytest.mark.parametrize("chunks", [1, 7, 20, 21])
def test_stream_cut_midway_is_resumed_whole_on_another_side(chunks: int) -> None:
    async def scenario(installation: TestInstallation) -> None:
        await installation.wait(installation.stream(STREAM_BODY))
        (first_side,) = [
            name for name, engine in installation.engines.items() if engine.started
        ]
        installation.sides.faults[first_side].cut_streams_after = chunks
        items = await installation.wait(installation.stream(STREAM_BODY))
        assert_that(refusals_in(items), Equals([]))
        assert_that(text_of(items), Equals(callers.whole_text(PROMPT)))
        assert_that(installation.sides.faults[first_side].cut_streams_after, Equals(0))

    run(scenario)


def test_stream_that_no_side_can_finish_ends_with_a_marked_error() -> None:
    async def scenario(installation: TestInstallation) -> None:
        for engine in installation.engines.values():
            engine.faults.cut_streams_after = 3
        items = await installation.wait(installation.stream(STREAM_BODY))
        (refusal,) = refusals_in(items)
        assert_that(refusal.reason, Is(RefusalReason.STREAM_CUT))
        assert_that(refusal.ran, Is(Ran.UNKNOWN))
        assert_that(callers.whole_text(PROMPT).startswith(text_of(items)), Is(True))

    run(scenario)


def test_request_lost_in_transit_to_every_side_was_not_run() -> None:
    async def scenario(installation: TestInstallation) -> None:
        for faults in installation.sides.faults.values():
            faults.lose_requests = 1
        answer = await installation.wait(installation.complete(BODY))
        # The request reached neither side, so nothing may have run.
        assert_that(answer, IsInstance(Refusal))
        assert_that(answer.ran, Is(Ran.NO))
        started = [len(item.started) for item in installation.engines.values()]
        assert_that(sum(started), Equals(0))

    run(scenario)


def test_late_copy_of_a_cancelled_attempt_does_not_run() -> None:
    async def scenario(installation: TestInstallation) -> None:
        for faults in installation.sides.faults.values():
            faults.delay_ms = 2_000
        fut = asyncio.ensure_future(installation.complete(BODY, deadline="500"))
        refusal = await installation.wait(fut)
        assert_that(refusal.ran, Is(Ran.NO))
        await installation.timers.advance(5_000)
        started = [len(item.started) for item in installation.engines.values()]
        assert_that(sum(started), Equals(0))

    run(scenario)


def test_unrepeatable_call_runs_once_and_its_retry_gets_the_recorded_answer() -> None:
    async def scenario(installation: TestInstallation) -> None:
        key = installation.new_key()
        first = await installation.wait(installation.call(key))
        second = await installation.wait(installation.call(key))
        assert_that(first, IsInstance(Answer))
        assert_that(second, Equals(first._replace(recorded=True)))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_unrepeatable_call_sent_at_once_through_both_sides_runs_once() -> None:
    async def scenario(installation: TestInstallation) -> None:
        for number in range(20):
            key = installation.new_key()
            outcomes = await installation.wait(
                asyncio.gather(*(installation.call(key) for _ in range(4)))
            )
            assert_that(executions(installation, key), Equals(1), str(number))
            bodies = {item.body for item in outcomes if isinstance(item, Answer)}
            assert_that(len(bodies), Equals(1))

    run(scenario)


def test_unrepeatable_call_whose_answer_is_lost_is_not_executed_again() -> None:
    async def scenario(installation: TestInstallation) -> None:
        for faults in installation.sides.faults.values():
            faults.lose_answers = 1
        key = installation.new_key()
        outcome = await installation.wait(installation.call(key))
        assert_that(executions(installation, key), Equals(1))
        assert_that(outcome, IsInstance(Refusal))
        assert_that(outcome.ran, Is(Ran.UNKNOWN))
        again = await installation.wait(installation.call(key))
        assert_that(again, IsInstance(Answer))
        assert_that(again.recorded, Is(True))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_unrepeatable_call_with_another_body_is_refused() -> None:
    async def scenario(installation: TestInstallation) -> None:
        key = installation.new_key()
        await installation.wait(installation.call(key, b"1"))
        refusal = await installation.wait(installation.call(key, b"2"))
        assert_that(refusal.reason, Is(RefusalReason.IDEMPOTENCY_KEY_REUSED))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_log_down_refuses_unrepeatable_calls_at_once_and_models_still_answer() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.log.faults.down = True
        await installation.timers.advance(15_000)
        key = installation.new_key()
        started = installation.timers.now_ms()
        refusal = await installation.wait(installation.call(key))
        assert_that(refusal.reason, Is(RefusalReason.LOG_UNAVAILABLE))
        assert_that(refusal.ran, Is(Ran.NO))
        assert_that(refusal.retry_after_ms, Equals(2_000))
        assert_that(installation.timers.now_ms() - started, LessThan(10))
        answer = await installation.wait(installation.complete(BODY))
        assert_that(answer, IsInstance(Answer))
        installation.log.faults.down = False
        await installation.timers.advance(15_000)
        answer = await installation.wait(installation.call(key))
        assert_that(answer, IsInstance(Answer))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_intent_whose_answer_was_lost_is_found_in_the_stream() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.log.faults.lose_answers = 1
        key = installation.new_key()
        answer = await installation.wait(installation.call(key))
        assert_that(answer, IsInstance(Answer))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_intent_appended_after_its_sender_timed_out_never_runs() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.log.faults.late_appends = 2
        installation.log.faults.late_ms = 6_000
        installation.log.faults.late_match = '"intent"'
        key = installation.new_key()
        refusal = await installation.wait(installation.call(key))
        assert_that(refusal, IsInstance(Refusal))
        assert_that(refusal.ran, Is(Ran.NO))
        assert_that(executions(installation, key), Equals(0))
        await installation.timers.advance(30_000)
        assert_that(executions(installation, key), Equals(0))
        answer = await installation.wait(installation.call(key))
        assert_that(answer, IsInstance(Answer))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_key_in_capitals_is_the_same_key() -> None:
    async def scenario(installation: TestInstallation) -> None:
        key = installation.new_key()
        await installation.wait(installation.call(key))
        again = await installation.wait(installation.call(key.upper()))
        assert_that(again, IsInstance(Answer))
        assert_that(again.recorded, Is(True))
        assert_that(sum(installation.service.executions.values()), Equals(1))

    run(scenario)


@pytest.mark.parametrize(
    ("record", "refuses"), [('{"version": 2, "kind": "intent"}', True), ("{", False)]
)
def test_records_of_a_later_version_stop_unrepeatable_calls(
    record: str, refuses: bool
) -> None:
    # A corrupt record holds no intent: its writer cannot read it back either.
    async def scenario(installation: TestInstallation) -> None:
        for number in range(4):
            stream = f"once/ledger/{number}"
            await installation.wait(installation.log.append(stream, [record]))
        await installation.timers.advance(15_000)
        key = installation.new_key()
        outcome = await installation.wait(installation.call(key))
        assert_that(isinstance(outcome, Refusal), Equals(refuses))
        assert_that(executions(installation, key), Equals(0 if refuses else 1))

    run(scenario)


def test_call_with_unknown_outcome_is_never_executed_again() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.service.faults.lose_answers = 1
        key = installation.new_key()
        for _ in range(3):
            outcome = await installation.wait(installation.call(key))
            assert_that(outcome, IsInstance(Refusal))
            assert_that(outcome.ran, Is(Ran.UNKNOWN))
            await installation.timers.advance(60_000)
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_side_killed_while_executing_leaves_the_outcome_unknown() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.service.faults.delay_ms = 10_000
        key = installation.new_key()
        fut = asyncio.ensure_future(installation.call(key))
        await installation.timers.advance(2_000)
        busy = [
            name
            for name, process in installation.sides.processes.items()
            if name.startswith("ledger") and process.agent.load().running
        ]
        installation.stop_side(busy[0])
        outcome = await installation.wait(fut)
        await installation.timers.advance(10_000)
        assert_that(outcome.ran, Is(Ran.UNKNOWN))
        again = await installation.wait(installation.call(key))
        assert_that(again.ran, Is(Ran.UNKNOWN))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_key_older_than_the_window_is_refused() -> None:
    async def scenario(installation: TestInstallation) -> None:
        key = installation.new_key(age_ms=13 * 3_600_000)
        refusal = await installation.wait(installation.call(key))
        assert_that(refusal.reason, Is(RefusalReason.IDEMPOTENCY_KEY_EXPIRED))
        assert_that(executions(installation, key), Equals(0))

    run(scenario)


def test_new_side_after_an_early_log_trim_refuses_keys_of_the_gap() -> None:
    async def scenario(installation: TestInstallation) -> None:
        key = installation.new_key()
        await installation.wait(installation.call(key))
        for number in range(4):
            installation.log.trim(f"once/ledger/{number}", 10**9)
        for name in ("ledger-0", "ledger-1"):
            installation.stop_side(name)
            installation.start_service_side(name)
        await installation.timers.advance(5_000)
        refusal = await installation.wait(installation.call(key))
        assert_that(refusal.reason, Is(RefusalReason.IDEMPOTENCY_KEY_EXPIRED))
        assert_that(executions(installation, key), Equals(1))

    run(scenario)


def test_leaving_side_refuses_new_work_and_finishes_what_runs() -> None:
    async def scenario(installation: TestInstallation) -> None:
        fut = asyncio.ensure_future(installation.stream(STREAM_BODY))
        await installation.timers.advance(100)
        (busy,) = [
            process
            for process in installation.sides.processes.values()
            if process.agent.load().running
        ]
        drain = asyncio.ensure_future(busy.drain())
        await installation.timers.advance(1)
        records = installation.engines[busy.identity.instance].started
        before = len(records)
        for _ in range(3):
            answer = await installation.wait(installation.complete(BODY))
            assert_that(answer, IsInstance(Answer))
        items = await installation.wait(fut)
        await installation.wait(drain)
        assert_that(refusals_in(items), Equals([]))
        assert_that(text_of(items), Equals(callers.whole_text(PROMPT)))
        assert_that(len(records), Equals(before))

    run(scenario)


def test_side_marked_leaving_in_the_list_refuses_work_within_three_seconds() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.instances.faults.lag_ms = 1_500
        installation.instances.mark_leaving("assistant-0")
        await installation.timers.advance(3_000)
        process = installation.sides.processes["assistant-0"]
        admitted = await installation.wait(
            installation.entries["entry-0"].gateway.admit_model(
                installation.request(BODY)
            )
        )
        assert isinstance(admitted, AdmittedRequest)
        # An entry that has not learned of it yet still sends.
        attempt = admitted.dispatch_request.template._replace(
            id=AttemptId("late", 1, process.incarnation), remaining_ms=1_000
        )
        reply = await installation.wait(
            installation.sides.submit("assistant-0", attempt)
        )
        assert isinstance(reply.outcome, Refusal)
        assert_that(reply.outcome.reason, Is(RefusalReason.LEAVING))
        assert_that(reply.outcome.ran, Is(Ran.NO))
        for _ in range(3):
            answer = await installation.wait(installation.complete(BODY))
            assert_that(answer, IsInstance(Answer))
        assert_that(installation.engines["assistant-0"].started, Equals([]))

    run(scenario)


def test_preset_switch_adds_copies_and_never_overcommits_memory() -> None:
    async def scenario(installation: TestInstallation) -> None:
        raw = small_configuration()
        raw["deployments"]["allowances"]["copies"] = 1
        raw["models"]["allowances"]["versions"]["2"] = {"weights": "200 GiB"}
        raw["deployments"]["allowances"]["version"] = "2"
        await installation.publish(raw, base=0)
        await installation.timers.advance(20_000)
        raw["preset_in_force"] = "peak"
        await installation.publish(raw, base=1)
        await installation.timers.advance(20_000)
        resident = [
            process.ledger.resident()
            for name, process in installation.sides.processes.items()
            if name.startswith("assistant")
        ]
        assert_that(sum("allowances@2" in item for item in resident), Equals(2))
        for engine in installation.engines.values():
            assert_that(engine.memory_high_water, LessThan(320 * GIB + 1))

    run(scenario)


def test_loss_of_a_side_aborts_its_attempts_and_retries_elsewhere() -> None:
    async def scenario(installation: TestInstallation) -> None:
        body = json.dumps({**PROMPT, "max_tokens": 2_000}).encode()
        fut = asyncio.ensure_future(installation.complete(body))
        await installation.timers.advance(50)
        (busy,) = [
            name
            for name, process in installation.sides.processes.items()
            if process.agent.load().running
        ]
        installation.sides.faults[busy].cut = True
        started = installation.timers.now_ms()
        answer = await installation.wait(fut)
        assert_that(answer, IsInstance(Answer))
        # Three missed hellos, then the whole generation again on the other side.
        took_ms = installation.timers.now_ms() - started
        assert_that(took_ms, LessThan(3_000 + 1_000 + 2_000 * 11))

    run(scenario)


def test_process_whose_configuration_has_a_gap_is_not_ready_until_it_is_filled() -> (
    None
):
    async def scenario(installation: TestInstallation) -> None:
        entry = installation.entries["entry-0"]
        assert_that(entry.is_ready, Is(True))
        entry.follower.state.skip_to(50)
        assert_that(entry.is_ready, Is(False))
        complete_state = installation.sides.processes["ledger-0"].follower.state
        complete_state.next_offset = 50
        await installation.timers.advance(5_000)
        assert_that(entry.is_ready, Is(True))

    run(scenario)


def test_process_that_starts_while_the_log_is_down_restores_a_peer_snapshot() -> None:
    async def scenario(installation: TestInstallation) -> None:
        installation.log.faults.down = True
        installation.start_entry("entry-1")
        await installation.timers.advance(5_000)
        answer = await installation.wait(installation.complete(BODY, entry="entry-1"))
        assert_that(answer, IsInstance(Answer))
        installation.stop_side("assistant-0")
        restarted = installation.start_engine_side("assistant-0")
        await installation.timers.advance(5_000)
        # It serves what is resident, and sends no orders without a claim.
        assert_that(restarted.agent.lifecycle.accepts_work, Is(True))
        before = installation.engines["assistant-0"].order_count
        raw = small_configuration()
        installation.log.faults.down = False
        await installation.publish(raw | {"preset_in_force": "peak"}, base=0)
        await installation.timers.advance(5_000)
        revisions = {
            process.follower.revision
            for process in (*installation.entries.values(), restarted)
        }
        assert_that(len(revisions), Equals(1))
        assert_that(installation.engines["assistant-0"].order_count > before, Is(True))

    run(scenario)


def test_a_side_refuses_to_continue_an_answer_of_weights_that_it_does_not_hold() -> (
    None
):
    async def scenario(installation: TestInstallation) -> None:
        sent: list[tuple[str, Attempt]] = []
        forward = installation.sides.stream

        def record(address: str, attempt: Attempt) -> AsyncGenerator[StreamItem, None]:
            sent.append((address, attempt))
            return forward(address, attempt)

        installation.sides.stream = record
        await installation.wait(installation.stream(STREAM_BODY))
        for faults in installation.sides.faults.values():
            faults.cut_streams_after = 3
        await installation.wait(installation.stream(STREAM_BODY))
        address, attempt = sent[-1]
        assert_that(attempt.resume_weights, Equals("allowances@1"))
        other = attempt._replace(
            id=attempt.id._replace(attempt=9), resume_weights="allowances@2"
        )
        items = forward(address, other)
        item = await installation.wait(anext(items))
        await items.aclose()
        assert_that(item, IsInstance(Refusal))
        assert_that(
            (item.reason, item.ran), Equals((RefusalReason.NOT_RESIDENT, Ran.NO))
        )

    run(scenario)
