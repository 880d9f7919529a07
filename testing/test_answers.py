"""Every request gets an answer or a refusal, in each state and beside each change."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from platform_entry import SIDE_HOST
from platform_entry import TIMERS
from platform_entry import PausingServer
from platform_entry import PlatformEntry
from platform_entry import SideStandIn
from platform_entry import running_entry_role
from platform_entry import until
from platform_standins import ReceivedRequest
from platform_standins import ScriptedServer
from platform_standins import answer_head
from platform_standins import send_answer
from test_platform_http import Client
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import MatchesAny
from testtools.matchers import Not

from copperrun.platform.connections import CHECK_INTERVAL_MS
from copperrun.platform.connections import CallerServer
from copperrun.platform.connections import IdleTimeout
from copperrun.platform.daemon import EntryRole
from copperrun.routing.catalog import CallerLimits

ANSWERED = MatchesAny(
    *(Equals((status, True)) for status in (200, 400, 404, 408, 413, 429)),
    *(Equals((status, True)) for status in (500, 502, 503, 504)),
)
DELIVERED = Equals((200, True))
STATES = (
    "head begun",
    "body begun",
    "waits for a model",
    "waits for admission",
    "sent",
    "stream begun",
    "within an event",
)
STATES_AT_A_SERVER = ("sent", "stream begun", "within an event")
SERVER_PAUSES = {"sent": "head", "stream begun": "events", "within an event": "event"}


def get(route: str, request_id: str = "r1", *lines: str) -> str:
    fields = [f"GET /{route}/x HTTP/1.1", "Host: h", f"Request-Id: {request_id}"]
    return "\n".join([*fields, "Deadline-Ms: 3000", *lines])


def post(route: str, request_id: str = "r1", *lines: str) -> str:
    text = get(route, request_id, "Content-Length: 4", *lines)
    return text.replace("GET", "POST", 1)


async def outcome(client: Client) -> tuple[int, bool]:
    """Return status and completeness; 0 when the connection ends without a head."""
    try:
        status, _, _, complete = await client.answer()
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, False
    return status, complete


class Held:
    """A request that is held in one state until ``release``."""

    def __init__(self, client: Client, release: Callable[[], object]) -> None:
        self.client = client
        self.release = release

    async def finish(self) -> tuple[int, bool]:
        self.release()
        return await outcome(self.client)


@asynccontextmanager
async def holding(
    tmp_path: Path, state: str, **bounds: int
) -> AsyncIterator[tuple[PlatformEntry, PausingServer, Held]]:
    """Run an entry with one request in ``state``."""
    server = PausingServer(pause=SERVER_PAUSES.get(state, ""))
    engine = PausingServer("e-1", host=SIDE_HOST)
    side = SideStandIn(engine.id)
    await engine.start()
    async with running_entry_role(tmp_path, server, **bounds) as entry:
        await side.start(entry.internal_port)
        client = await Client.open(entry.port)
        try:
            held = await _hold(state, entry, server, engine, side, client)
            yield entry, server, held
        finally:
            client.close()
            side.released.set()
            await side.close()
    await engine.close()


async def _hold(
    state: str,
    entry: PlatformEntry,
    server: PausingServer,
    engine: PausingServer,
    side: SideStandIn,
    client: Client,
) -> Held:
    match state:
        case "head begun":
            head = get("safe").replace("\n", "\r\n").encode()
            client.writer.write(head[:20])
            await TIMERS.sleep_ms(50)
            return Held(client, lambda: client.writer.write(head[20:] + b"\r\n\r\n"))
        case "body begun":
            client.send(post("safe"), b"ab")
            await TIMERS.sleep_ms(50)
            return Held(client, lambda: client.writer.write(b"cd"))
        case "waits for a model":
            client.send(get("model", "r1", "Model: m").replace("3000", "1200"))
            await TIMERS.sleep_ms(50)
            return Held(client, lambda: entry.put_engine(engine))
        case "waits for admission":
            entry.put_engine(engine)
            await until(lambda: entry.role._process.servers.find(engine.id))
            client.send(get("model", "r1", "Model: m"))
            await side.asked.wait()
            return Held(client, side.released.set)
        case _:
            client.send(get("stream"))
            await server.paused.wait()
            return Held(client, server.released.set)


async def remove_route(entry: PlatformEntry, server: PausingServer) -> None:
    entry.configuration["routes"] = []
    await entry.publish()


async def remove_pools(entry: PlatformEntry, server: PausingServer) -> None:
    entry.configuration["routes"] = []
    entry.configuration["services"] = []
    await entry.publish()


async def move_routes(entry: PlatformEntry, server: PausingServer) -> None:
    entry.change_routes(service="t")
    await entry.publish()


async def shorten_timeout(entry: PlatformEntry, server: PausingServer) -> None:
    entry.change_routes(timeout_ms=100)
    await entry.publish()


async def lower_attempts(entry: PlatformEntry, server: PausingServer) -> None:
    entry.change_routes(max_attempts=1)
    await entry.publish()


async def split_routes(entry: PlatformEntry, server: PausingServer) -> None:
    shares = [{"service": "s", "weight": 1}, {"service": "t", "weight": 99}]
    entry.change_routes(traffic_split=shares)
    await entry.publish()


async def remove_server(entry: PlatformEntry, server: PausingServer) -> None:
    entry.remove_server(server)
    await until(lambda: entry.role._process.servers.find(server.id) is None)


async def drain_server(entry: PlatformEntry, server: PausingServer) -> None:
    entry.put_server(server, state="draining")
    servers = entry.role._process.servers
    await until(lambda: servers.find(server.id).record.leaving)


async def change_limits(entry: PlatformEntry, server: PausingServer) -> None:
    await entry.publish(idle_timeout_ms=100, max_body_bytes=1_000)
    await TIMERS.sleep_ms(250)
    await entry.publish(idle_timeout_ms=30_000)


async def publish_often(entry: PlatformEntry, server: PausingServer) -> None:
    for weight in range(8):
        entry.change_routes(target_latency_ms=100 + weight)
        await entry.publish()


async def reload_settings(entry: PlatformEntry, server: PausingServer) -> None:
    entry.role.reload("signal")
    entry.write_settings(**{"grace-s": 3, "budget-slack": 0, "budget-ratio": 0.0})
    entry.role.reload("signal")
    entry.write_settings(zone=None)
    entry.role.reload("signal")


CHANGES = (
    remove_route,
    remove_pools,
    move_routes,
    shorten_timeout,
    lower_attempts,
    split_routes,
    remove_server,
    drain_server,
    change_limits,
    publish_often,
    reload_settings,
)
Change = Callable[[PlatformEntry, PausingServer], Awaitable[None]]


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
@pytest.mark.parametrize("state", STATES)
async def test_a_request_is_answered_beside_a_change(
    tmp_path: Path, state: str, change: Change
) -> None:
    async with holding(tmp_path, state) as (entry, server, held):
        await change(entry, server)
        sent = state in STATES_AT_A_SERVER
        assert_that(await held.finish(), DELIVERED if sent else ANSWERED)


@pytest.mark.parametrize("state", STATES)
async def test_a_request_is_answered_while_the_entry_leaves(
    tmp_path: Path, state: str
) -> None:
    async with holding(tmp_path, state) as (entry, _, held):
        entry.leave()
        await TIMERS.sleep_ms(100)
        sent = state in STATES_AT_A_SERVER
        assert_that(await held.finish(), DELIVERED if sent else ANSWERED)


@pytest.mark.parametrize("state", STATES)
async def test_a_request_is_answered_after_the_entry_has_stopped_listening(
    tmp_path: Path, state: str
) -> None:
    async with holding(tmp_path, state) as (entry, _, held):
        entry.leave()
        await until(lambda: not is_listening(entry))
        sent = state in STATES_AT_A_SERVER
        assert_that(await held.finish(), DELIVERED if sent else ANSWERED)


def is_listening(entry: PlatformEntry) -> bool:
    return any(runner.sites for runner in entry.role._runners[1:])


async def test_a_request_in_pieces_is_answered(tmp_path: Path) -> None:
    async with running_entry_role(tmp_path, PausingServer()) as entry:
        client = await Client.open(entry.port)
        for byte in post("safe").replace("\n", "\r\n").encode() + b"\r\n\r\nabcd":
            client.writer.write(bytes([byte]))
            await TIMERS.sleep_ms(1)
        assert_that(await outcome(client), DELIVERED)
        client.close()


async def test_a_caller_that_waits_for_100_continue_is_answered(
    tmp_path: Path,
) -> None:
    async with running_entry_role(tmp_path, PausingServer()) as entry:
        client = await Client.open(entry.port)
        client.send(post("safe", "r1", "Expect: 100-continue"))
        async with TIMERS.timeout_ms(1_000):
            status, _, _, _ = await informational(client)
        assert_that(status, Equals(100))
        client.writer.write(b"abcd")
        assert_that(await outcome(client), DELIVERED)
        client.close()


async def informational(client: Client) -> tuple[int, str, str, str]:
    line, _, _ = (await client.reader.readuntil(b"\r\n\r\n")).partition(b"\r\n")
    return int(line.split()[1]), "", "", ""


@pytest.mark.parametrize("leaves", [False, True])
async def test_pipelined_requests_are_all_answered(
    tmp_path: Path, leaves: bool
) -> None:
    server = PausingServer(pause="head")
    async with running_entry_role(tmp_path, server) as entry:
        client = await Client.open(entry.port)
        for number in range(3):
            client.send(get("safe", f"r{number}"))
        await server.paused.wait()
        if leaves:
            entry.leave()
            await TIMERS.sleep_ms(50)
        server.released.set()
        outcomes = [await outcome(client) for _ in range(3)]
        assert_that(outcomes, Equals([(200, True)] * 3))
        client.close()


async def test_a_request_that_was_read_but_not_yet_handled_is_answered_on_a_leave(
    tmp_path: Path,
) -> None:
    # close_idle took a connection for idle until its handler had started.
    server = PausingServer()
    async with running_entry_role(tmp_path, server) as entry:
        front = entry.role._runners[1].server
        for steps in range(3):
            client = await Client.open(entry.port)
            await until(lambda: front.connections)
            await TIMERS.sleep_ms(20)
            data = get("safe", f"r{steps}").replace("\n", "\r\n") + "\r\n\r\n"
            connection_of(front, client).data_received(data.encode())
            for _ in range(steps):
                await asyncio.sleep(0)  # noqa: TID251
            front.close_idle()
            assert_that(await outcome(client), DELIVERED)
            client.close()
            await until(lambda: not front.connections)


async def test_a_request_in_the_receive_buffer_is_answered_on_a_leave(
    tmp_path: Path,
) -> None:
    # It had arrived before the close, but the event loop had not read it.
    async with running_entry_role(tmp_path, PausingServer()) as entry:
        front = entry.role._runners[1].server
        client = await Client.open(entry.port)
        await until(lambda: front.connections)
        await TIMERS.sleep_ms(20)
        client.send(get("safe"))
        front.close_idle()
        assert_that(await outcome(client), DELIVERED)
        client.close()


def connection_of(front: CallerServer, client: Client) -> RequestHandler:
    name = client.writer.get_extra_info("sockname")
    [connection] = [conn for conn in front.connections if conn.peername == name]
    return connection


async def test_requests_on_kept_and_new_connections_are_answered_until_a_leave_ends(
    tmp_path: Path,
) -> None:
    server = PausingServer()
    async with running_entry_role(tmp_path, server) as entry:
        kept = [await Client.open(entry.port) for _ in range(8)]
        for client in kept:
            client.send(get("safe"))
            assert_that(await outcome(client), DELIVERED)
        entry.leave()
        answered = 0
        for number in range(400):
            try:
                client = await Client.open(entry.port)
            except ConnectionError:
                break
            client.send(get("safe", f"n{number}"))
            result = await outcome(client)
            if result == (0, False):
                # It crossed the close of its connection, so it is not passed on.
                ids = [request.id for request in server.requests]
                assert_that(ids, Not(Contains(f"n{number}")))
                continue
            assert_that(result, ANSWERED)
            answered += 1
            await TIMERS.sleep_ms(5)
        assert_that(answered, GreaterThan(50))


@pytest.fixture
def short_default(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the idle timeout that applies before the first configuration."""
    default = CallerLimits(idle_timeout_ms=300)
    monkeypatch.setattr("copperrun.platform.daemon.CallerLimits", lambda: default)


async def test_a_raised_idle_timeout_applies_to_new_and_open_connections(
    tmp_path: Path, short_default: None
) -> None:
    # The listener kept the value from before the first configuration.
    limits = {"idle-timeout-ms": 600}
    async with running_entry_role(tmp_path, PausingServer(), limits=limits) as entry:
        early = await Client.open(entry.port)
        early.send(get("safe"))
        assert_that(await outcome(early), DELIVERED)
        await TIMERS.sleep_ms(CHECK_INTERVAL_MS + 50)
        await entry.publish(idle_timeout_ms=30_000)
        late = await Client.open(entry.port)
        await TIMERS.sleep_ms(1_500)
        for client in (early, late):
            client.send(get("safe"))
            assert_that(await outcome(client), DELIVERED)
            client.close()


async def test_an_idle_connection_closes_after_the_configured_time(
    tmp_path: Path,
) -> None:
    # A value below the one before the first configuration had no effect.
    limits = {"idle-timeout-ms": 300}
    async with running_entry_role(tmp_path, PausingServer(), limits=limits) as entry:
        clients = [await Client.open(entry.port) for _ in range(2)]
        clients[0].send(get("safe"))
        assert_that(await outcome(clients[0]), DELIVERED)
        for client in clients:
            async with TIMERS.timeout_ms(2_000):
                assert_that(await client.reader.read(), Equals(b""))


async def test_a_lowered_idle_timeout_does_not_cut_callers_that_know_the_old_one(
    tmp_path: Path, short_default: None
) -> None:
    limits = {"idle-timeout-ms": 1_500}
    async with running_entry_role(tmp_path, PausingServer(), limits=limits) as entry:
        before, after = [await Client.open(entry.port) for _ in range(2)]
        before.send(get("safe"))
        assert_that(await outcome(before), DELIVERED)
        await entry.publish(idle_timeout_ms=100)
        after.send(get("safe"))
        assert_that(await outcome(after), DELIVERED)
        await TIMERS.sleep_ms(1_200)
        for client in (before, after):
            client.send(get("safe"))
            assert_that(await outcome(client), DELIVERED)
            client.close()


async def test_a_lowered_idle_timeout_applies_once_callers_know_it() -> None:
    timeout = IdleTimeout(lowering_delay_ms=1_000)
    steps = [(15_000, 0), (60_000, 10), (5_000, 20), (5_000, 1_019), (5_000, 1_020)]
    values = [timeout.update(target_ms, at_ms) for target_ms, at_ms in steps]
    assert_that(values, Equals([15_000, 60_000, 60_000, 60_000, 5_000]))


async def test_a_request_that_begins_as_the_idle_time_ends_is_answered(
    tmp_path: Path, short_default: None
) -> None:
    # A head of which a part had arrived was cut off by the idle timeout.
    limits = {"idle-timeout-ms": 300}
    async with running_entry_role(tmp_path, PausingServer(), limits=limits) as entry:
        client = await Client.open(entry.port)
        text = get("safe").replace("\n", "\r\n").encode() + b"\r\n\r\n"
        await TIMERS.sleep_ms(100)
        client.writer.write(text[:30])
        await TIMERS.sleep_ms(1_200)
        client.writer.write(text[30:])
        assert_that(await outcome(client), DELIVERED)
        client.close()


async def test_a_head_that_takes_too_long_is_refused(tmp_path: Path) -> None:
    limits = {"header-timeout-ms": 300, "idle-timeout-ms": 30_000}
    async with running_entry_role(tmp_path, PausingServer(), limits=limits) as entry:
        client = await Client.open(entry.port)
        client.writer.write(b"GET /safe/x HTTP/1.1\r\nHost:")
        assert_that(await outcome(client), Equals((408, True)))
        assert_that(await client.reader.read(), Equals(b""))


async def test_an_answer_that_its_caller_reads_slowly_outlasts_the_leave(
    tmp_path: Path,
) -> None:
    # The process exited with the end of the answer in its write buffer.
    server = PausingServer()
    body = b"x" * 60_000

    async def send_much(request, writer) -> bool:
        writer.write(answer_head(request, Content_Length=str(len(body))) + body)
        return True

    server.script = send_much
    async with running_entry_role(tmp_path, server, **{"grace-s": 3.5}) as entry:
        client = await slow_client(entry.port)
        await TIMERS.sleep_ms(20)
        sending = connection_of(entry.role._runners[1].server, client).transport
        sock = sending.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        client.send(get("safe"))
        await until(sending.get_write_buffer_size)
        entry.leave()
        await until(lambda: not is_listening(entry))
        await TIMERS.sleep_ms(600)
        assert_that(entry.has_ended, Equals(False))
        assert_that(await outcome(client), DELIVERED)
        client.close()


async def test_a_stream_that_ends_late_is_sent_to_its_end_before_the_exit(
    tmp_path: Path,
) -> None:
    # Its connection was kept, so it counted as idle with bytes still to be sent.
    server = PausingServer()

    async def send_late(request, writer) -> bool:
        writer.write(answer_head(request) + b"id: 1\n\n")
        await server.released.wait()
        writer.write(b"id: 2\ndata: " + b"x" * 60_000 + b"\n\n")
        return False

    server.script = send_late
    async with running_entry_role(tmp_path, server, **{"grace-s": 3.5}) as entry:
        client = await slow_client(entry.port)
        client.send(get("stream"))
        await until(lambda: server.requests)
        await client.reader.readuntil(b"id: 1")
        sending = connection_of(entry.role._runners[1].server, client).transport
        sock = sending.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        entry.leave()
        await until(lambda: not is_listening(entry))
        server.released.set()
        await until(sending.get_write_buffer_size)
        await TIMERS.sleep_ms(600)
        assert_that(entry.has_ended, Equals(False))
        rest = await client.reader.readexactly(60_000)
        while not rest.endswith(b"\r\n0\r\n\r\n"):
            data = await client.reader.read(4_096)
            assert_that(data, Not(Equals(b"")))
            rest += data
        client.close()


async def slow_client(port: int) -> Client:
    """Return a client whose socket takes little until it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return Client(*await asyncio.open_connection(sock=sock, limit=4_096))


@pytest.mark.parametrize("route", ["safe", "unsafe", "stream"])
async def test_a_server_that_closes_its_kept_connection_as_a_request_is_sent(
    tmp_path: Path, route: str
) -> None:
    server = PausingServer()
    serve = server.script
    seen: list[str] = []

    async def serve_first(request, writer) -> bool:
        seen.append(request.id)
        return request.id == "r1" and await serve(request, writer)

    server.script = serve_first
    async with running_entry_role(tmp_path, server) as entry:
        client = await Client.open(entry.port)
        client.send(get(route, "r1"))
        assert_that(await outcome(client), DELIVERED)
        client.send(get(route, "r2"))
        assert_that(await outcome(client), ANSWERED)
        # Health checks of the server have no id.
        assert_that([item for item in seen if item], Equals(["r1", "r2"]))
        client.close()


SILENT_PLACES = [("safe", "head"), ("unsafe", "head"), ("stream", "head")]
SILENT_PLACES += [("stream", "events"), ("stream", "event"), ("safe", "event")]


@pytest.mark.parametrize("others", [0, 1])
@pytest.mark.parametrize("silence_ms", [1_000, 1_500])
@pytest.mark.parametrize(("route", "place"), SILENT_PLACES)
async def test_a_sound_server_that_falls_silent_completes_its_answer(
    tmp_path: Path, route: str, place: str, silence_ms: int, others: int
) -> None:
    server = PausingServer(pause=place)
    other = [PausingServer(f"o-{number}", pause=place) for number in range(others)]
    async with running_entry_role(tmp_path, server, *other) as entry:
        client = await Client.open(entry.port)
        client.send(get(route))
        await TIMERS.sleep_ms(silence_ms)
        for item in (server, *other):
            item.released.set()
        assert_that(await outcome(client), DELIVERED)
        client.close()


@pytest.mark.parametrize("cause", ["refusal", "budget"])
@pytest.mark.parametrize("place", ["head", "events", "event"])
async def test_a_silent_stream_is_not_ended_before_another_server_answers(
    tmp_path: Path, place: str, cause: str
) -> None:
    # An attempt was closed before the next one could be made.
    servers = [PausingServer(f"i-{number}", pause=place) for number in range(2)]
    bounds = {"budget-ratio": 0.0, "budget-slack": 0} if cause == "budget" else {}
    asked: list[str] = []

    def refuse_second(serve: Callable[..., Awaitable[bool]]) -> Callable[..., object]:
        async def script(request, writer) -> bool:
            asked.append(request.id)
            if len(asked) == 1 or cause == "budget":
                return await serve(request, writer)
            writer.write(
                answer_head(request, "503 Full", Content_Length="0", Not_Executed="1")
            )
            return True

        return script

    for server in servers:
        server.script = refuse_second(server.script)
    async with running_entry_role(tmp_path, *servers, **bounds) as entry:
        client = await Client.open(entry.port)
        client.send(get("stream"))
        await TIMERS.sleep_ms(1_500)
        for server in servers:
            server.released.set()
        assert_that(await outcome(client), DELIVERED)
        client.close()


async def test_a_side_that_falls_silent_does_not_end_a_request(tmp_path: Path) -> None:
    async with holding(tmp_path, "waits for admission") as (_, _, held):
        await TIMERS.sleep_ms(1_500)
        assert_that(await held.finish(), DELIVERED)


async def test_garbage_within_a_stream_is_a_failure_of_its_server(
    tmp_path: Path,
) -> None:
    first, second = PausingServer("i-1"), PausingServer("i-2")

    async def garble(request, writer) -> bool:
        writer.write(answer_head(request, Transfer_Encoding="chunked"))
        writer.write(b"10\r\nid: 1\ndata: x\n\n\r\n")
        await writer.drain()
        await TIMERS.sleep_ms(50)
        writer.write(b"no length\r\n")
        return True

    first.script = garble
    async with running_entry_role(tmp_path, first, second) as entry:
        for number in range(4):
            client = await Client.open(entry.port)
            client.send(get("stream", f"r{number}"))
            assert_that(await outcome(client), DELIVERED)
            client.close()


@pytest.mark.parametrize(
    ("line", "status"),
    [("X-Own: \udcff", 200), ("Deadline-Ms: \udcc2\udcb2", 400)],
    ids=["bytes", "digit"],
)
async def test_unusual_bytes_in_a_head_are_answered(
    tmp_path: Path, line: str, status: int
) -> None:
    async with running_entry_role(tmp_path, PausingServer()) as entry:
        client = await Client.open(entry.port)
        text = get("safe").replace("Deadline-Ms: 3000", line)
        client.writer.write(
            text.replace("\n", "\r\n").encode(errors="surrogateescape") + b"\r\n\r\n"
        )
        assert_that(await outcome(client), Equals((status, True)))
        client.close()


async def test_a_server_whose_check_falls_silent_does_not_end_a_request(
    tmp_path: Path,
) -> None:
    server = PausingServer()

    async def break_off(request, writer) -> bool:
        if request.target == "/report":
            await TIMERS.sleep_ms(1_500)
        return False

    server.script = break_off
    async with running_entry_role(tmp_path, server) as entry:
        client = await Client.open(entry.port)
        client.send(get("stream", "r1", "Prompt-Prefix: a:1,b:1"))
        assert_that(await outcome(client), ANSWERED)
        assert_that(len(server.requests), GreaterThan(1))
        client.close()


PROCESS_STATES = ("head begun", "body begun", "sent")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
async def test_requests_beside_a_signal_are_answered(
    tmp_path: Path, number: signal.Signals
) -> None:
    server = PausingServer(pause="events")
    entry = PlatformEntry(tmp_path)
    await server.start()
    process = await entry.start_process(server)
    try:
        clients = [await Client.open(entry.port) for _ in PROCESS_STATES]
        held = [
            await _hold(state, entry, server, server, SideStandIn(""), client)
            for state, client in zip(PROCESS_STATES, clients, strict=True)
        ]
        entry.write_settings(**{"budget-slack": 3})
        process.send_signal(number)
        late = asyncio.create_task(_send_until_refused(entry, 60))
        await TIMERS.sleep_ms(200)
        for item in held:
            item.release()
        outcomes = [await outcome(client) for client in clients]
        assert_that(outcomes, Equals([(200, True)] * len(clients)))
        unanswered = await late
        # A request may cross the close of its connection if it is not passed on.
        passed_on = {request.id for request in server.requests}
        assert_that(unanswered & passed_on, Equals(set()))
    finally:
        process.kill()
        await asyncio.to_thread(process.wait)
        await entry.store.close()
        await server.close()


async def test_signals_are_handled_before_the_first_request_can_arrive(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A signal between the two ended the process with the requests it had read.
    numbers = (signal.SIGTERM, signal.SIGHUP)
    seen: list[bool] = []
    listen = EntryRole.listen

    async def check_and_listen(*args) -> list[web.TCPSite]:
        handlers = [signal.getsignal(number) for number in numbers]
        seen.append(signal.SIG_DFL not in handlers)
        return await listen(*args)

    monkeypatch.setattr(EntryRole, "listen", check_and_listen)
    async with running_entry_role(tmp_path, PausingServer()):
        assert_that(seen, Equals([True, True]))


async def _send_until_refused(entry: PlatformEntry, count: int) -> set[str]:
    """Send requests on new connections; return the ids of the unanswered ones."""
    unanswered = set()
    for number in range(count):
        try:
            client = await Client.open(entry.port)
        except ConnectionError:
            break
        client.send(get("safe", f"n{number}"))
        if (await outcome(client))[0] == 0:
            unanswered.add(f"n{number}")
        client.close()
        await TIMERS.sleep_ms(20)
    return unanswered


LATE_GRACE_S = 6.0  # requests are taken for 3 s of it, and answered until 5.3 s
LATE_MS = 3_150  # into the grace


class SlowServer(ScriptedServer):
    """Answers each request after a time; a stream has its first event at once."""

    def __init__(self, answer_ms: int) -> None:
        super().__init__()
        self._answer_ms = answer_ms
        self.script = self._answer

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if "stream" in request.target:
            writer.write(answer_head(request, Transfer_Encoding="chunked"))
            writer.write(b"7\r\nid: 1\n\n\r\n")
            await TIMERS.sleep_ms(self._answer_ms)
            return False
        await TIMERS.sleep_ms(self._answer_ms)
        return await send_answer(request, writer)


@asynccontextmanager
async def stopping_entry(
    tmp_path: Path, server: ScriptedServer
) -> AsyncIterator[PlatformEntry]:
    """Run an entry whose requests may last longer than its grace."""
    async with running_entry_role(
        tmp_path, server, **{"grace-s": LATE_GRACE_S}
    ) as entry:
        entry.change_routes(timeout_ms=60_000)
        await entry.publish()
        yield entry


# It was passed on, and cut at the end of the grace: nobody knew whether it had run.
@pytest.mark.parametrize("framing", ["Content-Length: 4", "Transfer-Encoding: chunked"])
@pytest.mark.parametrize("route", ["unsafe", "safe"])
async def test_a_request_whose_body_ends_late_in_the_grace_is_not_run(
    tmp_path: Path, route: str, framing: str
) -> None:
    server = SlowServer(answer_ms=3_000)
    async with stopping_entry(tmp_path, server) as entry:
        client = await Client.open(entry.port)
        text = post(route).replace("Content-Length: 4", framing)
        text = text.replace("Deadline-Ms: 3000", "Deadline-Ms: 30000")
        is_chunked = "chunked" in framing
        client.send(text, b"2\r\nab\r\n" if is_chunked else b"ab")
        await TIMERS.sleep_ms(50)
        entry.leave()
        await TIMERS.sleep_ms(LATE_MS)
        client.writer.write(b"2\r\ncd\r\n0\r\n\r\n" if is_chunked else b"cd")
        assert_that(await outcome(client), Equals((503, True)))
        assert_that(server.requests, Equals([]))
        client.close()


async def test_a_request_pipelined_late_in_the_grace_is_not_run(
    tmp_path: Path,
) -> None:
    server = SlowServer(answer_ms=LATE_MS + 500)
    async with stopping_entry(tmp_path, server) as entry:
        client = await Client.open(entry.port)
        client.send(post("unsafe").replace("3000", "30000"), b"abcd")
        await TIMERS.sleep_ms(50)
        entry.leave()
        await TIMERS.sleep_ms(LATE_MS)
        client.send(post("unsafe", "r2").replace("3000", "30000"), b"abcd")
        assert_that(await outcome(client), DELIVERED)
        assert_that(await outcome(client), Equals((503, True)))
        assert_that([request.id for request in server.requests], Equals(["r1"]))
        client.close()


# Their connections were closed without an answer.
@pytest.mark.parametrize("route", ["unsafe", "safe"])
async def test_a_request_that_outlasts_the_grace_is_told_that_it_may_have_run(
    tmp_path: Path, route: str
) -> None:
    async with stopping_entry(tmp_path, SlowServer(answer_ms=30_000)) as entry:
        clients = [await Client.open(entry.port) for _ in range(3)]
        for number, client in enumerate(clients):
            text = post(route, f"r{number}").replace("3000", "30000")
            client.send(text, b"abcd")
        await TIMERS.sleep_ms(50)
        entry.leave()
        answers = [await outcome(client) for client in clients]
        assert_that(answers, Equals([(502, True)] * 3))
        await until(lambda: entry.has_ended)


async def test_a_stream_that_outlasts_the_grace_does_not_look_complete(
    tmp_path: Path,
) -> None:
    async with stopping_entry(tmp_path, SlowServer(answer_ms=30_000)) as entry:
        client = await Client.open(entry.port)
        client.send(get("stream").replace("3000", "30000"))
        await TIMERS.sleep_ms(50)
        entry.leave()
        assert_that(await outcome(client), Equals((200, False)))
        await until(lambda: entry.has_ended)


async def test_an_answer_that_comes_late_in_the_grace_is_delivered(
    tmp_path: Path,
) -> None:
    async with stopping_entry(tmp_path, SlowServer(answer_ms=4_600)) as entry:
        client = await Client.open(entry.port)
        client.send(post("unsafe").replace("3000", "30000"), b"abcd")
        await TIMERS.sleep_ms(50)
        entry.leave()
        assert_that(await outcome(client), DELIVERED)
