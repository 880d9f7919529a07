"""Entry process of copperrun's own API: its parts and its tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from copperrun.admission.credits import Credits
from copperrun.admission.limits import CallerLimiter
from copperrun.admission.uses import QuotaBounds
from copperrun.configuration.follower import ConfigurationFollower
from copperrun.configuration.snapshots import Snapshotter
from copperrun.entry.gateway import Gateway
from copperrun.membership.directory import Directory
from copperrun.membership.lifecycle import Lifecycle
from copperrun.membership.lifecycle import State
from copperrun.model import Instance
from copperrun.model import Role
from copperrun.ports.allotments import AllotmentKeepers
from copperrun.ports.configuration_peers import ConfigurationPeers
from copperrun.ports.instances import Instances
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.sides import Sides
from copperrun.ports.timers import Timers
from copperrun.routing.dispatcher import Dispatcher
from copperrun.routing.router import Router
from copperrun.routing.sides import SideTable


class EntryPorts(NamedTuple):
    """External dependencies of an entry."""

    log: Log
    instances: Instances
    sides: Sides
    timers: Timers
    metrics: Metrics
    open_peers: Callable[[Directory], ConfigurationPeers]
    open_keepers: Callable[[Directory], AllotmentKeepers]


class EntryProcess:
    """Wires the parts of an entry and runs its tasks."""

    def __init__(
        self,
        instance: str,
        ports: EntryPorts,
        *,
        default_deadline_ms: int,
        random: Random | None = None,
    ) -> None:
        self.instance = instance
        self.lifecycle = Lifecycle(instance)
        self.directory = Directory(ports.instances, ports.timers)
        self.follower = ConfigurationFollower(
            ports.log,
            ports.open_peers(self.directory),
            ports.timers,
            ports.metrics,
        )
        self.sides = SideTable(ports.sides, ports.timers)
        router = Router(self.sides, random or Random())
        keepers = ports.open_keepers(self.directory)
        credits = Credits(keepers, ports.timers, QuotaBounds())
        limiter = CallerLimiter(credits, ports.timers)
        dispatcher = Dispatcher(
            router, self.sides, ports.sides, ports.timers, ports.metrics
        )
        self.gateway = Gateway(
            self.follower,
            limiter,
            dispatcher,
            ports.timers,
            ports.metrics,
            default_deadline_ms,
        )
        self._snapshotter = Snapshotter(
            instance, ports.log, self.follower.state, self.directory, ports.timers
        )
        self._limiter = limiter
        self._router = router

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new requests.

        An entry with a gap in its configuration is not ready: it could admit requests
        by outdated rules.
        """
        return self.lifecycle.accepts_work and self.follower.state.is_complete()

    async def run(self) -> None:
        """Follow the log and the instance list until cancelled."""
        self.directory.subscribe(self._set_instances)
        self.follower.subscribe(self._router.set_configuration)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self.directory.run())
            tasks.create_task(self._snapshotter.run())
            await self.follower.wait_for_configuration()
            if self.lifecycle.state is State.STARTING:
                self.lifecycle.serve()

    def close(self) -> None:
        """Stop following the sides."""
        self.sides.close()
        self._limiter.close()

    def _set_instances(self, instances: Sequence[Instance]) -> None:
        self.sides.set_instances(instances)
        self._router.set_instances(instances)
        sides = [side.id for side in self.directory.live(Role.SIDE)]
        self._limiter.set_instances(sides, len(self.directory.live(Role.ENTRY)))
        own = self.directory.find(self.instance)
        if own is not None and own.leaving:
            self.lifecycle.leave()
