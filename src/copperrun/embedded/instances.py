"""Stand-in for the platform's instance list."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from copperrun.model import Instance
from copperrun.ports.instances import InstancesError
from copperrun.ports.timers import Timers


@dataclass
class InstancesFaults:
    """Faults that tests inject.

    Attributes:
        down: Reads fail.
        lag_ms: Age of the list that reads return.
    """

    down: bool = False
    lag_ms: int = 0


class _ListVersion(NamedTuple):
    at_ms: int
    instances: tuple[Instance, ...]


class InstancesStandIn:
    """A list that tests change and that reads return with a lag."""

    def __init__(self, timers: Timers, instances: Sequence[Instance] = ()) -> None:
        self.faults = InstancesFaults()
        self._timers = timers
        self._history = [_ListVersion(timers.now_ms(), tuple(instances))]

    async def list(self) -> Sequence[Instance] | InstancesError:
        """Return the instances as they were ``lag_ms`` ago."""
        if self.faults.down:
            return InstancesError("instance list is down")
        limit = self._timers.now_ms() - self.faults.lag_ms
        visible = self._history[0]
        for version in self._history:
            if version.at_ms <= limit:
                visible = version
        return visible.instances

    def put(self, instance: Instance) -> None:
        """Add an instance, or replace the one with the same id."""
        others = [
            item for item in self._history[-1].instances if item.id != instance.id
        ]
        self._record((*others, instance))

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        instances = self._history[-1].instances
        self._record(tuple(item for item in instances if item.id != instance_id))

    def mark_leaving(self, instance_id: str) -> None:
        """Mark an instance as leaving."""
        for instance in self._history[-1].instances:
            if instance.id == instance_id:
                self.put(instance._replace(leaving=True))

    def _record(self, instances: tuple[Instance, ...]) -> None:
        self._history.append(_ListVersion(self._timers.now_ms(), instances))
