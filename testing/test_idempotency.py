"""At-most-once execution by several sides; parsers refuse bad input without raising."""

from __future__ import annotations

import asyncio
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from network import NullMetrics
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.embedded.log import LogStandIn
from copperrun.entry.requests import CHAT_PATH
from copperrun.entry.requests import COMPLETIONS_PATH
from copperrun.entry.requests import ModelRequest
from copperrun.entry.requests import parse_deadline
from copperrun.entry.requests import parse_model_request
from copperrun.idempotency.journal import Call
from copperrun.idempotency.journal import Journal
from copperrun.idempotency.journal import Permit
from copperrun.idempotency.keys import create_idempotency_key
from copperrun.idempotency.keys import key_time_ms
from copperrun.idempotency.records import decode
from copperrun.model import Answer
from copperrun.model import Refusal

SIDES = 3
KEYS = 2
FAULTS = ("none", "lose_answers", "late_appends", "down")

steps = st.lists(
    st.tuples(
        st.integers(0, SIDES - 1),
        st.integers(0, KEYS - 1),
        st.sampled_from(FAULTS),
        st.integers(0, 4_000),
        st.sampled_from(["finish", "mark_unknown", "abandon"]),
    ),
    max_size=10,
)


class _JournalHarness:
    """Journals of several sides over one log; records each execution and answer."""

    def __init__(self) -> None:
        self.timers = ManualTimers()
        self.log = LogStandIn(self.timers)
        self.journals = [
            Journal(
                "ledger", self.log, self.timers, NullMetrics(),
                window_ms=3_600_000, appends_per_second=40,
            )
            for _ in range(SIDES)
        ]  # fmt: skip
        self.keys = [create_idempotency_key(self.timers.wall_ms()) for _ in range(KEYS)]
        self.executions = dict.fromkeys(range(KEYS), 0)
        self.answers: dict[int, set[bytes]] = {key: set() for key in range(KEYS)}

    async def attempt(self, side: int, key: int, end: str) -> None:
        journal = self.journals[side]
        result = await journal.begin(Call("t", self.keys[key], "digest"))
        if isinstance(result, Answer):
            self.answers[key].add(result.body)
        if not isinstance(result, Permit):
            return
        await self.timers.sleep_ms(100)
        match end:
            case "abandon":
                journal.abandon(result)
            case "mark_unknown":
                self.executions[key] += 1
                journal.mark_unknown(result)
            case _:
                self.executions[key] += 1
                body = f"{side}-{self.timers.now_ms()}".encode()
                self.answers[key].add(body)
                journal.finish(result, Answer(200, "", body))


@settings(max_examples=150)
@given(steps)
def test_key_is_executed_at_most_once_under_log_faults(
    plan: list[tuple[int, int, str, int, str]],
) -> None:
    async def scenario() -> None:
        harness = _JournalHarness()
        running = [asyncio.create_task(item.run()) for item in harness.journals]
        await harness.timers.advance(1_000)
        attempts = []
        for side, key, fault, pause_ms, end in plan:
            harness.log.faults.down = fault == "down"
            harness.log.faults.lose_answers = int(fault == "lose_answers")
            harness.log.faults.late_appends = int(fault == "late_appends")
            harness.log.faults.late_ms = 3_000
            attempts.append(asyncio.create_task(harness.attempt(side, key, end)))
            await harness.timers.advance(pause_ms)
        harness.log.faults.down = False
        await run_until(harness.timers, asyncio.gather(*attempts), 120_000)
        await harness.timers.advance(30_000)
        for key in range(KEYS):
            assert_that(harness.executions[key], LessThan(2))
            assert_that(len(harness.answers[key]), LessThan(2))
        for task in running:
            task.cancel()

    asyncio.run(scenario())


@given(st.text())
def test_any_idempotency_key_is_parsed_or_refused(text: str) -> None:
    assert_that(key_time_ms(text), IsInstance((int, Refusal)))


@given(st.text() | st.integers().map(str))
def test_any_deadline_is_parsed_or_refused(text: str) -> None:
    remaining = parse_deadline(text, 1_000)
    if not isinstance(remaining, Refusal):
        assert_that(remaining > 0, Equals(True))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(
    st.dictionaries(
        st.sampled_from(
            ["model", "messages", "prompt", "stream", "max_tokens", "n", "role"]
        ),
        JSON | st.just([{"role": "user", "content": "x"}]) | st.just("allowances"),
    ),
    st.sampled_from([CHAT_PATH, COMPLETIONS_PATH]),
)
def test_any_request_body_is_parsed_or_refused(
    value: dict[str, object], path: str
) -> None:
    parsed = parse_model_request(path, json.dumps(value).encode())
    assert_that(parsed, IsInstance((ModelRequest, Refusal)))


@given(st.text() | st.dictionaries(st.text(), JSON).map(json.dumps))
def test_any_log_record_is_parsed_or_reported_as_an_error(text: str) -> None:
    assert_that(decode(text), IsInstance(tuple))
