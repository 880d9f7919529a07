"""Finds prompt parts that crash the servers and keeps requests with them away."""

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

# Crashes with a part, and no answer begun on it, that put it into quarantine.
MIN_CRASHES = 3
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


class _Culprit(NamedTuple):
    """Parts that explain crashes.

    Attributes:
        parts: One part, or several that occurred in the same crashes only. Which of
            these is to blame is not known, so only all of them together are.
        crashes: Times of the crashes by id, in milliseconds.
    """

    parts: frozenset[str]
    crashes: Mapping[str, int]

    @property
    def latest_ms(self) -> int:
        """Time of the latest crash."""
        return max(self.crashes.values())


class _Answers(NamedTuple):
    """Answers begun on a part.

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


class PromptQuarantine:
    """Decides which prompt parts may not be sent to servers.

    Args:
        log: Crashes known to this process; shared with other processes.
        timers: Timer service.
        stagger_ms: How much later than other entries this one tries a part again.
    """

    def __init__(self, log: CrashLog, timers: Timers, *, stagger_ms: int = 0) -> None:
        self.log = log
        self._timers = timers
        self._stagger_ms = stagger_ms
        # Answers begun by pool and part, those with the oldest latest answer first.
        self._answers: OrderedDict[tuple[str, str], _Answers] = OrderedDict()
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
        """Record that a server of the pool has begun an answer on these parts."""
        now = self._timers.now_ms()
        for part in parts:
            answers = self._answers.pop((pool, part), _Answers(0.0, now))
            self._answers[pool, part] = _Answers(answers.number_at(now) + 1, now)
        while len(self._answers) > MAX_ANSWERED_PARTS:
            self._answers.popitem(last=False)
        suspects = self._suspects.get(pool)
        if suspects and not suspects.isdisjoint(parts):
            self.log.clear(pool, dict.fromkeys(parts, now))

    def record_crash(
        self, crash: str, pool: str, parts: Sequence[str], *, age_ms: int = 0
    ) -> None:
        """Record that a server ended before it began an answer on these parts.

        Args:
            crash: Id of the start of the server that ended.
            pool: Pool of the server.
            parts: Shared parts of the request's prompt.
            age_ms: Time since the request was lost, in milliseconds.
        """
        if parts:
            self._own_crashes[crash] = pool
            self.log.merge([CrashRecord(crash, pool, age_ms, frozenset(parts))])

    def blocked_ms(self, parts: Sequence[str]) -> int:
        """Return for how long requests with these parts are refused; 0 if not."""
        if not self._culprits or not parts:
            return 0
        now = self._timers.now_ms()
        ends_ms = (
            culprit.latest_ms + QUARANTINE_MS + self._stagger_ms
            for culprit in self._culprits
            if culprit.parts.issubset(parts)
        )
        return max(max(ends_ms, default=now) - now, 0)

    def own_blamed_crashes(self) -> dict[str, CrashRecord]:
        """Return the crashes by id that this process saw and parts are blamed for.

        Each record has only the parts that are blamed.
        """
        now = self._timers.now_ms()
        return {
            crash: CrashRecord(
                crash, self._own_crashes[crash], now - at_ms, culprit.parts
            )
            for culprit in self._culprits
            for crash, at_ms in culprit.crashes.items()
            if crash in self._own_crashes
        }

    def _update(self) -> None:
        """Clear suspects on which answers have begun, then find the culprits again."""
        # Answers that clear a part are shared only once it is close to being blamed.
        self._suspects = self.log.suspects(MIN_CRASHES - 1)
        for pool, suspects in self._suspects.items():
            latest_ms = {
                part: self._answers[pool, part].latest_ms
                for part in suspects
                if (pool, part) in self._answers
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
            _find_culprits(crashes, self._crashes_needed),
        )
        self._log_changes(before)
        if _blame(before) != _blame(self._culprits):
            for listener in self._listeners:
                listener()

    def _crashes_needed(self, part: str) -> float:
        """Return the number of crashes for which a part is blamed."""
        now = self._timers.now_ms()
        recent = sum(
            self._answers[pool, part].number_at(now)
            for pool, suspects in self._suspects.items()
            if part in suspects and (pool, part) in self._answers
        )
        return MIN_CRASHES + min(recent, MAX_ANSWERS)

    def _log_changes(self, before: Sequence[_Culprit]) -> None:
        blamed_before = {culprit.parts for culprit in before}
        blamed = {culprit.parts for culprit in self._culprits}
        for parts in blamed_before - blamed:
            logger.info("prompt parts no longer in quarantine", parts=sorted(parts))
        for culprit in self._culprits:
            if culprit.parts not in blamed_before:
                logger.warning(
                    "prompt parts in quarantine",
                    parts=sorted(culprit.parts),
                    crashes=sorted(culprit.crashes),
                )


def _blame(culprits: Sequence[_Culprit]) -> set[tuple[frozenset[str], frozenset[str]]]:
    return {(culprit.parts, frozenset(culprit.crashes)) for culprit in culprits}


def _find_culprits(
    crashes: Sequence[Crash], crashes_needed: Callable[[str], float]
) -> list[_Culprit]:
    """Return the fewest parts that explain the crashes, as a greedy cover finds them.

    A part that was only near by is explained away by the one that is in all crashes.
    """
    by_part: dict[str, dict[str, int]] = {}
    for crash in crashes:
        for part in crash.suspects:
            by_part.setdefault(part, {})[crash.id] = crash.at_ms
    culprits: list[_Culprit] = []
    while True:
        events = {
            part: count
            for part, found in by_part.items()
            if (count := _count_events(found)) >= crashes_needed(part)
        }
        if not events:
            return culprits
        worst = min(events, key=lambda part: (-events[part], -len(by_part[part]), part))
        explained = by_part[worst]
        parts = frozenset(part for part in events if by_part[part] == explained)
        culprits.append(_Culprit(parts, explained))
        by_part = {
            part: {key: at for key, at in found.items() if key not in explained}
            for part, found in by_part.items()
            if part not in parts
        }


def _count_events(crashes: Mapping[str, int]) -> int:
    """Count crashes; those close to the first one of an event count with it."""
    count, event_ms = 0, -SAME_EVENT_MS
    for at_ms in sorted(crashes.values()):
        if count == 0 or at_ms - event_ms >= SAME_EVENT_MS:
            count, event_ms = count + 1, at_ms
    return count
