"""Placement process of a side: claims the engine beside it and sends it orders."""

from __future__ import annotations

import asyncio

from loguru import logger

from copperrun.admission.prefill import pause_prefill_ms
from copperrun.membership.claims import topic_epoch
from copperrun.membership.lifecycle import Lifecycle
from copperrun.membership.lifecycle import State
from copperrun.membership.view import PlatformView
from copperrun.placement.controller import PlacementController
from copperrun.ports.admission import EngineSides
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicStore
from copperrun.routing.servers import ServerRecord

CLAIM_RETRY_DELAY_MS = 1_000


class PlacementProcess:
    """Follows the store, claims the engine and runs its placement controller."""

    def __init__(
        self,
        instance: str,
        engine_address: str,
        pool: str,
        view: PlatformView,
        store: TopicStore,
        claims_topic: str,
        controller: PlacementController,
        sides: EngineSides,
        timers: Timers,
    ) -> None:
        self.lifecycle = Lifecycle(instance)
        self._instance = instance
        self._engine_address = engine_address
        self._pool = pool
        self._view = view
        self._store = store
        self._claims_topic = claims_topic
        self._controller = controller
        self._sides = sides
        self._timers = timers

    async def run(self) -> None:
        """Run until cancelled."""
        self._controller.on_change = self._notify_peers
        self._view.subscribe(self._update_servers)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._view.run())
            tasks.create_task(self._claim())
            tasks.create_task(self._controller.run())
            await self._view.wait_until_loaded()
            if self.lifecycle.state is State.STARTING:
                self.lifecycle.serve()

    def _notify_peers(self) -> None:
        """Notify the other sides at once, so that two do not unload the same model."""
        engine = self._controller.as_peer()
        if engine is None:
            return
        for server in self._controller.peer_servers():
            self._sides.send_peer_change(server, self._engine_address, engine)

    async def _claim(self) -> None:
        """Append a claim; its position is the epoch of this side's orders.

        A claim that the store has lost by falling back to an older copy is written
        again for operators to see. The epoch stays: no other claim has it.
        """
        era_began = asyncio.Event()
        self._view.health.subscribe(era_began.set)
        position = await self._append_claim()
        self._controller.epoch = topic_epoch(position)
        logger.info("engine claimed", epoch=self._controller.epoch)
        era = position.era
        while True:
            while self._view.health.era <= era:
                era_began.clear()
                await era_began.wait()
            era = (await self._append_claim()).era
            logger.info("claim written again", era=era)

    async def _append_claim(self) -> TopicPosition:
        """Append a claim, retrying for as long as the store is unavailable.

        A claim whose answer was lost is repeated, since no order used its epoch.
        """
        while True:
            position = await self._store.put(
                self._claims_topic, self._instance, b'{"kind":"claim"}'
            )
            if not isinstance(position, TopicError):
                return position
            logger.warning("claim not written", detail=position.detail)
            await self._timers.sleep_ms(CLAIM_RETRY_DELAY_MS)

    def _update_servers(self, servers: list[ServerRecord]) -> None:
        catalog = self._view.catalog.catalog
        if catalog is None:
            return
        own = self._own_record(servers)
        pool = own.pool if own is not None else self._pool
        self._controller.spec = (
            catalog.pools[pool].engine if pool in catalog.pools else None
        )
        gap_ms = catalog.shortest_gap_ms(pool)
        engine = self._controller.spec
        if engine is not None and gap_ms and catalog.must_hold_ready(pool):
            self._controller.pause_ms = pause_prefill_ms(
                gap_ms, engine.tokens_per_event
            )
        else:
            self._controller.pause_ms = None
        # Earlier starts of an engine may be listed until their records expire.
        newest: dict[str, ServerRecord] = {}
        for item in servers:
            previous = newest.get(item.address)
            if item.pool == pool and (
                previous is None or previous.born_ms < item.born_ms
            ):
                newest[item.address] = item
        newest.pop(self._engine_address, None)
        self._controller.set_servers(self._engine_address, own, list(newest.values()))

    def _own_record(self, servers: list[ServerRecord]) -> ServerRecord | None:
        """Return the record of the engine's start, or else the likeliest.

        Earlier starts may be listed until their records expire, and others may have
        written records with the engine's address.
        """
        own = [item for item in servers if item.address == self._engine_address]
        if len(own) < 2:
            return own[0] if own else None
        status = self._controller.status
        born_ms = status.born_ms if status is not None else 0
        return max(
            own,
            key=lambda item: (
                item.born_ms == born_ms,
                item.pool == self._pool,
                item.born_ms,
            ),
        )
