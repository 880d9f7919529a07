"""Configuration snapshots of other processes over HTTP."""

from __future__ import annotations

from random import sample

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.operations import SNAPSHOT_PATH
from copperrun.configuration.changes import Snapshot
from copperrun.configuration.changes import decode_record
from copperrun.membership.directory import Directory

ASKED_PEERS = 3
FETCH_TIMEOUT_MS = 2_000


class HttpPeers:
    """Asks a few listed instances for their configuration."""

    def __init__(self, client: HttpClient, instance: str, directory: Directory) -> None:
        self._client = client
        self._instance = instance
        self._directory = directory

    async def fetch_snapshot(self) -> str | None:
        """Return the newest snapshot of the peers asked, or None."""
        others = [
            item for item in self._directory.instances if item.id != self._instance
        ]
        newest: tuple[int, str] | None = None
        for item in sample(others, min(ASKED_PEERS, len(others))):
            data = await self._fetch(item.address)
            record = None if data is None else decode_record(data)
            if isinstance(record, Snapshot) and record.objects and data is not None:
                newest = max(newest or (-1, ""), (record.upto, data))
        return newest[1] if newest else None

    async def _fetch(self, address: str) -> str | None:
        reply = await self._client.call(
            "GET", f"http://{address}{SNAPSHOT_PATH}", timeout_ms=FETCH_TIMEOUT_MS
        )
        if isinstance(reply, HttpFailure) or reply.status != 200:
            return None
        return reply.body.decode()
