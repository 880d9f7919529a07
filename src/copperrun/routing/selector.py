"""Selection of the server for the next attempt, with admission at engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import AbstractContextManager

import xxhash

from copperrun.admission.memory import MemoryShare
from copperrun.admission.memory import can_ever_fit
from copperrun.admission.waiting import Refuse
from copperrun.admission.waiting import Wait
from copperrun.admission.waiting import decide_wait
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.placement.demand import DemandMeter
from copperrun.ports.admission import Admission
from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import EngineSides
from copperrun.ports.admission import Granted
from copperrun.ports.admission import NotHeld
from copperrun.ports.admission import Overloaded
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.routing.alternatives import count_alternatives
from copperrun.routing.alternatives import leave_to_streams
from copperrun.routing.estimates import call_work_ms
from copperrun.routing.estimates import lacks_memory
from copperrun.routing.estimates import left_ms
from copperrun.routing.estimates import with_needs
from copperrun.routing.refusals import QUEUE_FULL_RETRY_AFTER_MS
from copperrun.routing.refusals import larger_than_engine
from copperrun.routing.refusals import no_server
from copperrun.routing.refusals import not_loaded
from copperrun.routing.refusals import overloaded
from copperrun.routing.refusals import paused
from copperrun.routing.refusals import unknown_model
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.scoring import Candidate
from copperrun.routing.scoring import Distance
from copperrun.routing.scoring import choose_engine
from copperrun.routing.scoring import choose_plain_server
from copperrun.routing.servers import Server
from copperrun.routing.servers import ServerTable
from copperrun.routing.starts import StartChecker


class ServerSelector:
    """Selects a server of the pool that has not been tried for the request."""

    def __init__(
        self,
        servers: ServerTable,
        sides: EngineSides,
        demand: DemandMeter,
        timers: Timers,
        distance_to: Callable[[str], Distance],
        starts: StartChecker,
        memory_share: MemoryShare | None = None,
    ) -> None:
        self._servers = servers
        self._sides = sides
        self._demand = demand
        self._timers = timers
        self._distance_to = distance_to
        self._starts = starts
        self._memory_share = memory_share

    async def select(
        self, request: RoutedRequest, progress: Progress
    ) -> Server | Refusal:
        """Return the server to send the request to, or why there is none.

        A request for a model waits until an engine holds the model and its side admits
        the request.
        """
        if request.pool.engine is None or not request.call.model:
            servers = self.untried_servers(request, progress)
            if not servers:
                return self._no_server(request, progress)
            candidates = [
                self._candidate(server)._replace(
                    slots=request.pool.usable_slots(server.record.slots),
                    work_ms=call_work_ms(server, request),
                )
                for server in servers
            ]
            return servers[choose_plain_server(candidates)]
        while True:
            holder = await self._wait_for_holder(request, progress)
            if isinstance(holder, Refusal):
                return holder
            refusal = await self._request_admission(request, holder, progress)
            if refusal is None:
                return holder
            is_overload = refusal.reason is RefusalReason.QUEUE_FULL
            if is_overload and self._choose_holder(request, progress) is None:
                # All engines that hold the model are overloaded; waiting for another
                # load would not help.
                return refusal
            if not self.untried_servers(request, progress):
                return refusal

    def untried_servers(
        self, request: RoutedRequest, progress: Progress
    ) -> list[Server]:
        """Return the usable servers that have not been tried for the request."""
        return list(self._iter_untried(request, progress))

    def has_untried_server(self, request: RoutedRequest, progress: Progress) -> bool:
        """Return whether a usable server has not been tried for the request."""
        return any(True for _ in self._iter_untried(request, progress))

    def _iter_untried(
        self, request: RoutedRequest, progress: Progress
    ) -> Iterator[Server]:
        return (
            server
            for server in self._iter_allowed(request, progress)
            if server.record.id not in progress.tried
        )

    def _iter_allowed(
        self, request: RoutedRequest, progress: Progress
    ) -> Iterator[Server]:
        """Yield the usable servers; once a stream has begun, those that continue it."""
        return (
            server
            for server in self._servers.in_pool(request.pool.name)
            if self._is_allowed(server, progress)
        )

    def _is_allowed(self, server: Server, progress: Progress) -> bool:
        """Return whether the request may be sent to a server now."""
        return self._servers.is_usable(server) and self._may_continue(server, progress)

    async def _wait_for_holder(
        self, request: RoutedRequest, progress: Progress
    ) -> Server | Refusal:
        """Wait until an untried engine holds the model, and return the best one."""
        model = request.call.model
        assert request.pool.engine is not None
        if model not in request.pool.engine.models:
            return unknown_model(request)
        if self._memory_share is not None and not can_ever_fit(
            request.call.prompt_tokens,
            request.call.output_tokens,
            request.pool.engine.cache_tokens,
        ):
            return larger_than_engine(request, request.pool.engine.cache_tokens)
        holder = self._choose_holder(request, progress)
        if holder is not None:
            return holder
        pause_ms = self._servers.shortest_pause_ms(
            request.pool.name, model, progress.origin
        )
        if pause_ms:
            return paused(pause_ms)
        if progress.origin is not None and not self.untried_servers(request, progress):
            # Servers of other versions cannot help, whatever they load.
            return no_server()
        wait_started_ms = self._timers.now_ms()
        progress.detail = "waits for the model"
        with self._count_waiting(request, progress):
            while True:
                decision = decide_wait(
                    expected_ms=self._expected_load_ms(request, progress),
                    waited_ms=self._timers.now_ms() - wait_started_ms,
                    remaining_ms=request.first_event_deadline_ms
                    - self._timers.now_ms(),
                    any_side_reported=self._has_fresh_report(request, progress),
                    target_ms=request.route.target_ms,
                )
                match decision:
                    case Refuse(retry_after_ms):
                        return not_loaded(request, retry_after_ms)
                    case Wait(timeout_ms):
                        await self._servers.wait_change(timeout_ms)
                holder = self._choose_holder(request, progress)
                if holder is not None:
                    return holder

    def _count_waiting(
        self, request: RoutedRequest, progress: Progress
    ) -> AbstractContextManager[None]:
        pool, model = request.pool.name, request.call.model
        if progress.origin is None:
            return self._demand.count_waiting(pool, model)
        version = self._servers.version_of(progress.origin)
        return self._demand.count_continuing(pool, version, model)

    def _choose_holder(
        self, request: RoutedRequest, progress: Progress
    ) -> Server | None:
        model, adapter = request.call.model, request.call.adapter
        holders = self._holders(request, progress)
        if not holders:
            return None
        if progress.origin is None:
            holders = list(leave_to_streams(holders, self._slack_ms(request)))
        ranks = {server.record.id: 0 for server in holders}
        if adapter:
            ordered = sorted(holders, key=lambda s: _adapter_hash(s, model, adapter))
            for rank, server in enumerate(ordered, 1):
                if adapter not in server.held[model]:
                    ranks[server.record.id] = rank
        candidates = [
            self._candidate(server)._replace(
                adapter_rank=ranks[server.record.id],
                is_full=lacks_memory(server, request),
                work_ms=left_ms(server, request),
            )
            for server in holders
        ]
        return holders[choose_engine(candidates)]

    def _holders(self, request: RoutedRequest, progress: Progress) -> list[Server]:
        """Return the untried engines that hold the model of a request."""
        model = request.call.model
        return [s for s in self._iter_untried(request, progress) if model in s.held]

    def _slack_ms(self, request: RoutedRequest) -> int:
        """Return the time left until the first event is due; negative when past."""
        due_ms = request.started_ms + request.route.target_ms
        return due_ms - self._timers.now_ms()

    def _is_confined(self, request: RoutedRequest, progress: Progress) -> bool:
        """Return whether a new request could go to engines that this one may not."""
        return progress.origin is not None and any(
            request.call.model in server.held
            and self._servers.is_usable(server)
            and not self._may_continue(server, progress)
            for server in self._servers.in_pool(request.pool.name)
        )

    def _expected_load_ms(
        self, request: RoutedRequest, progress: Progress
    ) -> int | None:
        """Return the time until the first announced load of the model ends."""
        announced = [
            server.loading[request.call.model]
            for server in self._iter_allowed(request, progress)
            if request.call.model in server.loading
        ]
        return min(announced, default=None)

    def _has_fresh_report(self, request: RoutedRequest, progress: Progress) -> bool:
        """Return whether any side of the pool has recently reported its loads."""
        servers = self._iter_allowed(request, progress)
        return any(server.has_fresh_report for server in servers)

    async def _request_admission(
        self, request: RoutedRequest, server: Server, progress: Progress
    ) -> Refusal | None:
        """Wait until the engine's side admits the request; return None if it does.

        When the side does not answer, the request is sent without its admission: the
        engine itself still refuses requests that it cannot run.
        """
        call = request.call
        now = self._timers.now_ms()
        slack_ms = self._slack_ms(request)
        holders = self._holders(request, progress)
        continues = self._is_confined(request, progress)
        admission_request = self._admission_request(request, now)._replace(
            alternatives=count_alternatives(holders, server, slack_ms),
            continues=continues,
        )
        server.begin_request()
        server.waiting_streams += continues
        progress.admission = "waiting"
        progress.admitted_start_ms = 0
        progress.admission_asked_ms = self._starts.begin()
        progress.detail = f"waits to be admitted at {server.record.id}"
        try:
            with self._demand.count_queued(request.pool.name, call.model):
                admission = await self._await_admission(
                    request, server, admission_request, progress
                )
        finally:
            server.end_request()
            server.waiting_streams -= continues
        progress.admission = type(admission).__name__
        progress.admitted_after_ms = self._timers.now_ms() - now
        match admission:
            case Granted(born_ms, server_id):
                server.record_start(born_ms, server_id)
                progress.admitted_start_ms = born_ms
                if call.adapter:
                    server.add_adapter(call.model, call.adapter)
                is_used = False
                try:
                    is_used = self._may_wait_at(
                        server, request, progress
                    ) and await self._is_start_sure(server, progress)
                finally:
                    if not is_used:
                        self._sides.report_ended(server.record, call.id)
                return None if is_used else self._no_server(request, progress)
            case SideError():
                if not self._fits_own_share(request, server):
                    progress.tried.add(server.record.id)
                    return overloaded(QUEUE_FULL_RETRY_AFTER_MS)
                if self._is_allowed(server, progress) and await self._is_start_sure(
                    server, progress
                ):
                    return None
                return self._no_server(request, progress)
            case None:
                return self._no_server(request, progress)
            case NotHeld():
                progress.tried.add(server.record.id)
                return not_loaded(request, QUEUE_FULL_RETRY_AFTER_MS)
            case Overloaded(retry_after_ms):
                progress.tried.add(server.record.id)
                return overloaded(retry_after_ms)

    def _admission_request(
        self, request: RoutedRequest, now_ms: int
    ) -> AdmissionRequest:
        call = request.call
        req = AdmissionRequest(
            request=call.id,
            model=call.model,
            adapter=call.adapter,
            priority=request.rank,
            tokens=call.prompt_tokens,
            gap_ms=request.route.target_gap_ms,
            target_ms=self._slack_ms(request),
            remaining_ms=request.first_event_deadline_ms - now_ms,
            account=request.account.name if request.account else "",
        )
        return with_needs(req, request, counts_memory=self._memory_share is not None)

    def _fits_own_share(self, request: RoutedRequest, server: Server) -> bool:
        """Return whether a request fits this entry's share of an engine's memory.

        It counts while no side sums what all entries send.
        """
        engine = request.pool.engine
        if self._memory_share is None or engine is None:
            return True
        return self._memory_share.fits(
            server.work.own_tokens, request.call.memory_tokens, engine.cache_tokens
        )

    async def _is_start_sure(self, server: Server, progress: Progress) -> bool:
        """Return whether the listed start of an engine runs, if that matters.

        Its side names the start that it admits a request to. Without that the engine
        is asked before it continues a stream.
        """
        record = server.current_record
        if progress.origin is None:
            return True
        is_admitted = 0 < progress.admitted_start_ms == record.born_ms
        # The admission may have been waiting for this process while it stood still.
        if is_admitted and not self._starts.is_outdated(progress.admission_asked_ms):
            return True
        if await self._starts.is_running(record):
            return True
        progress.tried.add(server.record.id)
        return False

    async def _await_admission(
        self,
        request: RoutedRequest,
        server: Server,
        admission_request: AdmissionRequest,
        progress: Progress,
    ) -> Admission | SideError | None:
        """Return the side's decision, or None if the server becomes unusable first."""
        if server.is_side_unresponsive:
            return _side_unresponsive()
        admission = asyncio.create_task(
            self._sides.admit(server.record, admission_request)
        )
        try:
            while self._may_wait_at(server, request, progress):
                if server.is_side_unresponsive:
                    return _side_unresponsive()
                changed = asyncio.create_task(
                    self._servers.wait_change(
                        request.deadline_ms - self._timers.now_ms()
                    )
                )
                await asyncio.wait(
                    {admission, changed}, return_when=asyncio.FIRST_COMPLETED
                )
                changed.cancel()
                if admission.done():
                    return admission.result()
            return None
        except asyncio.CancelledError:
            if admission.done() and isinstance(admission.result(), Granted):
                self._sides.report_ended(server.record, request.call.id)
            raise
        finally:
            admission.cancel()

    def _may_wait_at(
        self, server: Server, request: RoutedRequest, progress: Progress
    ) -> bool:
        """Return whether the request may be admitted at, and sent to, a server.

        A connection of another request may have failed meanwhile. That is no reason to
        give up the place unless another server holds the model.
        """
        if self._is_allowed(server, progress):
            return True
        return (
            self._servers.is_serving(server)
            and self._may_continue(server, progress)
            and self._choose_holder(request, progress) is None
        )

    def _may_continue(self, server: Server, progress: Progress) -> bool:
        origin = progress.origin
        return origin is None or self._servers.may_continue(server, origin)

    def _no_server(self, request: RoutedRequest, progress: Progress) -> Refusal:
        """Return the refusal when no server is usable, with the time to retry."""
        pause_ms = self._servers.shortest_pause_ms(
            request.pool.name, request.call.model, progress.origin
        )
        return paused(pause_ms) if pause_ms else no_server()

    def _candidate(self, server: Server) -> Candidate:
        return Candidate(
            server.load,
            server.wait_ms,
            server.record.slots,
            self._distance_to(server.record.zone),
            server.failure_rate,
            is_side_unresponsive=server.is_side_unresponsive,
        )


def _side_unresponsive() -> SideError:
    return SideError(SideErrorReason.UNREACHABLE, "the side does not answer")


def _adapter_hash(server: Server, model: str, adapter: str) -> int:
    key = f"{server.record.address}/{model}/{adapter}"
    return int(xxhash.xxh64_intdigest(key.encode()))
