"""Calls to the model engine beside this side."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Iterator
from contextlib import aclosing
from contextlib import contextmanager
from typing import NamedTuple

from copperrun.configuration.schema import Configuration
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.model import StreamStart
from copperrun.placement.reconciler import DeploymentReconciler
from copperrun.placement.reconciler import adapter_object
from copperrun.ports.engine import Engine
from copperrun.ports.engine import EngineCall
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineErrorReason
from copperrun.ports.timers import Timers

LOADING_RETRY_AFTER_MS = 1_000
DEFAULT_PRIORITY = 9


class _Objects(NamedTuple):
    weights: str
    adapter: str


class ModelServer:
    """Runs admitted attempts on the engine."""

    def __init__(
        self, engine: Engine, reconciler: DeploymentReconciler, timers: Timers
    ) -> None:
        self._engine = engine
        self._reconciler = reconciler
        self._timers = timers
        self._cancelling: set[asyncio.Task[object]] = set()

    async def complete(
        self, attempt: Attempt, cfg: Configuration, remaining_ms: int
    ) -> Answer | Refusal:
        """Generate a complete answer."""
        objects = await self._prepare(attempt, cfg)
        if isinstance(objects, Refusal):
            return objects
        with self._mark_in_use(objects) as held:
            if not held:
                return self._not_resident(attempt)
            call = _engine_call(attempt, cfg, objects)
            try:
                async with self._timers.timeout_ms(remaining_ms):
                    result = await self._engine.complete(call)
            except TimeoutError:
                self._cancel(call)
                return _deadline_expired()
            except asyncio.CancelledError:
                self._cancel(call)
                raise
        return _refusal_of(result) if isinstance(result, EngineError) else result

    async def stream(
        self, attempt: Attempt, cfg: Configuration, remaining_ms: int
    ) -> AsyncGenerator[StreamStart | str | Refusal, None]:
        """Generate the start and event payloads; a refusal ends a broken stream."""
        objects = await self._prepare(attempt, cfg)
        if isinstance(objects, Refusal):
            yield objects
            return
        with self._mark_in_use(objects) as held:
            if not held:
                yield self._not_resident(attempt)
                return
            call = _engine_call(attempt, cfg, objects)
            yield StreamStart(objects.weights)
            async with aclosing(self._stream_call(call, remaining_ms)) as items:
                async for item in items:
                    yield item

    async def cancel(self, attempt: Attempt) -> None:
        """Stop a running attempt."""
        await self._engine.cancel(str(attempt.id))

    async def drain(self) -> None:
        """Wait until pending cancellations have been sent to the engine."""
        await asyncio.gather(*self._cancelling, return_exceptions=True)

    async def _prepare(
        self, attempt: Attempt, cfg: Configuration
    ) -> _Objects | Refusal:
        if attempt.deployment not in cfg.deployments:
            return _unknown_deployment(attempt)
        weights: str | None = attempt.resume_weights
        if not weights:
            weights = self._reconciler.servable_weights(cfg, attempt.deployment)
        if weights is None:
            return self._not_resident(attempt)
        if not attempt.adapter:
            return _Objects(weights, "")
        adapter = cfg.adapters.get(attempt.adapter)
        if adapter is None:
            return _unknown_deployment(attempt)
        error = await self._reconciler.ensure_adapter(attempt.adapter, adapter.weights)
        if error is not None:
            return Refusal(
                RefusalReason.NOT_READY,
                Ran.NO,
                f"adapter {attempt.adapter!r} is not loaded: {error.detail}",
                LOADING_RETRY_AFTER_MS,
            )
        return _Objects(weights, adapter_object(attempt.adapter))

    @contextmanager
    def _mark_in_use(self, objects: _Objects) -> Iterator[bool]:
        """Keep a call's objects from eviction; yields False if one is not resident."""
        held = []
        for name in filter(None, objects):
            if not self._reconciler.begin_use(name):
                break
            held.append(name)
        try:
            yield len(held) == len(list(filter(None, objects)))
        finally:
            for name in held:
                self._reconciler.end_use(name)

    async def _stream_call(
        self, call: EngineCall, remaining_ms: int
    ) -> AsyncGenerator[str | Refusal, None]:
        deadline_ms = self._timers.now_ms() + remaining_ms
        items = self._engine.stream(call)
        finished = False
        try:
            while True:
                left_ms = deadline_ms - self._timers.now_ms()
                try:
                    async with self._timers.timeout_ms(left_ms):
                        item = await anext(items)
                except StopAsyncIteration:
                    finished = True
                    return
                except TimeoutError:
                    yield _deadline_expired()
                    return
                if isinstance(item, EngineError):
                    yield _refusal_of(item)
                    return
                yield item
        finally:
            await items.aclose()
            if not finished:
                # The caller disconnected, the deadline passed or the stream broke.
                self._cancel(call)

    def _cancel(self, call: EngineCall) -> None:
        task = asyncio.create_task(self._engine.cancel(call.request_id))
        self._cancelling.add(task)
        task.add_done_callback(self._cancelling.discard)

    def _not_resident(self, attempt: Attempt) -> Refusal:
        self._reconciler.record_refusal(attempt.deployment)
        return Refusal(
            RefusalReason.NOT_RESIDENT,
            Ran.NO,
            f"{attempt.deployment} is not loaded on this engine",
            LOADING_RETRY_AFTER_MS,
            self._reconciler.other_assigned_instance(attempt.deployment),
        )


def _engine_call(attempt: Attempt, cfg: Configuration, objects: _Objects) -> EngineCall:
    service_class = cfg.classes.get(attempt.service_class)
    return EngineCall(
        request_id=str(attempt.id),
        path=attempt.path,
        model=objects.weights,
        adapter=objects.adapter,
        priority=service_class.priority if service_class else DEFAULT_PRIORITY,
        body=attempt.body,
        resume_chunks=attempt.resume_chunks,
        resume_text=attempt.resume_text,
    )


def _refusal_of(error: EngineError) -> Refusal:
    """Convert an error of the engine port into a refusal."""
    match error.reason:
        case EngineErrorReason.ANSWER_LOST:
            ran = Ran.UNKNOWN
        case _:
            ran = Ran.NO
    return Refusal(
        RefusalReason.SERVER_FAILED, ran, error.detail, LOADING_RETRY_AFTER_MS
    )


def _deadline_expired() -> Refusal:
    return Refusal(
        RefusalReason.DEADLINE_EXPIRED,
        Ran.UNKNOWN,
        "the deadline passed while the request was running",
    )


def _unknown_deployment(attempt: Attempt) -> Refusal:
    name = ":".join(filter(None, (attempt.deployment, attempt.adapter)))
    return Refusal(
        RefusalReason.UNKNOWN_DEPLOYMENT,
        Ran.NO,
        f"{name} is not in the configuration of this side",
        LOADING_RETRY_AFTER_MS,
    )
