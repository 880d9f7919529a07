"""A plain service beside a side process."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.model import Answer


class ServiceErrorReason(Enum):
    """Why a service call failed."""

    UNREACHABLE = "unreachable"
    ANSWER_LOST = "answer_lost"


class ServiceError(NamedTuple):
    """A failed service call; returned, not raised.

    Attributes:
        reason: ``UNREACHABLE`` when nothing was sent, ``ANSWER_LOST`` when the call
            may have been executed.
        detail: One line for the operator's log.
    """

    reason: ServiceErrorReason
    detail: str


class ServiceCall(NamedTuple):
    """One call of a plain service.

    Attributes:
        method: HTTP method.
        path: Path with query, without the deployment's prefix.
        content_type: Media type of ``body``.
        idempotency_key: Caller's key, or an empty string.
        body: Request body.
    """

    method: str
    path: str
    content_type: str
    idempotency_key: str
    body: bytes


class Service(Protocol):
    """Calls of one plain service."""

    async def call(self, call: ServiceCall) -> Answer | ServiceError:
        """Execute the call and return the complete answer."""
