"""Trying another server for a request whose server falls silent.

The silent server may be sound and go on, so its connection stays open until the other
one has answered. Whichever answers first serves the request; the other is released.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple

from loguru import logger

from copperrun.ports.timers import Timers
from copperrun.routing.attempt import Attempt
from copperrun.routing.attempt import Piece
from copperrun.routing.requests import AttemptOutcome
from copperrun.routing.requests import RoutedRequest

# A server is considered silent after these multiples of the route's target gap or
# target latency plus the margin, if another server may continue the request.
STALL_MARGIN_MS = 500
STALL_GAP_FACTOR = 3
HEAD_TARGET_FACTOR = 1.5
# Bytes that arrived while this process was paused are read before another server is
# tried.
RECHECK_MS = 50
SEARCH_INTERVAL_MS = 500  # between searches that found no server


class Found(NamedTuple):
    """An attempt with the first result of its answer."""

    attempt: Attempt
    result: Piece | AttemptOutcome


# Starts an attempt at another server and returns it once it answers; None if no server
# does. Cancelling it releases that server.
SuccessorSearch = Callable[[], Coroutine[Any, Any, Found | None]]


class Failover:
    """Reads from one attempt, and from a second one while the first is silent.

    Args:
        request: The caller's request.
        timers: Timer service.
        may_repeat: Whether the request may be sent to another server.
        may_search: Whether there is such a server now.
        search: Tries another server.
    """

    def __init__(
        self,
        request: RoutedRequest,
        timers: Timers,
        may_repeat: Callable[[], bool],
        may_search: Callable[[], bool],
        search: SuccessorSearch,
    ) -> None:
        self._request = request
        self._timers = timers
        self._may_repeat = may_repeat
        self._may_search = may_search
        self._search = search

    async def next_piece(self, attempt: Attempt) -> Found:
        """Return the next result of an attempt, or of the one that replaces it.

        An attempt that is replaced has been released.
        """
        limit_ms = self._silence_limit_ms(attempt)
        if limit_ms is None:
            return Found(attempt, await attempt.next_piece())
        try:
            async with self._timers.timeout_ms(limit_ms):
                return Found(attempt, await attempt.next_piece())
        except TimeoutError:
            return await self._await_either(attempt)

    def _silence_limit_ms(self, attempt: Attempt) -> int | None:
        """Return how long to wait before another server is tried; None for ever."""
        if not self._may_repeat():
            return None
        limit_ms = self._longest_silence_ms(attempt)
        if limit_ms is None:
            return None
        silent_ms = self._timers.now_ms() - attempt.last_progress_ms
        return max(limit_ms - silent_ms, 0)

    def _longest_silence_ms(self, attempt: Attempt) -> int | None:
        route = self._request.route
        if not attempt.has_head:
            return int(HEAD_TARGET_FACTOR * route.target_ms) + STALL_MARGIN_MS
        if route.streaming:
            return STALL_GAP_FACTOR * route.target_gap_ms + STALL_MARGIN_MS
        return None

    async def _await_either(self, attempt: Attempt) -> Found:
        """Wait for a silent attempt, and try other servers meanwhile."""
        own = asyncio.create_task(attempt.next_piece())
        search: asyncio.Task[Found | None] | None = None
        wait_ms = RECHECK_MS
        try:
            while not await self._is_done_within(own, wait_ms):
                limit_ms = self._silence_limit_ms(attempt)
                wait_ms = limit_ms or SEARCH_INTERVAL_MS
                if limit_ms != 0 or not self._may_search():
                    continue
                search = asyncio.create_task(self._search_or_log())
                await asyncio.wait({own, search}, return_when=asyncio.FIRST_COMPLETED)
                if own.done():
                    if not _has_failed(own.result()):
                        break
                    # The search may take long, and the server be needed.
                    await _release(attempt, own)
                found = await search
                if found is not None:
                    self._log(attempt, "replaced", found.attempt)
                    search = None
                    await _release(attempt, own)
                    return found
            result = own.result()
            if search is not None:
                self._log(attempt, "failed" if _has_failed(result) else "kept")
            return Found(attempt, result)
        finally:
            own.cancel()
            if search is not None:
                _abandon(search)

    async def _search_or_log(self) -> Found | None:
        """Search; an error of the program costs the search only."""
        try:
            return await self._search()
        except Exception:
            logger.exception("search for another server failed")
            return None

    async def _is_done_within(
        self, task: asyncio.Task[Piece | AttemptOutcome], limit_ms: int
    ) -> bool:
        try:
            async with self._timers.timeout_ms(limit_ms):
                await asyncio.shield(task)
        except TimeoutError:
            return False
        return True

    def _log(
        self, attempt: Attempt, result: str, successor: Attempt | None = None
    ) -> None:
        logger.info(
            "silent server",
            request=self._request.call.id,
            server=attempt.server.record.id,
            result=result,
            successor=successor.server.record.id if successor is not None else "",
            silent_ms=self._timers.now_ms() - attempt.last_progress_ms,
        )


def _has_failed(result: Piece | AttemptOutcome) -> bool:
    return isinstance(result, AttemptOutcome) and result is not AttemptOutcome.DONE


async def _release(attempt: Attempt, own: asyncio.Task[Piece | AttemptOutcome]) -> None:
    """Release an attempt that another one replaces."""
    outcome = AttemptOutcome.MAYBE_RAN
    try:
        if not own.done():
            attempt.server.record_answer(failed=True)
            return
        result = own.result()
        if isinstance(result, AttemptOutcome):
            outcome = result
        await attempt.check_crash()
    finally:
        attempt.close(outcome)


def _abandon(search: asyncio.Task[Found | None]) -> None:
    """End a search whose result is no longer wanted."""
    if search.cancel() or search.cancelled():
        return
    found = search.result()
    if found is not None:
        found.attempt.close(AttemptOutcome.MAYBE_RAN)
