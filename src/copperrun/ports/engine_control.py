"""Status of the engine beside a side, and its numbered load and unload orders."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.admission.memory import MemoryReport
from copperrun.placement.adapter_slots import AdapterKey
from copperrun.ports.engine import OrderKind


class EngineStatus(NamedTuple):
    """Status that an engine reports.

    Attributes:
        born_ms: Unix milliseconds of its start.
        held: Loaded adapters by loaded model.
        loading_adapters: Adapters being loaded.
        busy: Whether it is loading or unloading a model.
        sequence: Number of orders accepted since its start.
        running: Requests in its batch.
        queued: Requests waiting.
        in_host: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
        memory: Its own count of its memory; None when it states none.
    """

    born_ms: int
    held: Mapping[str, frozenset[str]]
    loading_adapters: frozenset[AdapterKey]
    busy: bool
    sequence: int
    running: int
    queued: int
    in_host: frozenset[str]
    on_disk: frozenset[str]
    memory: MemoryReport | None = None


class EngineOrder(NamedTuple):
    """Order to load or unload a model or adapter.

    Attributes:
        kind: Load or unload.
        model: Model to load or unload, or the adapter's model.
        adapter: Adapter of the model, or an empty string for the model itself.
        epoch: Fencing token of the side.
        after_sequence: Number of orders that the engine must have accepted before it.
        server_id: Id of the engine start that it is meant for; empty when unknown.
    """

    kind: OrderKind
    model: str
    adapter: str
    epoch: int
    after_sequence: int
    server_id: str


class OrderResult(Enum):
    """Outcome of an order.

    Attributes:
        ACCEPTED: It is being carried out.
        WRONG_START: It was meant for another start of the engine; nothing was done.
        IN_EFFECT: The engine is already in the requested state.
        CONFLICT: Another order is under way or came before; nothing was done.
        REFUSED: The engine refused it or was not reached; nothing was done.
        UNANSWERED: No reply; it may have been accepted, or may still be carried out
            unless another order is accepted first.
    """

    ACCEPTED = "accepted"
    WRONG_START = "wrong_start"
    IN_EFFECT = "holds"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class OrderReply(NamedTuple):
    """Reply to an order.

    Attributes:
        result: Outcome of the order.
        server_id: Id of the engine's current start; empty when not stated.
    """

    result: OrderResult
    server_id: str = ""


class EngineControl(Protocol):
    """Status and orders of one engine."""

    async def status(self) -> EngineStatus | None:
        """Return the engine's status, or None when it cannot be read."""

    async def order(self, order: EngineOrder) -> OrderReply:
        """Send an order."""
