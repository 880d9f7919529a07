"""At-most-once execution of one service's unrepeatable calls.

A side appends an intent, reads the stream back up to it, and executes the call only
when no earlier intent holds the key. The first intent in log order wins, regardless of
what any process assumes about the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import NamedTuple
from uuid import uuid4

from loguru import logger

from copperrun.idempotency.budget import AppendBudget
from copperrun.idempotency.index import KeyState
from copperrun.idempotency.keys import CLOCK_SKEW_MS
from copperrun.idempotency.keys import check_window
from copperrun.idempotency.keys import key_time_ms
from copperrun.idempotency.keys import partition_of
from copperrun.idempotency.partition import CommitError
from copperrun.idempotency.partition import CommitErrorReason
from copperrun.idempotency.partition import Partition
from copperrun.idempotency.records import Abandonment
from copperrun.idempotency.records import Intent
from copperrun.idempotency.records import Mark
from copperrun.idempotency.records import Outcome
from copperrun.model import Answer
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers

# Must be equal at all sides; a change loses the keys of the current window.
PARTITION_COUNT = 4
MAX_RECORDED_BODY_BYTES = 64 * 1024
POLL_INTERVAL_MS = 10_000
RETRY_DELAY_MS = 1_000
LOG_RETRY_AFTER_MS = 2_000
UNKNOWN_RETRY_AFTER_MS = 1_000


class Call(NamedTuple):
    """An unrepeatable call.

    Attributes:
        tenant: Tenant that owns the key.
        key: Idempotency key.
        digest: Digest of method, path and body.
    """

    tenant: str
    key: str
    digest: str

    @property
    def scoped_key(self) -> str:
        """Key prefixed with the tenant, so that keys of two tenants never collide.

        A UUID in upper case is the same key.
        """
        return f"{self.tenant}/{self.key.lower()}"


class Permit(NamedTuple):
    """Right to execute a call once.

    Attributes:
        call: The call.
        attempt: Unique name of the intent that holds the key.
    """

    call: Call
    attempt: str


class Journal:
    """Intents and outcomes of one service, in a fixed number of streams."""

    def __init__(
        self,
        service: str,
        log: Log,
        timers: Timers,
        metrics: Metrics,
        *,
        window_ms: int,
        appends_per_second: float,
    ) -> None:
        self.window_ms = window_ms
        self._timers = timers
        budget = AppendBudget(timers, appends_per_second)
        self._partitions = [
            Partition(f"once/{service}/{number}", log, timers, budget, metrics)
            for number in range(PARTITION_COUNT)
        ]
        self._running: dict[str, asyncio.Future[Answer | None]] = {}
        self._append_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Commit records and follow the streams until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for partition in self._partitions:
                tasks.create_task(partition.run())
                tasks.create_task(self._follow_stream(partition))

    async def begin(self, call: Call) -> Permit | Answer | Refusal:
        """Request the right to execute a call.

        Returns:
            A permit, the recorded answer of the call that holds the key, or a refusal.
        """
        partition = self._partition(call)
        refusal = self._check_key(call, partition)
        if refusal is not None:
            return refusal
        state = partition.index.get(call.scoped_key)
        if state is not None:
            return await self._answer_from_holder(call, state)
        if partition.is_log_down:
            return _log_unavailable()
        return await self._claim_key(call, partition)

    def finish(self, permit: Permit, answer: Answer) -> None:
        """Record an outcome; it is appended in the background."""
        recorded = answer if len(answer.body) <= MAX_RECORDED_BODY_BYTES else None
        record = Outcome(
            permit.call.scoped_key, permit.attempt, self._timers.wall_ms(), recorded
        )
        # Callers that retry before the append see the outcome at this side.
        self._partition(permit.call).index.apply(record)
        self._release_key(permit, recorded)
        self._start_append(self._append_with_retries(permit, record))

    def abandon(self, permit: Permit) -> None:
        """Release the key of a call that was not executed, so that a retry may run."""
        self._release_key(permit, None)
        record = Abandonment(
            permit.call.scoped_key, permit.attempt, self._timers.wall_ms()
        )
        self._start_append(self._append_with_retries(permit, record))

    def mark_unknown(self, permit: Permit) -> None:
        """End a call that may have been executed; its intent keeps the key."""
        self._release_key(permit, None)

    async def drain(self) -> None:
        """Wait until all background appends are in the log."""
        while self._append_tasks:
            await asyncio.gather(*self._append_tasks, return_exceptions=True)

    def _partition(self, call: Call) -> Partition:
        return self._partitions[partition_of(call.scoped_key, PARTITION_COUNT)]

    def _check_key(self, call: Call, partition: Partition) -> Refusal | None:
        key_ms = key_time_ms(call.key)
        if isinstance(key_ms, Refusal):
            return key_ms
        refusal = check_window(key_ms, self._timers.wall_ms(), self.window_ms)
        if refusal is not None:
            return refusal
        if partition.has_unknown_records:
            return Refusal(
                RefusalReason.NOT_READY,
                Ran.NO,
                "the log has records of a later version that this side cannot read",
                LOG_RETRY_AFTER_MS,
            )
        if partition.covered_from_ms is None:
            return Refusal(
                RefusalReason.LOG_UNAVAILABLE,
                Ran.NO,
                "the records of earlier calls have not been read yet",
                LOG_RETRY_AFTER_MS,
            )
        if partition.covered_from_ms > 0 and (
            key_ms < partition.covered_from_ms + CLOCK_SKEW_MS
        ):
            return Refusal(
                RefusalReason.IDEMPOTENCY_KEY_EXPIRED,
                Ran.UNKNOWN,
                "records from the time of this Idempotency-Key have expired",
            )
        return None

    async def _claim_key(
        self, call: Call, partition: Partition
    ) -> Permit | Answer | Refusal:
        permit = Permit(call, uuid4().hex)
        intent = Intent(
            call.scoped_key, permit.attempt, call.digest, self._timers.wall_ms()
        )
        try:
            error = await partition.commit(intent)
        except asyncio.CancelledError:
            self.abandon(permit)
            raise
        if error is not None:
            return self._refuse_uncommitted(permit, error)
        # Records may have expired unread while the intent was being committed.
        refusal = self._check_key(call, partition)
        if refusal is not None:
            self.abandon(permit)
            return refusal
        state = partition.index.get(call.scoped_key)
        if state is None or state.attempt != permit.attempt:
            return await self._answer_from_holder(call, state)
        self._running[call.scoped_key] = asyncio.get_running_loop().create_future()
        return permit

    def _refuse_uncommitted(self, permit: Permit, error: CommitError) -> Refusal:
        if error.reason is CommitErrorReason.UNSETTLED:
            # The intent may still be appended, but only this side may execute under
            # it and it will not. The abandonment frees the key for the caller's retry.
            self.abandon(permit)
        return _log_unavailable()

    async def _answer_from_holder(
        self, call: Call, state: KeyState | None
    ) -> Answer | Refusal:
        """Answer a call whose key is held by another attempt or was just abandoned."""
        if state is None:
            return _outcome_unknown(
                "an earlier call with this key has just been abandoned"
            )
        if state.digest != call.digest:
            return Refusal(
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
                Ran.NO,
                "this Idempotency-Key was used with another request",
            )
        if state.executed:
            return _recorded_answer(state.answer)
        running = self._running.get(call.scoped_key)
        if running is None:
            return _outcome_unknown("an earlier call with this key has no outcome yet")
        answer = await asyncio.shield(running)
        if answer is None:
            return _outcome_unknown(
                "the call with this key ended without a recorded answer"
            )
        return answer._replace(recorded=True)

    def _release_key(self, permit: Permit, answer: Answer | None) -> None:
        running = self._running.pop(permit.call.scoped_key, None)
        if running is not None and not running.done():
            running.set_result(answer)

    async def _append_with_retries(
        self, permit: Permit, record: Outcome | Abandonment
    ) -> None:
        partition = self._partition(permit.call)
        while await partition.commit(record) is not None:
            await self._timers.sleep_ms(RETRY_DELAY_MS)

    def _start_append(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._append_tasks.add(task)
        task.add_done_callback(self._append_tasks.discard)

    async def _follow_stream(self, partition: Partition) -> None:
        """Read new records, prune old keys and keep the stream from becoming empty."""
        while True:
            answered = await partition.catch_up()
            if answered:
                await self._append_mark_if_idle(partition)
                retention_ms = self.window_ms + 2 * CLOCK_SKEW_MS
                partition.index.prune(self._timers.wall_ms() - retention_ms)
            await self._timers.sleep_ms(
                POLL_INTERVAL_MS if answered else RETRY_DELAY_MS
            )

    async def _append_mark_if_idle(self, partition: Partition) -> None:
        """Append a mark after a quarter of the window without records.

        Retention would otherwise empty the stream, and a side that starts on an
        emptied stream refuses the keys of the time before.
        """
        now = self._timers.wall_ms()
        if now - partition.index.last_at_ms < self.window_ms // 4:
            return
        error = await partition.commit(Mark(now))
        if error is not None:
            logger.warning("mark of an idle stream not appended", detail=error.detail)


def _recorded_answer(answer: Answer | None) -> Answer | Refusal:
    if answer is not None:
        return answer._replace(recorded=True)
    return Refusal(
        RefusalReason.OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        "the call was executed; its answer was too large to record",
    )


def _outcome_unknown(detail: str) -> Refusal:
    return Refusal(
        RefusalReason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail, UNKNOWN_RETRY_AFTER_MS
    )


def _log_unavailable() -> Refusal:
    return Refusal(
        RefusalReason.LOG_UNAVAILABLE,
        Ran.NO,
        "the platform's log is unavailable; unrepeatable calls need it",
        LOG_RETRY_AFTER_MS,
    )
