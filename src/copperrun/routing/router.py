"""Selection of the side for one attempt."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import xxhash

from copperrun.configuration.schema import Configuration
from copperrun.model import Instance
from copperrun.placement.assignments import Assignments
from copperrun.placement.assignments import assign_deployments
from copperrun.placement.assignments import resident_versions
from copperrun.placement.assignments import weights_object
from copperrun.routing.sides import Side
from copperrun.routing.sides import SideSnapshot
from copperrun.routing.sides import SideTable

# Prefix affinity decides up to this multiple of the mean load, plus the slack.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 2  # attempts


class Target(NamedTuple):
    """Routing key of an attempt.

    Attributes:
        deployment: Deployment or service.
        affinity: Hash of the prompt prefix; 0 for none.
    """

    deployment: str
    affinity: int


class Router:
    """Selects by reported and assigned copies, then prefix affinity, then load."""

    def __init__(self, sides: SideTable, random: Random) -> None:
        self._sides = sides
        self._random = random
        self._cfg: Configuration | None = None
        self._instances: Sequence[Instance] = ()
        self._assignments: Assignments = {}

    def set_configuration(self, cfg: Configuration, revision: int) -> None:
        """Apply a new configuration."""
        self._cfg = cfg
        self._assignments = assign_deployments(cfg, self._instances)

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Apply a new instance list."""
        self._instances = instances
        if self._cfg is not None:
            self._assignments = assign_deployments(self._cfg, instances)

    def choose(
        self, target: Target, tried: Collection[str], weights: str = ""
    ) -> Side | None:
        """Return the side for the next attempt, or None when none is left.

        Args:
            target: Routing key.
            tried: Instances that have been tried.
            weights: Weights that have generated a part of the answer; empty when there
                is none yet.
        """
        for tier in self._tiers(target, weights):
            candidates = [
                side
                for side in tier
                if side.usable
                and side.incarnation is not None
                and side.instance.id not in tried
            ]
            if candidates:
                snapshots = [side.snapshot() for side in candidates]
                chosen = choose_side(snapshots, target.affinity, self._random)
                return candidates[snapshots.index(chosen)]
        return None

    def _tiers(self, target: Target, weights: str) -> list[list[Side]]:
        """Return groups of candidates, the preferred group first."""
        cfg = self._cfg
        if cfg is None:
            return []
        service = cfg.services.get(target.deployment)
        if service is not None:
            return [self._sides.in_pool(service.pool)]
        if target.deployment not in cfg.deployments:
            return []
        return self._model_tiers(cfg, target.deployment, weights)

    def _model_tiers(
        self, cfg: Configuration, deployment: str, begun_with: str
    ) -> list[list[Side]]:
        """Return holders of the weights, then of another version, then assigned sides.

        An assigned side may hold the model although its latest hello did not list it;
        it refuses to continue an answer of weights that it does not hold.
        """
        weights = begun_with or weights_object(cfg, deployment)[0]
        model = "" if begun_with else cfg.deployments[deployment].model
        assigned = self._assignments.get(deployment, ())
        pool = self._sides.in_pool(cfg.deployments[deployment].pool)
        return [
            [side for side in pool if weights in side.resident],
            [s for s in pool if model and resident_versions(s.resident, model)],
            [side for side in pool if side.instance.id in assigned],
        ]


def choose_side(
    snapshots: Sequence[SideSnapshot], affinity: int, random: Random
) -> SideSnapshot:
    """Return the side for the prefix if its load allows, else the less loaded of two.

    The two are drawn at random, as in power-of-two-choices balancing.
    """
    if affinity:
        mean = sum(snapshot.load for snapshot in snapshots) / len(snapshots)
        preferred = max(
            snapshots, key=lambda snapshot: _affinity_hash(affinity, snapshot)
        )
        if preferred.load <= AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_SLACK:
            return preferred
    first, second = random.choice(snapshots), random.choice(snapshots)
    return first if first.load <= second.load else second


def _affinity_hash(affinity: int, snapshot: SideSnapshot) -> int:
    return int(xxhash.xxh64_intdigest(snapshot.instance.encode(), affinity))
