"""How an entry reaches the sides beside engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.routing.fleet import ServerRecord
from copperrun.routing.fleet import ServerReport


class PeerEngine(NamedTuple):
    """One engine of the pool by the latest report of its side.

    Attributes:
        held: Models that new requests may use.
        loading: Models that it is about to load.
        load: Requests that run or wait there.
    """

    held: frozenset[str]
    loading: frozenset[str]
    load: int


class Demand(NamedTuple):
    """What one entry was asked for, by model.

    Attributes:
        entry: Name of the entry.
        arrivals: Requests since the previous report, served or not.
        waiting: Requests that wait now because no server holds the model.
        engines: The pool's engines by id, as their sides told this entry.
    """

    entry: str
    arrivals: Mapping[str, float]
    waiting: Mapping[str, int]
    engines: Mapping[str, PeerEngine]


class Engines(Protocol):
    """Calls of the sides beside engines."""

    async def exchange(
        self, server: ServerRecord, demand: Demand, hold_ms: int
    ) -> ServerReport | SideError:
        """Report demand; the reply comes with a change or after ``hold_ms``."""

    async def prepare(
        self, server: ServerRecord, model: str, adapter: str, timeout_ms: int
    ) -> bool | SideError:
        """Ask for an adapter; return whether requests may use it now."""
