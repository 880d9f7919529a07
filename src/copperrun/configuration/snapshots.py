"""Appends snapshots of the configuration state before the log trims old records."""

from __future__ import annotations

from loguru import logger

from copperrun.configuration.changes import STREAM
from copperrun.configuration.changes import encode_record
from copperrun.configuration.state import NO_REVISION
from copperrun.configuration.state import ConfigurationState
from copperrun.membership.directory import Directory
from copperrun.model import Role
from copperrun.placement.assignments import rendezvous_order
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.timers import Timers

CHECK_INTERVAL_MS = 30_000
MAX_SNAPSHOT_AGE_MS = 3_600_000  # well below the log's retention
MAX_RECORDS_SINCE_SNAPSHOT = 500


class Snapshotter:
    """Task of every entry; the first one in rendezvous order appends the snapshots.

    Two entries that both consider themselves first append one redundant snapshot.
    """

    def __init__(
        self,
        instance: str,
        log: Log,
        state: ConfigurationState,
        directory: Directory,
        timers: Timers,
    ) -> None:
        self._instance = instance
        self._log = log
        self._state = state
        self._directory = directory
        self._timers = timers

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self._timers.sleep_ms(CHECK_INTERVAL_MS)
            if self.is_due() and self._is_first():
                await self._append()

    def is_due(self) -> bool:
        """Return whether a snapshot is due by age or by the records since the last."""
        state = self._state
        if state.revision == NO_REVISION or not state.is_complete():
            return False
        age_ms = self._timers.wall_ms() - state.snapshot_at_ms
        return (
            age_ms >= MAX_SNAPSHOT_AGE_MS
            or state.records_since_snapshot >= MAX_RECORDS_SINCE_SNAPSHOT
        )

    def _is_first(self) -> bool:
        entries = rendezvous_order(STREAM, self._directory.live(Role.ENTRY))
        return bool(entries) and entries[0].id == self._instance

    async def _append(self) -> None:
        snapshot = self._state.snapshot(self._timers.wall_ms())
        result = await self._log.append(STREAM, [encode_record(snapshot)])
        if isinstance(result, LogError):
            logger.warning("configuration snapshot not appended", detail=result.detail)
