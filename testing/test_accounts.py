"""Keys of client accounts, and what backend servers are told of them."""

from __future__ import annotations

from pathlib import Path

import pytest
from loguru import logger
from platform_entry import PlatformEntry
from platform_entry import until
from platform_standins import ScriptedServer
from test_platform_http import Client
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from copperrun.routing.accounts import digest_key

KEY = "asnmgkcuyj8pjbvk9m68"
NEW_KEY = "k7b2ex5wa5xwyhks8nbk"
PUBLIC_PREFIX = "/open/"
REQUEST = "GET {path}x HTTP/1.1\nHost: h\nRequest-Id: r1\nDeadline-Ms: 3000\n{headers}"


def account(name: str = "north", *keys: str, **changes: object) -> dict[str, object]:
    return {"name": name, "api-keys": list(keys or (KEY,)), **changes}


async def start_entry(
    folder: Path, server: ScriptedServer, *accounts: dict[str, object], **bounds: object
) -> PlatformEntry:
    entry = PlatformEntry(folder, **bounds)
    if accounts:
        entry.configuration["tenants"] = list(accounts)
    route = dict(entry.configuration["routes"][0])
    route.update({"name": "open", "path-prefix": PUBLIC_PREFIX, "public": True})
    entry.configuration["routes"].append(route)
    await server.start()
    await entry.start(server)
    return entry


async def ask(entry: PlatformEntry, *headers: str, path: str = "/safe/") -> int:
    client = await Client.open(entry.port)
    client.send(REQUEST.format(path=path, headers="\n".join(headers)))
    status, _, _, _ = await client.answer()
    client.close()
    return status


async def test_a_server_is_told_the_account_and_never_the_key(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account())
    status = await ask(
        entry,
        f"Authorization: Token {KEY}",
        "TENANT: south",
        "tenant: east",
        f"X-Api-Key: {KEY}",
        f"Cookie: key={KEY}; a=b",
        "X-Own: kept",
    )
    await entry.close()
    await server.close()
    received = server.requests[0].headers
    assert_that(status, Equals(200))
    assert_that(received["tenant"], Equals("north"))
    assert_that(server.requests[0].header_names.count("tenant"), Equals(1))
    assert_that(received["x-own"], Equals("kept"))
    for name in ("authorization", "x-api-key", "cookie"):
        assert_that(received, Not(Contains(name)))


async def test_a_public_route_needs_no_key_and_names_no_account(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account())
    status = await ask(
        entry, f"Authorization: Token {KEY}", "Tenant: north", path=PUBLIC_PREFIX
    )
    await entry.close()
    await server.close()
    received = server.requests[0].headers
    assert_that(status, Equals(200))
    for name in ("authorization", "tenant"):
        assert_that(received, Not(Contains(name)))


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ("Authorization:",),
        ("Authorization: Token",),
        ("Authorization: Token unknown-key",),
        (f"Authorization: Bearer {KEY}",),
        (f"Authorization: {KEY}",),
        (f"Authorization: Token {KEY}", f"Authorization: Token {KEY}"),
        (f"Authorization: Token {KEY}, Token {KEY}",),
        ("Authorization: Token " + "k" * 4_000,),
        ("Authorization: Token \xe9\xe9\xe9\xe9",),
    ],
)
async def test_a_request_without_a_known_key_gets_401_and_reaches_no_server(
    tmp_path, headers
):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account())
    status = await ask(entry, *headers)
    await entry.close()
    await server.close()
    assert_that(status, Equals(401))
    assert_that(server.requests, HasLength(0))


async def test_without_accounts_the_headers_of_callers_are_passed_on(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server)
    status = await ask(entry, f"Authorization: Token {KEY}", "Tenant: south")
    await entry.close()
    await server.close()
    received = server.requests[0].headers
    assert_that(status, Equals(200))
    assert_that(received["authorization"], Equals(f"Token {KEY}"))
    assert_that(received["tenant"], Equals("south"))


async def test_keys_are_added_and_withdrawn_with_a_new_configuration(tmp_path):
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account())
    before = await ask(entry, f"Authorization: Token {NEW_KEY}")
    entry.configuration["tenants"] = [account("north", NEW_KEY)]
    await entry.publish()
    added = await ask(entry, f"Authorization: Token {NEW_KEY}")
    withdrawn = await ask(entry, f"Authorization: Token {KEY}")
    await entry.close()
    await server.close()
    assert_that((before, added, withdrawn), Equals((401, 200, 401)))


def strict(*, is_strict: bool) -> dict[str, object]:
    return {"config-apply-ms": 400, "strict-revocation": is_strict, "revoke-ms": 500}


@pytest.mark.parametrize(("is_strict", "status"), [(False, 200), (True, 503)])
async def test_keys_that_the_store_no_longer_confirms(tmp_path, is_strict, status):
    server = ScriptedServer()
    bounds = strict(is_strict=is_strict)
    entry = await start_entry(tmp_path, server, account(), **bounds)
    before = await ask(entry, f"Authorization: Token {KEY}")
    await entry.store.close()
    view = entry.role._process._view
    await until(lambda: not view.is_catalog_confirmed(500))
    after = await ask(entry, f"Authorization: Token {KEY}")
    unknown = await ask(entry, "Authorization: Token other")
    await entry.close()
    await server.close()
    assert_that((before, after, unknown), Equals((200, status, 503)))


async def test_changes_of_keys_are_logged_without_the_keys(tmp_path):
    lines: list[str] = []
    handler = logger.add(lines.append, format="{message} {extra}")
    server = ScriptedServer()
    entry = await start_entry(tmp_path, server, account("north", KEY))
    entry.configuration["tenants"] = [account("north", NEW_KEY), account("south", KEY)]
    await entry.publish()
    await ask(entry, "Authorization: Token some-other-key")
    await entry.close()
    await server.close()
    logger.remove(handler)
    changed = [text for text in lines if text.startswith("keys changed")]
    assert_that(changed, HasLength(3))
    assert_that(changed[1], Contains("'account': 'north', 'added': 1, 'withdrawn': 1"))
    for key in (KEY, NEW_KEY, "some-other-key"):
        assert_that("".join(lines), Not(Contains(key)))
        assert_that("".join(lines), Not(Contains(digest_key(key).hex())))
