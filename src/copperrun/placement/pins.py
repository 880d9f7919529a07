"""Promises of other sides to keep an object, asked for before a copy is dropped."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from copperrun.membership.directory import Directory
from copperrun.ports.sides import SideError
from copperrun.ports.sides import Sides


class PinClient:
    """Asks other sides for pins.

    A side refuses a pin on what it is about to drop itself. So of all sides that hold
    an object, at least one has neither dropped it nor is about to: each dropper relies
    on one that, when asked, was not dropping, and that one needs a pin of its own from
    a third before it may start.
    """

    def __init__(self, sides: Sides, directory: Directory) -> None:
        self._sides = sides
        self._directory = directory

    async def obtain(self, name: str, instances: Iterable[str]) -> bool:
        """Return whether one of ``instances`` promised to keep ``name``."""
        for instance_id in instances:
            instance = self._directory.find(instance_id)
            if instance is None or instance.leaving:
                continue
            granted = await self._sides.pin(instance.address, name)
            if isinstance(granted, SideError):
                logger.warning("pin not answered", side=instance_id, name=name)
            elif granted:
                return True
        return False
