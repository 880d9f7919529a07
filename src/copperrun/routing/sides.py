"""Sides as an entry knows them; one task follows each."""

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
MAX_MISSED_REPLIES = 3  # after which a side counts as lost
SERVING = "serving"


class SideSnapshot(NamedTuple):
    """What routing needs to know of a side.

    Attributes:
        instance: Instance name.
        load: Last reported attempts and those sent since.
        resident: Objects in accelerator memory at the last hello.
    """

    instance: str
    load: int
    resident: frozenset[str]


class Side:
    """One side: its incarnation, load and health."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.incarnation: int | None = None
        self.resident: frozenset[str] = frozenset()
        self.serving = False
        self.streams = 0
        self._waiting: set[asyncio.Timeout] = set()
        self._load = Load()
        self._missed = 0

    @property
    def usable(self) -> bool:
        """Whether attempts may be sent to it."""
        return self.serving and not self.instance.leaving

    @property
    def address(self) -> str:
        """Address of its internal listener."""
        return self.instance.address

    def snapshot(self) -> SideSnapshot:
        """Return what routing needs to know."""
        reported = self._load.queued + self._load.running
        sent = self.streams + len(self._waiting)
        load = max(reported, sent)
        return SideSnapshot(self.instance.id, load, self.resident)

    def update_load(self, load: Load | None) -> None:
        """Take the load that came back with an answer."""
        if load is not None:
            self._load = load

    def apply_status(self, status: SideStatus) -> None:
        """Take a side's answer to a hello."""
        self._missed = 0
        if self.incarnation not in (None, status.incarnation):
            logger.info("side restarted", instance=self.instance.id)
            self.abort_waits()
        self.incarnation = status.incarnation
        self.resident = frozenset(status.resident)
        self.serving = status.state == SERVING
        self._load = status.load

    def record_missed_reply(self) -> None:
        """Note an unanswered hello; a lost side's attempts end at once."""
        self._missed += 1
        if self._missed == MAX_MISSED_REPLIES:
            logger.warning("side lost", instance=self.instance.id)
            self.mark_unusable()
            self.abort_waits()

    def mark_unusable(self) -> None:
        """Send nothing to the side until it answers a hello as serving."""
        self.serving = False

    @contextmanager
    def abort_when_lost(self, scope: asyncio.Timeout) -> Iterator[None]:
        """Let the wait inside ``scope`` end when the side is lost."""
        self._waiting.add(scope)
        try:
            yield
        finally:
            self._waiting.discard(scope)

    def abort_waits(self) -> None:
        """End the waits for answers that cannot come any more."""
        now = asyncio.get_running_loop().time()
        for scope in self._waiting:
            if not scope.expired():
                scope.reschedule(now)


class SideTable:
    """The sides of the instance list."""

    def __init__(self, sides: Sides, timers: Timers) -> None:
        self._sides = sides
        self._timers = timers
        self._by_name: dict[str, Side] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Follow the sides of a new list."""
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
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()

    async def _poll(self, side: Side) -> None:
        while True:
            status = await self._sides.hello(side.address)
            if isinstance(status, SideError):
                side.record_missed_reply()
            elif status.instance == side.instance.id:
                side.apply_status(status)
            await self._timers.sleep_ms(HELLO_INTERVAL_MS)

    def _remove(self, name: str) -> None:
        # Attempts in flight go on: the list may have dropped a side that works.
        del self._by_name[name]
        self._tasks.pop(name).cancel()
