"""Backend servers listed by the platform's registry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from loguru import logger

from copperrun.ports.timers import Timers
from copperrun.routing.servers import ServerRecord

# Servers whose records lapsed in a store outage register again within two seconds.
LAPSE_GRACE_MS = 2_000

Decoder = Callable[[str, bytes], ServerRecord | str]


class Registry:
    """Decodes server records and keeps servers that lapse during a store outage."""

    def __init__(self, decode: Decoder, timers: Timers) -> None:
        self._decode = decode
        self._timers = timers
        self._records: dict[str, tuple[bytes, ServerRecord | None]] = {}
        self._removal_due_ms: dict[str, int] = {}

    def update(
        self, items: Mapping[str, bytes], recovered_ms: int | None
    ) -> list[ServerRecord]:
        """Return the servers to use after a change.

        Args:
            items: Newest value of each key.
            recovered_ms: When the store last recovered from an outage, in monotonic
                milliseconds; None when it had none.
        """
        now = self._timers.now_ms()
        for server_id in self._records.keys() - items.keys():
            if recovered_ms is not None and now - recovered_ms < LAPSE_GRACE_MS:
                self._removal_due_ms.setdefault(
                    server_id, recovered_ms + LAPSE_GRACE_MS
                )
            if now >= self._removal_due_ms.get(server_id, 0):
                self._remove(server_id)
        for server_id, value in items.items():
            self._removal_due_ms.pop(server_id, None)
            previous = self._records.get(server_id)
            if previous is None or previous[0] != value:
                self._records[server_id] = (
                    value,
                    self._decode_record(server_id, value),
                )
        return [record for _, record in self._records.values() if record is not None]

    def _remove(self, server_id: str) -> None:
        self._removal_due_ms.pop(server_id, None)
        logger.info("server left the registry", server=server_id)
        del self._records[server_id]

    def _decode_record(self, server_id: str, value: bytes) -> ServerRecord | None:
        record = self._decode(server_id, value)
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
            )
        return record


def _differs(before: ServerRecord, after: ServerRecord) -> bool:
    """Return whether a field other than those of the server's memory has changed."""
    return (before.leaving, before.born_ms, before.address, before.pool) != (
        after.leaving,
        after.born_ms,
        after.address,
        after.pool,
    )
