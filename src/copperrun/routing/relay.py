"""Forwarding of requests to backend servers, with retries and stream resumption."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from copperrun.admission.memory import MemoryShare
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.pauses import PauseDetector
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import EngineSides
from copperrun.ports.backends import Backends
from copperrun.ports.buffers import AnswerBuffers
from copperrun.ports.buffers import UnboundedBuffers
from copperrun.ports.costs import Costs
from copperrun.ports.metrics import Metrics
from copperrun.ports.responder import Responder
from copperrun.ports.timers import Timers
from copperrun.routing.attempt import Attempt
from copperrun.routing.attempt import AttemptPorts
from copperrun.routing.attempt import Piece
from copperrun.routing.detection import CrashDetector
from copperrun.routing.estimates import record_cost
from copperrun.routing.failover import Failover
from copperrun.routing.failover import Found
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.quarantine import Quarantine
from copperrun.routing.refusals import deadline_expired
from copperrun.routing.refusals import leaving
from copperrun.routing.refusals import quarantined
from copperrun.routing.refusals import server_failed
from copperrun.routing.refusals import stopped
from copperrun.routing.requests import AttemptOutcome
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.retries import RetryWindow
from copperrun.routing.scoring import Distance
from copperrun.routing.selector import ServerSelector
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerTable
from copperrun.routing.starts import StartChecker

MIN_ATTEMPT_MS = 20  # remaining time below which no further attempt is started
SILENT_SERVER = "silent"  # cause of a retry while the server before may still answer


class Relay:
    """Forwards requests, retrying and resuming them at other servers."""

    def __init__(
        self,
        servers: ServerTable,
        backends: Backends,
        sides: EngineSides,
        demand: DemandMeter,
        timers: Timers,
        metrics: Metrics,
        quarantine: Quarantine,
        *,
        distance_to: Callable[[str], Distance],
        budget_for: Callable[[str], RetryWindow],
        record_origin: Callable[[str, StreamOrigin], None],
        pauses: PauseDetector | None = None,
        memory_share: MemoryShare | None = None,
        costs: Costs | None = None,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        starts = StartChecker(backends, pauses or PauseDetector(timers))
        self._selector = ServerSelector(
            servers,
            sides,
            demand,
            timers,
            distance_to,
            starts,
            memory_share,
        )
        self._confirmations: set[asyncio.Task[None]] = set()
        self._demand = demand
        self._timers = timers
        self._metrics = metrics
        self._costs = costs
        self._budget_for = budget_for
        self._record_origin = record_origin
        self._quarantine = quarantine
        detector = CrashDetector(backends, quarantine, timers)
        self._ports = AttemptPorts(
            servers,
            backends,
            sides,
            timers,
            quarantine,
            detector,
            starts,
            buffers or UnboundedBuffers(),
        )
        # Requests that wait for a server, with their state, by the scope of their wait.
        self._waiting: dict[asyncio.Timeout, tuple[RoutedRequest, Progress]] = {}
        self._in_progress: set[asyncio.Timeout] = set()
        self._refuses_unsent = False
        self._has_stopped = False
        quarantine.subscribe(self._refuse_quarantined)

    def refuse_unsent(self) -> None:
        """Refuse all requests not yet sent to a server, and all later ones."""
        self._refuses_unsent = True
        for scope, (_, progress) in self._waiting.items():
            if progress.sends:
                continue
            scope.reschedule(asyncio.get_running_loop().time())

    def stop(self) -> None:
        """End all requests: answer those whose answer has not begun, cut the others."""
        self._has_stopped = True
        for scope in self._in_progress:
            scope.reschedule(asyncio.get_running_loop().time())

    async def handle(
        self,
        request: RoutedRequest,
        responder: Responder,
        progress: Progress | None = None,
    ) -> bool:
        """Answer or refuse a request before its deadline.

        Args:
            request: The request.
            responder: Takes the answer.
            progress: Told how it went, also if the caller leaves.

        Returns:
            Whether a server may have run it.
        """
        progress = progress or Progress(request.call.resume_after)
        progress.origin = request.origin
        self._budget_for(request.pool.name).record_request()
        if not self._blocked_ms(request):
            self._demand.record_arrival(request.pool.name, request.call.model)
        outcome = "cancelled"
        try:
            async with self._timers.timeout_ms(self._remaining_ms(request)) as scope:
                self._in_progress.add(scope)
                try:
                    done = await self._try_servers(request, progress, responder, scope)
                finally:
                    self._in_progress.discard(scope)
            if done:
                outcome = "answered"
                if self._costs is not None:
                    now_ms = self._timers.now_ms()
                    record_cost(request, progress, self._costs, now_ms)
            else:
                outcome = "cut" if progress.response_started else "failed"
        except TimeoutError:
            done = False
            outcome = "timed_out"
            progress.refusal = self._refuse_to_send(request, progress) or (
                stopped() if self._has_stopped else deadline_expired(request)
            )
        finally:
            self._log_end(request, progress, outcome)
            self._record_metrics(request, progress, outcome)
        if not done:
            await _respond_unanswered(progress, responder)
        return progress.may_have_run

    async def _try_servers(
        self,
        request: RoutedRequest,
        progress: Progress,
        responder: Responder,
        scope: asyncio.Timeout,
    ) -> bool:
        """Try servers in turn; return whether the caller has a complete answer."""
        while True:
            refusal = self._refuse_to_send(request, progress)
            if refusal is not None:
                progress.refusal = refusal
                return False
            self._waiting[scope] = request, progress
            try:
                server = await self._selector.select(request, progress)
            finally:
                del self._waiting[scope]
            if isinstance(server, Refusal):
                progress.refusal = server
                return False
            outcome = await self._serve(request, server, progress, responder)
            progress.last_outcome = outcome
            if outcome is AttemptOutcome.DONE:
                return True
            if outcome is not AttemptOutcome.NOT_RUN and not request.may_retry:
                return False
            if not _may_go_on(request, progress):
                return False
            if not self._may_send_again(request, progress):
                return False

    def _refuse_to_send(
        self, request: RoutedRequest, progress: Progress
    ) -> Refusal | None:
        """Return why the request may not be sent to any server now."""
        if self._refuses_unsent and not progress.sends:
            return leaving()
        blocked_ms = self._blocked_ms(request)
        return quarantined(blocked_ms) if blocked_ms else None

    def _blocked_ms(self, request: RoutedRequest) -> int:
        return self._quarantine.blocked_ms(request.suspects)

    def _refuse_quarantined(self) -> None:
        """Refuse the waiting requests that are now in quarantine."""
        for scope, (request, _) in self._waiting.items():
            if self._blocked_ms(request):
                scope.reschedule(asyncio.get_running_loop().time())

    def _may_send_again(self, request: RoutedRequest, progress: Progress) -> bool:
        if progress.sends >= request.route.max_attempts:
            return False
        if self._remaining_ms(request) < MIN_ATTEMPT_MS:
            return False
        # The budget bounds arrivals at servers, so attempts never sent do not count.
        if progress.sends and not self._budget_for(request.pool.name).try_acquire():
            progress.detail = "retry budget exhausted"
            return False
        return True

    async def _serve(
        self,
        request: RoutedRequest,
        server: Server,
        progress: Progress,
        responder: Responder,
    ) -> AttemptOutcome:
        """Forward the answer of a server, or of another one if it stays silent."""
        attempt = self._begin(request, server, progress, progress.last_outcome.value)
        failover = self._open_failover(request, progress)
        outcome = AttemptOutcome.MAYBE_RAN
        try:
            while True:
                attempt, result = await failover.next_piece(attempt)
                if isinstance(result, Piece):
                    await self._forward(request, attempt, result, progress, responder)
                    continue
                outcome = result
                if outcome is AttemptOutcome.DONE:
                    await _finish(attempt, progress, responder)
                else:
                    await attempt.check_crash()
                return outcome
        finally:
            attempt.close(outcome)

    def _begin(
        self, request: RoutedRequest, server: Server, progress: Progress, cause: str
    ) -> Attempt:
        """Send the request; ``cause`` is why, if it was sent before."""
        if progress.sends:
            self._metrics.record_retry(cause)
        return Attempt(request, server, progress, self._ports)

    async def _forward(
        self,
        request: RoutedRequest,
        attempt: Attempt,
        piece: Piece,
        progress: Progress,
        responder: Responder,
    ) -> None:
        if not progress.response_started:
            progress.response_started = True
            if request.route.streaming:
                progress.stream_head = attempt.head
            await responder.start(attempt.head, piece.length)
        if request.route.streaming:
            progress.record_event_times(self._timers.now_ms())
            progress.events += piece.events
            progress.record_writer(attempt.record)
            if progress.origin is None:
                self._bind(request, attempt, progress)
        await responder.write(piece.data)
        progress.resume_after = piece.event_id or progress.resume_after
        if piece.events and not progress.resume_after:
            progress.has_unnumbered = True

    def _bind(
        self, request: RoutedRequest, attempt: Attempt, progress: Progress
    ) -> None:
        """Record what begins the stream, at once if that is sure."""
        progress.origin = StreamOrigin(request.pool.name, "", "")
        if attempt.is_start_sure:
            progress.origin = attempt.origin
            self._record_origin(request.call.id, attempt.origin)
            return
        task = asyncio.create_task(self._confirm_origin(request, attempt, progress))
        self._confirmations.add(task)
        task.add_done_callback(self._confirmations.discard)

    async def _confirm_origin(
        self, request: RoutedRequest, attempt: Attempt, progress: Progress
    ) -> None:
        """Record what began the stream if that start still runs."""
        if await self._ports.starts.is_running(attempt.record):
            progress.origin = attempt.origin
            self._record_origin(request.call.id, attempt.origin)

    def _open_failover(self, request: RoutedRequest, progress: Progress) -> Failover:
        return Failover(
            request,
            self._ports.timers,
            lambda: self._may_repeat(request, progress),
            lambda: (
                self._may_repeat(request, progress)
                and self._selector.has_untried_server(request, progress)
            ),
            lambda: self._find_successor(request, progress),
        )

    async def _find_successor(
        self, request: RoutedRequest, progress: Progress
    ) -> Found | None:
        """Try another server while the present one is silent."""
        if self._refuse_to_send(request, progress):
            return None
        server = await self._selector.select(request, progress)
        if isinstance(server, Refusal):
            return None
        # A retry taken earlier would be missing to others during the wait.
        if self._refuse_to_send(request, progress) or not self._may_send_again(
            request, progress
        ):
            self._ports.sides.report_ended(server.record, request.call.id)
            return None
        attempt = self._begin(request, server, progress, SILENT_SERVER)
        outcome = AttemptOutcome.MAYBE_RAN
        is_kept = False
        try:
            # It may be silent, too.
            failover = self._open_failover(request, progress)
            attempt, result = await failover.next_piece(attempt)
            if isinstance(result, Piece) or result is AttemptOutcome.DONE:
                is_kept = True
                return Found(attempt, result)
            outcome = result
            await attempt.check_crash()
            return None
        finally:
            if not is_kept:
                attempt.close(outcome)

    def _may_repeat(self, request: RoutedRequest, progress: Progress) -> bool:
        return (
            request.may_retry
            and progress.sends < request.route.max_attempts
            and _may_go_on(request, progress)
        )

    def _remaining_ms(self, request: RoutedRequest) -> int:
        return request.deadline_ms - self._timers.now_ms()

    def _record_metrics(
        self, request: RoutedRequest, progress: Progress, outcome: str
    ) -> None:
        host, name = request.route.host, request.route.name
        elapsed_ms = self._timers.now_ms() - request.started_ms
        if progress.first_event_ms:
            first_ms = progress.first_event_ms - request.started_ms
            self._metrics.record_first_token(host, name, first_ms)
            self._metrics.record_token_gap(host, name, progress.longest_gap_ms)
        else:
            first_ms = elapsed_ms
        if outcome == "answered":
            met_targets = (
                first_ms <= request.route.target_ms
                and progress.longest_gap_ms <= request.route.target_gap_ms
            )
            self._metrics.record_answer(host, name, elapsed_ms, met_targets=met_targets)
        elif progress.refusal is not None:
            self._metrics.record_refusal(host, name, progress.refusal)
        else:
            self._metrics.record_missed(host, name)

    def _log_end(
        self, request: RoutedRequest, progress: Progress, outcome: str
    ) -> None:
        refusal = progress.refusal
        logger.info(
            "request ended",
            request=request.call.id,
            route=request.route.name,
            pool=request.pool.name,
            model=request.call.model,
            adapter=request.call.adapter,
            prompt_parts=request.call.prompt_parts,
            fingerprint=request.fingerprint,
            outcome=outcome,
            reason=refusal.reason.value if refusal else "",
            detail=progress.detail or (refusal.detail if refusal else ""),
            resumes=request.call.resumes,
            resume_after=request.call.resume_after,
            servers=sorted(progress.tried),
            writers=progress.writers,
            sends=progress.sends,
            load=progress.load,
            admission=progress.admission,
            admitted_after_ms=progress.admitted_after_ms,
            sent_after_ms=_elapsed_since(request.started_ms, progress.sent_ms),
            first_event_ms=_elapsed_since(request.started_ms, progress.first_event_ms),
            longest_gap_ms=progress.longest_gap_ms,
            events=progress.events,
            output_hint=request.call.output_hint,
            output_expected=request.output.expected if request.output else 0,
            started=progress.response_started,
            may_have_run=progress.may_have_run,
            elapsed_ms=self._timers.now_ms() - request.started_ms,
            remaining_ms=self._remaining_ms(request),
        )


def _may_go_on(request: RoutedRequest, progress: Progress) -> bool:
    """Return whether another answer may follow what the caller has of this one."""
    if not progress.response_started:
        return True
    return request.route.streaming and not progress.has_unnumbered


def _elapsed_since(started_ms: int, at_ms: int) -> int | None:
    """Return the time since the arrival, or None if the event never occurred."""
    return at_ms - started_ms if at_ms else None


async def _finish(attempt: Attempt, progress: Progress, responder: Responder) -> None:
    if not progress.response_started:
        progress.response_started = True
        await responder.start(attempt.head, None)
    await responder.finish()


async def _respond_unanswered(progress: Progress, responder: Responder) -> None:
    """Conclude a request without a complete answer from any server."""
    if progress.response_started:
        responder.abort()
        return
    failure = progress.failure
    if failure is not None:
        await responder.start(failure.head, len(failure.body))
        await responder.write(failure.body)
        await responder.finish()
        return
    refusal = progress.refusal or server_failed()
    if progress.may_have_run:
        refusal = refusal._replace(ran=Ran.UNKNOWN)
    await responder.refuse(refusal)
