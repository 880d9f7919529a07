"""What requests cost servers, as learned from those that have ended."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class CostKind(NamedTuple):
    """Requests that are expected to cost alike.

    Attributes:
        route: Name of the route.
        model: Model, or the HTTP method of a plain request.
        account: Client account; empty for none.
    """

    route: str
    model: str
    account: str = ""


class OutputEstimate(NamedTuple):
    """Tokens that a request will generate.

    Attributes:
        expected: Mean of what is likely, given what it has generated.
        likely: Most that it will hardly exceed.
    """

    expected: int
    likely: int


class Costs(Protocol):
    """Estimates of what a request costs."""

    def estimate_output(
        self, kind: CostKind, *, hint: int, limit: int, generated: int = 0
    ) -> OutputEstimate:
        """Return the tokens that a request will generate in all.

        Args:
            kind: Kind of the request.
            hint: The caller's estimate; 0 for none.
            limit: Most tokens that it may generate; 0 when not stated.
            generated: Tokens that it has generated so far.
        """

    def estimate_call_ms(self, kind: CostKind) -> float:
        """Return the time of a plain request at a server with nothing else to do."""

    def record_output(self, kind: CostKind, *, hint: int, generated: int) -> None:
        """Record the tokens of a complete answer."""

    def record_call(self, kind: CostKind, elapsed_ms: float) -> None:
        """Record the time of a complete answer to a plain request."""
