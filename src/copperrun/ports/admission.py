"""Demand reports and admission between entries and the sides of engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.routing.servers import ServerRecord
from copperrun.routing.servers import ServerReport


class PeerEngine(NamedTuple):
    """State of one engine of the pool, from the latest report of its side.

    Attributes:
        held: Loaded models that new requests may use.
        loading: Models that are being loaded or are planned next.
        utilization: Fraction of time spent on prefill.
        active: Models that have running requests.
    """

    held: frozenset[str]
    loading: frozenset[str]
    utilization: float
    active: frozenset[str] = frozenset()


class DemandReport(NamedTuple):
    """Demand that one entry sees, by model.

    Attributes:
        entry: Name of the entry.
        arrivals: Requests received since the previous report, served or not.
        waiting: Requests waiting now because no server holds the model.
        queued: Requests waiting now for admission to an engine that holds it.
        engines: The pool's engines by address, as their sides reported them.
        continuing: Begun streams waiting now because no engine of the software version
            of the side's engine, at which alone they may go on, holds the model.
    """

    entry: str
    arrivals: Mapping[str, float]
    waiting: Mapping[str, int]
    queued: Mapping[str, int]
    engines: Mapping[str, PeerEngine]
    continuing: Mapping[str, int] = {}


class PromptPart(NamedTuple):
    """A part of a prompt that requests of one model may share."""

    id: str
    tokens: int


class AdmissionRequest(NamedTuple):
    """Request for admission to an engine.

    Attributes:
        request: Id of the caller's attempt.
        model: Model that it needs.
        adapter: Adapter of the model, or an empty string.
        priority: Rank; 0 is served first.
        tokens: Prompt tokens.
        gap_ms: Longest allowed pause between its events; 0 for no limit.
        target_ms: Time left until its first event is due; negative when past.
        remaining_ms: Time left until its deadline.
        account: Client account of the caller; empty for none.
        output_tokens: Most tokens that it may generate; 0 when not stated.
        expected_output: Tokens that it is expected to generate; 0 when not known.
        likely_output: Tokens that it will hardly exceed; 0 when not known.
        alternatives: Other engines that could take it now.
        continues: Whether it continues a stream, which only few engines may do.
        parts: Parts of the prompt that it may share with others, in order.
        body_bytes: Size of its body.
    """

    request: str
    model: str
    adapter: str
    priority: int
    tokens: int
    gap_ms: int
    target_ms: int
    remaining_ms: int
    account: str = ""
    output_tokens: int = 0
    expected_output: int = 0
    likely_output: int = 0
    alternatives: int = 0
    continues: bool = False
    parts: tuple[PromptPart, ...] = ()
    body_bytes: int = 0


class Granted(NamedTuple):
    """The request may be sent to the engine now.

    Attributes:
        born_ms: Start time of the engine process in Unix milliseconds; 0 when unknown.
        server_id: Server id of that process; empty when unknown.
    """

    born_ms: int = 0
    server_id: str = ""


class NotHeld(NamedTuple):
    """The model or adapter is not loaded and will not be soon."""


class Overloaded(NamedTuple):
    """The engine cannot serve the request before its deadline.

    Attributes:
        retry_after_ms: Delay after which it may be able to.
    """

    retry_after_ms: int


Admission = Granted | NotHeld | Overloaded


class EngineSides(Protocol):
    """Calls to the sides beside engines, which admit requests to them."""

    async def report_demand(
        self, server: ServerRecord, demand: DemandReport, hold_ms: int
    ) -> ServerReport | SideError:
        """Report demand; the side replies on a change or after ``hold_ms``."""

    async def admit(
        self, server: ServerRecord, admission_request: AdmissionRequest
    ) -> Admission | SideError:
        """Wait until the engine can take a request, with its adapter loaded."""

    def report_started(self, server: ServerRecord, request: str) -> None:
        """Notify the side, in the next batch, of a request's first event."""

    def report_ended(self, server: ServerRecord, request: str) -> None:
        """Notify the side, in the next batch, that an admitted request ended."""

    def send_peer_change(
        self, server: ServerRecord, address: str, engine: PeerEngine
    ) -> None:
        """Notify another engine's side of the state of the one at ``address``."""
