"""Admission, execution and cancellation of attempts at a side."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from contextlib import aclosing
from contextlib import asynccontextmanager
from typing import NamedTuple

from loguru import logger

from copperrun.admission.attempts import AttemptTable
from copperrun.admission.queue import AdmissionQueue
from copperrun.admission.queue import Slot
from copperrun.admission.queue import Ticket
from copperrun.configuration.follower import ConfigurationFollower
from copperrun.configuration.schema import Configuration
from copperrun.membership.lifecycle import Lifecycle
from copperrun.membership.lifecycle import State
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Load
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.model import StreamStart
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.side.model_server import ModelServer
from copperrun.side.plain_server import PlainServer

Server = ModelServer | PlainServer

NOT_READY_RETRY_AFTER_MS = 500
DRAIN_POLL_INTERVAL_MS = 20


class _AdmittedAttempt(NamedTuple):
    cfg: Configuration
    remaining_ms: int


class Agent:
    """Admits attempts to one backend server and runs them."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        server: Server,
        follower: ConfigurationFollower,
        queue: AdmissionQueue,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.lifecycle = Lifecycle(instance)
        self._server = server
        self._follower = follower
        self._queue = queue
        self._timers = timers
        self._metrics = metrics
        self._attempts = AttemptTable(timers, incarnation)
        self._in_flight = 0

    def load(self) -> Load:
        """Return the current load."""
        return self._queue.load()

    async def submit(self, attempt: Attempt) -> Answer | Refusal:
        """Run an attempt and return its complete answer."""
        async with self._admit(attempt) as admitted:
            if isinstance(admitted, Refusal):
                return admitted
            cfg, remaining_ms = admitted
            match self._server:
                case ModelServer() as server:
                    return await server.complete(attempt, cfg, remaining_ms)
                case PlainServer() as server:
                    return await server.call(attempt, cfg, remaining_ms)

    async def stream(
        self, attempt: Attempt
    ) -> AsyncGenerator[StreamStart | str | Refusal, None]:
        """Run an attempt; yield its start and payloads, last a refusal if it broke."""
        async with self._admit(attempt) as admitted:
            if isinstance(admitted, Refusal):
                yield admitted
                return
            if isinstance(self._server, PlainServer):
                yield Refusal(
                    RefusalReason.BAD_REQUEST, Ran.NO, "plain services do not stream"
                )
                return
            cfg, remaining_ms = admitted
            payloads = self._server.stream(attempt, cfg, remaining_ms)
            async with aclosing(payloads) as items:
                async for item in items:
                    yield item

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Cancel an attempt and return whether it had started."""
        return self._attempts.cancel(attempt_id)

    async def drain(self) -> None:
        """Refuse new attempts and wait until running ones have ended."""
        self.lifecycle.leave()
        while self._in_flight:
            await self._timers.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        await self._server.drain()
        if self.lifecycle.state is State.LEAVING:
            self.lifecycle.finish()

    @asynccontextmanager
    async def _admit(
        self, attempt: Attempt
    ) -> AsyncIterator[_AdmittedAttempt | Refusal]:
        arrived_ms = self._timers.now_ms()
        cfg = self._check(attempt)
        if isinstance(cfg, Refusal):
            yield cfg
            return
        self._in_flight += 1
        try:
            slot = await self._wait_for_slot(attempt, cfg)
            if isinstance(slot, Refusal):
                yield slot
                return
            with slot:
                refusal = self._attempts.start(attempt.id)
                remaining_ms = attempt.remaining_ms - (
                    self._timers.now_ms() - arrived_ms
                )
                self._log_start(attempt, slot)
                yield refusal or _AdmittedAttempt(cfg, remaining_ms)
        finally:
            self._attempts.set_cancel_callback(attempt.id, None)
            self._in_flight -= 1

    def _check(self, attempt: Attempt) -> Configuration | Refusal:
        match self.lifecycle.state:
            case State.SERVING:
                pass
            case State.STARTING:
                return _not_ready("this side is starting")
            case _:
                return Refusal(
                    RefusalReason.LEAVING, Ran.NO, f"{self.instance} is leaving"
                )
        cfg = self._follower.configuration
        if cfg is None:
            return _not_ready("this side has no configuration yet")
        return self._attempts.register(attempt.id) or cfg

    async def _wait_for_slot(
        self, attempt: Attempt, cfg: Configuration
    ) -> Slot | Refusal:
        fut: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()
        self._attempts.set_cancel_callback(attempt.id, lambda: _cancel_wait(fut))
        slot = await self._queue.acquire(_ticket(attempt, cfg), fut)
        task = asyncio.current_task()
        self._attempts.set_cancel_callback(attempt.id, task.cancel if task else None)
        return slot

    def _log_start(self, attempt: Attempt, slot: Slot) -> None:
        self._metrics.record_queue_time(
            attempt.tenant, attempt.service_class, slot.queued_ms
        )
        logger.debug("attempt started", **attempt.log_fields())


def _ticket(attempt: Attempt, cfg: Configuration) -> Ticket:
    service_class = cfg.classes.get(attempt.service_class)
    tenant = cfg.tenants.get(attempt.tenant)
    if service_class is None:
        # The class was removed after the entry admitted the request.
        return Ticket(
            attempt.tenant, 1, 9, 0, attempt.remaining_ms, attempt.remaining_ms
        )
    return Ticket(
        tenant=attempt.tenant,
        weight=tenant.weight if tenant else 1,
        priority=service_class.priority,
        target_ms=service_class.first_token,
        remaining_ms=attempt.remaining_ms,
        queue_bound_ms=service_class.queue_bound,
    )


def _cancel_wait(fut: asyncio.Future[Refusal | None]) -> None:
    if not fut.done():
        fut.set_result(
            Refusal(RefusalReason.CANCELLED, Ran.NO, "the attempt was cancelled")
        )


def _not_ready(detail: str) -> Refusal:
    return Refusal(RefusalReason.NOT_READY, Ran.NO, detail, NOT_READY_RETRY_AFTER_MS)
