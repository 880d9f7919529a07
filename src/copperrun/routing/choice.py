"""Chooses the server of the next attempt, and waits until an engine can take it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from copperrun.admission.waiting import Reject
from copperrun.admission.waiting import Wait
from copperrun.admission.waiting import decide_wait
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.placement.demand import DemandMeter
from copperrun.ports.engines import Admission
from copperrun.ports.engines import Engines
from copperrun.ports.engines import Entrance
from copperrun.ports.engines import Granted
from copperrun.ports.engines import NotHeld
from copperrun.ports.engines import Overloaded
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.routing.fleet import Fleet
from copperrun.routing.fleet import Server
from copperrun.routing.refusals import FULL_RETRY_AFTER_MS
from copperrun.routing.refusals import no_server
from copperrun.routing.refusals import not_loaded
from copperrun.routing.refusals import overloaded
from copperrun.routing.refusals import unknown_model
from copperrun.routing.selection import Candidate
from copperrun.routing.selection import Distance
from copperrun.routing.selection import choose_engine
from copperrun.routing.selection import choose_plain
from copperrun.routing.work import Progress
from copperrun.routing.work import Work


class ServerChoice:
    """Chooses among the servers of a pool that a request has not been tried at."""

    def __init__(
        self,
        fleet: Fleet,
        engines: Engines,
        demand: DemandMeter,
        timers: Timers,
        distance_to: Callable[[str], Distance],
    ) -> None:
        self._fleet = fleet
        self._engines = engines
        self._demand = demand
        self._timers = timers
        self._distance_to = distance_to

    async def next_server(self, work: Work, progress: Progress) -> Server | Refusal:
        """Return the server to send to now, or why there is none."""
        if work.pool.engine is None or not work.call.model:
            servers = self.untried(work, progress)
            if not servers:
                return no_server()
            views = [self._view(server) for server in servers]
            return servers[choose_plain(views)]
        while True:
            holder = await self._wait_holder(work, progress)
            if isinstance(holder, Refusal):
                return holder
            refusal = await self._enter(work, holder, progress)
            if refusal is None:
                return holder
            is_overload = refusal.reason is RefusalReason.QUEUE_FULL
            if is_overload and self._choose_holder(work, progress) is None:
                # The model is loaded; waiting for it would be in vain.
                return refusal
            if not self.untried(work, progress):
                return refusal

    def untried(self, work: Work, progress: Progress) -> list[Server]:
        """Return the usable servers that the request was not tried at."""
        return [
            server
            for server in self._fleet.usable(work.pool.name)
            if server.record.id not in progress.tried
        ]

    async def _wait_holder(self, work: Work, progress: Progress) -> Server | Refusal:
        """Return the engine to use, once one holds the model."""
        model = work.call.model
        assert work.pool.engine is not None
        if model not in work.pool.engine.models:
            return unknown_model(work)
        holder = self._choose_holder(work, progress)
        if holder is not None:
            return holder
        began_ms = self._timers.now_ms()
        progress.detail = "waits for the model"
        with self._demand.count_waiting(work.pool.name, model):
            while True:
                decision = decide_wait(
                    expected_ms=self._expected_ms(work),
                    waited_ms=self._timers.now_ms() - began_ms,
                    remaining_ms=work.first_event_by_ms - self._timers.now_ms(),
                    sides_known=self._sides_known(work),
                    target_ms=work.route.target_ms,
                )
                match decision:
                    case Reject(retry_after_ms):
                        return not_loaded(work, retry_after_ms)
                    case Wait(timeout_ms):
                        await self._fleet.wait_change(timeout_ms)
                holder = self._choose_holder(work, progress)
                if holder is not None:
                    return holder

    def _choose_holder(self, work: Work, progress: Progress) -> Server | None:
        model, adapter = work.call.model, work.call.adapter
        holders = [s for s in self.untried(work, progress) if model in s.held]
        if not holders:
            return None
        ranks = {server.record.id: 0 for server in holders}
        if adapter:
            ordered = sorted(holders, key=lambda s: _adapter_hash(s, model, adapter))
            for rank, server in enumerate(ordered, 1):
                if adapter not in server.held[model]:
                    ranks[server.record.id] = rank
        views = [
            self._view(server)._replace(preference=ranks[server.record.id])
            for server in holders
        ]
        return holders[choose_engine(views)]

    def _expected_ms(self, work: Work) -> int | None:
        """Return when the soonest announced load of the model ends."""
        announced = [
            server.loading[work.call.model]
            for server in self._fleet.usable(work.pool.name)
            if work.call.model in server.loading
        ]
        return min(announced, default=None)

    def _sides_known(self, work: Work) -> bool:
        """Return whether a side has told what it loads."""
        servers = self._fleet.usable(work.pool.name)
        return any(server.has_report for server in servers)

    async def _enter(
        self, work: Work, server: Server, progress: Progress
    ) -> Refusal | None:
        """Wait until the engine's side admits the request.

        A side that does not answer is passed over: the engine itself still refuses
        what it cannot take.
        """
        call = work.call
        now = self._timers.now_ms()
        target_ms = work.started_ms + work.route.target_ms - now
        entrance = Entrance(
            request=call.id,
            model=call.model,
            adapter=call.adapter,
            priority=work.route.priority,
            tokens=call.prompt_tokens,
            gap_ms=work.route.target_gap_ms,
            target_ms=target_ms,
            remaining_ms=work.first_event_by_ms - now,
        )
        server.begin()
        progress.admission = "waiting"
        progress.detail = f"waits to be admitted at {server.record.id}"
        try:
            with self._demand.count_queued(work.pool.name, call.model):
                admission = await self._admit(work, server, entrance)
        finally:
            server.end()
        progress.admission = type(admission).__name__
        progress.admitted_after_ms = self._timers.now_ms() - now
        match admission:
            case Granted():
                if call.adapter:
                    server.note_adapter(call.model, call.adapter)
                if not self._fleet.is_usable(server):
                    self._engines.note_ended(server.record, call.id)
                    return no_server()
                return None
            case SideError():
                return None if self._fleet.is_usable(server) else no_server()
            case None:
                return no_server()
            case NotHeld():
                progress.tried.add(server.record.id)
                return not_loaded(work, FULL_RETRY_AFTER_MS)
            case Overloaded(retry_after_ms):
                progress.tried.add(server.record.id)
                return overloaded(retry_after_ms)

    async def _admit(
        self, work: Work, server: Server, entrance: Entrance
    ) -> Admission | SideError | None:
        """Ask the side; None when the server stops being usable meanwhile."""
        if server.side_is_silent:
            return _side_silent()
        admission = asyncio.create_task(self._engines.admit(server.record, entrance))
        try:
            while self._fleet.is_usable(server):
                if server.side_is_silent:
                    return _side_silent()
                changed = asyncio.create_task(
                    self._fleet.wait_change(work.deadline_ms - self._timers.now_ms())
                )
                await asyncio.wait(
                    {admission, changed}, return_when=asyncio.FIRST_COMPLETED
                )
                changed.cancel()
                if admission.done():
                    return admission.result()
            return None
        finally:
            admission.cancel()

    def _view(self, server: Server) -> Candidate:
        return Candidate(
            server.load,
            server.wait_ms,
            server.record.slots,
            self._distance_to(server.record.zone),
            server.failure_share,
            is_silent=server.side_is_silent,
        )


def _side_silent() -> SideError:
    return SideError(SideErrorReason.UNREACHABLE, "the side does not answer")


def _adapter_hash(server: Server, model: str, adapter: str) -> int:
    key = f"{server.record.address}/{model}/{adapter}"
    return int(xxhash.xxh64_intdigest(key.encode()))
