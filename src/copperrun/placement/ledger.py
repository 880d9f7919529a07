"""Accelerator memory of one backend server, counted in bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from copperrun.ports.engine import EngineState


class AllocationState(Enum):
    """Why bytes are counted."""

    RESERVED = "reserved"
    RESIDENT = "resident"
    RELEASING = "releasing"


@dataclass
class _Allocation:
    size_bytes: int
    state: AllocationState


class Ledger:
    """Counts the larger of before and after for every change under way."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._allocations: dict[str, _Allocation] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes that are in use or may be."""
        return sum(entry.size_bytes for entry in self._allocations.values())

    @property
    def free_bytes(self) -> int:
        """Bytes that may be reserved."""
        return self.capacity_bytes - self.used_bytes

    def is_resident(self, name: str) -> bool:
        """Return whether calls may use an object."""
        allocation = self._allocations.get(name)
        return allocation is not None and allocation.state is AllocationState.RESIDENT

    def names(self) -> tuple[str, ...]:
        """Return every object that is counted."""
        return tuple(self._allocations)

    def resident(self) -> tuple[str, ...]:
        """Return the objects that calls may use."""
        return tuple(
            name
            for name, entry in self._allocations.items()
            if entry.state is AllocationState.RESIDENT
        )

    def size_bytes(self, name: str) -> int:
        """Return the bytes counted for an object."""
        allocation = self._allocations.get(name)
        return allocation.size_bytes if allocation else 0

    def reserve(self, name: str, size_bytes: int) -> bool:
        """Count an object before its load is ordered; False when it does not fit."""
        if name in self._allocations:
            return self._allocations[name].state is AllocationState.RESERVED
        if size_bytes > self.free_bytes:
            return False
        self._allocations[name] = _Allocation(size_bytes, AllocationState.RESERVED)
        return True

    def begin_release(self, name: str) -> bool:
        """Close an object to new calls before its unload is ordered."""
        allocation = self._allocations.get(name)
        if allocation is None or allocation.state is not AllocationState.RESIDENT:
            return False
        allocation.state = AllocationState.RELEASING
        return True

    def sync_object(self, name: str, state: EngineState) -> None:
        """Replace what is assumed of one object by what the engine reports."""
        sizes = dict(state.resident)
        if name in sizes:
            # The engine's size counts when it differs from the declared one.
            self._allocations[name] = _Allocation(sizes[name], AllocationState.RESIDENT)
        else:
            self._allocations.pop(name, None)

    def sync(self, state: EngineState) -> None:
        """Count everything that an engine holds, and keep what is under way."""
        for name, size_bytes in state.resident:
            if name not in self._allocations:
                self._allocations[name] = _Allocation(
                    size_bytes, AllocationState.RESIDENT
                )
        reported = {name for name, _ in state.resident}
        for name in self.resident():
            if name not in reported:
                del self._allocations[name]
