"""State of one request in a proxy entry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import NamedTuple

from copperrun.model import Refusal
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.ports.costs import CostKind
from copperrun.ports.costs import OutputEstimate
from copperrun.routing.accounts import ClientAccount
from copperrun.routing.catalog import BackendPool
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.catalog import Route
from copperrun.routing.fingerprints import fingerprint
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerRecord

ROUTE_RANKS = 10  # within the rank of a client account
MAX_ENGINE_RANK = 9


@dataclass(frozen=True, eq=False)
class RoutedRequest:
    """A request with its route, pool and deadline.

    Attributes:
        call: The caller's request.
        route: Route in force when it arrived.
        pool: Pool that serves it.
        started_ms: Arrival on the timer service's clock, in milliseconds.
        deadline_ms: Deadline of the complete answer on the same clock.
        origin: What began the stream that it continues; None for a new one.
        account: Client account of the caller; None when it needs none.
        output: Tokens that it will generate; None where costs are not learned.
        call_ms: Expected time of a plain request; 0 where costs are not learned.
    """

    call: BackendCall
    route: Route
    pool: BackendPool
    started_ms: int
    deadline_ms: int
    origin: StreamOrigin | None = None
    account: ClientAccount | None = None
    output: OutputEstimate | None = None
    call_ms: float = 0.0

    @property
    def rank(self) -> int:
        """Place of its kind in queues, 0 first: by client account, then by route."""
        if self.account is None:
            return self.route.priority
        route_rank = min(self.route.priority, ROUTE_RANKS - 1)
        return self.account.priority * ROUTE_RANKS + route_rank

    @property
    def engine_rank(self) -> int:
        """Rank as engines tell it, from 0 to ``MAX_ENGINE_RANK``."""
        rank = self.route.priority
        if self.account is not None:
            # Three ranks of routes fit into each of an account.
            rank = 3 * self.account.priority + min(rank, 2)
        return min(rank, MAX_ENGINE_RANK)

    @property
    def cost_kind(self) -> CostKind:
        """Requests that are expected to cost alike."""
        what = self.call.model or self.call.method
        return CostKind(
            self.route.name, what, self.account.name if self.account else ""
        )

    @cached_property
    def fingerprint(self) -> str:
        """Id that all repeats of the request share."""
        return fingerprint(self.call)

    @cached_property
    def suspects(self) -> tuple[str, ...]:
        """Ids of what may crash a server: shared parts of the prompt and the whole."""
        return (*self.call.prompt_parts, self.fingerprint)

    @property
    def first_event_deadline_ms(self) -> int:
        """Time at which the caller disconnects unless its answer has begun."""
        if not self.route.caller_timeout_ms:
            return self.deadline_ms
        return min(self.deadline_ms, self.started_ms + self.route.caller_timeout_ms)

    @property
    def may_retry(self) -> bool:
        """Whether the request may be sent again after an attempt that may have run."""
        return self.route.retry_safety is RetrySafety.SAFE or self.route.resumable


class AttemptOutcome(Enum):
    """How one attempt ended.

    Attributes:
        DONE: The caller has the complete answer.
        NOT_RUN: The server did not run the request.
        MAYBE_RAN: The server gave no complete answer and may have run the request.
        FAILED: The server answered with an error status of its own.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    MAYBE_RAN = "maybe_ran"
    FAILED = "failed"


class ServerFailure(NamedTuple):
    """An error response of a server, returned if no later attempt succeeds."""

    head: AnswerHead
    body: bytes


class Progress:
    """State shared by all attempts of one request.

    Attributes:
        tried: Ids of the servers that it was sent to or that cannot serve it.
        sends: Attempts that reached a server or may have.
        may_have_run: Whether any of them may have run.
        last_outcome: Outcome of the latest attempt.
        response_started: Whether the caller has the head of its answer.
        stream_head: The head that the caller of a stream has.
        has_unnumbered: Whether the caller has events of a stream without ids, after
            which no other server can go on.
        resume_after: Id of the last event that the caller has.
        origin: What sent the first event of the stream; None until it has begun.
        failure: Error response to return if no attempt succeeds.
        refusal: Refusal to return if no attempt succeeds and there is no error
            response.
        writers: Starts of servers whose events the caller has, each with its software
            version, in their order, for the log.
        detail: Latest event of the request, for the log.
        admission: Admission result of the side, for the log; empty when the side was
            not asked.
        server: Server of the latest attempt.
        events: Events of its stream that this entry has forwarded.
        admitted_start_ms: Start time of the engine that its side has admitted the
            request to; 0 when it has not.
        admission_asked_ms: When the side was asked to admit it.
    """

    def __init__(self, resume_after: str) -> None:
        self.tried: set[str] = set()
        self.sends = 0
        self.may_have_run = False
        self.last_outcome = AttemptOutcome.NOT_RUN
        self.response_started = False
        self.stream_head: AnswerHead | None = None
        self.has_unnumbered = False
        self.resume_after = resume_after
        self.origin: StreamOrigin | None = None
        self.failure: ServerFailure | None = None
        self.refusal: Refusal | None = None
        self.writers: list[str] = []
        self.detail = ""
        self.admission = ""
        self.admitted_after_ms = 0
        self.admitted_start_ms = 0
        self.admission_asked_ms = 0
        self.sent_ms = 0
        self.events = 0
        self.server: Server | None = None
        self.load = 0
        self.first_event_ms = 0
        self.last_event_ms = 0
        self.longest_gap_ms = 0

    def record_writer(self, record: ServerRecord) -> None:
        """Record, for the log, that a server's events go to the caller."""
        writer = f"{record.start_id} {record.software_version}".rstrip()
        if not self.writers or self.writers[-1] != writer:
            self.writers.append(writer)

    def record_event_times(self, now_ms: int) -> None:
        """Update the first-event time and the longest gap for the log."""
        if not self.first_event_ms:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = now_ms
