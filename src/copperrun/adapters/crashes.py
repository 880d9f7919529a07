"""Crash records between entries and sides: thrift over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from aiohttp import web

from copperrun.adapters import wire
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.sides import side_error
from copperrun.gen import ttypes
from copperrun.ports.crashes import CrashNews
from copperrun.ports.crashes import LogPosition
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.timers import Timers
from copperrun.routing.crashes import CrashLog
from copperrun.routing.crashes import CrashRecord
from copperrun.routing.servers import ServerRecord

CRASHES_PATH = "/internal/crashes"
BATCH_MS = 50  # records that come together share a reply
REPLY_MARGIN_MS = 600  # added to hold_ms, for which a side may hold a reply

AddressResolver = Callable[[ServerRecord], str]


class HttpCrashRelays:
    """Calls to the sides that pass crash records on."""

    def __init__(self, client: HttpClient, resolve_address: AddressResolver) -> None:
        self._client = client
        self._resolve_address = resolve_address

    async def exchange_crashes(
        self,
        server: ServerRecord,
        records: Sequence[CrashRecord],
        seen: LogPosition,
        hold_ms: int,
    ) -> CrashNews | SideError:
        """Tell the side beside a server of crashes and return what it knows."""
        query = ttypes.CrashQuery(
            seen.origin, seen.version, _encode_records(records), hold_ms
        )
        reply = await self._client.call(
            "POST",
            f"http://{self._resolve_address(server)}{CRASHES_PATH}",
            body=wire.encode(query),
            timeout_ms=hold_ms + REPLY_MARGIN_MS,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        if reply.status != 200:
            detail = f"{CRASHES_PATH}: side answered {reply.status}"
            return SideError(SideErrorReason.ANSWER_LOST, detail)
        news = wire.decode(ttypes.CrashNews, reply.body)
        if isinstance(news, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, news.detail)
        position = LogPosition(news.origin, news.version)
        return CrashNews(position, _decode_records(news.crashes))


class CrashRoutes:
    """Handler of a side for the entries' crash records.

    Args:
        log: Log of this side.
        origin: Identity of this start of the side.
        timers: Timer service.
    """

    def __init__(self, log: CrashLog, origin: str, timers: Timers) -> None:
        self._log = log
        self._timers = timers
        self._origin = origin
        self._is_leaving = False

    def add_to(self, app: web.Application) -> None:
        """Add the route."""
        app.router.add_post(CRASHES_PATH, self._handle)
        app.on_shutdown.append(self._end_held_replies)

    async def _end_held_replies(self, app: web.Application) -> None:
        """End the replies that are held; cutting them off would be logged as errors."""
        self._is_leaving = True
        self._log.end_waits()

    async def _handle(self, request: web.Request) -> web.Response:
        query = wire.decode(ttypes.CrashQuery, await request.read())
        if isinstance(query, wire.WireError):
            return web.Response(status=400, text=query.detail)
        self._log.merge(_decode_records(query.crashes))
        seen = query.version if query.origin == self._origin else 0
        if query.hold_ms > 0 and self._log.version <= seen:
            await self._log.wait_newer(seen, query.hold_ms)
            if self._log.version > seen:
                await self._timers.sleep_ms(BATCH_MS)
        if self._is_leaving:
            return web.Response(status=503, text="this side is leaving")
        records = _encode_records(self._log.changes_since(seen))
        news = ttypes.CrashNews(self._origin, self._log.version, records)
        return web.Response(body=wire.encode(news))


def _encode_records(records: Iterable[CrashRecord]) -> list[ttypes.Crash]:
    return [
        ttypes.Crash(
            record.crash,
            record.pool,
            record.age_ms,
            set(record.parts),
            set(record.cleared),
        )
        for record in records
    ]


def _decode_records(crashes: Iterable[ttypes.Crash]) -> list[CrashRecord]:
    return [
        CrashRecord(
            crash.crash,
            crash.pool,
            crash.age_ms,
            frozenset(crash.parts),
            frozenset(crash.cleared),
        )
        for crash in crashes
    ]
