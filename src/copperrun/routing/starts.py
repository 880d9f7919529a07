"""Checks which start of an engine runs."""

from __future__ import annotations

from copperrun.pauses import PauseDetector
from copperrun.ports.backends import Backends
from copperrun.routing.servers import ServerRecord

CONFIRM_TIMEOUT_MS = 400  # for an engine's answer to which start it is


class StartChecker:
    """Asks engines which start they are, and distrusts what a pause made old."""

    def __init__(self, backends: Backends, pauses: PauseDetector) -> None:
        self._backends = backends
        self._pauses = pauses

    def begin(self) -> int:
        """Return the time, for a later ``is_outdated``."""
        return self._pauses.observe()

    def is_outdated(self, learned_ms: int) -> bool:
        """Return whether this process has stood still since a time of ``begin``.

        An engine may have started again meanwhile, under the id that it had.
        """
        return self._pauses.has_paused_since(learned_ms)

    async def is_running(self, record: ServerRecord) -> bool:
        """Return whether an engine surely is the start of a record."""
        asked_ms = self.begin()
        is_running = await self._backends.is_running(
            record, timeout_ms=CONFIRM_TIMEOUT_MS
        )
        return is_running and not self.is_outdated(asked_ms)
