"""Origins of streams between processes: thrift over HTTP."""

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
from copperrun.ports.origins import OriginNews
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import OriginTable
from copperrun.routing.origins import StreamOrigin

ORIGINS_PATH = "/internal/origins"


class HttpOriginKeepers:
    """Calls to the processes that keep origins for others.

    Args:
        client: HTTP client.
        resolve_address: Returns ``host:port`` of the keeper on a host.
    """

    def __init__(
        self, client: HttpClient, resolve_address: Callable[[str], str]
    ) -> None:
        self._client = client
        self._resolve_address = resolve_address

    async def exchange_origins(
        self,
        host: str,
        records: Sequence[OriginRecord],
        wanted: Sequence[bytes],
        timeout_ms: int,
    ) -> OriginNews | SideError:
        """Tell a keeper of streams and ask it for others by their keys."""
        query = ttypes.OriginQuery(_encode_records(records), list(wanted))
        reply = await self._client.call(
            "POST",
            f"http://{self._resolve_address(host)}{ORIGINS_PATH}",
            body=wire.encode(query),
            timeout_ms=timeout_ms,
        )
        if isinstance(reply, HttpFailure):
            return side_error(reply)
        if reply.status != 200:
            detail = f"{ORIGINS_PATH}: keeper answered {reply.status}"
            return SideError(SideErrorReason.ANSWER_LOST, detail)
        news = wire.decode(ttypes.OriginNews, reply.body)
        if isinstance(news, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, news.detail)
        return OriginNews(news.start, _decode_records(news.origins))


class OriginRoutes:
    """Handler of a keeper.

    Args:
        table: Origins that it keeps.
        start: Identity of this start of the process.
    """

    def __init__(self, table: OriginTable, start: str) -> None:
        self._table = table
        self._start = start

    def add_to(self, app: web.Application) -> None:
        """Add the route."""
        app.router.add_post(ORIGINS_PATH, self._handle)

    async def _handle(self, request: web.Request) -> web.Response:
        query = wire.decode(ttypes.OriginQuery, await request.read())
        if isinstance(query, wire.WireError):
            return web.Response(status=400, text=query.detail)
        self._table.merge(_decode_records(query.origins))
        found = filter(None, map(self._table.find, query.wanted))
        news = ttypes.OriginNews(self._start, _encode_records(found))
        return web.Response(body=wire.encode(news))


def _encode_records(records: Iterable[OriginRecord]) -> list[ttypes.StreamOrigin]:
    return [
        ttypes.StreamOrigin(record.key, *record.origin, record.age_ms)
        for record in records
    ]


def _decode_records(items: Iterable[ttypes.StreamOrigin]) -> list[OriginRecord]:
    return [
        OriginRecord(
            item.key,
            StreamOrigin(item.pool, item.start_id, item.software_version),
            max(item.age_ms, 0),
        )
        for item in items
    ]
