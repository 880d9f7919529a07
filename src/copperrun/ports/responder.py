"""Answers to callers."""

from __future__ import annotations

from typing import Protocol

from copperrun.model import Refusal
from copperrun.ports.backends import AnswerHead


class Responder(Protocol):
    """Writes the answer to one request; its task is cancelled if the caller leaves."""

    async def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head; ``length`` is that of the body, or None for a chunked body."""

    async def write(self, data: bytes) -> None:
        """Send part of the body."""

    async def finish(self) -> None:
        """End the complete body."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal or failure that copperrun itself reports."""

    def abort(self) -> None:
        """Close the connection, so that a partial answer does not look complete."""
