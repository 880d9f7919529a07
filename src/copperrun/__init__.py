"""Serves many models on fewer accelerators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from copperrun.model import Answer
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

if TYPE_CHECKING:
    from copperrun.configuration.schema import Configuration

__all__ = ["Answer", "Configuration", "Ran", "Refusal", "RefusalReason"]


def __getattr__(name: str) -> Any:
    """Import the configuration schema on first use.

    It needs pydantic, which the roles on the users' platform neither use nor install.
    """
    if name == "Configuration":
        from copperrun.configuration.schema import Configuration  # noqa: PLC0415

        return Configuration
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
