"""Callers who read or send slowly, over real sockets, in one process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web
from factories import pool
from factories import route
from factories import server
from network import NullMetrics
from platform_standins import ReceivedRequest
from platform_standins import ScriptedServer
from platform_standins import answer_head
from test_platform_http import GET
from test_platform_http import Client
from test_platform_records import settings
from test_platform_records import write_settings
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from copperrun.adapters.client import open_session
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.timers import SystemTimers
from copperrun.admission.buffers import STALLED_MS
from copperrun.admission.buffers import BufferBounds
from copperrun.placement.demand import DemandMeter
from copperrun.platform.backends import HttpBackends
from copperrun.platform.connections import FILE_DESCRIPTORS
from copperrun.platform.connections import CallerServer
from copperrun.platform.connections import _caller_sockets
from copperrun.platform.daemon import EntryRole
from copperrun.platform.ingress import Ingress
from copperrun.platform.readers import CallerBuffers
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsFile
from copperrun.platform.settings import load_settings
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.ports.backends import Execution
from copperrun.ports.responder import Responder
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.crashes import CrashLog
from copperrun.routing.quarantine import Quarantine
from copperrun.routing.relay import Relay
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.retries import RetryBounds
from copperrun.routing.retries import RetryWindow
from copperrun.routing.scoring import Distance
from copperrun.routing.servers import ServerTable

KB = 1 << 10
MB = 1 << 20
TIMERS = SystemTimers()
WAIT_TIMEOUT_MS = 15_000  # ends the waits of a failing test
SOCKET_BYTES = 4 * KB  # so that unread bytes are held by the process
OK = AnswerHead(200, [], None, Execution.RAN)
LIMITS = CallerLimits(header_bytes=8_190, body_bytes=MB)

Handler = Callable[[BackendCall, Responder], Awaitable[None]]


class Listener:
    """The platform's listener with bounds, before a handler of the test."""

    def __init__(
        self,
        handler: Handler,
        bounds: BufferBounds,
        limits: CallerLimits,
        descriptors: int = 0,
    ) -> None:
        self.descriptors = descriptors
        self.limits = limits
        self.buffers = CallerBuffers(bounds, TIMERS, NullMetrics())
        self.ingress = Ingress(handler, lambda: LIMITS.body_bytes, self.buffers)
        self.server: CallerServer | None = None
        self.port = 0
        self.most_held = 0

    async def start(self) -> web.ServerRunner:
        self.server = CallerServer(
            self.ingress.handle,
            lambda: self.limits,
            TIMERS,
            lowering_delay_ms=0,
            buffers=self.buffers,
            descriptors=self.descriptors,
        )
        runner = web.ServerRunner(self.server, shutdown_timeout=0.1)
        await runner.setup()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        sock.bind(("127.0.0.1", 0))
        await web.SockSite(runner, sock, backlog=4_096).start()
        self.port = sock.getsockname()[1]
        return runner

    async def watch(self) -> None:
        assert self.server is not None
        await self.server.close_expired()
        held = sum(
            conn.transport.get_write_buffer_size()
            for conn in self.server.caller_connections
            if conn.transport is not None
        )
        self.most_held = max(self.most_held, held)


@asynccontextmanager
async def listening(
    handler: Handler,
    bounds: BufferBounds,
    limits: CallerLimits = LIMITS,
    descriptors: int = 0,
) -> AsyncIterator[Listener]:
    listener = Listener(handler, bounds, limits, descriptors)
    runner = await listener.start()
    watch = TIMERS.subscribe(100, listener.watch)
    try:
        yield listener
    finally:
        watch.cancel()
        await runner.cleanup()


async def open_caller(port: int, *, is_slow: bool = True) -> Client:
    """Return a client whose socket takes little unless it is read."""
    sock = socket.socket()
    if is_slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    limit = KB if is_slow else 64 * KB
    return Client(*await asyncio.open_connection(sock=sock, limit=limit))


async def until(condition: Callable[[], object]) -> None:
    async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
        while not condition():
            await TIMERS.sleep_ms(10)


async def read_whole(client: Client) -> tuple[bytes, bool]:
    status, _, body, is_complete = await client.answer()
    assert_that(status, Equals(200))
    return body, is_complete


def event(number: int, size: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * size)


async def test_thousands_of_stalled_readers_cost_a_bounded_sum_and_no_neighbour():
    bounds = BufferBounds(24 * MB, 64 * KB, 12 * MB)
    stalled_count, gaps_ms = 2_000, []
    ended = 0

    async def stream(call: BackendCall, responder: Responder) -> None:
        nonlocal ended
        is_live = call.id.startswith("live")
        await responder.start(OK, None)
        try:
            for number in range(40):
                await responder.write(event(number, 200 if is_live else 4 * KB))
                await TIMERS.sleep_ms(50)
            await responder.finish()
        except asyncio.CancelledError:
            ended += 1
            raise

    async def read_live(client: Client) -> bool:
        await client.reader.readuntil(b"\r\n\r\n")
        last_ms = TIMERS.now_ms()
        while not (line := await client.reader.readline()).startswith(b"0\r"):
            if not line:
                return False
            if line.startswith(b"id: "):
                gaps_ms.append(TIMERS.now_ms() - last_ms)
                last_ms = TIMERS.now_ms()
        return True

    async with listening(stream, bounds) as listener:
        stalled = [await open_caller(listener.port) for _ in range(stalled_count)]
        for number, client in enumerate(stalled):
            client.send(GET.format(f"stalled{number}"))
        live = [await open_caller(listener.port, is_slow=False) for _ in range(20)]
        for number, client in enumerate(live):
            client.send(GET.format(f"live{number}"))
        completed = await asyncio.gather(*(read_live(client) for client in live))
        assert_that(completed, Equals([True] * len(live)))
        assert_that(ended, GreaterThan(stalled_count // 2))
        assert_that(listener.most_held, GreaterThan(bounds.answers // 16))
        assert_that(listener.most_held, LessThan(bounds.answers))
        assert_that(listener.buffers.held_bytes, LessThan(bounds.answers + 1))
        assert_that(sorted(gaps_ms)[len(gaps_ms) * 9 // 10], LessThan(300))
        for client in (*stalled, *live):
            client.close()


async def test_a_caller_that_gave_way_sees_no_complete_answer():
    async def stream(call: BackendCall, responder: Responder) -> None:
        await responder.start(OK, None)
        for number in range(32):
            await responder.write(event(number, 4 * KB))
        await responder.finish()

    bounds = BufferBounds(512 * KB, 256 * KB, 64 * KB)
    async with listening(stream, bounds) as listener:
        first = await open_caller(listener.port)
        first.send(GET.format("first"))
        await until(lambda: listener.buffers.held_bytes > 100 * KB)
        await TIMERS.sleep_ms(STALLED_MS + 100)
        others = [await open_caller(listener.port) for _ in range(3)]
        for number, client in enumerate(others):
            client.send(GET.format(f"r{number}"))
        answers = await asyncio.gather(*map(read_whole, others))
        assert_that([whole for _, whole in answers], Equals([True] * 3))
        assert_that((await read_whole(first))[1], Equals(False))


async def test_a_caller_that_reads_on_in_time_gets_the_whole_answer():
    is_written = asyncio.Event()
    body = b"".join(event(number, 4 * KB) for number in range(32))

    async def stream(call: BackendCall, responder: Responder) -> None:
        await responder.start(OK, None)
        await responder.write(body)
        await responder.finish()
        is_written.set()

    bounds = BufferBounds(8 * MB, 256 * KB, MB)
    async with listening(stream, bounds) as listener:
        client = await open_caller(listener.port)
        client.send(GET.format("r1"))
        # The answer's task does not wait for its caller.
        async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
            await is_written.wait()
        assert_that(listener.buffers.held_bytes, GreaterThan(100 * KB))
        await TIMERS.sleep_ms(STALLED_MS + 100)
        assert_that(await read_whole(client), Equals((body, True)))
        await until(lambda: not listener.buffers.held_bytes)


async def test_what_a_closed_connection_still_holds_is_counted_and_ends():
    # The caller reads nothing of an answer that was broken off.
    async def stream(call: BackendCall, responder: Responder) -> None:
        await responder.start(OK, None)
        await responder.write(event(1, 100 * KB))
        responder.abort()

    bounds = BufferBounds(8 * MB, 256 * KB, MB)
    limits = LIMITS._replace(idle_timeout_ms=600)
    async with listening(stream, bounds, limits) as listener:
        client = await open_caller(listener.port)
        client.send(GET.format("r1"))
        await until(lambda: listener.buffers.held_bytes > 50 * KB)
        await until(lambda: not listener.buffers.held_bytes)
        assert listener.server is not None
        await until(lambda: not listener.server.caller_connections)
        assert_that((await read_whole(client))[1], Equals(False))


class Forwarding:
    """A relay to one server, as the handler of a listener."""

    def __init__(self, session: object, backend: ScriptedServer) -> None:
        servers = ServerTable(TIMERS)
        servers.set_records([server(backend.id, address=backend.address)])
        budget = RetryWindow(TIMERS, RetryBounds(1, 100, 10_000))
        self.relay = Relay(
            servers,
            HttpBackends(session),
            None,  # no engines in these tests
            DemandMeter(),
            TIMERS,
            NullMetrics(),
            Quarantine(CrashLog(TIMERS), TIMERS),
            distance_to=lambda zone: Distance.ZONE,
            budget_for=lambda name: budget,
            record_origin=lambda request_id, origin: None,
        )

    async def handle(self, call: BackendCall, responder: Responder) -> None:
        served_route = route(
            streaming=True,
            resumable=True,
            retry_safety=RetrySafety.SAFE,
            max_attempts=2,
            timeout_ms=15_000,
            target_gap_ms=300,
        )
        now = TIMERS.now_ms()
        request = RoutedRequest(call, served_route, pool("pay"), now, now + 12_000)
        await self.relay.handle(request, responder)


@asynccontextmanager
async def forwarding(
    backend: ScriptedServer, bounds: BufferBounds
) -> AsyncIterator[Listener]:
    await backend.start()
    async with open_session() as session:
        relay = Forwarding(session, backend)
        async with listening(relay.handle, bounds) as listener:
            yield listener
    await backend.close()


class CuttingServer(ScriptedServer):
    """Sends a stream, and cuts it off if that is not read in time."""

    def __init__(self, events: int, cut_after_ms: int) -> None:
        super().__init__()
        self.has_sent_all = False
        self.has_cut = False
        self._events = events
        self._cut_after_ms = cut_after_ms
        self.script = self._send

    async def _send(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.transport.set_write_buffer_limits(high=0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        writer.write(answer_head(request))
        try:
            for number in range(1, self._events + 1):
                writer.write(event(number, 16 * KB))
                async with TIMERS.timeout_ms(self._cut_after_ms):
                    await writer.drain()
        except TimeoutError:
            self.has_cut = True
            writer.transport.abort()
            return False
        self.has_sent_all = True
        return False


async def test_a_server_is_read_on_while_the_caller_stalls():
    backend = CuttingServer(events=400, cut_after_ms=500)
    async with forwarding(backend, BufferBounds(32 * MB, 8 * MB, MB)) as listener:
        client = await open_caller(listener.port)
        client.send(GET.format("r1"))
        await until(lambda: backend.has_sent_all or backend.has_cut)
        assert_that(backend.has_cut, Equals(False))
        await TIMERS.sleep_ms(1_000)
        body, is_complete = await read_whole(client)
        assert_that((body.count(b"id: "), is_complete), Equals((400, True)))
        assert_that(backend.requests, HasLength(1))


async def test_an_answer_at_its_bound_that_nobody_reads_ends_and_is_not_resumed():
    backend = CuttingServer(events=2_000, cut_after_ms=8_000)
    async with forwarding(backend, BufferBounds(16 * MB, 64 * KB, MB)) as listener:
        client = await open_caller(listener.port)
        client.send(GET.format("r1"))
        await until(lambda: listener.buffers.held_bytes > 64 * KB)
        assert_that(listener.buffers.held_bytes, LessThan(512 * KB))
        await until(lambda: not listener.buffers.held_bytes)
        await until(backend.closed.is_set)
        assert_that((backend.has_sent_all, backend.has_cut), Equals((False, False)))
        assert_that(backend.requests, HasLength(1))
        assert_that((await read_whole(client))[1], Equals(False))


async def test_a_slow_reader_at_its_bound_gets_the_whole_answer():
    backend = CuttingServer(events=64, cut_after_ms=5_000)
    async with forwarding(backend, BufferBounds(16 * MB, 64 * KB, MB)) as listener:
        client = await open_caller(listener.port)
        client.send(GET.format("r1"))
        for _ in range(12):
            await TIMERS.sleep_ms(300)
            await client.reader.read(8 * KB)
        rest = b""
        while data := await client.reader.read(64 * KB):
            rest += data
            if rest.endswith(b"\r\n0\r\n\r\n"):
                break
        assert_that(rest[-7:], Equals(b"\r\n0\r\n\r\n"))
        assert_that(backend.requests, HasLength(1))


POST = (
    "POST /a/x HTTP/1.1\nHost: h\nRequest-Id: {}\nDeadline-Ms: {}\nContent-Length: {}"
)


async def answer_size(call: BackendCall, responder: Responder) -> None:
    body = b"%d" % len(call.body or b"")
    await responder.start(OK, len(body))
    await responder.write(body)
    await responder.finish()


async def test_an_upload_that_trickles_past_its_time_gets_408():
    called = []

    async def handle(call: BackendCall, responder: Responder) -> None:
        called.append(call.id)
        await answer_size(call, responder)

    bounds = BufferBounds(8 * MB, 64 * KB, 4 * MB)
    async with listening(handle, bounds) as listener:
        client = await open_caller(listener.port)
        client.send(POST.format("r1", 300, 100), b"some")
        for _ in range(10):
            await TIMERS.sleep_ms(50)
            client.writer.write(b"x")
        status, headers, _, _ = await client.answer()
        assert_that((status, called), Equals((408, [])))
        assert_that("retry-after" in headers, Equals(False))
        assert_that(listener.buffers.held_bytes, Equals(0))


async def test_an_upload_that_does_not_fit_is_refused_at_once_with_a_time():
    async with listening(answer_size, BufferBounds(MB, 64 * KB, 512 * KB)) as listener:
        client = await open_caller(listener.port)
        client.send(POST.format("r1", 10_000, 300 * KB))  # counted with its copy
        status, headers, body, _ = await client.answer()
        assert_that((status, headers["retry-after"]), Equals((503, "1.000")))
        assert_that(body.startswith(b"memory_full"), Equals(True))
        assert_that(listener.buffers.held_bytes, Equals(0))


async def test_bodies_count_until_their_requests_end():
    released = asyncio.Event()

    async def handle(call: BackendCall, responder: Responder) -> None:
        await released.wait()
        await answer_size(call, responder)

    async with listening(handle, BufferBounds(MB, 64 * KB, 512 * KB)) as listener:
        clients = [await open_caller(listener.port) for _ in range(2)]
        for number, client in enumerate(clients):
            size = 100 * KB
            client.send(POST.format(f"r{number}", 10_000, size), b"x" * size)
        await until(lambda: listener.buffers.held_bytes == 400 * KB)
        other = await open_caller(listener.port)
        other.send(POST.format("other", 10_000, 100 * KB), b"x" * (100 * KB))
        assert_that((await other.answer())[0], Equals(503))
        released.set()
        for client in clients:
            assert_that(await read_whole(client), Equals((b"%d" % (100 * KB), True)))
        await until(lambda: not listener.buffers.held_bytes)


async def test_thousands_of_trickling_uploads_leave_room_for_others():
    bounds = BufferBounds(16 * MB, 64 * KB, 8 * MB)
    async with listening(answer_size, bounds) as listener:
        trickling = [await open_caller(listener.port) for _ in range(1_500)]
        for number, client in enumerate(trickling):
            client.send(POST.format(f"t{number}", 60_000, 64 * KB), b"x")
        await TIMERS.sleep_ms(STALLED_MS + 500)
        held = listener.buffers.held_bytes
        assert_that(held, LessThan(bounds.uploads + 1))
        for number in range(20):
            client = await open_caller(listener.port, is_slow=False)
            size = 200 * KB
            client.send(POST.format(f"r{number}", 5_000, size), b"x" * size)
            assert_that(await read_whole(client), Equals((b"%d" % size, True)))
            client.close()
        for client in trickling:
            client.close()
        await until(lambda: not listener.buffers.held_bytes)


def answer_after(released: asyncio.Event) -> Handler:
    """Return a handler that answers once it is released."""

    async def handle(call: BackendCall, responder: Responder) -> None:
        await released.wait()
        await answer_size(call, responder)

    return handle


LARGE_HEAD = GET + "\nX: " + "x" * 7_000


async def test_heads_beyond_the_bound_are_refused_and_leave_room_for_small_ones():
    released = asyncio.Event()
    handle = answer_after(released)
    bounds = BufferBounds(MB, 64 * KB, MB, heads=256 * KB)
    async with listening(handle, bounds) as listener:
        clients = []
        for number in range(16):  # twice as many as fit
            client = await open_caller(listener.port, is_slow=False)
            client.send(LARGE_HEAD.format(f"r{number}"))
            clients.append(client)
        await until(lambda: listener.buffers.total_bytes > 200 * KB)
        small = await open_caller(listener.port, is_slow=False)
        small.send(GET.format("small"))
        refused = await open_caller(listener.port, is_slow=False)
        refused.send(LARGE_HEAD.format("refused"))
        status, headers, _, _ = await refused.answer()
        assert_that(status, Equals(503))
        assert_that(
            (headers["retry-after"], headers["connection"]), Equals(("1.000", "close"))
        )
        assert_that(listener.buffers.total_bytes, LessThan(256 * KB + 1))
        released.set()
        assert_that((await small.answer())[0], Equals(200))
        statuses = [(await client.answer())[0] for client in clients]
        assert_that(set(statuses), Equals({200, 503}))
        for client in clients:
            client.close()
        await until(lambda: not listener.buffers.total_bytes)


async def test_heads_that_are_incomplete_count_until_their_connections_close():
    async with listening(answer_size, BufferBounds(MB, 64 * KB, MB)) as listener:
        client = await open_caller(listener.port, is_slow=False)
        client.writer.write(b"GET /a/x HTTP/1.1\r\nX: " + b"x" * 4_000)
        await until(lambda: listener.buffers.total_bytes > 4_000)
        client.close()
        await until(lambda: not listener.buffers.total_bytes)


SOCKETS = 16
DESCRIPTORS = FILE_DESCRIPTORS + 2 * SOCKETS  # few, so half of them are for callers


@pytest.mark.parametrize(
    ("descriptors", "sockets"),
    [(4_100, 3_836), (1_535, 1_271), (400, 136), (300, 50), (201, 16), (64, 16)],
)
def test_a_machine_of_few_descriptors_serves_callers_too(descriptors, sockets):
    assert_that(_caller_sockets(descriptors), Equals(sockets))


def awaiting_states(server: CallerServer) -> list[bool]:
    """Return whether each connection awaits a request."""
    return [conn.awaits_request for conn in server.caller_connections]


async def test_idle_connections_give_way_to_new_ones_and_requests_do_not():
    released = asyncio.Event()
    handle = answer_after(released)
    bounds = BufferBounds(MB, 64 * KB, MB)
    async with listening(handle, bounds, descriptors=DESCRIPTORS) as listener:
        server = listener.server
        assert server is not None
        running = [await open_caller(listener.port, is_slow=False) for _ in range(2)]
        for number, client in enumerate(running):
            client.send(GET.format(f"r{number}"))
        await until(lambda: awaiting_states(server) == [False, False])
        idle = [await open_caller(listener.port) for _ in range(SOCKETS - 4)]
        await until(lambda: len(server.caller_connections) == SOCKETS - 2)
        newest = await open_caller(listener.port)
        assert_that(await idle[0].reader.read(), Equals(b""))
        released.set()
        for client in running:
            assert_that((await client.answer())[0], Equals(200))
        await until(lambda: all(awaiting_states(server)))
        for client in (*idle[1:], newest):
            client.send(GET.format("late"))
            assert_that((await client.answer())[0], Equals(200))


async def test_a_head_that_does_not_end_gives_way_and_then_the_newest_caller():
    released = asyncio.Event()
    handle = answer_after(released)
    bounds = BufferBounds(MB, 64 * KB, MB)
    limits = LIMITS._replace(idle_timeout_ms=600_000)
    async with listening(handle, bounds, limits, DESCRIPTORS) as listener:
        server = listener.server
        assert server is not None
        begun = await open_caller(listener.port)
        begun.writer.write(b"GET /a/x HTTP/1.1\r\n")
        clients = []
        for number in range(SOCKETS // 2):  # each needs another one to its server
            client = await open_caller(listener.port, is_slow=False)
            client.send(GET.format(f"r{number}"))
            clients.append(client)
        assert_that((await begun.answer())[0], Equals(408))
        await until(lambda: awaiting_states(server) == [False] * (SOCKETS // 2))
        newest = await open_caller(listener.port)
        async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
            assert_that(await newest.reader.read(), Equals(b""))
        released.set()
        for client in clients:
            assert_that((await client.answer())[0], Equals(200))


async def test_a_request_without_a_socket_for_its_server_is_refused():
    released = asyncio.Event()
    handle = answer_after(released)
    bounds = BufferBounds(MB, 64 * KB, MB)
    async with listening(handle, bounds, descriptors=DESCRIPTORS) as listener:
        server = listener.server
        assert server is not None
        most = SOCKETS // 2  # each needs another one to its server
        clients = [await open_caller(listener.port) for _ in range(most + 1)]
        *begun, first, last = clients
        for number, client in enumerate(begun):
            client.send(GET.format(f"r{number}"))
        await until(
            lambda: awaiting_states(server) == [False] * (most - 1) + [True] * 2
        )
        # Both have arrived when the first of them is read, so neither is idle.
        for number, client in enumerate((first, last)):
            client.send(GET.format(f"late{number}"))
        status, headers, _, _ = await first.answer()
        assert_that((status, headers["retry-after"]), Equals((503, "1.000")))
        released.set()
        for client in (*begun, last):
            assert_that((await client.answer())[0], Equals(200))


def test_the_bounds_apply_only_where_the_settings_state_the_memory(tmp_path: Path):
    bounds = []
    for limits in ({"limits": {"memory-mb": 152}}, {"limits": {"cores": 1}}, {}):
        path = write_settings(tmp_path, settings(**limits))
        cfg = load_settings(path)
        assert isinstance(cfg, PlatformSettings)
        buffers = EntryRole(SettingsFile(path, cfg))._build_buffers()
        bounds.append(buffers and buffers.answer_bound)
    assert_that(bounds, Equals([296_875, None, None]))


def test_what_is_held_is_a_metric():
    metrics = PrometheusMetrics()
    metrics.record_held(10, 20)
    metrics.record_cut_caller("memory")
    metrics.record_refused_upload("memory_full")
    text = metrics.render().decode()
    for line in (
        'copperrun_held_bytes{object="answers"} 10.0',
        'copperrun_cut_callers_total{reason="memory"} 1.0',
        'copperrun_refused_uploads_total{reason="memory_full"} 1.0',
    ):
        assert_that(line in text, Equals(True))
