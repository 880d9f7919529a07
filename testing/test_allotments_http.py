"""Allotments of client accounts over HTTP, at an entry and between processes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from platform_entry import PlatformEntry
from platform_entry import unused_port
from platform_standins import ScriptedServer
from platform_standins import StoreStandIn
from test_accounts import KEY
from test_accounts import account
from test_accounts import start_entry
from test_platform_http import Client
from test_platform_records import server_entry
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import IsInstance
from testtools.matchers import Not

from copperrun.adapters import wire
from copperrun.adapters.allotments import AllotmentRoutes
from copperrun.adapters.allotments import HttpAllotmentKeepers
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.timers import SystemTimers
from copperrun.admission.buckets import Buckets
from copperrun.gen import ttypes
from copperrun.membership.claim_log import ClaimLog
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.tenures import TenureKeeper
from copperrun.platform.store import ALLOTMENTS_TOPIC
from copperrun.platform.store import SERVERS_TOPIC
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import EndedTenure
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.topics import TopicPosition

TIMERS = SystemTimers()
SLOW_PER_S = 0.001  # nothing comes back during a test
REQUEST = "GET /safe/x HTTP/1.1\nHost: h\nRequest-Id: r1\nDeadline-Ms: 3000\n{headers}"
TIMEOUT_MS = 2_000


def limited(burst: float, **changes: object) -> dict[str, object]:
    return account(
        "north",
        KEY,
        **{"rate-per-s": SLOW_PER_S, "burst": burst, "unit": "tokens"},
        **{"plain-tokens": 200},
        **changes,
    )


async def ask(entry: PlatformEntry, usage: str | None = None) -> tuple[int, str]:
    """Send a request; return its status and ``Retry-After``."""
    headers = [f"Authorization: Token {KEY}"]
    if usage is not None:
        headers.append(f"Token-Usage: {usage}")
    client = await Client.open(entry.port)
    client.send(REQUEST.format(headers="\n".join(headers)))
    status, answered, _, _ = await client.answer()
    client.close()
    return status, answered.get("retry-after", "")


async def test_a_request_over_the_allotment_gets_429_and_reaches_no_server(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, limited(500))
    statuses = [(await ask(entry))[0] for _ in range(2)]
    status, retry_after = await ask(entry)
    await entry.close()
    await server.close()
    assert_that([*statuses, status], Equals([200, 200, 429]))
    assert_that(float(retry_after), GreaterThan(0))
    assert_that(server.requests, HasLength(2))


@pytest.mark.parametrize(
    "usage", [None, "", "-5,10", "x,10", "10", "10,x", "1e3,1", "9" * 30 + ",1", "0,0"]
)
async def test_a_request_without_readable_tokens_counts_as_plain(tmp_path, usage):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, limited(200))
    first, _ = await ask(entry, usage)
    second, _ = await ask(entry, "1,1")
    await entry.close()
    await server.close()
    assert_that((first, second), Equals((200, 429)))


async def test_a_request_counts_as_the_sum_of_its_tokens(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, limited(200))
    statuses = [(await ask(entry, usage))[0] for usage in ("100,90", "5,5", "1,0")]
    await entry.close()
    await server.close()
    assert_that(statuses, Equals([200, 200, 429]))


async def test_a_request_refused_by_all_servers_gives_its_units_back(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, limited(200))
    entry.remove_server(server)
    process = entry.role._process
    while process.servers.find(server.id) is not None:
        await TIMERS.sleep_ms(10)
    refused, _ = await ask(entry)
    entry.put_server(server)
    while process.servers.find(server.id) is None:
        await TIMERS.sleep_ms(1)
    served, _ = await ask(entry)
    await entry.close()
    await server.close()
    assert_that((refused, served), Equals((503, 200)))


class WaitingRelay:
    """A relay at which requests wait until their callers leave."""

    def __init__(self) -> None:
        self.has_begun = asyncio.Event()
        self.has_ended = asyncio.Event()

    async def handle(self, *_: object) -> bool:
        self.has_begun.set()
        try:
            return await asyncio.get_running_loop().create_future()
        finally:
            self.has_ended.set()


async def test_a_caller_that_leaves_before_its_request_is_sent_uses_no_units(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, limited(200))
    process = entry.role._process
    relay, process._relay = process._relay, WaitingRelay()
    client = await Client.open(entry.port)
    client.send(REQUEST.format(headers=f"Authorization: Token {KEY}"))
    waiting = process._relay
    async with TIMERS.timeout_ms(TIMEOUT_MS):
        await waiting.has_begun.wait()
        client.close()
        await waiting.has_ended.wait()
    process._relay = relay
    status, _ = await ask(entry)
    await entry.close()
    await server.close()
    assert_that(status, Equals(200))


async def test_accounts_without_allotments_leave_the_store_alone(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account())
    status, _ = await ask(entry)
    topics = list(entry.store.records)
    await entry.close()
    await server.close()
    assert_that(status, Equals(200))
    assert_that(topics, Not(Contains(ALLOTMENTS_TOPIC)))


class Keepers:
    """Keepers on hosts of the loopback network that share one port and a store."""

    def __init__(self, port: int, store: StoreStandIn, client: HttpClient) -> None:
        self.calls = HttpAllotmentKeepers(client, lambda host: f"{host}:{port}")
        self.port = port
        self.topics = HttpTopicStore(client, store.address)
        self._runners: dict[str, web.AppRunner] = {}
        self._keepers: dict[str, TenureKeeper] = {}

    async def start(self, host: str) -> None:
        by = Incarnation(host, "side", "1")
        keeper = TenureKeeper(by, self.topics, ALLOTMENTS_TOPIC, self.calls, TIMERS)
        app = web.Application()
        AllotmentRoutes(keeper).add_to(app)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, self.port).start()
        self._keepers[host], self._runners[host] = keeper, runner

    async def kill(self, host: str) -> None:
        self._keepers.pop(host).close()
        await self._runners.pop(host).cleanup()

    async def ask(
        self, host: str, *needed: int, silent: str = ""
    ) -> list[int] | NotKeeper | SideError:
        request = CreditRequest("north", SLOW_PER_S, 500.0, needed, 0)
        reply = await self.calls.request_credits(
            host, 3, 1, [request], silent, TIMEOUT_MS
        )
        if isinstance(reply, NotKeeper | SideError):
            return reply
        return [grant.units for grant in reply]


@asynccontextmanager
async def keepers(*hosts: str) -> AsyncIterator[Keepers]:
    store = StoreStandIn()
    await store.start()
    async with open_session() as session:
        running = Keepers(unused_port(), store, HttpClient(session, TIMERS))
        for host in hosts:
            await running.start(host)
        yield running
        for host in list(running._keepers):
            await running.kill(host)
    await store.close()


async def test_the_first_process_asked_keeps_the_group_and_others_name_it():
    async with keepers("127.0.0.2", "127.0.0.3") as running:
        assert_that(await running.ask("127.0.0.2", 300, 300), Equals([300]))
        assert_that(await running.ask("127.0.0.3", 300), Equals(NotKeeper("127.0.0.2")))
        assert_that(
            await running.ask("127.0.0.3", 300, silent="127.0.0.2"),
            Equals(NotKeeper("127.0.0.2")),
        )


async def test_a_group_of_a_killed_keeper_goes_on_without_units():
    async with keepers("127.0.0.2", "127.0.0.3") as running:
        await running.ask("127.0.0.2", 100)
        await running.kill("127.0.0.2")
        assert_that(await running.ask("127.0.0.2", 1), IsInstance(SideError))
        assert_that(
            await running.ask("127.0.0.3", 100, silent="127.0.0.2"), Equals([0])
        )


async def test_an_ended_tenure_hands_over_what_is_left():
    async with keepers("127.0.0.2") as running:
        await running.ask("127.0.0.2", 100)
        log = ClaimLog(
            ALLOTMENTS_TOPIC, running.topics, Incarnation("x", "side", "1"), TIMERS
        )
        await log.read()
        written = await log.append(3, log.newest(3))
        ended = await running.calls.end_tenure(
            "127.0.0.2", 3, written.position, TIMEOUT_MS
        )
        assert_that(round(ended.levels["north"]), Equals(400))
        assert_that(await running.ask("127.0.0.2", 1), Equals(NotKeeper("x")))


async def test_a_refused_connection_shows_that_a_tenure_has_ended():
    async with keepers() as running:
        ended = await running.calls.end_tenure(
            "127.0.0.9", 3, TopicPosition(0, 1), TIMEOUT_MS
        )
        assert_that(ended, Equals(EndedTenure({})))


async def test_a_silent_host_does_not_show_that_a_tenure_has_ended():
    async with keepers() as running:
        silent = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.4", running.port
        )
        ended = await running.calls.end_tenure("127.0.0.4", 3, TopicPosition(0, 1), 200)
        silent.close()
        assert_that(ended, IsInstance(SideError))


async def test_entries_keep_allotments_where_no_side_answers(tmp_path):
    server, engine = ScriptedServer(), ScriptedServer("i-2")
    await engine.start()
    entry = PlatformEntry(tmp_path)
    entry.configuration["tenants"] = [limited(500)]
    await server.start()
    # The engine's host is another one, on which no side runs.
    host, _, port = engine.address.rpartition(":")
    assert host == "127.0.0.1"
    await entry.start(server)
    models = [{"name": "m", "version": 1, "adapters": []}]
    fields = server_entry(address=f"127.0.0.5:{port}", service="e", models=models)
    entry.store.put(SERVERS_TOPIC, engine.id, fields)
    while entry.role._process.servers.find(engine.id) is None:
        await TIMERS.sleep_ms(10)
    statuses = [(await ask(entry))[0] for _ in range(4)]
    await entry.close()
    await server.close()
    await engine.close()
    assert_that(statuses[-3:].count(200), GreaterThan(0))
    assert_that(statuses[-1], Equals(429))


@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(0.001, 1e6), (1e-320, 1e6), (1_000.0, 1e30)]
)
def test_each_limit_gives_an_answer_that_can_be_encoded(rate_per_s, burst):
    buckets = Buckets(0, {}, is_full=False)
    request = CreditRequest("north", rate_per_s, burst, [50_000], 0)
    grant = buckets.grant(1, request, 1)
    encoded = wire.encode(ttypes.CreditReply([ttypes.CreditGrant(*grant)]))
    decoded = wire.decode(ttypes.CreditReply, encoded)
    assert_that(decoded.grants[0].units, Equals(0))
    assert_that(decoded.grants[0].retry_after_ms, GreaterThan(48_000))
