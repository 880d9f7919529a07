"""Task that keeps one process's configuration up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from copperrun.configuration.changes import encode_record
from copperrun.configuration.reader import read_page
from copperrun.configuration.schema import Configuration
from copperrun.configuration.state import ConfigurationState
from copperrun.ports.configuration_peers import ConfigurationPeers
from copperrun.ports.log import Log
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers

POLL_WAIT_MS = 2_000
RETRY_DELAY_MS = 500

Listener = Callable[[Configuration, int], None]


class ConfigurationFollower:
    """Follows the configuration stream and notifies listeners of each new revision."""

    def __init__(
        self, log: Log, peers: ConfigurationPeers, timers: Timers, metrics: Metrics
    ) -> None:
        self.state = ConfigurationState()
        self._metrics = metrics
        self._log = log
        self._peers = peers
        self._timers = timers
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force, or None before the first one."""
        return self.state.configuration

    @property
    def revision(self) -> int:
        """Offset of the last accepted change; -1 before the first one."""
        return self.state.revision

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each new configuration and its revision."""
        self._listeners.append(listener)
        if self.state.configuration is not None:
            listener(self.state.configuration, self.state.revision)

    async def wait_for_configuration(self) -> Configuration:
        """Wait until there is a configuration."""
        while self.state.configuration is None:
            self._changed.clear()
            await self._changed.wait()
        return self.state.configuration

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            answered = await self.poll(wait_ms=POLL_WAIT_MS)
            if not answered or not self.state.is_complete():
                await self.fetch_from_peers()
            if not answered:
                await self._timers.sleep_ms(RETRY_DELAY_MS)

    async def poll(self, *, wait_ms: int = 0) -> bool:
        """Read once; return whether the log answered."""
        before = self.state.revision
        error = await read_page(self._log, self.state, wait_ms=wait_ms)
        if error is not None:
            logger.warning("configuration stream not read", detail=error.detail)
            return False
        if self.state.revision > before:
            self._notify_listeners()
        return True

    def encode_snapshot(self) -> str:
        """Return an encoded snapshot for a peer that starts."""
        return encode_record(self.state.snapshot(self._timers.wall_ms()))

    async def fetch_from_peers(self) -> None:
        """Restore a peer's snapshot while the log cannot provide the complete state."""
        if self.state.configuration is not None and self.state.is_complete():
            return
        snapshot = await self._peers.fetch_snapshot()
        if snapshot is not None and self.state.restore(snapshot):
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        cfg = self.state.configuration
        if cfg is None:
            return
        logger.info("configuration in force", revision=self.state.revision)
        lag_ms = self._timers.wall_ms() - self.state.changed_at_ms
        self._metrics.record_configuration_lag(max(0, lag_ms))
        self._changed.set()
        for listener in self._listeners:
            listener(cfg, self.state.revision)
