"""The platform's weight store."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class WeightsError(NamedTuple):
    """The store did not answer or does not have the object.

    Attributes:
        missing: Whether the store answered that the object does not exist.
        detail: One line for the operator's log.
    """

    missing: bool
    detail: str


class WeightObject(NamedTuple):
    """Weights of one model version or adapter.

    Attributes:
        name: Object name.
        size_bytes: Size in bytes.
    """

    name: str
    size_bytes: int


class Weights(Protocol):
    """Catalogue of the rate-limited store that engines load from."""

    async def describe(self, name: str) -> WeightObject | WeightsError:
        """Return the size of an object without loading it."""
