"""Finds requests and prompt parts that crash the servers and keeps them away.

A suspect is a prompt part or the fingerprint of a whole request.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from copperrun.ports.timers import Timers
from copperrun.routing.crashes import Crash
from copperrun.routing.crashes import CrashLog
from copperrun.routing.crashes import CrashRecord
from copperrun.routing.fingerprints import is_fingerprint

# Crashes with a suspect, and no answer begun on it, that put it into quarantine.
MIN_CRASHES = 3
# A request is blamed without the parts that were always lost with it after this many.
MIN_CRASHES_ALONE = 4
# Requests that the crashes do not tell apart are tried one after the other for so long.
TURN_MS = 1_000
# Servers that end together, as in a power failure, tell no more than one does.
SAME_EVENT_MS = 100
# Time after the latest crash until requests with the part are tried again.
QUARANTINE_MS = 600_000
# Entries try a part again one after the other within this time; the others learn from
# the first one's result.
MAX_STAGGER_MS = 60_000
# A part needs one more crash for each answer begun on it of late, up to a bound.
ANSWERS_TIME_CONSTANT_MS = 60_000
MAX_ANSWERS = 3
MAX_ANSWERED_PARTS = 20_000
# A request is one caller's, so the bound on servers that it may end is closer.
MAX_REQUEST_ANSWERS = 1
MAX_ANSWERED_REQUESTS = 1_000
# Answers of late from which on a request may run at several servers at a time.
CONCURRENT_ANSWERS = 2


class _Turn(NamedTuple):
    """When to try one of several requests that the crashes do not tell apart.

    Attributes:
        number: Its place among them.
        total: How many there are.
        from_ms: Time of the first turn.
    """

    number: int
    total: int
    from_ms: int

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the turn; 0 during it."""
        elapsed_ms = max(now_ms - self.from_ms, 0)
        turns = (self.number - elapsed_ms // TURN_MS) % self.total
        return turns * TURN_MS - elapsed_ms % TURN_MS if turns else 0


class _Culprit(NamedTuple):
    """Suspects that explain crashes.

    Attributes:
        parts: One suspect, or several that occurred in the same crashes only. Which of
            these is to blame is not known, so only all of them together are.
        crashes: Times of the crashes by id, in milliseconds.
        turn: When to try it, if others may be to blame for the same crashes.
    """

    parts: frozenset[str]
    crashes: Mapping[str, int]
    turn: _Turn | None = None

    @property
    def latest_ms(self) -> int:
        """Time of the latest crash."""
        return max(self.crashes.values())

    def blocked_ms(self, now_ms: int, stagger_ms: int) -> int:
        """Return for how long requests with all of the parts are refused."""
        if self.turn is not None:
            return self.turn.wait_ms(now_ms)
        return max(self.latest_ms + QUARANTINE_MS + stagger_ms - now_ms, 0)


class _Answers(NamedTuple):
    """Answers begun on a suspect.

    Attributes:
        number: Number at the time of the latest one; earlier ones decay.
        latest_ms: Time of the latest one.
    """

    number: float
    latest_ms: int

    def number_at(self, now_ms: int) -> float:
        """Return the decayed number at a time."""
        age_ms = now_ms - self.latest_ms
        return self.number * math.exp(-age_ms / ANSWERS_TIME_CONSTANT_MS)


class _AnswerTable:
    """Answers begun by pool and suspect; the longest unanswered ones are dropped."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._items: OrderedDict[tuple[str, str], _Answers] = OrderedDict()

    def add(self, pool: str, part: str, now_ms: int) -> None:
        """Count an answer."""
        answers = self._items.pop((pool, part), _Answers(0.0, now_ms))
        self._items[pool, part] = _Answers(answers.number_at(now_ms) + 1, now_ms)
        if len(self._items) > self._max_items:
            self._items.popitem(last=False)

    def find(self, pool: str, part: str) -> _Answers | None:
        """Return the answers on a suspect, if any are known."""
        return self._items.get((pool, part))


class Quarantine:
    """Decides which requests and prompt parts may not be sent to servers.

    Args:
        log: Crashes known to this process; shared with other processes.
        timers: Timer service.
        stagger_ms: How much later than other entries this one tries a part again.
    """

    def __init__(self, log: CrashLog, timers: Timers, *, stagger_ms: int = 0) -> None:
        self.log = log
        self._timers = timers
        self._stagger_ms = stagger_ms
        self._part_answers = _AnswerTable(MAX_ANSWERED_PARTS)
        self._request_answers = _AnswerTable(MAX_ANSWERED_REQUESTS)
        self._suspects: Mapping[str, frozenset[str]] = {}
        self._culprits: list[_Culprit] = []
        # Pool by id of the crashes that this process saw itself.
        self._own_crashes: dict[str, str] = {}
        self._listeners: list[Callable[[], None]] = []
        log.subscribe(self._update)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when other parts or crashes are blamed than before."""
        self._listeners.append(listener)

    def record_begun(self, pool: str, parts: Sequence[str]) -> None:
        """Record that a server of the pool has begun an answer on these suspects."""
        now = self._timers.now_ms()
        for part in parts:
            self._answers_of(part).add(pool, part, now)
        suspects = self._suspects.get(pool)
        if suspects and not suspects.isdisjoint(parts):
            self.log.clear(pool, dict.fromkeys(parts, now))

    def record_crash(
        self, crash: str, pool: str, parts: Sequence[str], *, age_ms: int = 0
    ) -> None:
        """Record that a server ended before it began an answer on these suspects.

        Args:
            crash: Id of the start of the server that ended.
            pool: Pool of the server.
            parts: Shared parts of the request's prompt, and its fingerprint.
            age_ms: Time since the request was lost, in milliseconds.
        """
        if parts:
            self._own_crashes[crash] = pool
            self.log.merge([CrashRecord(crash, pool, age_ms, frozenset(parts))])

    def blocked_ms(self, parts: Sequence[str]) -> int:
        """Return for how long requests with these suspects are refused; 0 if not."""
        if not self._culprits or not parts:
            return 0
        now = self._timers.now_ms()
        blocked_ms = (
            culprit.blocked_ms(now, self._stagger_ms)
            for culprit in self._culprits
            if culprit.parts.issubset(parts)
        )
        return max(blocked_ms, default=0)

    def own_blamed_crashes(self) -> dict[str, CrashRecord]:
        """Return the crashes by id that this process saw and suspects are blamed for.

        Each record has only the suspects that are blamed.
        """
        now = self._timers.now_ms()
        records: dict[str, CrashRecord] = {}
        for culprit in self._culprits:
            for crash, at_ms in culprit.crashes.items():
                if crash not in self._own_crashes:
                    continue
                others = records[crash].parts if crash in records else frozenset()
                records[crash] = CrashRecord(
                    crash,
                    self._own_crashes[crash],
                    now - at_ms,
                    culprit.parts | others,
                )
        return records

    def _update(self) -> None:
        """Clear suspects on which answers have begun, then find the culprits again."""
        # Answers that clear a part are shared only once it is close to being blamed.
        self._suspects = self.log.suspects(MIN_CRASHES - 1)
        for pool, suspects in self._suspects.items():
            latest_ms = {
                part: answers.latest_ms
                for part in suspects
                if (answers := self._answers_of(part).find(pool, part)) is not None
            }
            if self.log.clear(pool, latest_ms):
                return  # the change has called this method again
        crashes = self.log.crashes()
        known = {crash.id for crash in crashes}
        self._own_crashes = {
            crash: pool for crash, pool in self._own_crashes.items() if crash in known
        }
        before, self._culprits = (
            self._culprits,
            _find_culprits(crashes, self._crashes_needed, self._count_crashes),
        )
        self._log_changes(before)
        if _blame(before) != _blame(self._culprits):
            for listener in self._listeners:
                listener()

    def _answers_of(self, part: str) -> _AnswerTable:
        return self._request_answers if is_fingerprint(part) else self._part_answers

    def _recent_answers(self, part: str) -> float:
        now, table = self._timers.now_ms(), self._answers_of(part)
        return sum(
            answers.number_at(now)
            for pool, suspects in self._suspects.items()
            if part in suspects and (answers := table.find(pool, part)) is not None
        )

    def _crashes_needed(self, part: str) -> float:
        """Return the number of crashes for which a suspect is blamed."""
        most = MAX_REQUEST_ANSWERS if is_fingerprint(part) else MAX_ANSWERS
        return MIN_CRASHES + min(self._recent_answers(part), most)

    def _count_crashes(self, part: str, crashes: Mapping[str, int]) -> int:
        """Count the crashes with a suspect that tell more than one does."""
        # A request that few send runs at one server after the other, not at the same
        # time, so each server that ends with it tells more.
        if is_fingerprint(part) and self._recent_answers(part) < CONCURRENT_ANSWERS:
            return len(crashes)
        return _count_events(crashes)

    def _log_changes(self, before: Sequence[_Culprit]) -> None:
        blamed_before = {culprit.parts for culprit in before if not culprit.turn}
        blamed = {culprit.parts for culprit in self._culprits if not culprit.turn}
        for parts in blamed_before - blamed:
            what, fields = _describe(parts)
            logger.info(f"{what} no longer in quarantine", **fields)
        for culprit in self._culprits:
            if culprit.parts in blamed - blamed_before:
                what, fields = _describe(culprit.parts)
                crashes = sorted(culprit.crashes)
                logger.warning(f"{what} in quarantine", **fields, crashes=crashes)
        waiting_before = {culprit.parts for culprit in before if culprit.turn}
        waiting = {culprit.parts for culprit in self._culprits if culprit.turn}
        if waiting - waiting_before:
            logger.warning(
                "requests tried one after the other",
                fingerprints=sorted(part for parts in waiting for part in parts),
            )


def _blame(culprits: Sequence[_Culprit]) -> set[tuple[object, ...]]:
    return {
        (culprit.parts, frozenset(culprit.crashes), culprit.turn)
        for culprit in culprits
    }


def _describe(parts: frozenset[str]) -> tuple[str, dict[str, object]]:
    """Return what a culprit is, and its fields in the log."""
    prompt_parts = sorted(part for part in parts if not is_fingerprint(part))
    for part in parts:
        if is_fingerprint(part):
            return "request", {"fingerprint": part, "parts": prompt_parts}
    return "prompt parts", {"parts": prompt_parts}


def _find_culprits(
    crashes: Sequence[Crash],
    crashes_needed: Callable[[str], float],
    count_crashes: Callable[[str, Mapping[str, int]], int],
) -> list[_Culprit]:
    """Return the fewest suspects that explain the crashes, found by a greedy cover.

    One that was only near by is explained away by the one that is in all crashes.
    """
    by_part: dict[str, dict[str, int]] = {}
    for crash in crashes:
        for part in crash.suspects:
            by_part.setdefault(part, {})[crash.id] = crash.at_ms
    culprits: list[_Culprit] = []
    while True:
        counts = {
            part: count
            for part, found in by_part.items()
            if len(found) >= MIN_CRASHES
            and (count := count_crashes(part, found)) >= crashes_needed(part)
        }
        if not counts:
            return culprits
        ranks = {
            part: (_count_events(by_part[part]), len(by_part[part])) for part in counts
        }
        worst = min(ranks, key=lambda part: (-ranks[part][0], -ranks[part][1], part))
        rivals = _find_rivals(worst, ranks, by_part)
        is_sure = counts[worst] >= MIN_CRASHES_ALONE
        culprits += _blame_rivals(rivals, by_part, is_sure=is_sure)
        explained = {key for part in rivals for key in by_part[part]}
        by_part = {
            part: {key: at for key, at in found.items() if key not in explained}
            for part, found in by_part.items()
            if part not in rivals
        }


def _find_rivals(
    worst: str,
    ranks: Mapping[str, tuple[int, int]],
    by_part: Mapping[str, Mapping[str, int]],
) -> list[str]:
    """Return the suspects that the crashes do not tell from the worst one.

    These are the ones in the same crashes only, and for a request also the requests in
    as many of which some are the same.
    """
    explained = by_part[worst].keys()
    return [
        part
        for part, rank in ranks.items()
        if by_part[part].keys() == explained
        or (
            is_fingerprint(worst)
            and is_fingerprint(part)
            and rank == ranks[worst]
            and not explained.isdisjoint(by_part[part])
        )
    ]


def _blame_rivals(
    rivals: Sequence[str],
    by_part: Mapping[str, Mapping[str, int]],
    *,
    is_sure: bool,
) -> list[_Culprit]:
    """Return whom to blame among suspects that the crashes do not tell apart.

    No request has two fingerprints, so several requests are tried one after the other:
    the next crash or answer tells which it is.
    """
    requests = sorted(part for part in rivals if is_fingerprint(part))
    if len(requests) > 1:
        latest_ms = max(max(by_part[part].values()) for part in requests)
        return [
            _Culprit(
                frozenset({part}),
                by_part[part],
                _Turn(number, len(requests), latest_ms),
            )
            for number, part in enumerate(requests)
        ]
    if requests and is_sure:
        return [_Culprit(frozenset(requests), by_part[requests[0]])]
    return [_Culprit(frozenset(rivals), by_part[rivals[0]])]


def _count_events(crashes: Mapping[str, int]) -> int:
    """Count crashes; those close to the first one of an event count with it."""
    count, event_ms = 0, -SAME_EVENT_MS
    for at_ms in sorted(crashes.values()):
        if count == 0 or at_ms - event_ms >= SAME_EVENT_MS:
            count, event_ms = count + 1, at_ms
    return count
