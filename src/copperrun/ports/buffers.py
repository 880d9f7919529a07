"""Memory for answers that are collected before they are sent."""

from __future__ import annotations

from typing import Protocol


class AnswerBuffers(Protocol):
    """Grants memory out of what a process may hold for all callers."""

    def take_collected(self, size: int) -> bool:
        """Grant ``size`` bytes, or return False."""

    def return_collected(self, size: int) -> None:
        """Return granted bytes."""


class UnboundedBuffers:
    """Grants all."""

    def take_collected(self, size: int) -> bool:
        """Grant ``size`` bytes."""
        return True

    def return_collected(self, size: int) -> None:
        """Return granted bytes."""
