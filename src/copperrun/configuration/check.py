"""Problems of the product's configuration; pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Pool
from copperrun.configuration.schema import check_references

GIB = 2**30
Place = tuple[str | int, ...]
ServerCounts = Mapping[str, int]


class Severity(Enum):
    """How much a finding matters.

    Attributes:
        ERROR: It cannot work as written.
        WARNING: It works, but part of it has no effect or costs requests.
    """

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One problem of a configuration.

    Attributes:
        severity: How much it matters.
        place: Keys and names that lead to it.
        text: What is wrong.
        remedy: What to do.
    """

    severity: Severity
    place: Place
    text: str
    remedy: str


def check_configuration(
    cfg: Configuration, servers: ServerCounts | None = None
) -> list[Finding]:
    """Return the problems of the product's configuration.

    Args:
        cfg: The configuration.
        servers: Servers of each pool; None when they are not known.
    """
    references = [
        error(item.location, item.detail, "correct the name, or add what it names")
        for item in check_references(cfg)
    ]
    if references:
        return references  # what follows takes them for granted
    return [
        *_check_sizes(cfg),
        *_check_totals(cfg, servers),
        *_check_use(cfg),
        *_check_classes(cfg),
        *_check_callers(cfg),
        *_check_patterns(cfg),
        *check_servers("pools", "pool", _used_pools(cfg), cfg.pools, servers),
    ]


def _usable_bytes(pool: Pool) -> int:
    return pool.memory - pool.kv_reserve - pool.adapter_reserve


def _check_sizes(cfg: Configuration) -> Iterator[Finding]:
    for name, deployment in cfg.deployments.items():
        pool = cfg.pools[deployment.pool]
        if not pool.memory:
            continue
        weights = cfg.models[deployment.model].versions[deployment.version].weights
        if weights > _usable_bytes(pool):
            yield error(
                ("deployments", name, "version"),
                f"its weights take {_gib(weights)}, a server of pool "
                f"{deployment.pool!r} has {_gib(_usable_bytes(pool))} for weights",
                "choose a pool with more memory, or lower its reserves",
            )
        room = pool.memory - pool.kv_reserve - weights
        for index, adapter in enumerate(deployment.adapters):
            if weights <= _usable_bytes(pool) and cfg.adapters[adapter].weights > room:
                yield error(
                    ("deployments", name, "adapters", index),
                    f"adapter {adapter!r} takes {_gib(cfg.adapters[adapter].weights)}, "
                    f"beside the model a server of pool {deployment.pool!r} has "
                    f"{_gib(room)}",
                    "choose a pool with more memory, or lower its kv_reserve",
                )


def _check_totals(
    cfg: Configuration, servers: ServerCounts | None
) -> Iterator[Finding]:
    if servers is None:
        return
    wanted: dict[str, int] = {}
    for name, deployment in cfg.deployments.items():
        count = servers.get(deployment.pool, 0)
        copies = cfg.copies(name)
        if copies > count:
            yield error(
                ("deployments", name, "copies"),
                f"{copies} copies, but pool {deployment.pool!r} has {count} servers",
                "lower the copies, or add servers",
            )
        weights = cfg.models[deployment.model].versions[deployment.version].weights
        wanted[deployment.pool] = wanted.get(deployment.pool, 0) + copies * weights
    for pool_name, total in wanted.items():
        pool = cfg.pools[pool_name]
        room = _usable_bytes(pool) * servers.get(pool_name, 0)
        if pool.memory and total > room:
            yield error(
                ("pools", pool_name),
                f"the copies of its deployments take {_gib(total)}, "
                f"all its servers together have {_gib(room)} for weights",
                "lower the copies of a deployment, or add servers",
            )


def _check_use(cfg: Configuration) -> Iterator[Finding]:
    used = {name for tenant in cfg.tenants.values() for name in tenant.uses}
    for section, names in (
        ("deployments", cfg.deployments),
        ("services", cfg.services),
    ):
        for name in names:
            if name not in used:
                yield warning(
                    (section, name),
                    "no tenant may use it",
                    "add it to 'uses' of a tenant, or remove it",
                )
    tenants = {caller.tenant for caller in cfg.callers.values()}
    for name, tenant in cfg.tenants.items():
        if not tenant.uses:
            yield warning(
                ("tenants", name, "uses"),
                "its callers may use nothing",
                "name deployments or services",
            )
        if name not in tenants:
            yield warning(
                ("tenants", name), "it has no callers", "add a caller, or remove it"
            )


def _check_classes(cfg: Configuration) -> Iterator[Finding]:
    for name, item in cfg.classes.items():
        for field, target_ms in (
            ("first_token", item.first_token),
            ("between_tokens", item.between_tokens),
        ):
            if target_ms > item.whole:
                yield error(
                    ("classes", name, field),
                    f"{target_ms} ms is more than the whole answer's {item.whole} ms",
                    "lower it, or raise 'whole'",
                )
        if item.queue_bound > item.whole:
            yield warning(
                ("classes", name, "queue_bound"),
                f"requests are admitted to a wait of {item.queue_bound} ms, though "
                f"their whole answer is due after {item.whole} ms",
                "lower it below 'whole', so that they are refused at once",
            )


def _check_callers(cfg: Configuration) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    admitted = cfg.preset().admits
    for name, caller in cfg.callers.items():
        place = ("callers", name)
        if not caller.key_hashes:
            yield warning(
                (*place, "key_hashes"),
                "it has no key, so that no request can come from it",
                f"run 'copperrunctl token create {name}' and add the hash",
            )
        for index, key_hash in enumerate(caller.key_hashes):
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                yield error(
                    (*place, "key_hashes", index),
                    f"caller {owner!r} has the same key; it is good for one of them",
                    "create a key for each",
                )
        if admitted and caller.service_class not in admitted:
            yield warning(
                (*place, "service_class"),
                f"preset {cfg.preset_in_force!r}, which is in force, does not admit "
                f"class {caller.service_class!r}; all its requests are refused",
                "add the class to 'admits', or use another preset",
            )


def _check_patterns(cfg: Configuration) -> Iterator[Finding]:
    for name, service in cfg.services.items():
        for index, pattern in enumerate(service.unrepeatable):
            for earlier in service.unrepeatable[:index]:
                path = pattern.path.rstrip("/") or "/"
                if all(earlier.matches(method, path) for method in pattern.methods):
                    yield warning(
                        ("services", name, "unrepeatable", index),
                        f"the pattern {earlier.path!r} before it holds all its calls",
                        "remove one of them",
                    )
                    break


def _used_pools(cfg: Configuration) -> set[str]:
    return {item.pool for item in cfg.deployments.values()} | {
        item.pool for item in cfg.services.values()
    }


def check_servers(
    section: str,
    noun: str,
    used: set[str],
    pools: Iterable[str],
    servers: ServerCounts | None,
) -> Iterator[Finding]:
    """Return the pools that are not used or have no servers."""
    for name in pools:
        if name not in used:
            yield warning(
                (section, name),
                f"no requests go to this {noun}",
                "remove it, or use it",
            )
        elif servers is not None and not servers.get(name):
            yield error(
                (section, name),
                f"this {noun} has no servers; all its requests are refused",
                "start servers for it, or take it out of use",
            )


def _gib(size: int) -> str:
    return f"{size / GIB:.4g} GiB"


def error(place: Place, text: str, remedy: str) -> Finding:
    """Return a finding on what cannot work as written."""
    return Finding(Severity.ERROR, place, text, remedy)


def warning(place: Place, text: str, remedy: str) -> Finding:
    """Return a finding on what has no effect or costs requests."""
    return Finding(Severity.WARNING, place, text, remedy)
