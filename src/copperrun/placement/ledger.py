"""Accelerator memory of one backend server, counted in bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from copperrun.ports.engine import EngineState


class Holding(Enum):
    """Why bytes are counted."""

    RESERVED = "reserved"
    RESIDENT = "resident"
    RELEASING = "releasing"


@dataclass
class _Entry:
    size_bytes: int
    holding: Holding


class Ledger:
    """Counts the larger of before and after for every change under way."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._entries: dict[str, _Entry] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes that are in use or may be."""
        return sum(entry.size_bytes for entry in self._entries.values())

    @property
    def free_bytes(self) -> int:
        """Bytes that may be reserved."""
        return self.capacity_bytes - self.used_bytes

    def is_resident(self, name: str) -> bool:
        """Return whether calls may use an object."""
        entry = self._entries.get(name)
        return entry is not None and entry.holding is Holding.RESIDENT

    def names(self) -> tuple[str, ...]:
        """Return every object that is counted."""
        return tuple(self._entries)

    def resident(self) -> tuple[str, ...]:
        """Return the objects that calls may use."""
        return tuple(
            name
            for name, entry in self._entries.items()
            if entry.holding is Holding.RESIDENT
        )

    def size_bytes(self, name: str) -> int:
        """Return the bytes counted for an object."""
        entry = self._entries.get(name)
        return entry.size_bytes if entry else 0

    def reserve(self, name: str, size_bytes: int) -> bool:
        """Count an object before its load is ordered; False when it does not fit."""
        if name in self._entries:
            return self._entries[name].holding is Holding.RESERVED
        if size_bytes > self.free_bytes:
            return False
        self._entries[name] = _Entry(size_bytes, Holding.RESERVED)
        return True

    def begin_release(self, name: str) -> bool:
        """Close an object to new calls before its unload is ordered."""
        entry = self._entries.get(name)
        if entry is None or entry.holding is not Holding.RESIDENT:
            return False
        entry.holding = Holding.RELEASING
        return True

    def settle(self, name: str, state: EngineState) -> None:
        """Replace what is assumed of one object by what the engine reports."""
        sizes = dict(state.resident)
        if name in sizes:
            # The engine's size counts when it differs from the declared one.
            self._entries[name] = _Entry(sizes[name], Holding.RESIDENT)
        else:
            self._entries.pop(name, None)

    def adopt(self, state: EngineState) -> None:
        """Count everything that an engine holds, and keep what is under way."""
        for name, size_bytes in state.resident:
            if name not in self._entries:
                self._entries[name] = _Entry(size_bytes, Holding.RESIDENT)
        reported = {name for name, _ in state.resident}
        for name in self.resident():
            if name not in reported:
                del self._entries[name]
