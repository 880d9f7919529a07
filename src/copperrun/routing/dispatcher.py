"""Attempts and retries of one request at sides."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any
from typing import NamedTuple

import xxhash
from loguru import logger

from copperrun.decoding import decode
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Chunk
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.model import StreamEnd
from copperrun.model import StreamStart
from copperrun.ports.metrics import Metrics
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.sides import Sides
from copperrun.ports.sides import StreamItem
from copperrun.ports.timers import Timers
from copperrun.routing.retries import RetryBudget
from copperrun.routing.router import Router
from copperrun.routing.router import Target
from copperrun.routing.sides import Side
from copperrun.routing.sides import SideTable

MAX_ATTEMPTS = 4
DEADLINE_GRACE_MS = 250  # lets the side report the expired deadline itself
STALL_TIMEOUT_MS = 10_000  # between chunks, before another side is looked for
STALL_RECHECK_MS = 200  # between looks for another side while there is none
NO_SERVER_RETRY_AFTER_MS = 1_000

# Refusals after which another side may still answer the request.
_RETRYABLE = frozenset(
    {
        RefusalReason.NOT_RESIDENT,
        RefusalReason.NOT_READY,
        RefusalReason.LEAVING,
        RefusalReason.WRONG_INCARNATION,
        RefusalReason.QUEUE_FULL,
        RefusalReason.SERVER_FAILED,
        RefusalReason.UNKNOWN_DEPLOYMENT,
        RefusalReason.LOG_UNAVAILABLE,
    }
)


class DispatchRequest(NamedTuple):
    """An admitted request.

    Attributes:
        request_id: Request id.
        target: Routing key.
        template: Attempt to send; its id, remaining time and resumption are filled in
            for each attempt.
        deadline_ms: Deadline on the timer service's clock, in milliseconds.
    """

    request_id: str
    target: Target
    template: Attempt
    deadline_ms: int


class _DispatchState:
    """State shared by all attempts of one request."""

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.may_have_run = False
        self.refusal: Refusal | None = None
        self.redirect = ""
        self.attempts = 0
        self.chunks: list[str] = []
        self.weights = ""  # that generated the chunks

    def record_refusal(self, refusal: Refusal) -> None:
        """Record a refusal, and that the request may have run if it says so."""
        self.may_have_run = self.may_have_run or refusal.ran is Ran.UNKNOWN
        if self.refusal is None or refusal.retry_after_ms <= _retry_after(self.refusal):
            self.refusal = refusal
        self.redirect = refusal.redirect

    def final_refusal(self) -> Refusal:
        """Return the refusal for the caller; its ``ran`` covers all attempts."""
        refusal = self.refusal or Refusal(
            RefusalReason.NO_SERVER,
            Ran.NO,
            "no backend server can take the request now",
            NO_SERVER_RETRY_AFTER_MS,
        )
        ran = Ran.UNKNOWN if self.may_have_run else Ran.NO
        return refusal._replace(ran=ran, redirect="")


class Dispatcher:
    """Sends attempts to sides until one gives a complete answer."""

    def __init__(
        self,
        router: Router,
        side_table: SideTable,
        sides: Sides,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._side_table = side_table
        self._sides = sides
        self._timers = timers
        self._metrics = metrics
        self._budget = RetryBudget()

    async def submit(self, request: DispatchRequest) -> Answer | Refusal:
        """Return the complete answer of a request, or a refusal.

        The refusal says ``ran: no`` only if no attempt ran or will run.
        """
        state = _DispatchState()
        while (side := self._next_side(request, state)) is not None:
            attempt = self._new_attempt(request, side, state)
            outcome = await self._submit_once(side, attempt)
            if isinstance(outcome, Answer):
                self._budget.record_answer()
                return outcome
            state.record_refusal(outcome)
            _log_failure(attempt, outcome)
            if not _is_retryable(outcome):
                break
        return state.final_refusal()

    async def stream(
        self, request: DispatchRequest
    ) -> AsyncGenerator[str | Refusal, None]:
        """Yield the payloads of a stream; a refusal last if it is incomplete."""
        state = _DispatchState()
        while (side := self._next_side(request, state)) is not None:
            attempt = self._new_attempt(request, side, state)
            outcome: Refusal | None = None
            async with aclosing(
                self._stream_once(request, side, attempt, state)
            ) as items:
                async for item in items:
                    if isinstance(item, Refusal):
                        outcome = item
                        break
                    state.chunks.append(item)
                    yield item
            if outcome is None or _is_finished(state.chunks):
                self._budget.record_answer()
                return
            state.record_refusal(outcome)
            _log_failure(attempt, outcome)
            if not _is_retryable(outcome):
                break
        yield _final_stream_refusal(state)

    def _next_side(
        self, request: DispatchRequest, state: _DispatchState
    ) -> Side | None:
        if state.attempts >= MAX_ATTEMPTS:
            return None
        if self._timers.now_ms() >= request.deadline_ms:
            if state.refusal is None:
                state.record_refusal(_deadline_expired())
            return None
        side = self._redirected(state) or self._choose_side(request, state)
        if side is None:
            return None
        if state.attempts > 0:
            if not self._budget.try_acquire():
                return None
            if state.refusal is not None:
                self._metrics.record_retry(state.refusal.reason.value)
        return side

    def _choose_side(
        self, request: DispatchRequest, state: _DispatchState
    ) -> Side | None:
        weights = state.weights if state.chunks else ""
        return self._router.choose(request.target, state.tried, weights)

    def _redirected(self, state: _DispatchState) -> Side | None:
        if not state.redirect or state.redirect in state.tried:
            return None
        side = self._side_table.find(state.redirect)
        if side is None or not side.usable or side.incarnation is None:
            return None
        return side

    def _new_attempt(
        self, request: DispatchRequest, side: Side, state: _DispatchState
    ) -> Attempt:
        state.attempts += 1
        state.tried.append(side.instance.id)
        texts = [text for text in map(chunk_text, state.chunks) if text]
        return request.template._replace(
            id=AttemptId(request.request_id, state.attempts, side.incarnation or 0),
            remaining_ms=request.deadline_ms - self._timers.now_ms(),
            resume_chunks=len(texts),
            resume_text="".join(texts),
            resume_weights=state.weights if state.chunks else "",
        )

    async def _submit_once(self, side: Side, attempt: Attempt) -> Answer | Refusal:
        limit_ms = attempt.remaining_ms + DEADLINE_GRACE_MS
        started = self._timers.now_ms()
        try:
            async with self._timers.timeout_ms(limit_ms) as scope:
                with side.abort_if_unresponsive(scope):
                    reply = await self._sides.submit(side.address, attempt)
        except TimeoutError:
            side_lost = self._timers.now_ms() - started < limit_ms
            refusal = (
                _server_failed("the side stopped answering or restarted")
                if side_lost
                else _deadline_expired()
            )
            return await self._cancel_unanswered(side, attempt.id, refusal)
        side.update_load(reply.load)
        match reply.outcome:
            case SideError() as error:
                return await self._handle_error(side, attempt.id, error)
            case Refusal(reason=RefusalReason.LEAVING) as refusal:
                side.mark_unusable()
                return refusal
            case outcome:
                return outcome

    async def _stream_once(
        self,
        request: DispatchRequest,
        side: Side,
        attempt: Attempt,
        state: _DispatchState,
    ) -> AsyncGenerator[str | Refusal, None]:
        """Yield the payloads of one attempt; a refusal last if it is incomplete."""
        digest = xxhash.xxh64()
        expected = 0
        items = self._sides.stream(side.address, attempt)
        side.streams += 1
        try:
            while True:
                match await self._next_item(side, items, request, state):
                    case StreamStart(weights):
                        if not state.chunks:
                            state.weights = weights
                    case Chunk(sequence, data) if sequence == expected:
                        digest.update(data.encode())
                        expected += 1
                        yield data
                    case StreamEnd(chunks, checksum) if (
                        chunks == expected and checksum == digest.intdigest() - 2**63
                    ):
                        return
                    case Refusal() as refusal:
                        yield refusal
                        return
                    case SideError() as error:
                        yield await self._handle_error(side, attempt.id, error)
                        return
                    case _:
                        yield await self._cancel_unanswered(
                            side,
                            attempt.id,
                            _server_failed("stream chunks are missing or damaged"),
                        )
                        return
        finally:
            side.streams -= 1
            # Closing the connection cancels the generation at the side.
            await items.aclose()

    async def _next_item(
        self,
        side: Side,
        items: AsyncGenerator[StreamItem, None],
        request: DispatchRequest,
        state: _DispatchState,
    ) -> StreamItem:
        """Return the next item; a side that stalls is left only for another one."""
        end_ms = request.deadline_ms + DEADLINE_GRACE_MS
        reading = asyncio.ensure_future(anext(items))
        try:
            while (left_ms := end_ms - self._timers.now_ms()) > 0:
                limit_ms = min(STALL_TIMEOUT_MS, left_ms)
                try:
                    async with self._timers.timeout_ms(limit_ms) as scope:
                        with side.abort_if_unresponsive(scope):
                            return await asyncio.shield(reading)
                except TimeoutError:
                    if self._choose_side(request, state) is not None:
                        break
                    # Hellos may be missed again at once.
                    await self._timers.sleep_ms(STALL_RECHECK_MS)
            return SideError(SideErrorReason.ANSWER_LOST, "the stream stalled")
        except StopAsyncIteration:
            return SideError(
                SideErrorReason.ANSWER_LOST, "the stream ended without its end marker"
            )
        finally:
            if not reading.done():
                # A generator cannot be closed before its call has ended.
                reading.cancel()
                await asyncio.wait({reading})

    async def _handle_error(
        self, side: Side, attempt_id: AttemptId, error: SideError
    ) -> Refusal:
        match error.reason:
            case SideErrorReason.UNREACHABLE:
                side.mark_unusable()
                return _server_failed(error.detail)
            case SideErrorReason.ANSWER_LOST:
                return await self._cancel_unanswered(
                    side, attempt_id, _server_failed(error.detail)
                )

    async def _cancel_unanswered(
        self, side: Side, attempt_id: AttemptId, refusal: Refusal
    ) -> Refusal:
        """Cancel the attempt; ``ran: no`` only if the side confirms it will not run."""
        started = await self._sides.cancel(side.address, attempt_id)
        if isinstance(started, SideError):
            side.record_missed_reply()
        ran = Ran.NO if started is False else Ran.UNKNOWN
        return refusal._replace(ran=ran)


def _log_failure(attempt: Attempt, refusal: Refusal) -> None:
    logger.info(
        "attempt ended without an answer",
        **attempt.log_fields(),
        reason=refusal.reason.value,
        ran=refusal.ran.value,
    )


def chunk_text(payload: str) -> str:
    """Return the generated text in one payload of a stream."""
    choice = _first_choice(payload)
    text = choice.get("text")
    if text is None:
        text = (choice.get("delta") or {}).get("content")
    return text if isinstance(text, str) else ""


def _is_finished(chunks: list[str]) -> bool:
    """Return whether only the end marker of a stream is missing."""
    return bool(chunks) and _first_choice(chunks[-1]).get("finish_reason") is not None


def _first_choice(payload: str) -> dict[str, Any]:
    choice = decode(payload, lambda value: value["choices"][0])
    return choice if isinstance(choice, dict) else {}


def _is_retryable(refusal: Refusal) -> bool:
    """Return whether another side may still answer the request.

    This includes unrepeatable calls: through the journal the second attempt finds the
    outcome of the first, or runs if the first never did.
    """
    return refusal.reason in _RETRYABLE


def _final_stream_refusal(state: _DispatchState) -> Refusal:
    refusal = state.final_refusal()
    if not state.chunks:
        return refusal
    return Refusal(
        RefusalReason.STREAM_CUT,
        Ran.UNKNOWN,
        f"the answer is incomplete: {refusal.detail}",
        refusal.retry_after_ms,
    )


def _retry_after(refusal: Refusal) -> float:
    return refusal.retry_after_ms or float("inf")


def _server_failed(detail: str) -> Refusal:
    return Refusal(
        RefusalReason.SERVER_FAILED, Ran.NO, detail, NO_SERVER_RETRY_AFTER_MS
    )


def _deadline_expired() -> Refusal:
    return Refusal(RefusalReason.DEADLINE_EXPIRED, Ran.NO, "the deadline passed")
