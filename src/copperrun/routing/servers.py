"""Backend servers known to an entry, with their load and failures."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
from typing import NamedTuple

from copperrun.ports.timers import Timers
from copperrun.routing.notices import ServerNotices
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.work import ServerWork
from copperrun.signals import ChangeSignal

FAILURE_SMOOTHING = 0.2  # weight of the newest answer in the moving failure rate
# The failure rate decays with time, so that a server that fails part of its requests
# and therefore gets few of them is tried again.
FAILURE_HALF_LIFE_MS = 4_000
CONNECT_BACKOFF_MS = 2_000  # no requests to a server after a failed connection
# Time for which a server is not used whose address answers as another one; its record
# lapses in less, unless somebody else wrote it.
REPLACED_TTL_MS = 10_000
# Prefill time of a typical prompt, counted for each request that the side's latest
# report does not include yet.
DEFAULT_PROMPT_MS = 80.0
REPORT_TTL_MS = 6_000  # over two of the longest reporting intervals of a side


class HeldModel(NamedTuple):
    """A model in accelerator memory and its loaded adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class ServerRecord(NamedTuple):
    """One backend server as the platform's registry describes it.

    Attributes:
        id: Identity of one start of the server; a different ``born_ms`` under the same
            id is another start.
        address: ``host:port``.
        pool: Pool of the server.
        zone: Availability zone.
        slots: Requests that it runs concurrently.
        leaving: Whether it is draining and accepts no new requests.
        born_ms: Start time in Unix milliseconds; 0 when unknown.
        models: Models in accelerator memory, for engines.
        in_host: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
        software_version: Version of the server's program, not of any weights; empty
            when unknown.
    """

    id: str
    address: str
    pool: str
    zone: str
    slots: int
    leaving: bool
    born_ms: int
    models: tuple[HeldModel, ...]
    in_host: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    software_version: str = ""

    @property
    def start_id(self) -> str:
        """Id of this start of the server; a restart may keep the server's id."""
        return f"{self.id}/{self.born_ms}"

    @property
    def origin(self) -> StreamOrigin:
        """Origin of the streams that this start of the server begins."""
        start_id = self.start_id if self.born_ms else ""
        return StreamOrigin(self.pool, start_id, self.software_version)


class ServerReport(NamedTuple):
    """State of an engine as its side reports it.

    Attributes:
        born_ms: Start time of the reported engine process in Unix milliseconds.
        held: Models that new requests may use, with their loaded adapters.
        running: Requests in the engine's batch.
        queued: Requests waiting at the engine.
        loading: Milliseconds until each model being loaded, or planned next, is
            expected to be ready.
        entries: Entries that report to the side; 0 when unknown.
        backlog_ms: Expected prefill time of the waiting prompts.
        utilization: Fraction of the time that the engine spends in prefill.
        server_id: Server id of the reported process; empty when the side does not
            know it.
        active: Models with running requests.
        free_tokens: Tokens of memory that requests to come may use; None when unknown.
        step_ms: Time of one decode step as it is now; 0 when unknown.
        work_ms: Work left of all requests at the engine; 0 when unknown.
        wait_ms: Expected wait of a request that came now, by rank.
    """

    born_ms: int
    held: Mapping[str, frozenset[str]]
    running: int
    queued: int
    loading: Mapping[str, int]
    entries: int = 0
    backlog_ms: int = 0
    utilization: float = 0.0
    server_id: str = ""
    active: frozenset[str] = frozenset()
    free_tokens: int | None = None
    step_ms: float = 0.0
    work_ms: float = 0.0
    wait_ms: Mapping[int, int] = {}


class Server:
    """One backend server with its latest report and this entry's observations."""

    def __init__(self, record: ServerRecord, timers: Timers) -> None:
        self.record = record
        self.held = _held_of(record)
        self.loading: Mapping[str, int] = {}
        self.is_side_unresponsive = False
        self.inflight = 0
        # Of this entry, that wait here and go on only at few engines.
        self.waiting_streams = 0
        self.work = ServerWork(timers)
        self.reported_load = 0
        self.backlog_ms = 0
        self.utilization = 0.0
        self.active: frozenset[str] = frozenset()
        self._timers = timers
        self._reported_ms = -REPORT_TTL_MS
        self._sent_since_report = 0
        self._failure_rate = 0.0
        self._failure_rate_ms = 0
        self._backoff_until_ms = 0
        self._pause_until_ms = 0
        self._replaced_until_ms = 0
        self._reported_born_ms = 0
        self._reported_id = ""

    @property
    def current_record(self) -> ServerRecord:
        """The record with the id and start time of the latest known start.

        A side may know that its engine has started again before it knows the id.
        """
        if self._reported_born_ms > self.record.born_ms:
            # Another start may run another version.
            return self.record._replace(
                id=self._reported_id or self.record.id,
                born_ms=self._reported_born_ms,
                software_version="",
            )
        return self.record

    @property
    def failure_rate(self) -> float:
        """Fraction of recent answers that were failures, decaying with time."""
        age_ms = self._timers.now_ms() - self._failure_rate_ms
        return float(self._failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    @property
    def is_backing_off(self) -> bool:
        """Whether a connection attempt failed within the backoff period."""
        return self._timers.now_ms() < self._backoff_until_ms

    @property
    def pause_ms(self) -> int:
        """Time for which the server wants no requests from this entry."""
        return max(self._pause_until_ms - self._timers.now_ms(), 0)

    @property
    def is_replaced(self) -> bool:
        """Whether another server has answered at its address lately."""
        until_ms = self._replaced_until_ms
        return bool(until_ms) and self._timers.now_ms() < until_ms

    @property
    def has_fresh_report(self) -> bool:
        """Whether the latest report of its side is within its TTL."""
        return self._timers.now_ms() - self._reported_ms < REPORT_TTL_MS

    @property
    def load(self) -> int:
        """Requests at the server, from all entries while the side's report is fresh."""
        if self.has_fresh_report:
            return max(self.inflight, self.reported_load + self._sent_since_report)
        return self.inflight

    @property
    def wait_ms(self) -> int:
        """Expected prefill time of the prompts waiting at the engine."""
        if not self.has_fresh_report:
            return int(self.inflight * DEFAULT_PROMPT_MS)
        return int(self.backlog_ms + self._sent_since_report * DEFAULT_PROMPT_MS)

    def begin_request(self, tokens: int = 0, work_ms: float = 0.0) -> None:
        """Count a request as in flight, with its memory in tokens and its work."""
        self.inflight += 1
        self._sent_since_report += 1
        self.work.begin(tokens, work_ms)

    def end_request(self, tokens: int = 0, work_ms: float = 0.0) -> None:
        """Count a request as ended."""
        self.inflight -= 1
        self.work.end(tokens, work_ms)

    def record_answer(self, *, failed: bool) -> None:
        """Update the moving failure rate with the outcome of one request."""
        rate = self.failure_rate
        self._failure_rate = rate + FAILURE_SMOOTHING * (
            (1.0 if failed else 0.0) - rate
        )
        self._failure_rate_ms = self._timers.now_ms()

    def mark_unreachable(self) -> None:
        """Start the backoff after a failed connection to the server."""
        self._backoff_until_ms = self._timers.now_ms() + CONNECT_BACKOFF_MS

    def pause(self, duration_ms: int) -> None:
        """Send the server no requests for a time that it asked for."""
        until_ms = self._timers.now_ms() + duration_ms
        self._pause_until_ms = max(self._pause_until_ms, until_ms)

    def mark_replaced(self) -> None:
        """Send no requests to an address at which another server answered."""
        self._replaced_until_ms = self._timers.now_ms() + REPLACED_TTL_MS

    def update_record(self, record: ServerRecord) -> None:
        """Apply a newer registry record."""
        if (record.address, record.born_ms) != (
            self.record.address,
            self.record.born_ms,
        ):
            self._replaced_until_ms = 0
        if record.born_ms != self.record.born_ms:
            self.loading = {}
            self._reported_born_ms = 0
            self._pause_until_ms = 0
        self.record = record
        if not self._reported_born_ms:
            self.held = _held_of(record)

    def apply_report(self, report: ServerReport) -> None:
        """Apply a report of the side, which is more recent than any registry record.

        A report about an earlier start of the server is ignored.
        """
        if report.born_ms < self.record.born_ms:
            return
        if report.born_ms > self._reported_born_ms:
            self._replaced_until_ms = 0
        self._reported_born_ms = report.born_ms
        self._reported_id = report.server_id
        self.held = report.held
        self.loading = report.loading
        self.reported_load = report.running + report.queued
        self.backlog_ms = report.backlog_ms
        self.utilization = report.utilization
        self.active = report.active
        self._reported_ms = self._timers.now_ms()
        self._sent_since_report = 0
        self.work.apply_report(report.free_tokens, report.step_ms, report.work_ms)

    def record_start(self, born_ms: int, server_id: str) -> None:
        """Record a start of the server that its side has seen."""
        if born_ms > max(self._reported_born_ms, self.record.born_ms):
            self._reported_born_ms = born_ms
            self._reported_id = server_id

    def add_adapter(self, model: str, adapter: str) -> None:
        """Record that the side has loaded an adapter."""
        if model in self.held:
            self.held = {**self.held, model: self.held[model] | {adapter}}

    def mark_not_held(self, model: str, adapter: str) -> None:
        """Record that the server no longer holds a model, or its adapter if given."""
        held = dict(self.held)
        if adapter and model in held:
            held[model] = held[model] - {adapter}
        else:
            held.pop(model, None)
        self.held = held


class ServerTable:
    """All backend servers by pool, with notification of changes."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._servers: dict[str, Server] = {}
        self._pools: dict[str, list[Server]] = {}
        self._notices = ServerNotices(timers)
        self._held_back: Set[tuple[str, str]] = frozenset()
        self._changed = ChangeSignal(timers)

    def set_records(self, records: Iterable[ServerRecord]) -> None:
        """Replace the list of servers, keeping the state of those still listed."""
        current: dict[str, Server] = {}
        for record in records:
            server = self._servers.get(record.id)
            if server is None:
                server = self._add_server(record)
            else:
                server.update_record(record)
            current[record.id] = server
        self._notices.keep_pauses(
            (server.record.start_id, server.pause_ms)
            for server_id, server in self._servers.items()
            if server_id not in current
        )
        self._servers = current
        self._pools = {}
        for server in current.values():
            self._pools.setdefault(server.record.pool, []).append(server)
        self.notify_change()

    def hold_back(self, versions: Set[tuple[str, str]]) -> None:
        """Use no servers of these pools and software versions for now."""
        self._held_back = versions

    def _add_server(self, record: ServerRecord) -> Server:
        """Return a new server; a record that lapsed may be that of a known start."""
        server = Server(record, self._timers)
        server.pause(self._notices.pause_ms(record.start_id))
        return server

    def find(self, server_id: str) -> Server | None:
        """Return a server by id."""
        return self._servers.get(server_id)

    def record_leaving(self, server: Server) -> None:
        """Record that a server said in an answer that it is leaving.

        The notice holds for its id, whatever the registry lists, until it starts again.
        """
        if self._said_leaving(server):
            return
        record = server.current_record
        self._notices.record_leaving(record.id, record.born_ms)
        self.notify_change()

    def is_usable(self, server: Server) -> bool:
        """Return whether new requests may be sent to a server.

        It must be listed and answer at its address, not be leaving, not be in backoff
        and not have asked for a pause.
        """
        return self.is_serving(server) and not server.is_backing_off

    def is_serving(self, server: Server) -> bool:
        """Return whether a server takes requests, as far as it has said itself.

        A connection to it may have failed lately.
        """
        return (
            self._servers.get(server.record.id) is server
            and not server.pause_ms
            and not server.is_replaced
            and not self._is_leaving(server)
            and not self._is_held_back(server)
        )

    def may_continue(self, server: Server, origin: StreamOrigin) -> bool:
        """Return whether a stream may go on at a server.

        It must be the start that began the stream, or one of the same version.
        """
        record = server.current_record
        if record.pool != origin.pool:
            return False
        if origin.start_id and record.origin.start_id == origin.start_id:
            return True
        version = self.version_of(origin)
        return bool(version) and record.software_version == version

    def version_of(self, origin: StreamOrigin) -> str:
        """Return the version of an origin; its start may have been listed only later.

        Returns:
            An empty string when it is not known.
        """
        if origin.software_version:
            return origin.software_version
        server = self._servers.get(origin.start_id.rpartition("/")[0])
        if server is None or server.record.start_id != origin.start_id:
            return ""
        return server.record.software_version

    def shortest_pause_ms(
        self, pool: str, model: str = "", origin: StreamOrigin | None = None
    ) -> int:
        """Return the time until a server that asked for a pause may be used again.

        Args:
            pool: Pool of the server.
            model: Model that it holds; any server of the pool when empty.
            origin: Origin of the stream that it may continue; None for new streams.

        Returns:
            Milliseconds; 0 when there is none that is unusable for its pause alone.
        """
        pauses = [
            server.pause_ms
            for server in self.in_pool(pool)
            if server.pause_ms
            and not self._is_leaving(server)
            and not server.is_backing_off
            and (not model or model in server.held)
            and (origin is None or self.may_continue(server, origin))
        ]
        return min(pauses, default=0)

    def usable(self, pool: str) -> list[Server]:
        """Return the servers of a pool that new requests may be sent to."""
        return list(filter(self.is_usable, self._pools.get(pool, ())))

    def in_pool(self, pool: str) -> list[Server]:
        """Return all listed servers of a pool."""
        return list(self._pools.get(pool, ()))

    def _is_held_back(self, server: Server) -> bool:
        record = server.record
        return (record.pool, record.software_version) in self._held_back

    def _is_leaving(self, server: Server) -> bool:
        return server.record.leaving or self._said_leaving(server)

    def _said_leaving(self, server: Server) -> bool:
        if not self._notices.has_leaving:
            return False
        record = server.current_record
        return self._notices.is_leaving(record.id, record.born_ms)

    def notify_change(self) -> None:
        """Wake all tasks in ``wait_change``."""
        self._changed.notify_all()

    async def wait_change(self, timeout_ms: float) -> None:
        """Wait for a change of any server, at most ``timeout_ms`` milliseconds."""
        await self._changed.wait(timeout_ms)


def _held_of(record: ServerRecord) -> Mapping[str, frozenset[str]]:
    return {model.name: model.adapters for model in record.models}
