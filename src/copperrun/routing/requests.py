"""One request on its way through a forwarding entry."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from copperrun.model import Refusal
from copperrun.ports.backends import AnswerHead
from copperrun.ports.backends import BackendCall
from copperrun.routing.catalog import BackendPool
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.catalog import Route


class RoutedRequest(NamedTuple):
    """A request with what decides its treatment.

    Attributes:
        call: The caller's request.
        route: Route in force when it arrived.
        pool: Pool that serves it.
        started_ms: Arrival on the timer service's clock.
        deadline_ms: When its final answer is due at the latest.
    """

    call: BackendCall
    route: Route
    pool: BackendPool
    started_ms: int
    deadline_ms: int

    @property
    def first_event_deadline_ms(self) -> int:
        """When the caller leaves unless its answer has begun."""
        if not self.route.client_timeout_ms:
            return self.deadline_ms
        return min(self.deadline_ms, self.started_ms + self.route.client_timeout_ms)

    @property
    def may_retry(self) -> bool:
        """Whether an attempt that may have run can be followed by another."""
        return self.route.retry_safety is RetrySafety.SAFE or self.route.resumable


class AttemptOutcome(Enum):
    """How one attempt ended.

    Attributes:
        DONE: The caller has its whole answer.
        NOT_RUN: The server did not run it.
        MAYBE_RAN: No whole answer came; it may have run.
        FAILED: The server answered with a failure of its own.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    MAYBE_RAN = "maybe_ran"
    FAILED = "failed"


class ServerFailure(NamedTuple):
    """A server's own failure, kept to be passed on if nothing better comes."""

    head: AnswerHead
    body: bytes


class Progress:
    """What the attempts of one request have come to so far.

    Attributes:
        tried: Servers that it was sent to, or that cannot take it.
        sends: Attempts that reached a server or may have.
        may_have_run: Whether any of them may have run.
        last_end: How the latest attempt ended.
        started: Whether the caller has the head of its answer.
        resume_after: Id of the last event that the caller has.
        failure: A server's own failure, if nothing better comes.
        refusal: The refusal to give, if nothing better comes.
        detail: What happened last, for the log.
        admission: What the side said, for the log; empty when it was not asked.
        told_started: Whether the side knows of the first event.
    """

    def __init__(self, resume_after: str) -> None:
        self.tried: set[str] = set()
        self.sends = 0
        self.may_have_run = False
        self.last_outcome = AttemptOutcome.NOT_RUN
        self.started = False
        self.resume_after = resume_after
        self.failure: ServerFailure | None = None
        self.refusal: Refusal | None = None
        self.detail = ""
        self.admission = ""
        self.start_reported = False
        self.admitted_after_ms = 0
        self.sent_ms = 0
        self.load = 0
        self.first_event_ms = 0
        self.last_event_ms = 0
        self.longest_gap_ms = 0

    def record_event_times(self, now_ms: int) -> None:
        """Take the arrival of events into the times that the log line tells."""
        if not self.first_event_ms:
            self.first_event_ms = now_ms
        else:
            gap_ms = now_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = now_ms
