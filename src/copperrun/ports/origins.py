"""Keepers of what began each stream."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.routing.origins import OriginRecord


class Keeper(NamedTuple):
    """A process that keeps origins for others.

    Attributes:
        host: Host of its machine.
        region: Region of the machine; empty when unknown.
    """

    host: str
    region: str


class OriginNews(NamedTuple):
    """Reply of a keeper.

    Attributes:
        start: Identity of this start of the keeper.
        records: Records of the streams asked for that it knows.
    """

    start: str
    records: Sequence[OriginRecord]


class OriginKeepers(Protocol):
    """Calls to the processes that keep origins for others."""

    async def exchange_origins(
        self,
        host: str,
        records: Sequence[OriginRecord],
        wanted: Sequence[bytes],
        timeout_ms: int,
    ) -> OriginNews | SideError:
        """Tell a keeper of streams and ask it for others by their keys.

        Args:
            host: Host of the keeper.
            records: Records that it may not have.
            wanted: Keys of streams, of 16 bytes each.
            timeout_ms: Time for the reply, in milliseconds.

        Returns:
            What it knows of the streams asked for, or why there is no reply.
        """
