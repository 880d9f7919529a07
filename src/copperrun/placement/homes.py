"""Homes of deployments by rendezvous hashing.

Every process computes the same homes from the same configuration and instance list,
without a message. First copies of all deployments are placed before any second copy,
large models before small ones, each on the first runner of its own order that has
room; a further copy prefers a zone that has none.
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

Homes = dict[str, tuple[str, ...]]


class _Room(NamedTuple):
    free_bytes: dict[str, int]
    objects: set[tuple[str, str]]


def rendezvous_order(key: str, instances: Sequence[Instance]) -> list[Instance]:
    """Return instances from the greatest hash with ``key`` to the smallest."""
    return sorted(
        instances,
        key=lambda item: (
            xxhash.xxh64_intdigest(f"{key}\0{item.id}".encode()),
            item.id,
        ),
        reverse=True,
    )


def object_of(cfg: Configuration, deployment: str) -> tuple[str, int]:
    """Return the weights object of a deployment and its size in bytes."""
    spec = cfg.deployments[deployment]
    version = cfg.models[spec.model].versions[spec.version]
    return weights_name(spec.model, spec.version), version.weights


def versions_in(resident: Iterable[str], model: str) -> list[str]:
    """Return the resident versions of a model, in order of their names."""
    prefix = weights_name(model, "")
    return sorted(name for name in resident if name.startswith(prefix))


def assign_homes(cfg: Configuration, instances: Sequence[Instance]) -> Homes:
    """Return the instance ids that keep each deployment resident.

    A deployment that fits nowhere has an empty tuple.
    """
    runners = _live_runners(cfg, instances)
    room = _Room(
        {
            item.id: _weights_room(cfg, item.pool)
            for pool in runners.values()
            for item in pool
        },
        set(),
    )
    queues = _open_queues(cfg, runners)
    for name in _placement_order(cfg):
        queues[name].take_next(room)
    return {name: queue.chosen_ids() for name, queue in queues.items()}


class _Queue:
    """Runners that one deployment may still take, in rendezvous order."""

    def __init__(self, weights: tuple[str, int], order: Sequence[Instance]) -> None:
        self._weights = weights
        self._order = deque(order)
        self._new_zones = {item.zone for item in order}
        self._chosen: list[Instance] = []

    def chosen_ids(self) -> tuple[str, ...]:
        """Return the instances taken so far."""
        return tuple(item.id for item in self._chosen)

    def take_next(self, room: _Room) -> None:
        """Take the first fitting runner of a new zone, else the first fitting one."""
        home = self._first_of_new_zone(room) or self._first(room)
        if home is None:
            return
        self._chosen.append(home)
        self._order.remove(home)
        self._new_zones.discard(home.zone)
        _take_room(self._weights, home, room)

    def _first_of_new_zone(self, room: _Room) -> Instance | None:
        if not self._new_zones:
            return None
        for item in self._order:
            if item.zone in self._new_zones and _fits(self._weights, item, room):
                return item
        # Room only shrinks, so that these zones will not fit later either.
        self._new_zones.clear()
        return None

    def _first(self, room: _Room) -> Instance | None:
        while self._order and not _fits(self._weights, self._order[0], room):
            self._order.popleft()
        return self._order[0] if self._order else None


def _open_queues(
    cfg: Configuration, runners: dict[str, list[Instance]]
) -> dict[str, _Queue]:
    queues = {}
    for name, spec in cfg.deployments.items():
        weights = object_of(cfg, name)
        order = rendezvous_order(weights[0], runners.get(spec.pool, []))
        queues[name] = _Queue(weights, order)
    return queues


def _live_runners(
    cfg: Configuration, instances: Sequence[Instance]
) -> dict[str, list[Instance]]:
    pools: dict[str, list[Instance]] = {name: [] for name in cfg.pools}
    for item in instances:
        if item.role is Role.SIDE and not item.leaving and item.pool in pools:
            pools[item.pool].append(item)
    return pools


def _weights_room(cfg: Configuration, pool_name: str) -> int:
    pool = cfg.pools[pool_name]
    return pool.memory - pool.kv_reserve - pool.adapter_reserve


def _placement_order(cfg: Configuration) -> Iterator[str]:
    by_size = sorted(cfg.deployments, key=lambda name: (-object_of(cfg, name)[1], name))
    copies = {name: cfg.copies(name) for name in by_size}
    for index in range(max(copies.values(), default=0)):
        for name in by_size:
            if index < copies[name]:
                yield name


def _fits(weights: tuple[str, int], runner: Instance, room: _Room) -> bool:
    object_name, size_bytes = weights
    if (runner.id, object_name) in room.objects:
        return True
    return size_bytes <= room.free_bytes[runner.id]


def _take_room(weights: tuple[str, int], home: Instance, room: _Room) -> None:
    object_name, size_bytes = weights
    if (home.id, object_name) in room.objects:
        return
    room.objects.add((home.id, object_name))
    room.free_bytes[home.id] -= size_bytes
