"""Choice of the server for one attempt; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

PLAIN_FAILURE_COST = 4.0  # of a server all of whose recent answers were failures
PLAIN_FREE_SHARE = 0.5  # of a plain server's slots, up to which its load costs little
PLAIN_LOAD_COST = 0.3  # of a plain server whose free share is taken
ADAPTER_LOAD_MS = 40.0  # for an engine that must load the adapter first
RUNNING_REQUEST_MS = 4.0  # that each running request delays another one
UNRESPONSIVE_SIDE_MS = (
    3_000.0  # for an engine whose machine may have frozen with its side
)
ENGINE_FAILURE_MS = 2_000.0  # of an engine all of whose recent answers were failures


class Distance(IntEnum):
    """How far a server is from the entry."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


# Bytes between regions are paid for; a remote engine is chosen when the nearer ones
# have so much more work.
_ENGINE_DISTANCE_MS = {Distance.ZONE: 0.0, Distance.REGION: 5.0, Distance.REMOTE: 150.0}
# In shares of a plain server's slots.
_PLAIN_DISTANCE_COST = {Distance.ZONE: 0.0, Distance.REGION: 0.05, Distance.REMOTE: 0.5}


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
    failure_rate: float
    adapter_rank: int = 0
    is_side_unresponsive: bool = False


def choose_engine(candidates: Sequence[Candidate]) -> int:
    """Return the index of the engine that is expected to begin first."""
    return min(
        range(len(candidates)), key=lambda index: _engine_cost(candidates[index])
    )


def choose_plain_server(candidates: Sequence[Candidate]) -> int:
    """Return the index of the nearest plain server that has free slots."""
    return min(range(len(candidates)), key=lambda index: _plain_cost(candidates[index]))


def _engine_cost(candidate: Candidate) -> float:
    """Return the expected delay in ms, with surcharges."""
    cost = (
        candidate.wait_ms
        + RUNNING_REQUEST_MS * candidate.load
        + _ENGINE_DISTANCE_MS[candidate.distance]
    )
    if candidate.adapter_rank:
        cost += ADAPTER_LOAD_MS * candidate.adapter_rank
    if candidate.is_side_unresponsive:
        cost += UNRESPONSIVE_SIDE_MS
    return cost + ENGINE_FAILURE_MS * candidate.failure_rate


def _plain_cost(candidate: Candidate) -> float:
    taken = (candidate.load + 1) / max(candidate.slots, 1)
    excess = max(taken - PLAIN_FREE_SHARE, 0.0) * 2
    cost = _PLAIN_DISTANCE_COST[candidate.distance] + PLAIN_LOAD_COST * taken + excess
    return cost + PLAIN_FAILURE_COST * candidate.failure_rate
