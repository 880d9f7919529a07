"""Scoring of the servers that an attempt may be sent to; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

# Costs of plain servers are in units of a server's slots.
PLAIN_FAILURE_COST = 4.0  # at a failure rate of 1
PLAIN_FREE_SHARE = 0.5  # fraction of the slots above which load costs extra
PLAIN_LOAD_COST = 0.3  # at a load equal to the slots
# Costs of engines are expected delays in milliseconds.
ADAPTER_LOAD_MS = 40.0  # to load the adapter; multiplied by the adapter rank
RUNNING_REQUEST_MS = 4.0  # by which each running request delays another one
# How much more or less than a typical request one may count by its work. At engines
# that is estimated, and wrong estimates cost less the nearer to 1 it is.
MAX_ENGINE_WEIGHT = 1.25
MAX_PLAIN_WEIGHT = 2.0
# When the side beside an engine does not answer, their machine may have frozen.
UNRESPONSIVE_SIDE_MS = 3_000.0
# Until streams have ended whose memory the request needs.
MEMORY_WAIT_MS = 500.0
ENGINE_FAILURE_MS = 2_000.0  # at a failure rate of 1


class Distance(IntEnum):
    """Network distance from the entry to a server."""

    ZONE = 0
    REGION = 1
    REMOTE = 2


# Traffic between regions is charged, so a remote engine is chosen only when the nearer
# ones have that much more delay.
_ENGINE_DISTANCE_MS = {Distance.ZONE: 0.0, Distance.REGION: 5.0, Distance.REMOTE: 150.0}
_PLAIN_DISTANCE_COST = {Distance.ZONE: 0.0, Distance.REGION: 0.05, Distance.REMOTE: 0.5}


class Candidate(NamedTuple):
    """One server that the attempt may be sent to.

    Attributes:
        load: Requests at the server.
        wait_ms: Expected time until prefill of this request begins, for engines.
        slots: Requests that it runs concurrently.
        distance: Distance from the entry.
        failure_rate: Fraction of its recent answers that were failures.
        adapter_rank: 0 if the request needs no adapter or the server holds it;
            otherwise the position in the rendezvous order for the adapter, from 1.
        is_side_unresponsive: Whether its side has stopped answering.
        is_full: Whether the request does not fit into its memory now.
        work_ms: Expected work left of the requests at the server, for plain servers
            with this one; None where costs are not learned.
    """

    load: int
    wait_ms: int
    slots: int
    distance: Distance
    failure_rate: float
    adapter_rank: int = 0
    is_side_unresponsive: bool = False
    is_full: bool = False
    work_ms: float | None = None


def choose_engine(candidates: Sequence[Candidate]) -> int:
    """Return the index of the engine with the lowest expected delay."""
    loads = _weighted_loads(candidates, MAX_ENGINE_WEIGHT, own=0)
    return min(
        range(len(candidates)),
        key=lambda index: _engine_cost(candidates[index], loads[index]),
    )


def choose_plain_server(candidates: Sequence[Candidate]) -> int:
    """Return the index of the plain server with the lowest cost.

    A nearer server is preferred while enough of its slots are free.
    """
    loads = _weighted_loads(candidates, MAX_PLAIN_WEIGHT, own=1)
    return min(
        range(len(candidates)),
        key=lambda index: _plain_cost(candidates[index], loads[index]),
    )


def _weighted_loads(
    candidates: Sequence[Candidate], max_weight: float, *, own: int
) -> list[float]:
    """Return each server's load, with requests weighted by the work they have left.

    The weights are relative to the mean over the candidates, and bounded: the delay of
    an engine that is chosen by estimates however wrong is, by the count of requests, at
    most the square of ``max_weight`` times that of the best.

    Args:
        candidates: Servers to choose from.
        max_weight: Most and, inverted, least that a request counts.
        own: Requests to add to each load.
    """
    counts = [float(candidate.load + own) for candidate in candidates]
    works = [item.work_ms for item in candidates if item.work_ms is not None]
    total_ms = sum(works)
    if len(works) < len(candidates) or not total_ms or not sum(counts):
        return counts
    mean_ms = total_ms / sum(counts)
    return [
        min(max(work / mean_ms, count / max_weight), count * max_weight)
        for work, count in zip(works, counts, strict=True)
    ]


def _engine_cost(candidate: Candidate, load: float) -> float:
    """Return the expected delay in milliseconds, with penalties."""
    cost = (
        candidate.wait_ms
        + RUNNING_REQUEST_MS * load
        + _ENGINE_DISTANCE_MS[candidate.distance]
    )
    if candidate.adapter_rank:
        cost += ADAPTER_LOAD_MS * candidate.adapter_rank
    if candidate.is_full:
        cost += MEMORY_WAIT_MS
    if candidate.is_side_unresponsive:
        cost += UNRESPONSIVE_SIDE_MS
    return cost + ENGINE_FAILURE_MS * candidate.failure_rate


def _plain_cost(candidate: Candidate, load: float) -> float:
    slots_used = load / max(candidate.slots, 1)
    excess = max(slots_used - PLAIN_FREE_SHARE, 0.0) * 2
    cost = (
        _PLAIN_DISTANCE_COST[candidate.distance] + PLAIN_LOAD_COST * slots_used + excess
    )
    return cost + PLAIN_FAILURE_COST * candidate.failure_rate
