"""Assignment of deployments to instances by rendezvous hashing.

Every process computes the same assignments from the same configuration and instance
list, without a message. First copies of all deployments are placed before any second
copy, large models before small ones, each on the first instance of its rendezvous
order with enough memory; a further copy prefers a zone that has none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import weights_name
from copperrun.model import Instance
from copperrun.model import Role

Assignments = dict[str, tuple[str, ...]]


class _InstanceMemory(NamedTuple):
    """Memory left on each instance, with what was placed there.

    Attributes:
        free_bytes: Bytes left for weights by instance id.
        placed: Pairs of instance id and weights name.
    """

    free_bytes: dict[str, int]
    placed: set[tuple[str, str]]


def rendezvous_order(key: str, instances: Sequence[Instance]) -> list[Instance]:
    """Return instances by descending hash with ``key``."""
    return sorted(
        instances,
        key=lambda item: (
            xxhash.xxh64_intdigest(f"{key}\0{item.id}".encode()),
            item.id,
        ),
        reverse=True,
    )


def weights_object(cfg: Configuration, deployment: str) -> tuple[str, int]:
    """Return the name of a deployment's weights and their size in bytes."""
    spec = cfg.deployments[deployment]
    version = cfg.models[spec.model].versions[spec.version]
    return weights_name(spec.model, spec.version), version.weights


def resident_versions(resident: Iterable[str], model: str) -> list[str]:
    """Return the resident versions of a model, sorted by name."""
    prefix = weights_name(model, "")
    return sorted(name for name in resident if name.startswith(prefix))


def assign_deployments(
    cfg: Configuration, instances: Sequence[Instance]
) -> Assignments:
    """Return the ids of the instances that keep each deployment resident.

    A deployment that fits on no instance gets an empty tuple.
    """
    pools = _live_instances(cfg, instances)
    memory = _InstanceMemory(
        {
            item.id: _weights_capacity_bytes(cfg, item.pool)
            for pool in pools.values()
            for item in pool
        },
        set(),
    )
    candidates = _rank_candidates(cfg, pools)
    for name in _placement_order(cfg):
        candidates[name].assign_next(memory)
    return {name: ranked.chosen_ids() for name, ranked in candidates.items()}


class _Candidates:
    """Instances that one deployment may still use, in rendezvous order."""

    def __init__(self, weights: tuple[str, int], order: Sequence[Instance]) -> None:
        self._weights = weights
        self._order = deque(order)
        self._new_zones = {item.zone for item in order}
        self._chosen: list[Instance] = []

    def chosen_ids(self) -> tuple[str, ...]:
        """Return the ids of the instances chosen so far."""
        return tuple(item.id for item in self._chosen)

    def assign_next(self, memory: _InstanceMemory) -> None:
        """Choose the first fitting instance in a new zone, else the first fitting."""
        chosen = self._first_fitting_in_new_zone(memory) or self._first_fitting(memory)
        if chosen is None:
            return
        self._chosen.append(chosen)
        self._order.remove(chosen)
        self._new_zones.discard(chosen.zone)
        _reserve(self._weights, chosen, memory)

    def _first_fitting_in_new_zone(self, memory: _InstanceMemory) -> Instance | None:
        if not self._new_zones:
            return None
        for item in self._order:
            if item.zone in self._new_zones and _fits(self._weights, item, memory):
                return item
        # Free memory only shrinks, so these zones will not fit later either.
        self._new_zones.clear()
        return None

    def _first_fitting(self, memory: _InstanceMemory) -> Instance | None:
        while self._order and not _fits(self._weights, self._order[0], memory):
            self._order.popleft()
        return self._order[0] if self._order else None


def _rank_candidates(
    cfg: Configuration, pools: dict[str, list[Instance]]
) -> dict[str, _Candidates]:
    candidates = {}
    for name, spec in cfg.deployments.items():
        weights = weights_object(cfg, name)
        order = rendezvous_order(weights[0], pools.get(spec.pool, []))
        candidates[name] = _Candidates(weights, order)
    return candidates


def _live_instances(
    cfg: Configuration, instances: Sequence[Instance]
) -> dict[str, list[Instance]]:
    pools: dict[str, list[Instance]] = {name: [] for name in cfg.pools}
    for item in instances:
        if item.role is Role.SIDE and not item.leaving and item.pool in pools:
            pools[item.pool].append(item)
    return pools


def _weights_capacity_bytes(cfg: Configuration, pool_name: str) -> int:
    pool = cfg.pools[pool_name]
    return pool.memory - pool.kv_reserve - pool.adapter_reserve


def _placement_order(cfg: Configuration) -> Iterator[str]:
    by_size = sorted(
        cfg.deployments, key=lambda name: (-weights_object(cfg, name)[1], name)
    )
    copies = {name: cfg.copies(name) for name in by_size}
    for index in range(max(copies.values(), default=0)):
        for name in by_size:
            if index < copies[name]:
                yield name


def _fits(
    weights: tuple[str, int], instance: Instance, memory: _InstanceMemory
) -> bool:
    object_name, size_bytes = weights
    if (instance.id, object_name) in memory.placed:
        return True
    return size_bytes <= memory.free_bytes[instance.id]


def _reserve(
    weights: tuple[str, int], instance: Instance, memory: _InstanceMemory
) -> None:
    object_name, size_bytes = weights
    if (instance.id, object_name) in memory.placed:
        return
    memory.placed.add((instance.id, object_name))
    memory.free_bytes[instance.id] -= size_bytes
