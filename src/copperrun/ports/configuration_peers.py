"""Configurations of other processes, for a process that starts without the log."""

from __future__ import annotations

from typing import Protocol

from copperrun.configuration.changes import Snapshot


class ConfigurationPeers(Protocol):
    """Processes that may already have a configuration."""

    async def fetch_snapshot(self) -> Snapshot | None:
        """Return a peer's configuration, or None when no peer has one."""
