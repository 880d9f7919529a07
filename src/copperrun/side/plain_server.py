"""Calls to the plain service beside this side."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Service as ServiceSpec
from copperrun.idempotency.journal import Call
from copperrun.idempotency.journal import Journal
from copperrun.idempotency.journal import Permit
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.service import Service
from copperrun.ports.service import ServiceCall
from copperrun.ports.service import ServiceError
from copperrun.ports.service import ServiceErrorReason
from copperrun.ports.timers import Timers

FAILED_RETRY_AFTER_MS = 1_000

JournalFactory = Callable[[str, ServiceSpec], Journal]


class PlainServer:
    """Runs admitted calls; unrepeatable ones go through their service's journal."""

    def __init__(
        self, service: Service, timers: Timers, open_journal: JournalFactory
    ) -> None:
        self._service = service
        self._timers = timers
        self._open_journal = open_journal
        self._journals: dict[str, Journal] = {}
        self._journal_tasks: dict[str, asyncio.Task[None]] = {}
        self._executing: set[asyncio.Task[Answer | Refusal]] = set()

    def set_configuration(self, cfg: Configuration, pool: str) -> None:
        """Open a journal for each service of this side's pool."""
        for name, spec in cfg.services.items():
            if spec.pool != pool or not spec.unrepeatable:
                continue
            journal = self._journals.get(name)
            if journal is None:
                journal = self._journals[name] = self._open_journal(name, spec)
                self._journal_tasks[name] = asyncio.create_task(journal.run())
            journal.window_ms = spec.window

    async def call(
        self, attempt: Attempt, cfg: Configuration, remaining_ms: int
    ) -> Answer | Refusal:
        """Execute a call and return its answer."""
        spec = cfg.services.get(attempt.deployment)
        if spec is None:
            return _unknown_service(attempt)
        unrepeatable = spec.is_unrepeatable(attempt.method, attempt.path)
        execute = self._call_once if unrepeatable else self._call_service
        try:
            async with self._timers.timeout_ms(remaining_ms):
                return await execute(attempt)
        except TimeoutError:
            return Refusal(
                RefusalReason.DEADLINE_EXPIRED,
                Ran.UNKNOWN,
                "the deadline passed while the call was running",
            )

    async def drain(self) -> None:
        """Wait for running executions and for the records of their outcomes."""
        while self._executing:
            await asyncio.gather(*self._executing, return_exceptions=True)
        for journal in self._journals.values():
            await journal.drain()

    def close(self) -> None:
        """Stop the tasks that follow the journals."""
        for task in self._journal_tasks.values():
            task.cancel()

    async def _call_service(self, attempt: Attempt) -> Answer | Refusal:
        result = await self._service.call(_service_call(attempt))
        return _refusal_of(result) if isinstance(result, ServiceError) else result

    async def _call_once(self, attempt: Attempt) -> Answer | Refusal:
        if not attempt.idempotency_key:
            return Refusal(
                RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                Ran.NO,
                "this call needs an Idempotency-Key header with a UUID version 7",
            )
        journal = self._journals[attempt.deployment]
        permit = await journal.begin(
            Call(attempt.tenant, attempt.idempotency_key, _digest(attempt))
        )
        if not isinstance(permit, Permit):
            return permit
        # In its own task: a caller that disconnects must not leave it half executed.
        task = asyncio.create_task(self._execute(journal, permit, attempt))
        self._executing.add(task)
        task.add_done_callback(self._executing.discard)
        return await asyncio.shield(task)

    async def _execute(
        self, journal: Journal, permit: Permit, attempt: Attempt
    ) -> Answer | Refusal:
        result = await self._service.call(_service_call(attempt))
        if isinstance(result, Answer):
            journal.finish(permit, result)
            return result
        match result.reason:
            case ServiceErrorReason.UNREACHABLE:
                journal.abandon(permit)
            case ServiceErrorReason.ANSWER_LOST:
                journal.mark_unknown(permit)
        return _refusal_of(result)


def _service_call(attempt: Attempt) -> ServiceCall:
    return ServiceCall(
        attempt.method,
        attempt.path,
        attempt.content_type,
        attempt.idempotency_key,
        attempt.body,
    )


def _digest(attempt: Attempt) -> str:
    head = f"{attempt.method}\0{attempt.path}\0".encode()
    return str(xxhash.xxh3_128_hexdigest(head + attempt.body))


def _refusal_of(error: ServiceError) -> Refusal:
    """Convert an error of the service port into a refusal."""
    match error.reason:
        case ServiceErrorReason.UNREACHABLE:
            return Refusal(
                RefusalReason.SERVER_FAILED,
                Ran.NO,
                error.detail,
                FAILED_RETRY_AFTER_MS,
            )
        case ServiceErrorReason.ANSWER_LOST:
            return Refusal(
                RefusalReason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                f"the call may have been executed: {error.detail}",
            )


def _unknown_service(attempt: Attempt) -> Refusal:
    return Refusal(
        RefusalReason.UNKNOWN_DEPLOYMENT,
        Ran.NO,
        f"{attempt.deployment} is not in the configuration of this side",
        FAILED_RETRY_AFTER_MS,
    )
