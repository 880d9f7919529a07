"""Which software versions the registry has listed lately, for each pool."""

from __future__ import annotations

from collections.abc import Iterable

from copperrun.ports.timers import Timers
from copperrun.routing.servers import ServerRecord

# No server has come, begun a stream and gone within this time after the first start of
# the whole system.
FIRST_RECORDS_MS = 3_000


class SoftwareHistory:
    """Tells whether all servers of a pool have been of one version for a time.

    Args:
        timers: Timer service.
        is_first_start: Whether nothing served before this process started.
    """

    def __init__(self, timers: Timers, *, is_first_start: bool) -> None:
        self._timers = timers
        self._started_ms = timers.now_ms()
        self._covers_all = is_first_start
        self._covered_from_ms: int | None = None
        # Time at which each version was last listed, by pool.
        self._listed_ms: dict[str, dict[str, int]] = {}
        self._listed: dict[str, frozenset[str]] = {}

    @property
    def covers_all(self) -> bool:
        """Whether no server has served that this process has not seen."""
        return self._covers_all and self._covered_from_ms is not None

    def restart(self, delay_ms: int = 0) -> None:
        """Begin anew: servers may have come and gone without being seen.

        Args:
            delay_ms: Time from now in which they may still do so.
        """
        now = self._timers.now_ms()
        is_first = self._covered_from_ms is None
        is_early = now - self._started_ms <= FIRST_RECORDS_MS
        self._covers_all = self._covers_all and is_first and is_early
        covered_from_ms = now + delay_ms
        if self._covered_from_ms is not None:
            covered_from_ms = max(covered_from_ms, self._covered_from_ms)
        self._covered_from_ms = covered_from_ms

    def record_listed(self, servers: Iterable[ServerRecord]) -> None:
        """Record the servers that are listed now."""
        listed: dict[str, set[str]] = {}
        for server in servers:
            listed.setdefault(server.pool, set()).add(server.software_version)
        self._listed = {pool: frozenset(names) for pool, names in listed.items()}
        self.record(servers)

    def listed(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool's servers that are listed now."""
        return self._listed.get(pool, frozenset())

    def listed_within(self, pool: str, span_ms: int) -> frozenset[str]:
        """Return the versions of a pool's servers that were listed in the last time."""
        oldest_ms = self._timers.now_ms() - span_ms
        listed = self._listed_ms.get(pool, {}).items()
        return frozenset(version for version, at_ms in listed if at_ms >= oldest_ms)

    def record(self, servers: Iterable[ServerRecord]) -> None:
        """Record servers that are or were listed."""
        now = self._timers.now_ms()
        for server in servers:
            versions = self._listed_ms.setdefault(server.pool, {})
            versions[server.software_version] = now

    def is_mixed(self, pool: str, span_ms: int) -> bool:
        """Return whether a pool's servers were of two versions in the last time."""
        return len(self.listed_within(pool, span_ms)) > 1

    def is_absent(self, pool: str, version: str, span_ms: int) -> bool:
        """Return whether surely no server of a version was listed in the last time."""
        oldest_ms = self._timers.now_ms() - span_ms
        if not self._covers(oldest_ms):
            return False
        listed_ms = self._listed_ms.get(pool, {}).get(version)
        return listed_ms is None or listed_ms < oldest_ms

    def sole_version(self, pool: str, span_ms: int) -> str:
        """Return the only version of a pool's servers in the last ``span_ms``.

        Returns:
            An empty string when there was another one, or when that is not known.
        """
        oldest_ms = self._timers.now_ms() - span_ms
        if not self._covers(oldest_ms):
            return ""
        versions = list(self.listed_within(pool, span_ms))
        return versions[0] if len(versions) == 1 else ""

    def uncovered_ms(self, span_ms: int) -> int | None:
        """Return the time until every server of the last ``span_ms`` is known.

        Returns:
            None when nothing has been listed yet.
        """
        if self._covered_from_ms is None:
            return None
        if self._covers_all:
            return 0
        return max(self._covered_from_ms + span_ms - self._timers.now_ms(), 0)

    def _covers(self, oldest_ms: int) -> bool:
        """Return whether every server is known that was listed since then."""
        if self._covered_from_ms is None:
            return False
        return self._covers_all or self._covered_from_ms <= oldest_ms
