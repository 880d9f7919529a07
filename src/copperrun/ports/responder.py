"""The caller's side of one request."""

from __future__ import annotations

from typing import Protocol

from copperrun.model import Refusal
from copperrun.ports.backends import AnswerHead


class Responder(Protocol):
    """Writes the answer of one request; a caller that left cancels its task."""

    async def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head; ``length`` is the body's, or None for a chunked body."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End a whole body."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal or failure of copperrun's own."""

    def abort(self) -> None:
        """Break the connection, so that a partial answer does not look whole."""
