"""Other processes of the system, for a process that starts without the log."""

from __future__ import annotations

from typing import Protocol


class Peers(Protocol):
    """Processes that may already have a configuration."""

    async def fetch_snapshot(self) -> str | None:
        """Return a peer's configuration snapshot as a log record, or None."""
