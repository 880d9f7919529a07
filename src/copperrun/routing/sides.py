"""Sides known to an entry, with health checks by periodic hellos."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from typing import NamedTuple

from loguru import logger

from copperrun.model import Instance
from copperrun.model import Load
from copperrun.model import Role
from copperrun.ports.sides import SideError
from copperrun.ports.sides import Sides
from copperrun.ports.sides import SideStatus
from copperrun.ports.timers import Timers

HELLO_INTERVAL_MS = 1_000
MAX_MISSED_REPLIES = 3  # in succession, before a side counts as unresponsive
SERVING = "serving"


class SideSnapshot(NamedTuple):
    """State of a side at the time of a routing decision.

    Attributes:
        instance: Instance name.
        load: Attempts at the side: the larger of its reported load and the attempts
            that this entry has in flight there.
        resident: Objects in accelerator memory at the last hello.
    """

    instance: str
    load: int
    resident: frozenset[str]


class Side:
    """Incarnation, load and health of one side."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.incarnation: int | None = None
        self.resident: frozenset[str] = frozenset()
        self.serving = False
        self.streams = 0
        self._waiting: set[asyncio.Timeout] = set()
        self._load = Load()
        self._missed = 0
        self._has_missed_call = False

    @property
    def usable(self) -> bool:
        """Whether attempts may be sent to it."""
        return self.serving and not self.instance.leaving

    @property
    def address(self) -> str:
        """Address of its internal listener."""
        return self.instance.address

    def snapshot(self) -> SideSnapshot:
        """Return the current state for a routing decision."""
        reported = self._load.queued + self._load.running
        sent = self.streams + len(self._waiting)
        load = max(reported, sent)
        return SideSnapshot(self.instance.id, load, self.resident)

    def update_load(self, load: Load | None) -> None:
        """Record the load that a reply reported, if any."""
        if load is not None:
            self._load = load

    def apply_status(self, status: SideStatus) -> None:
        """Apply the status with which the side answered a hello."""
        self._missed = 0
        self._has_missed_call = False
        if self.incarnation not in (None, status.incarnation):
            logger.info("side restarted", instance=self.instance.id)
            self.abort_waits()
        self.incarnation = status.incarnation
        self.resident = frozenset(status.resident)
        self.serving = status.state == SERVING
        self._load = status.load

    def record_missed_reply(self) -> None:
        """Count an unanswered call, of several between two hellos only the first.

        Calls that end together tell no more than one does.
        """
        if self._has_missed_call:
            return
        self._has_missed_call = True
        self._record_miss()

    def record_missed_hello(self) -> None:
        """Count an unanswered hello."""
        self._has_missed_call = False
        self._record_miss()

    def _record_miss(self) -> None:
        """Abort the waits for a side that has become unresponsive."""
        self._missed += 1
        if self._missed == MAX_MISSED_REPLIES:
            logger.warning("side unresponsive", instance=self.instance.id)
            self.mark_unusable()
            self.abort_waits()

    def mark_unusable(self) -> None:
        """Send no attempts to the side until it answers a hello as serving."""
        self.serving = False

    @contextmanager
    def abort_if_unresponsive(self, scope: asyncio.Timeout) -> Iterator[None]:
        """Expire ``scope`` if the side becomes unresponsive or restarts meanwhile."""
        self._waiting.add(scope)
        try:
            yield
        finally:
            self._waiting.discard(scope)

    def abort_waits(self) -> None:
        """Expire the waits for answers that the side can no longer give."""
        now = asyncio.get_running_loop().time()
        for scope in self._waiting:
            if not scope.expired():
                scope.reschedule(now)


class SideTable:
    """All sides of the instance list by name."""

    def __init__(self, sides: Sides, timers: Timers) -> None:
        self._sides = sides
        self._timers = timers
        self._by_name: dict[str, Side] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Start and stop polling according to a new instance list."""
        listed = {item.id: item for item in instances if item.role is Role.SIDE}
        for name in self._by_name.keys() - listed.keys():
            self._remove(name)
        for name, instance in listed.items():
            side = self._by_name.get(name)
            if side is not None and side.address != instance.address:
                self._remove(name)
                side = None
            if side is None:
                side = self._by_name[name] = Side(instance)
                self._tasks[name] = asyncio.create_task(self._poll(side))
            side.instance = instance

    def find(self, instance_id: str) -> Side | None:
        """Return a side by instance name."""
        return self._by_name.get(instance_id)

    def in_pool(self, pool: str) -> list[Side]:
        """Return the sides of a pool."""
        return [side for side in self._by_name.values() if side.instance.pool == pool]

    def close(self) -> None:
        """Stop polling."""
        for task in self._tasks.values():
            task.cancel()

    async def _poll(self, side: Side) -> None:
        while True:
            status = await self._sides.hello(side.address)
            if isinstance(status, SideError):
                side.record_missed_hello()
            elif status.instance == side.instance.id:
                side.apply_status(status)
            await self._timers.sleep_ms(HELLO_INTERVAL_MS)

    def _remove(self, name: str) -> None:
        # Attempts in flight continue: the list may omit a side that still works.
        del self._by_name[name]
        self._tasks.pop(name).cancel()
