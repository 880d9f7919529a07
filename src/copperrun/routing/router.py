"""Choice of a side for one attempt."""

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
from copperrun.routing.peers import Peer
from copperrun.routing.peers import PeerTable
from copperrun.routing.peers import PeerView

LOAD_BOUND = 1.25  # over the mean, up to which prefix affinity decides
LOAD_SLACK = 2


class Target(NamedTuple):
    """What an attempt needs from a side.

    Attributes:
        deployment: Deployment or service.
        affinity: Hash of the prompt prefix; 0 for none.
    """

    deployment: str
    affinity: int


class Router:
    """Prefers homes and known copies, then affinity, then the lesser load."""

    def __init__(self, peers: PeerTable, random: Random) -> None:
        self._peers = peers
        self._random = random
        self._cfg: Configuration | None = None
        self._instances: Sequence[Instance] = ()
        self._homes: Assignments = {}

    def set_configuration(self, cfg: Configuration, revision: int) -> None:
        """Take a new configuration."""
        self._cfg = cfg
        self._homes = assign_deployments(cfg, self._instances)

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Take a new instance list."""
        self._instances = instances
        if self._cfg is not None:
            self._homes = assign_deployments(self._cfg, instances)

    def choose(self, target: Target, tried: Collection[str]) -> Peer | None:
        """Return the side for the next attempt, or None when none is left."""
        for tier in self._tiers(target):
            candidates = [
                peer
                for peer in tier
                if peer.usable
                and peer.incarnation is not None
                and peer.instance.id not in tried
            ]
            if candidates:
                views = [peer.view() for peer in candidates]
                chosen = choose_view(views, target.affinity, self._random)
                return candidates[views.index(chosen)]
        return None

    def _tiers(self, target: Target) -> list[list[Peer]]:
        """Return candidates, the better ones first."""
        cfg = self._cfg
        if cfg is None:
            return []
        service = cfg.services.get(target.deployment)
        if service is not None:
            return [self._peers.in_pool(service.pool)]
        if target.deployment not in cfg.deployments:
            return []
        return self._model_tiers(cfg, target.deployment)

    def _model_tiers(self, cfg: Configuration, deployment: str) -> list[list[Peer]]:
        """Return the known holders of a model version, of another one, then its homes.

        A home may hold the model without this entry having heard of it yet.
        """
        weights, _ = weights_object(cfg, deployment)
        model = cfg.deployments[deployment].model
        homes = self._homes.get(deployment, ())
        pool = self._peers.in_pool(cfg.deployments[deployment].pool)
        return [
            [peer for peer in pool if weights in peer.resident],
            [peer for peer in pool if resident_versions(peer.resident, model)],
            [peer for peer in pool if peer.instance.id in homes],
        ]


def choose_view(views: Sequence[PeerView], affinity: int, random: Random) -> PeerView:
    """Choose by prefix affinity within a load bound, else the less loaded of two."""
    if affinity:
        mean = sum(view.load for view in views) / len(views)
        favourite = max(views, key=lambda view: _affinity_rank(affinity, view))
        if favourite.load <= LOAD_BOUND * mean + LOAD_SLACK:
            return favourite
    first, second = random.choice(views), random.choice(views)
    return first if first.load <= second.load else second


def _affinity_rank(affinity: int, view: PeerView) -> int:
    return int(xxhash.xxh64_intdigest(view.instance.encode(), affinity))
