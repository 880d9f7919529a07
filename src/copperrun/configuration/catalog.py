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
        self.catalog = catalog
        self.encoded = value
        self.table = RouteTable(catalog.routes)
        self._loaded.set()
        logger.info(
            "catalog in force", version=catalog.version, routes=len(catalog.routes)
        )
