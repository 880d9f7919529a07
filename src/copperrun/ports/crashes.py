"""Exchange of crash records between entries, through the sides."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.routing.crashes import CrashRecord
from copperrun.routing.servers import ServerRecord


class LogPosition(NamedTuple):
    """How much of a side's crash log an entry has.

    Attributes:
        origin: Start of the side; empty before the first exchange.
        version: Version of its log.
    """

    origin: str = ""
    version: int = 0


class CrashNews(NamedTuple):
    """Records of a side's crash log that changed after a position.

    Attributes:
        position: Position after these changes.
        records: The records.
    """

    position: LogPosition
    records: Sequence[CrashRecord]


class CrashRelays(Protocol):
    """Sides that pass crash records on between entries."""

    async def exchange_crashes(
        self,
        server: ServerRecord,
        records: Sequence[CrashRecord],
        seen: LogPosition,
        hold_ms: int,
    ) -> CrashNews | SideError:
        """Tell the side beside a server of crashes and return what it knows.

        Args:
            server: Server beside which the side runs.
            records: Records that it may not have.
            seen: Position up to which its log is known.
            hold_ms: How long it may wait for a change after that position.
        """
