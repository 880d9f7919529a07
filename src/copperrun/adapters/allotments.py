"""Allotments of client accounts between processes: thrift over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from aiohttp import web

from copperrun.adapters import wire
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.adapters.sides import side_error
from copperrun.gen import ttypes
from copperrun.membership.directory import Directory
from copperrun.membership.tenures import TenureKeeper
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import EndedTenure
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.topics import TopicPosition

CREDITS_PATH = "/internal/credits"
TENURE_PATH = "/internal/tenure"


class HttpAllotmentKeepers:
    """Calls to the processes that keep allotments.

    Args:
        client: HTTP client.
        resolve_address: Returns ``host:port`` of the keeper on a host.
    """

    def __init__(
        self, client: HttpClient, resolve_address: Callable[[str], str]
    ) -> None:
        self._client = client
        self._resolve_address = resolve_address

    async def request_credits(
        self,
        host: str,
        group: int,
        version: int,
        requests: Sequence[CreditRequest],
        silent: str,
        timeout_ms: int,
    ) -> Sequence[CreditGrant] | NotKeeper | SideError:
        """Ask the keeper of a group for units."""
        query = ttypes.CreditQuery(
            group,
            version,
            [
                ttypes.CreditRequest(*item[:3], list(item.needed), item.ahead)
                for item in requests
            ],
            silent or None,
        )
        body = await self._post(host, CREDITS_PATH, query, timeout_ms)
        if isinstance(body, HttpFailure):
            return side_error(body)
        reply = wire.decode(ttypes.CreditReply, body)
        if isinstance(reply, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, reply.detail)
        if reply.grants is None:
            return NotKeeper(reply.keeper or "")
        return [
            CreditGrant(item.account, item.units, item.retry_after_ms, item.used)
            for item in reply.grants
        ]

    async def end_tenure(
        self, host: str, group: int, claimed: TopicPosition, timeout_ms: int
    ) -> EndedTenure | SideError:
        """Tell a former keeper that a group has been claimed by another one."""
        query = ttypes.TenureQuery(group, claimed.era, claimed.offset)
        body = await self._post(host, TENURE_PATH, query, timeout_ms)
        if isinstance(body, HttpFailure):
            return EndedTenure({}) if body.is_refused else side_error(body)
        reply = wire.decode(ttypes.TenureReply, body)
        if isinstance(reply, wire.WireError):
            return SideError(SideErrorReason.ANSWER_LOST, reply.detail)
        return EndedTenure(reply.levels)

    async def _post(
        self, host: str, path: str, message: object, timeout_ms: int
    ) -> bytes | HttpFailure:
        reply = await self._client.call(
            "POST",
            f"http://{self._resolve_address(host)}{path}",
            body=wire.encode(message),
            timeout_ms=timeout_ms,
        )
        if isinstance(reply, HttpFailure):
            return reply
        if reply.status != 200:
            detail = f"{path}: {host} answered {reply.status}"
            return HttpFailure(HttpFailureReason.ANSWER_LOST, detail)
        return reply.body


def open_keepers(client: HttpClient, directory: Directory) -> HttpAllotmentKeepers:
    """Return calls to sides by their names in the instance list."""

    def resolve_address(name: str) -> str:
        side = directory.find(name)
        # Without an address nothing is sent.
        return side.address if side is not None else ""

    return HttpAllotmentKeepers(client, resolve_address)


class AllotmentRoutes:
    """Handlers of a process that may keep allotments."""

    def __init__(self, keeper: TenureKeeper) -> None:
        self._keeper = keeper

    def add_to(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post(CREDITS_PATH, self._handle_credits)
        app.router.add_post(TENURE_PATH, self._handle_tenure)

    async def _handle_credits(self, request: web.Request) -> web.Response:
        query = wire.decode(ttypes.CreditQuery, await request.read())
        if isinstance(query, wire.WireError):
            return web.Response(status=400, text=query.detail)
        requests = [
            CreditRequest(
                item.account, item.rate_per_s, item.burst, item.needed, item.ahead
            )
            for item in query.requests
        ]
        reply = await self._keeper.grant(
            query.group, query.version, requests, query.silent or ""
        )
        if isinstance(reply, NotKeeper):
            message = ttypes.CreditReply(keeper=reply.keeper)
        else:
            message = ttypes.CreditReply([ttypes.CreditGrant(*item) for item in reply])
        return web.Response(body=wire.encode(message))

    async def _handle_tenure(self, request: web.Request) -> web.Response:
        query = wire.decode(ttypes.TenureQuery, await request.read())
        if isinstance(query, wire.WireError):
            return web.Response(status=400, text=query.detail)
        claimed = TopicPosition(query.era, query.offset)
        ended = self._keeper.end_tenure(query.group, claimed)
        message = ttypes.TenureReply(dict(ended.levels))
        return web.Response(body=wire.encode(message))
