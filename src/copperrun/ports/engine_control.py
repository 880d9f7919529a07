"""Control of the engine beside a side: its status and numbered orders."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.placement.adapter_slots import AdapterKey
from copperrun.ports.engine import OrderKind


class EngineStatus(NamedTuple):
    """What an engine reports of itself.

    Attributes:
        born_ms: Unix milliseconds of its start.
        held: Loaded adapters by loaded model.
        coming: Adapters on their way.
        busy: Whether a model order is being carried out.
        sequence: Orders accepted since its start.
        running: Requests in its batch.
        queued: Requests waiting.
        in_host: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
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


class EngineOrder(NamedTuple):
    """One order.

    Attributes:
        kind: Load or unload.
        model: Model that it concerns.
        adapter: Adapter of the model, or an empty string for the model itself.
        epoch: Fencing number of the side.
        after_sequence: Orders that the engine must have accepted before this one.
        server_id: Start of the engine that it is meant for; empty when not known.
    """

    kind: OrderKind
    model: str
    adapter: str
    epoch: int
    after_sequence: int
    server_id: str


class OrderResult(Enum):
    """What became of an order.

    Attributes:
        ACCEPTED: It is being carried out.
        WRONG_START: It was meant for another start of the engine; nothing was done.
        HOLDS: What it asks for holds already.
        CONFLICT: Another order is under way or came before; nothing was done.
        REFUSED: The engine will not do it; nothing was done.
        UNANSWERED: It may have been accepted, or may be carried out later unless
            another order is accepted first.
    """

    ACCEPTED = "accepted"
    WRONG_START = "wrong_start"
    IN_EFFECT = "holds"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class OrderReply(NamedTuple):
    """Answer to an order.

    Attributes:
        result: What became of it.
        server_id: Identity of the engine's present start; empty when not told.
    """

    result: OrderResult
    server_id: str = ""


class EngineControl(Protocol):
    """One engine."""

    async def status(self) -> EngineStatus | None:
        """Return the engine's status, or None when it cannot be read."""

    async def order(self, order: EngineOrder) -> OrderReply:
        """Give an order."""
