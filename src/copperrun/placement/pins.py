"""Pins: promises of other sides to keep an object, needed before an unload here."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from copperrun.membership.directory import Directory
from copperrun.ports.sides import SideError
from copperrun.ports.sides import Sides


class PinClient:
    """Requests pins from other sides.

    A side refuses a pin on an object that it is about to unload itself. So at least one
    of the sides that hold an object neither has unloaded it nor is about to: a side
    unloads its copy only after another one, which was not unloading its own, granted a
    pin, and that side in turn needs a pin of a third side before it unloads.
    """

    def __init__(self, sides: Sides, directory: Directory) -> None:
        self._sides = sides
        self._directory = directory

    async def obtain(self, name: str, instances: Iterable[str]) -> bool:
        """Return whether one of ``instances`` granted a pin on object ``name``."""
        for instance_id in instances:
            instance = self._directory.find(instance_id)
            if instance is None or instance.leaving:
                continue
            granted = await self._sides.pin(instance.address, name)
            if isinstance(granted, SideError):
                logger.warning("pin request failed", side=instance_id, name=name)
            elif granted:
                return True
        return False
