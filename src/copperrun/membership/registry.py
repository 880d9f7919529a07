"""Backend servers listed by the platform's registry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Set

from loguru import logger

from copperrun.ports.timers import Timers
from copperrun.routing.servers import ServerRecord

# Servers whose records lapsed in a store outage register again within two seconds.
LAPSE_GRACE_MS = 2_000
# Time for which servers that left are remembered. The store may come back from a copy
# some seconds old that still lists them.
DEPARTED_TTL_MS = 300_000
# Time after which the store has dropped what its older copy lists in vain: three
# heartbeats of silence, and the time in which live servers write again.
COPY_DISTRUST_MS = 8_000

Decoder = Callable[[str, bytes], ServerRecord | str]


class Registry:
    """Decodes server records and keeps servers that lapse during a store outage.

    Attributes:
        decode: Decodes one record.
    """

    def __init__(self, decode: Decoder, timers: Timers) -> None:
        self.decode = decode
        self._timers = timers
        self._records: dict[str, tuple[bytes, ServerRecord | None]] = {}
        self._removal_due_ms: dict[str, int] = {}
        self._departed_ms: dict[str, int] = {}

    def update(
        self,
        items: Mapping[str, bytes],
        recovered_ms: int | None,
        copied: Set[str] = frozenset(),
    ) -> list[ServerRecord]:
        """Return the servers to use after a change.

        Args:
            items: Newest value of each key.
            recovered_ms: When the store last recovered from an outage, in monotonic
                milliseconds; None when it had none.
            copied: Keys whose records come from an older copy of the store. What is
                known of these servers is newer and stays: one that left is not listed
                again, one that is leaving is not ready again.
        """
        now = self._timers.now_ms()
        self._departed_ms = {
            server_id: at_ms
            for server_id, at_ms in self._departed_ms.items()
            if now - at_ms < DEPARTED_TTL_MS
        }
        for server_id in self._records.keys() - items.keys():
            if recovered_ms is not None and now - recovered_ms < LAPSE_GRACE_MS:
                self._removal_due_ms.setdefault(
                    server_id, recovered_ms + LAPSE_GRACE_MS
                )
            if now >= self._removal_due_ms.get(server_id, 0):
                self._remove(server_id)
        distrusted: Set[str] = (
            copied
            if recovered_ms is not None and now - recovered_ms < COPY_DISTRUST_MS
            else frozenset()
        )
        for server_id, value in items.items():
            if server_id in distrusted and self._knows_better(server_id, value):
                continue
            self._departed_ms.pop(server_id, None)
            self._removal_due_ms.pop(server_id, None)
            previous = self._records.get(server_id)
            if previous is None or previous[0] != value:
                self._records[server_id] = (
                    value,
                    self._decode_record(server_id, value),
                )
        return [record for _, record in self._records.values() if record is not None]

    def _knows_better(self, server_id: str, value: bytes) -> bool:
        """Return whether a record of the store's older copy is out of date."""
        if server_id in self._departed_ms:
            return True
        previous = self._records.get(server_id)
        if previous is None or previous[1] is None:
            return False
        record = self.decode(server_id, value)
        # A leave notice is never withdrawn, so it is not out of date.
        return isinstance(record, str) or not record.leaving

    def _remove(self, server_id: str) -> None:
        self._removal_due_ms.pop(server_id, None)
        logger.info("server left the registry", server=server_id)
        del self._records[server_id]
        self._departed_ms[server_id] = self._timers.now_ms()

    def _decode_record(self, server_id: str, value: bytes) -> ServerRecord | None:
        record = self.decode(server_id, value)
        if isinstance(record, str):
            logger.warning(
                "unreadable registry record skipped", server=server_id, detail=record
            )
            return None
        previous = self._records.get(server_id)
        if previous is None or previous[1] is None or _differs(previous[1], record):
            logger.info(
                "server added or changed in the registry",
                server=server_id,
                pool=record.pool,
                address=record.address,
                leaving=record.leaving,
                born_ms=record.born_ms,
                software_version=record.software_version,
            )
        return record


def _differs(before: ServerRecord, after: ServerRecord) -> bool:
    """Return whether a field other than those of the server's memory has changed."""
    return _identity(before) != _identity(after)


def _identity(record: ServerRecord) -> tuple[bool, int, str, str, str]:
    return (
        record.leaving,
        record.born_ms,
        record.address,
        record.pool,
        record.software_version,
    )
