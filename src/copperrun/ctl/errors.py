"""Errors reported to operators."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class ToolErrorReason(Enum):
    """Why a command failed; the value is the exit code."""

    FAILED = 1
    USAGE = 2
    REJECTED = 3
    PLATFORM = 4


class ToolError(NamedTuple):
    """A failed command; returned, not raised.

    Attributes:
        reason: The kind of failure, with its exit code.
        detail: One line with the input at fault and the remedy.
    """

    reason: ToolErrorReason
    detail: str
