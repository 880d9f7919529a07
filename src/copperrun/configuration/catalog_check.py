"""Problems of a catalog of routes and pools, in any dialect; pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

from copperrun.configuration.check import Finding
from copperrun.configuration.check import ServerCounts
from copperrun.configuration.check import check_servers
from copperrun.configuration.check import error
from copperrun.configuration.check import warning
from copperrun.routing.accounts import AllotmentUnit
from copperrun.routing.accounts import ClientAccount
from copperrun.routing.catalog import BackendPool
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.catalog import Route


class Words(NamedTuple):
    """How a dialect calls the parts of a catalog."""

    routes: str
    host: str
    prefix: str
    shares: str
    timeout: str
    target: str
    gap: str
    pools: str
    pool: str
    engine: str
    size: str
    accounts: str
    account: str
    keys: str
    burst: str


def check_catalog(
    catalog: Catalog,
    words: Words,
    accounts: Sequence[ClientAccount] = (),
    servers: ServerCounts | None = None,
) -> list[Finding]:
    """Return the problems of a catalog of routes and pools.

    Args:
        catalog: The catalog.
        words: How its dialect calls its parts.
        accounts: All client accounts, also those with equal names.
        servers: Servers of each pool; None when they are not known.
    """
    used = {share.pool for route in catalog.routes for share in route.shares}
    return [
        *_check_hidden(catalog.routes, words),
        *(item for route in catalog.routes for item in _check_route(route, words)),
        *_check_shares(catalog, words),
        *(
            item
            for pool in catalog.pools.values()
            if pool.engine is not None
            for item in _check_models(pool, pool.engine, words, servers)
        ),
        *_check_accounts(accounts, words),
        *check_servers(words.pools, words.pool, used, catalog.pools, servers),
    ]


def check_names(section: str, names: Iterable[str]) -> Iterator[Finding]:
    """Return the names that occur twice in one section."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield error(
                (section, name),
                "the name occurs twice; only the last one counts",
                "rename or remove one of them",
            )
        seen.add(name)


def _check_hidden(routes: Sequence[Route], words: Words) -> Iterator[Finding]:
    last = {(route.host.lower(), route.prefix): route for route in routes}
    for route in routes:
        place = (words.routes, route.name)
        hides = last[route.host.lower(), route.prefix]
        if hides is not route:
            yield error(
                (*place, words.prefix),
                f"it never matches: route {hides.name!r} after it has the same host "
                "and prefix",
                "remove one of them, or give it another prefix",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield error(
                (*place, words.prefix),
                f"it never matches: {route.prefix!r} lacks a slash at one end",
                f"write '/{route.prefix.strip('/')}/'",
            )
        if ":" in route.host:
            yield error(
                (*place, words.host),
                f"it never matches: {route.host!r} has a port, which is not compared",
                "leave the port out",
            )


def _check_route(route: Route, words: Words) -> Iterator[Finding]:
    place = (words.routes, route.name)
    if route.timeout_ms <= 0:
        yield error(
            (*place, words.timeout), "no time to answer", "set it above the target"
        )
        return
    if route.target_ms > route.timeout_ms:
        yield error(
            (*place, words.timeout),
            f"the time limit of {route.timeout_ms} ms is under the target of "
            f"{route.target_ms} ms",
            f"raise it, or lower {words.target}",
        )
    if route.target_gap_ms > route.timeout_ms:
        yield error(
            (*place, words.gap),
            f"a pause of {route.target_gap_ms} ms is longer than the time limit of "
            f"{route.timeout_ms} ms",
            f"lower it, or raise {words.timeout}",
        )


def _check_shares(catalog: Catalog, words: Words) -> Iterator[Finding]:
    for route in catalog.routes:
        place = (words.routes, route.name)
        where = (*place, words.shares if len(route.shares) > 1 else words.pool)
        for share in route.shares:
            if share.pool not in catalog.pools:
                known = ", ".join(sorted(catalog.pools)) or "none"
                yield error(
                    where,
                    f"no {words.pool} {share.pool!r}",
                    f"correct the name; there are: {known}",
                )
        weights = [share.weight for share in route.shares]
        if any(weight < 0 for weight in weights):
            yield error(where, "a share is negative", "set it to 0 or more")
        elif not any(weights):
            yield error(where, "all shares are zero", "set one above 0")
        else:
            for share in route.shares:
                if not share.weight:
                    yield warning(
                        where,
                        f"{words.pool} {share.pool!r} has a share of zero and gets "
                        "nothing",
                        "set its share, or remove it",
                    )


def _check_models(
    pool: BackendPool, engine: EngineSpec, words: Words, servers: ServerCounts | None
) -> Iterator[Finding]:
    if engine.memory_mb <= 0:
        return
    place = (words.pools, pool.name, words.engine)
    total_mb = 0.0
    for model in engine.models.values():
        total_mb += model.size_mb
        if model.size_mb > engine.memory_mb:
            yield error(
                (*place, "models", model.name, words.size),
                f"the model takes {model.size_mb:g} MB, an engine has "
                f"{engine.memory_mb:g} MB; it can never be loaded",
                "remove the model, or use larger engines",
            )
    if servers is None:
        return
    room_mb = engine.memory_mb * servers.get(pool.name, 0)
    if 0 < room_mb < total_mb:
        yield warning(
            (*place, "models"),
            f"the models take {total_mb:g} MB, all engines together have "
            f"{room_mb:g} MB; some are always missing and have to be loaded first",
            "add engines, or remove models that nobody asks for",
        )


def _check_accounts(
    accounts: Sequence[ClientAccount], words: Words
) -> Iterator[Finding]:
    owners: dict[bytes, str] = {}
    for account in accounts:
        place = (words.accounts, account.name)
        if not account.key_digests:
            yield warning(
                (*place, words.keys),
                "it has no key, so that no request can come from it",
                "add a key, or remove it",
            )
        for owner in sorted(
            {owners.setdefault(item, account.name) for item in account.key_digests}
            - {account.name}
        ):
            yield error(
                (*place, words.keys),
                f"{words.account} {owner!r} has one of its keys too; requests with it "
                "count as that one's",
                "give each its own key, and withdraw the common one",
            )
        allotment = account.allotment
        if allotment is None:
            continue
        is_tokens = allotment.unit is AllotmentUnit.TOKENS
        smallest = allotment.plain_tokens if is_tokens else 1
        if 0 < allotment.burst < smallest:
            yield warning(
                (*place, words.burst),
                f"the burst of {allotment.burst:g} is below the smallest request, "
                f"which takes {smallest} {allotment.unit.value}; each is paid off "
                "before the next one is taken",
                f"set it to {smallest} or more",
            )
