"""Accelerator memory accounting of one backend server, in bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from copperrun.ports.engine import EngineState


class AllocationState(Enum):
    """Why an object's bytes are counted.

    Attributes:
        RESERVED: Its load has been or is about to be ordered.
        RESIDENT: Calls may use it.
        RELEASING: Its unload has been or is about to be ordered.
    """

    RESERVED = "reserved"
    RESIDENT = "resident"
    RELEASING = "releasing"


@dataclass
class _Allocation:
    size_bytes: int
    state: AllocationState


class Ledger:
    """Accounts for memory that is in use or may be.

    An object counts from before its load is ordered until its unload is confirmed.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._allocations: dict[str, _Allocation] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes of all objects, with those whose load or unload is pending."""
        return sum(allocation.size_bytes for allocation in self._allocations.values())

    @property
    def free_bytes(self) -> int:
        """Bytes that may be reserved."""
        return self.capacity_bytes - self.used_bytes

    def is_resident(self, name: str) -> bool:
        """Return whether an object is loaded and may be used by calls."""
        allocation = self._allocations.get(name)
        return allocation is not None and allocation.state is AllocationState.RESIDENT

    def names(self) -> tuple[str, ...]:
        """Return the names of all counted objects."""
        return tuple(self._allocations)

    def resident(self) -> tuple[str, ...]:
        """Return the names of the objects that calls may use."""
        return tuple(
            name
            for name, allocation in self._allocations.items()
            if allocation.state is AllocationState.RESIDENT
        )

    def size_bytes(self, name: str) -> int:
        """Return the bytes counted for an object; 0 when it is not counted."""
        allocation = self._allocations.get(name)
        return allocation.size_bytes if allocation else 0

    def reserve(self, name: str, size_bytes: int) -> bool:
        """Reserve memory before a load is ordered; False when it does not fit."""
        if name in self._allocations:
            return self._allocations[name].state is AllocationState.RESERVED
        if size_bytes > self.free_bytes:
            return False
        self._allocations[name] = _Allocation(size_bytes, AllocationState.RESERVED)
        return True

    def begin_release(self, name: str) -> bool:
        """Stop new calls of an object before its unload; False if not resident."""
        allocation = self._allocations.get(name)
        if allocation is None or allocation.state is not AllocationState.RESIDENT:
            return False
        allocation.state = AllocationState.RELEASING
        return True

    def sync_object(self, name: str, state: EngineState) -> None:
        """Update one object from the engine's state."""
        sizes = dict(state.resident)
        if name in sizes:
            # The engine may report another size than the configured one.
            self._allocations[name] = _Allocation(sizes[name], AllocationState.RESIDENT)
        else:
            self._allocations.pop(name, None)

    def sync(self, state: EngineState) -> None:
        """Update resident objects from the engine's state; keep pending changes."""
        for name, size_bytes in state.resident:
            if name not in self._allocations:
                self._allocations[name] = _Allocation(
                    size_bytes, AllocationState.RESIDENT
                )
        reported = {name for name, _ in state.resident}
        for name in self.resident():
            if name not in reported:
                del self._allocations[name]
