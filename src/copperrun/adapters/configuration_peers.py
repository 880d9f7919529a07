"""Configuration snapshots from other processes over HTTP."""

from __future__ import annotations

from random import sample

from copperrun.adapters.bodies import MAX_VIEW_BYTES
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.operations import SNAPSHOT_PATH
from copperrun.configuration.changes import Snapshot
from copperrun.configuration.changes import decode_record
from copperrun.membership.directory import Directory

MAX_PEERS_ASKED = 3
FETCH_TIMEOUT_MS = 2_000


class HttpConfigurationPeers:
    """Fetches configurations from a random sample of the listed instances."""

    def __init__(self, client: HttpClient, instance: str, directory: Directory) -> None:
        self._client = client
        self._instance = instance
        self._directory = directory

    async def fetch_snapshot(self) -> Snapshot | None:
        """Return the newest snapshot of the peers asked, or None."""
        others = [
            item for item in self._directory.instances if item.id != self._instance
        ]
        asked = sample(others, min(MAX_PEERS_ASKED, len(others)))
        found = [await self._fetch(item.address) for item in asked]
        snapshots = [item for item in found if item is not None and item.objects]
        return max(snapshots, key=lambda item: item.upto, default=None)

    async def _fetch(self, address: str) -> Snapshot | None:
        reply = await self._client.call(
            "GET",
            f"http://{address}{SNAPSHOT_PATH}",
            timeout_ms=FETCH_TIMEOUT_MS,
            max_bytes=MAX_VIEW_BYTES,
        )
        if isinstance(reply, HttpFailure) or reply.status != 200:
            return None
        record = decode_record(reply.body.decode(errors="replace"))
        return record if isinstance(record, Snapshot) else None
