"""Runs the real programs as separate processes and checks what callers get."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import callers
import pytest
from cluster import TIMERS
from cluster import Cluster
from installation import small_configuration
from testtools.assertions import assert_that
from testtools.matchers import AllMatch
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.idempotency.keys import create_idempotency_key

STREAMS = 12
TOKENS = 300  # streams outlast the entry's leave delay, so it has to drain
CHUNKS_BEFORE_FAULT = 8


async def start_installation(cluster: Cluster) -> None:
    await cluster.start_platform()
    for number in range(2):
        await cluster.start_engine(f"engine-{number}")
        await cluster.start_side(
            f"assistant-{number}", "assistant", "engine", f"engine-{number}"
        )
    await cluster.start_service("ledger")
    await cluster.start_side("ledger-0", "ledger", "service", "ledger")
    for number in range(2):
        await cluster.start_entry(f"entry-{number}")
    await cluster.publish(small_configuration())
    for number in range(2):
        entry = f"entry-{number}"
        await cluster.wait_for_model("rigger", "allowances", entry)
        await cluster.wait_for_path("rigger", entry, "/services/ledger/balances")
    await wait_for_copies(cluster, "allowances@1", 2)


async def wait_for_copies(cluster: Cluster, name: str, copies: int) -> None:
    for _ in range(200):
        resident = [
            dict((await cluster.get_json(f"{cluster.url(engine)}/state"))["resident"])
            for engine in ("engine-0", "engine-1")
        ]
        if sum(name in item for item in resident) == copies:
            return
        await TIMERS.sleep_ms(50)
    raise AssertionError(f"{name} does not have {copies} copies")


@pytest.mark.parametrize(
    "fault", [signal.SIGKILL, signal.SIGSTOP], ids=lambda s: s.name
)
def test_callers_are_answered_while_a_side_is_lost_and_an_entry_drains(
    tmp_path: Path, fault: signal.Signals
) -> None:
    asyncio.run(_check_answers_during_side_loss_and_drain(tmp_path, fault))


async def _check_answers_during_side_loss_and_drain(
    folder: Path, fault: signal.Signals
) -> None:
    async with Cluster(folder) as cluster:
        await start_installation(cluster)
        await _wait_for_both_copies_at_entries(cluster)
        streaming = asyncio.Event()
        ready: set[int] = set()

        def on_chunk(number: int, chunks: int) -> None:
            if chunks >= CHUNKS_BEFORE_FAULT:
                ready.add(number)
            if len(ready) == STREAMS:
                streaming.set()

        requests = [
            {
                "model": "allowances:jadran" if number % 2 else "allowances",
                "messages": [{"role": "user", "content": f"allowance {number}?"}],
                "max_tokens": TOKENS,
            }
            for number in range(STREAMS)
        ]
        streams = [
            asyncio.create_task(
                callers.stream_chat(
                    cluster.session,
                    cluster.url(f"entry-{number % 2}"),
                    cluster.keys["rigger"],
                    request,
                    on_chunk=lambda chunks, number=number: on_chunk(number, chunks),
                )
            )
            for number, request in enumerate(requests)
        ]
        payouts = asyncio.create_task(_send_payouts(cluster, 40))
        async with TIMERS.timeout_ms(30_000):
            await streaming.wait()
        cluster.signal("assistant-0", fault)
        cluster.signal("entry-0", signal.SIGTERM)
        replies = await asyncio.gather(*streams)
        for request, reply in zip(requests, replies, strict=True):
            assert_that(reply.error, Equals(None))
            assert_that(reply.text, Equals(callers.whole_text(request)))
        await _check_payouts(cluster, await payouts)
        assert_that(await cluster.wait_for_exit("entry-0"), Equals(0))
        logged = [line["message"] for line in cluster.log_lines("entry-1")]
        assert_that(logged, Contains("answered"))
        # A side that was only stopped resumes and serves again.
        cluster.signal("assistant-0", signal.SIGCONT)
        await cluster.wait_for_model("rigger", "allowances", "entry-1")


async def _wait_for_both_copies_at_entries(cluster: Cluster) -> None:
    """Send completions until both engines have got one, so that both get streams."""
    for _ in range(200):
        started = [
            (await cluster.get_json(f"{cluster.url(engine)}/records"))["started"]
            for engine in ("engine-0", "engine-1")
        ]
        if all(started):
            return
        for entry in ("entry-0", "entry-1"):
            await cluster.wait_for_model("rigger", "allowances", entry)
            await cluster.wait_for_model("rigger", "allowances:jadran", entry)
    raise AssertionError("one copy gets no requests")


async def _send_payouts(cluster: Cluster, count: int) -> dict[str, list[callers.Reply]]:
    """Send each payout twice at once, as an impatient caller does.

    Like a load balancer, send only to entries that are ready.
    """
    replies: dict[str, list[callers.Reply]] = {}
    for number in range(count):
        key = create_idempotency_key(TIMERS.wall_ms())
        ready = await cluster.ready_entries(("entry-0", "entry-1"))
        replies[key] = await asyncio.gather(
            *(
                callers.call_service(
                    cluster.session,
                    f"{cluster.url(entry)}/services/ledger/payouts",
                    cluster.keys["rigger"],
                    key,
                    {"payout": number},
                )
                for entry in (ready[0], ready[-1])
            )
        )
    return replies


async def _check_payouts(
    cluster: Cluster, replies: dict[str, list[callers.Reply]]
) -> None:
    executions = await cluster.get_json(f"{cluster.url('ledger')}/executions")
    assert_that(list(executions.values()), AllMatch(Equals(1)))
    answered = 0
    for key, pair in replies.items():
        answers = {reply.text for reply in pair if reply.answered}
        assert_that(len(answers), LessThan(2))
        answered += any(reply.answered for reply in pair)
        for reply in pair:
            if reply.answered:
                assert_that(executions.get(key), Equals(1))
        if all(_not_run(reply) for reply in pair):
            assert_that(executions.get(key, 0), Equals(0))
    assert_that(answered, GreaterThan(0))


def _not_run(reply: callers.Reply) -> bool:
    return reply.status == 0 or (reply.error or {}).get("ran") == "no"
