"""Checks a configuration in the platform's form before it is sent."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Mapping
from typing import Any

from copperrun.adapters.client import HttpClient
from copperrun.configuration.catalog_check import Words
from copperrun.configuration.catalog_check import check_catalog
from copperrun.configuration.catalog_check import check_names
from copperrun.configuration.check import Finding
from copperrun.configuration.check import ServerCounts
from copperrun.configuration.check import Severity
from copperrun.configuration.comparison import Outline
from copperrun.configuration.comparison import outline
from copperrun.decoding import DecodeError
from copperrun.decoding import parse_json
from copperrun.platform.records import decode_account
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server
from copperrun.platform.records import find_malformed
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC
from copperrun.platform.store import HttpTopicStore
from copperrun.ports.topics import TopicError

WORDS = Words(
    routes="routes",
    host="hostname",
    prefix="path-prefix",
    shares="traffic-split",
    timeout="timeout-ms",
    target="target-latency-ms",
    gap="target-gap-ms",
    pools="services",
    pool="service",
    engine="engine",
    size="weights-mb",
    accounts="tenants",
    account="tenant",
    keys="api-keys",
    burst="burst",
)
_KINDS = {WORDS.routes: "route", WORDS.pools: "service", WORDS.accounts: "tenant"}
_SECRETS = frozenset({"key", "secret"})


def is_platform_document(document: Mapping[str, Any]) -> bool:
    """Return whether a document has the platform's form."""
    return any(
        isinstance(document.get(section), list)
        for section in (WORDS.routes, WORDS.pools)
    )


def check_document(
    document: Mapping[str, Any],
    servers: ServerCounts | None = None,
    version_in_force: int | None = None,
) -> list[Finding]:
    """Return the problems of a document.

    Args:
        document: The document.
        servers: Servers of each service; None when they are not known.
        version_in_force: Version that it replaces; None when that is not known.
    """
    malformed = _check_keys(document)
    if malformed:
        return malformed
    catalog = decode_catalog(json.dumps(document, default=str).encode())
    if isinstance(catalog, str):
        remedy = "correct it by the platform's protocol; no entry would use it"
        return [
            Finding(Severity.ERROR, (section, index), text, remedy)
            for section, index, text in find_malformed(document)
        ] or [Finding(Severity.ERROR, (), catalog, remedy)]
    accounts = [decode_account(item) for item in document.get(WORDS.accounts) or ()]
    findings = check_catalog(catalog, WORDS, accounts, servers)
    for section in (WORDS.pools, WORDS.accounts):
        names = [item["name"] for item in document.get(section) or ()]
        findings += check_names(section, names)
    if version_in_force is not None and catalog.version <= version_in_force:
        findings.append(
            Finding(
                Severity.ERROR,
                ("version",),
                f"{catalog.version} is not above {version_in_force}, which is in "
                "force; entries would skip it",
                f"set it to {version_in_force + 1} or more",
            )
        )
    return findings


def _check_keys(document: Mapping[str, Any]) -> list[Finding]:
    """Return what is wrong with the keys, of which no text may quote any."""
    findings = []
    items = document.get(WORDS.accounts)
    for index, item in enumerate(items if isinstance(items, list) else ()):
        if not isinstance(item, Mapping):
            continue
        keys = item.get(WORDS.keys) or []
        if not isinstance(keys, list) or not all(
            isinstance(key, str) and key for key in keys
        ):
            place = (WORDS.accounts, item.get("name") or index, WORDS.keys)
            text = "not a list of strings"
            findings.append(
                Finding(Severity.ERROR, place, text, "put each key in quotes")
            )
    return findings


def outline_document(document: Mapping[str, Any]) -> Outline:
    """Return the objects of a document for a comparison."""
    fields = {key: value for key, value in document.items() if key != "version"}
    return outline(fields, _KINDS, _SECRETS)


async def read_in_force(
    client: HttpClient, address: str
) -> tuple[Mapping[str, Any], ServerCounts] | str:
    """Return the document in force and the servers of each service.

    A string says why they cannot be read.
    """
    store = HttpTopicStore(client, address)
    configuration = await store.read_snapshot(OPERATOR_TOPIC)
    if isinstance(configuration, TopicError):
        return configuration.detail
    registered = await store.read_snapshot(SERVERS_TOPIC)
    if isinstance(registered, TopicError):
        return registered.detail
    value = configuration.items.get(CATALOG_KEY)
    document = parse_json(value) if value else {}
    if isinstance(document, DecodeError):
        return "the configuration in force is not JSON"
    records = [decode_server(key, item) for key, item in registered.items.items()]
    servers = Counter(
        record.pool
        for record in records
        if not isinstance(record, str) and not record.leaving
    )
    return document, servers
