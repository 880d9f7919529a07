"""Finds what began a stream that a caller takes up."""

from __future__ import annotations

import asyncio

from loguru import logger

from copperrun.membership.journal import STORE
from copperrun.membership.journal import OriginJournal
from copperrun.membership.keepers import FIND_TIMEOUT_MS
from copperrun.membership.keepers import FoundOrigin
from copperrun.membership.keepers import OriginDirectory
from copperrun.membership.keepers import UnknownOrigin
from copperrun.membership.provenance import ProvenanceLog
from copperrun.membership.routes import RouteHistory
from copperrun.membership.view import PlatformView
from copperrun.model import Refusal
from copperrun.ports.backends import BackendCall
from copperrun.ports.timers import Timers
from copperrun.routing.catalog import Route
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.refusals import moved
from copperrun.routing.refusals import origin_unknown

CONFIRM_TIMEOUT_MS = 500  # for a read of the registry that a caller waits for
ORIGIN_RETRY_AFTER_MS = 500  # when a process that may know the stream did not reply


class Continuations:
    """Finds the origin of streams, or refuses to continue them.

    Args:
        origins: Origins that this entry and others know.
        view: View of the store.
        timers: Timer service.
        routes: Where the routes have led, as this entry knows.
        journal: Origins in the platform's store; None for none.
        provenance: What may have begun streams, in the platform's store; None if that
            is not kept.
    """

    def __init__(
        self,
        origins: OriginDirectory,
        view: PlatformView,
        timers: Timers,
        routes: RouteHistory,
        *,
        journal: OriginJournal | None = None,
        provenance: ProvenanceLog | None = None,
    ) -> None:
        self._origins = origins
        self._routes = routes
        self._journal = journal
        self._provenance = provenance
        self._view = view
        self._timers = timers

    async def find_origin(
        self, call: BackendCall, route: Route, limit_ms: int
    ) -> StreamOrigin | Refusal:
        """Return what began the stream that a call continues; log how it is known."""
        started_ms = self._timers.now_ms()
        found = await self._ask_for_origin(call, limit_ms)
        missing_replies = 0
        if isinstance(found, UnknownOrigin):
            missing_replies = found.missing_replies
        if isinstance(found, UnknownOrigin) and not missing_replies:
            # A keeper that did not reply may know another origin.
            found = await self._find_sole_origin(route, limit_ms) or found
        fields: dict[str, object] = {
            "request": call.id,
            "route": route.name,
            "resumes": call.resumes,
            "resume_after": call.resume_after,
            "missing_replies": missing_replies,
            "asked_ms": self._timers.now_ms() - started_ms,
        }
        if isinstance(found, UnknownOrigin):
            logger.info("stream not taken up", reason="unknown", **fields)
            # Asked again, a keeper may reply.
            return origin_unknown(ORIGIN_RETRY_AFTER_MS * bool(missing_replies))
        origin = found.record.origin
        fields |= {
            "pool": origin.pool,
            "began_at": origin.start_id,
            "software_version": origin.software_version,
            "source": found.source,
            "age_ms": found.record.age_ms,
        }
        if not route.leads_to(origin.pool):
            logger.info("stream not taken up", reason="route moved", **fields)
            return moved(origin.pool)
        logger.info("stream taken up", **fields)
        return origin

    async def _ask_for_origin(
        self, call: BackendCall, limit_ms: int
    ) -> FoundOrigin | UnknownOrigin:
        """Ask the keepers, and once more if there are others than this entry knew."""
        if not call.resumes:
            return UnknownOrigin(0)
        deadline_ms = self._timers.now_ms() + min(limit_ms, FIND_TIMEOUT_MS)
        asked = self._origins.hosts
        found = await self._ask_all(call.resumes, min(limit_ms, FIND_TIMEOUT_MS))
        if isinstance(found, FoundOrigin):
            return found
        left_ms = deadline_ms - self._timers.now_ms()
        # After a cut or a pause, this entry may not have heard of new ones yet.
        is_current = await self._view.confirm_servers(min(left_ms, CONFIRM_TIMEOUT_MS))
        if not is_current or self._origins.hosts == asked:
            return found
        left_ms = deadline_ms - self._timers.now_ms()
        return await self._origins.find(call.resumes, max(left_ms, 0))

    async def _ask_all(
        self, request_id: str, limit_ms: int
    ) -> FoundOrigin | UnknownOrigin:
        """Ask the keepers and, where origins are kept there, the store."""
        known = asyncio.create_task(self._origins.find(request_id, limit_ms))
        if self._journal is None or not self._journal.is_active:
            return await known
        kept = asyncio.create_task(self._journal.find(request_id, limit_ms))
        missing_replies = 0
        try:
            for task in asyncio.as_completed((known, kept)):
                found = await task
                if isinstance(found, FoundOrigin):
                    if found.source == STORE:
                        # Its keepers may have lost it.
                        self._origins.record(request_id, found.record.origin)
                    return found
                missing_replies += found.missing_replies
        finally:
            known.cancel()
            kept.cancel()
        return UnknownOrigin(missing_replies)

    async def _find_sole_origin(
        self, route: Route, limit_ms: int
    ) -> FoundOrigin | None:
        """Return the only origin that a stream of a route can have, if there is one.

        That is so while the route has led to one pool for longer than a stream lasts,
        whose servers have all been of one version for as long; as this entry has seen
        itself, or as is kept in the store.
        """
        if len(route.shares) != 1:
            return None
        if self._provenance is not None and not self._routes.is_settled(route):
            await self._provenance.wait_covered(route, limit_ms)
        if not await self._view.confirm_servers(min(limit_ms, CONFIRM_TIMEOUT_MS)):
            return None
        pool, version, source = route.shares[0].pool, "", "sole version"
        if self._routes.is_settled(route):
            version = self._view.software.sole_version(pool, self._routes.span_ms)
        if not version and self._provenance is not None:
            limit_ms = min(limit_ms, CONFIRM_TIMEOUT_MS)
            version = await self._provenance.sole_version(route, limit_ms)
            source = "provenance"
        if not version:
            return None
        return FoundOrigin(
            OriginRecord(b"", StreamOrigin(pool, "", version), 0), source
        )
