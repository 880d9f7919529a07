"""Calls from an entry to the sides that run attempts."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Chunk
from copperrun.model import Load
from copperrun.model import Refusal
from copperrun.model import StreamEnd
from copperrun.model import StreamStart


class SideErrorReason(Enum):
    """Why a call to a side failed."""

    UNREACHABLE = "unreachable"
    ANSWER_LOST = "answer_lost"


class SideError(NamedTuple):
    """A failed call to a side; returned, not raised.

    Attributes:
        reason: ``UNREACHABLE`` when nothing was sent, ``ANSWER_LOST`` when the
            attempt may have reached the side.
        detail: One line for the operator's log.
    """

    reason: SideErrorReason
    detail: str


class SideStatus(NamedTuple):
    """Status that a side reports.

    Attributes:
        instance: Instance name.
        incarnation: Random number that identifies this start of the process.
        state: Lifecycle state.
        revision: Configuration offset in force.
        load: Current load.
        resident: Objects in accelerator memory.
    """

    instance: str
    incarnation: int
    state: str
    revision: int
    load: Load
    resident: tuple[str, ...]


class SideReply(NamedTuple):
    """Outcome of an attempt without a stream, with the side's load.

    Attributes:
        outcome: Answer, refusal or transport error.
        load: Load reported by the side, if any.
    """

    outcome: Answer | Refusal | SideError
    load: Load | None = None


StreamItem = StreamStart | Chunk | StreamEnd | Refusal | SideError


class Sides(Protocol):
    """Calls from an entry to a side, by address."""

    async def submit(self, address: str, attempt: Attempt) -> SideReply:
        """Send an attempt and wait for its complete answer."""

    def stream(
        self, address: str, attempt: Attempt
    ) -> AsyncGenerator[StreamItem, None]:
        """Send an attempt and yield its chunks; the last item is not a chunk."""

    async def cancel(self, address: str, attempt_id: AttemptId) -> bool | SideError:
        """Cancel an attempt; return whether it had started."""

    async def pin(self, address: str, name: str) -> bool | SideError:
        """Ask a side to keep an object resident; return whether it agrees."""

    async def hello(self, address: str) -> SideStatus | SideError:
        """Ask a side for its status."""
