"""Choice of the server for one attempt; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FAILURE_COST = 4.0  # of a server all of whose recent answers were failures
FREE_SHARE = 0.5  # of a plain server's slots, up to which its load costs little
FREE_LOAD_COST = 0.3  # of a plain server whose free share is taken
ADAPTER_COST = 1.15  # factor on an engine that must load the adapter first


class Distance(IntEnum):
    """How far a server is from the entry."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


# Bytes between zones and regions are paid for; a remote engine is chosen when the
# nearer ones have this many times its load.
_ENGINE_FACTOR = {Distance.ZONE: 1.0, Distance.REGION: 1.1, Distance.REMOTE: 1.5}
# In shares of a plain server's slots.
_PLAIN_COST = {Distance.ZONE: 0.0, Distance.REGION: 0.05, Distance.REMOTE: 0.5}


class Candidate(NamedTuple):
    """One server that may take the attempt.

    Attributes:
        load: Requests at the server.
        slots: Requests that it runs at once.
        distance: How far it is.
        failure_share: Share of its recent answers that were failures.
        preference: Rank of the server for the request's adapter; 0 holds it, 1 is
            the first in rendezvous order, and so on.
    """

    load: int
    slots: int
    distance: Distance
    failure_share: float
    preference: int = 0


def choose_engine(candidates: Sequence[Candidate]) -> int:
    """Return the index of the least loaded engine, weighted by its distance."""
    return min(
        range(len(candidates)), key=lambda index: _engine_cost(candidates[index])
    )


def choose_plain(candidates: Sequence[Candidate]) -> int:
    """Return the index of the nearest plain server that has free slots."""
    return min(range(len(candidates)), key=lambda index: _plain_cost(candidates[index]))


def _engine_cost(item: Candidate) -> float:
    cost = (item.load + 1) * _ENGINE_FACTOR[item.distance]
    if item.preference:
        cost *= ADAPTER_COST + 0.1 * (item.preference - 1)
    return cost * (1 + FAILURE_COST * item.failure_share)


def _plain_cost(item: Candidate) -> float:
    taken = (item.load + 1) / max(item.slots, 1)
    excess = max(taken - FREE_SHARE, 0.0) * 2
    cost = _PLAIN_COST[item.distance] + FREE_LOAD_COST * taken + excess
    return cost + FAILURE_COST * item.failure_share
