"""The model engine beside a side process."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.model import Answer


class EngineErrorReason(Enum):
    """Why an engine call failed."""

    UNREACHABLE = "unreachable"
    ANSWER_LOST = "answer_lost"
    REFUSED = "refused"
    STALE_ORDER = "stale_order"


class EngineError(NamedTuple):
    """A failed engine call; returned, not raised.

    Attributes:
        reason: ``UNREACHABLE`` when nothing was sent, ``ANSWER_LOST`` when the call
            may have taken effect, ``REFUSED`` and ``STALE_ORDER`` when it did not.
        detail: One line for the operator's log.
    """

    reason: EngineErrorReason
    detail: str


class OrderKind(Enum):
    """Operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderNumber(NamedTuple):
    """Fencing number of an order; later epochs and sequences are greater."""

    epoch: int
    sequence: int


class Order(NamedTuple):
    """One order to an engine.

    Attributes:
        number: Fencing number.
        kind: Load or unload.
        name: Model version or adapter object.
        size_bytes: Accelerator memory that the object needs.
    """

    number: OrderNumber
    kind: OrderKind
    name: str
    size_bytes: int


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        memory_bytes: Total accelerator memory.
        resident: Loaded objects with their sizes in bytes.
        last_order: Greatest fencing number that the engine carried out.
        busy: Whether an order is being carried out.
    """

    memory_bytes: int
    resident: Sequence[tuple[str, int]]
    last_order: OrderNumber
    busy: bool


class EngineCall(NamedTuple):
    """One generation at an engine.

    Attributes:
        request_id: Id of the generation at the engine, for cancellation.
        path: OpenAI path, such as ``/v1/chat/completions``.
        model: Loaded model object.
        adapter: Loaded adapter object, or an empty string.
        priority: Lower runs first.
        body: Caller's JSON body.
        resume_chunks: Number of chunks already delivered.
        resume_text: Their text.
    """

    request_id: str
    path: str
    model: str
    adapter: str
    priority: int
    body: bytes
    resume_chunks: int = 0
    resume_text: str = ""


class Engine(Protocol):
    """Calls, orders and state of one engine."""

    async def complete(self, call: EngineCall) -> Answer | EngineError:
        """Generate the complete answer."""

    def stream(self, call: EngineCall) -> AsyncGenerator[str | EngineError, None]:
        """Generate event payloads; an ``EngineError`` ends an interrupted stream."""

    async def cancel(self, request_id: str) -> EngineError | None:
        """Stop a generation and free its memory."""

    async def order(self, order: Order) -> EngineState | EngineError:
        """Carry out an order and return the state after it."""

    async def state(self) -> EngineState | EngineError:
        """Return the engine's state."""
