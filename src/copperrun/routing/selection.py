"""Choice of the server for one attempt; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FAILURE_COST = 4.0  # of a server all of whose recent answers were failures
FREE_SHARE = 0.5  # of a plain server's slots, up to which its load costs little
FREE_LOAD_COST = 0.3  # of a plain server whose free share is taken
ADAPTER_MS = 40.0  # for an engine that must load the adapter first
RUNNING_MS = 4.0  # that each running request delays another one
SILENT_MS = 3_000.0  # for an engine whose machine may have frozen with its side
FAILURE_MS = 2_000.0  # of an engine all of whose recent answers were failures


class Distance(IntEnum):
    """How far a server is from the entry."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


# Bytes between regions are paid for; a remote engine is chosen when the nearer ones
# have so much more work.
_ENGINE_MS = {Distance.ZONE: 0.0, Distance.REGION: 5.0, Distance.REMOTE: 150.0}
# In shares of a plain server's slots.
_PLAIN_COST = {Distance.ZONE: 0.0, Distance.REGION: 0.05, Distance.REMOTE: 0.5}


class Candidate(NamedTuple):
    """One server that may take the attempt.

    Attributes:
        load: Requests at the server.
        wait_ms: Time until it would begin with this one, for engines.
        slots: Requests that it runs at once.
        distance: How far it is.
        failure_share: Share of its recent answers that were failures.
        preference: Rank of the server for the request's adapter; 0 holds it, 1 is
            the first in rendezvous order, and so on.
        is_silent: Whether the side beside it has stopped to answer.
    """

    load: int
    wait_ms: int
    slots: int
    distance: Distance
    failure_share: float
    preference: int = 0
    is_silent: bool = False


def choose_engine(candidates: Sequence[Candidate]) -> int:
    """Return the index of the engine that is expected to begin first."""
    return min(
        range(len(candidates)), key=lambda index: _engine_cost(candidates[index])
    )


def choose_plain(candidates: Sequence[Candidate]) -> int:
    """Return the index of the nearest plain server that has free slots."""
    return min(range(len(candidates)), key=lambda index: _plain_cost(candidates[index]))


def _engine_cost(item: Candidate) -> float:
    """Return the expected delay in ms, with surcharges."""
    cost = item.wait_ms + RUNNING_MS * item.load + _ENGINE_MS[item.distance]
    if item.preference:
        cost += ADAPTER_MS * item.preference
    if item.is_silent:
        cost += SILENT_MS
    return cost + FAILURE_MS * item.failure_share


def _plain_cost(item: Candidate) -> float:
    taken = (item.load + 1) / max(item.slots, 1)
    excess = max(taken - FREE_SHARE, 0.0) * 2
    cost = _PLAIN_COST[item.distance] + FREE_LOAD_COST * taken + excess
    return cost + FAILURE_COST * item.failure_share
