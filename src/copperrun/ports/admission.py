"""How an entry reaches the sides beside engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport


class PeerEngine(NamedTuple):
    """One engine of the pool by the latest report of its side.

    Attributes:
        held: Models that new requests may use.
        loading: Models that it is about to load.
        use: Share of the time in which it reads prompts.
        active: Models that have requests running.
    """

    held: frozenset[str]
    loading: frozenset[str]
    utilization: float
    active: frozenset[str] = frozenset()


class DemandReport(NamedTuple):
    """What one entry was asked for, by model.

    Attributes:
        entry: Name of the entry.
        arrivals: Requests since the previous report, served or not.
        waiting: Requests that wait now because no server holds the model.
        queued: Requests that wait now to be admitted to an engine that holds it.
        engines: The pool's engines by address, as their sides told this entry.
    """

    entry: str
    arrivals: Mapping[str, float]
    waiting: Mapping[str, int]
    queued: Mapping[str, int]
    engines: Mapping[str, PeerEngine]


class AdmissionRequest(NamedTuple):
    """One request that asks to enter an engine.

    Attributes:
        request: Identity of the caller's attempt.
        model: Model that it needs.
        adapter: Adapter of the model, or an empty string.
        priority: Rank, 0 first.
        tokens: Prompt tokens.
        gap_ms: Longest pause between its events; 0 for any.
        target_ms: Time left until its first event is due; negative when past.
        remaining_ms: Time left until its deadline.
    """

    request: str
    model: str
    adapter: str
    priority: int
    tokens: int
    gap_ms: int
    target_ms: int
    remaining_ms: int


class Granted(NamedTuple):
    """The request may be sent to the engine now."""


class NotHeld(NamedTuple):
    """The engine does not hold what the request needs and will not have it soon."""


class Overloaded(NamedTuple):
    """The engine cannot serve the request before its deadline.

    Attributes:
        retry_after_ms: When it may be able to.
    """

    retry_after_ms: int


Admission = Granted | NotHeld | Overloaded


class EngineSides(Protocol):
    """Calls of the sides beside engines."""

    async def report_demand(
        self, server: ServerRecord, demand: DemandReport, hold_ms: int
    ) -> ServerReport | SideError:
        """Report demand; the reply comes with a change or after ``hold_ms``."""

    async def admit(
        self, server: ServerRecord, admission_request: AdmissionRequest
    ) -> Admission | SideError:
        """Wait until the engine can take a request, with its adapter loaded."""

    def report_started(self, server: ServerRecord, request: str) -> None:
        """Tell the side, soon, that an admitted request has its first event."""

    def report_ended(self, server: ServerRecord, request: str) -> None:
        """Tell the side, soon, that an admitted request has ended."""

    def send_peer_change(
        self, server: ServerRecord, address: str, engine: PeerEngine
    ) -> None:
        """Tell the side of another engine what the one at ``address`` holds."""
