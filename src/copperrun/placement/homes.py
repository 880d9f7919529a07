"""Homes of deployments by rendezvous hashing.

Every process computes the same homes from the same configuration and instance list,
without a message. First copies of all deployments are placed before any second copy,
large models before small ones, each on the first runner of its own order that has
room; a further copy prefers a zone that has none.
"""

from __future__ import annotations

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
    chosen: dict[str, list[Instance]] = {name: [] for name in cfg.deployments}
    for name in _placement_order(cfg):
        candidates = runners.get(cfg.deployments[name].pool, [])
        home = _pick(cfg, name, candidates, chosen[name], room)
        if home is not None:
            _take_room(cfg, name, home, room)
            chosen[name].append(home)
    return {name: tuple(item.id for item in homes) for name, homes in chosen.items()}


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


def _pick(
    cfg: Configuration,
    name: str,
    candidates: Sequence[Instance],
    taken: Sequence[Instance],
    room: _Room,
) -> Instance | None:
    object_name, size_bytes = object_of(cfg, name)
    zones = {item.zone for item in taken}
    fitting = [
        item
        for item in rendezvous_order(object_name, candidates)
        if item not in taken
        and (
            (item.id, object_name) in room.objects
            or size_bytes <= room.free_bytes[item.id]
        )
    ]
    for item in fitting:
        if item.zone not in zones:
            return item
    return fitting[0] if fitting else None


def _take_room(cfg: Configuration, name: str, home: Instance, room: _Room) -> None:
    object_name, size_bytes = object_of(cfg, name)
    if (home.id, object_name) in room.objects:
        return
    room.objects.add((home.id, object_name))
    room.free_bytes[home.id] -= size_bytes
