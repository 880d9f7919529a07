"""Limits of callers of copperrun's own interface."""

from __future__ import annotations

import asyncio
import json

from installation import TestInstallation
from installation import small_configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.embedded.log import LogStandIn
from copperrun.membership.log_topics import LogTopics
from copperrun.membership.tenures import LEASE_MS
from copperrun.model import Answer
from copperrun.model import RefusalReason
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPosition

BODY = json.dumps({"model": "allowances", "prompt": "x", "max_tokens": 1}).encode()
BURST = 12
ENTRIES = 4


async def _start(installation: TestInstallation) -> None:
    installation.start_engine_side("assistant-0")
    installation.start_service_side("ledger-1")
    for number in range(ENTRIES):
        installation.start_entry(f"entry-{number}")
    configuration = small_configuration()
    configuration["deployments"]["allowances"]["copies"] = 1
    configuration["callers"]["rigger"].update(
        {"requests_per_second": 0.5, "burst": BURST}
    )
    await installation.publish(configuration)
    await installation.timers.advance(5_000)


async def _served(installation: TestInstallation, entry: str, count: int) -> int:
    served = 0
    for _ in range(count):
        answer = await installation.wait(installation.complete(BODY, entry=entry))
        served += isinstance(answer, Answer)
        if not isinstance(answer, Answer):
            assert_that(answer.reason, Equals(RefusalReason.RATE_LIMITED))
    return served


async def test_a_caller_at_one_entry_gets_its_whole_limit_and_others_see_it_used():
    async with TestInstallation() as installation:
        await _start(installation)
        served = await _served(installation, "entry-0", BURST + 3)
        elsewhere = await _served(installation, "entry-1", 3)
        assert_that((served, elsewhere), Equals((BURST, 0)))


async def test_an_entry_grants_its_share_while_no_keeper_answers():
    async with TestInstallation() as installation:
        await _start(installation)
        installation.log.faults.down = True
        await installation.timers.advance(LEASE_MS + 5_000)
        served = await _served(installation, "entry-0", BURST)
        assert_that(served, Equals(BURST // ENTRIES))


async def _run(timers: ManualTimers, work):
    task = asyncio.ensure_future(work)
    await run_until(timers, task, 10_000)
    return task.result()


async def test_a_record_at_another_place_than_it_states_does_not_count():
    timers = ManualTimers()
    log = LogStandIn(timers)
    topics = LogTopics(log)
    first = await _run(timers, topics.put("t", "k", b"1", at=0))
    assert_that(first, Equals(TopicPosition(0, 0)))
    late = await _run(timers, topics.put("t", "k", b"2", at=0))
    assert isinstance(late, TopicError)
    assert_that(late.reason, Equals(TopicErrorReason.CONFLICT))
    snapshot = await _run(timers, topics.read_snapshot("t"))
    assert_that((snapshot.items, snapshot.end), Equals(({"k": b"1"}, 2)))
    page = await _run(timers, topics.read("t", 1, wait_ms=0))
    assert_that((list(page.records), page.end), Equals(([], 2)))


async def test_a_topic_whose_records_were_dropped_is_in_a_later_era():
    timers = ManualTimers()
    topics = LogTopics(LogStandIn(timers, retention_ms=1_000))
    await _run(timers, topics.put("t", "k", b"1", at=0))
    await timers.advance(5_000)
    await _run(timers, topics.put("t", "j", b"2", at=1))
    snapshot = await _run(timers, topics.read_snapshot("t"))
    assert_that(
        (snapshot.items, snapshot.position), Equals(({"j": b"2"}, TopicPosition(1, 2)))
    )
