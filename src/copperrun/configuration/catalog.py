"""The catalog in force, whose version only increases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import RouteTable

Decoder = Callable[[bytes], Catalog | str]


class CurrentCatalog:
    """Keeps the newest of the catalogs received.

    Attributes:
        catalog: Catalog in force; None before the first one.
        table: Its routes.
        encoded: The catalog in force as it was received.
    """

    def __init__(self, decode: Decoder) -> None:
        self.catalog: Catalog | None = None
        self.table = RouteTable()
        self._decode = decode
        self.encoded = b""
        self._received = b""
        self._loaded = asyncio.Event()

    async def wait_until_loaded(self) -> None:
        """Wait for the first catalog."""
        await self._loaded.wait()

    def update(self, value: bytes | None) -> None:
        """Replace the catalog unless the encoded one is unreadable or not newer."""
        if value is None or value == self._received:
            return
        self._received = value
        catalog = self._decode(value)
        if isinstance(catalog, str):
            logger.warning("unreadable catalog skipped", detail=catalog)
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            logger.warning(
                "catalog without a newer version skipped",
                version=catalog.version,
                in_force=self.catalog.version,
            )
            return
        _log_key_changes(self.catalog, catalog)
        self.catalog = catalog
        self.encoded = value
        self.table = RouteTable(catalog.routes)
        self._loaded.set()
        logger.info(
            "catalog in force", version=catalog.version, routes=len(catalog.routes)
        )


def _log_key_changes(previous: Catalog | None, catalog: Catalog) -> None:
    """Log how many keys each client account got or lost at this process."""
    before = _digests(previous)
    after = _digests(catalog)
    for account in sorted(before.keys() | after.keys()):
        added = after.get(account, frozenset()) - before.get(account, frozenset())
        withdrawn = before.get(account, frozenset()) - after.get(account, frozenset())
        if added or withdrawn:
            logger.info(
                "keys changed",
                account=account,
                added=len(added),
                withdrawn=len(withdrawn),
                version=catalog.version,
            )


def _digests(catalog: Catalog | None) -> dict[str, frozenset[bytes]]:
    if catalog is None or catalog.accounts is None:
        return {}
    return {
        account.name: account.key_digests
        for account in catalog.accounts.by_name.values()
    }
