"""One process's view of the platform's instance list."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger

from copperrun.model import Instance
from copperrun.model import Role
from copperrun.ports.instances import Instances
from copperrun.ports.instances import InstancesError
from copperrun.ports.timers import Timers

POLL_INTERVAL_MS = 1_000

Listener = Callable[[Sequence[Instance]], None]


class Directory:
    """Polls the list and notifies listeners of changes; keeps the last good list."""

    def __init__(self, instances: Instances, timers: Timers) -> None:
        self.instances: tuple[Instance, ...] = ()
        self._source = instances
        self._timers = timers
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each new list."""
        self._listeners.append(listener)
        if self.instances:
            listener(self.instances)

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance by its id."""
        for item in self.instances:
            if item.id == instance_id:
                return item
        return None

    def live(self, role: Role) -> list[Instance]:
        """Return the instances of a role that are not leaving."""
        return [
            item for item in self.instances if item.role is role and not item.leaving
        ]

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._timers.sleep_ms(POLL_INTERVAL_MS)

    async def poll(self) -> None:
        """Read the list once."""
        listed = await self._source.list()
        if isinstance(listed, InstancesError):
            logger.warning("instance list not read", detail=listed.detail)
            return
        current = tuple(sorted(listed))
        if current == self.instances:
            return
        self.instances = current
        for listener in self._listeners:
            listener(current)
