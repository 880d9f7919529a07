"""The platform's instance list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from copperrun.model import Instance


class InstancesError(NamedTuple):
    """The list could not be read.

    Attributes:
        detail: One line for the operator's log.
    """

    detail: str


class Instances(Protocol):
    """Live and leaving instances; the list may be out of date."""

    async def list(self) -> Sequence[Instance] | InstancesError:
        """Return the instances that the platform lists."""
