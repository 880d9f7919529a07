"""What servers have said of themselves, whatever the registry lists meanwhile."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from copperrun.ports.timers import Timers

# Time for which leave notices of servers are kept. A server may be listed as ready long
# after it said in an answer that it leaves, but not for longer than it takes to leave.
LEAVE_NOTICE_TTL_MS = 300_000


class ServerNotices:
    """Leave notices, and pauses of servers whose records have lapsed."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # Time of the notice and start of the server, by id.
        self._leave_notices: dict[str, tuple[int, int]] = {}
        self._pause_ends_ms: dict[str, int] = {}

    def record_leaving(self, server_id: str, born_ms: int) -> None:
        """Record that a start of a server is leaving."""
        now = self._timers.now_ms()
        self._leave_notices = {
            key: notice
            for key, notice in self._leave_notices.items()
            if now - notice[0] < LEAVE_NOTICE_TTL_MS
        }
        self._leave_notices[server_id] = (now, born_ms)
        logger.info("server says it is leaving", server=server_id)

    @property
    def has_leaving(self) -> bool:
        """Whether any server has said that it leaves."""
        return bool(self._leave_notices)

    def is_leaving(self, server_id: str, born_ms: int) -> bool:
        """Return whether a start of a server, or a later one, said that it leaves."""
        notice = self._leave_notices.get(server_id)
        return notice is not None and notice[1] >= born_ms

    def keep_pauses(self, pauses_ms: Iterable[tuple[str, int]]) -> None:
        """Keep the pauses of starts that are no longer listed."""
        now = self._timers.now_ms()
        ends_ms = self._pause_ends_ms | {
            start_id: now + pause_ms for start_id, pause_ms in pauses_ms
        }
        self._pause_ends_ms = {
            start_id: end_ms for start_id, end_ms in ends_ms.items() if end_ms > now
        }

    def pause_ms(self, start_id: str) -> int:
        """Return what is left of the kept pause of a start."""
        return max(self._pause_ends_ms.get(start_id, 0) - self._timers.now_ms(), 0)
