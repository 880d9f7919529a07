"""Decodes the operator's configuration and the backend servers' registry entries."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from ipaddress import ip_address
from typing import Any

from copperrun.decoding import MALFORMED
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import digits
from copperrun.decoding import finite_number
from copperrun.decoding import printable_text
from copperrun.decoding import whole_number
from copperrun.routing.accounts import AccountTable
from copperrun.routing.accounts import Allotment
from copperrun.routing.accounts import AllotmentUnit
from copperrun.routing.accounts import ClientAccount
from copperrun.routing.accounts import digest_key
from copperrun.routing.catalog import BackendPool
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import EngineSpec
from copperrun.routing.catalog import ModelSpec
from copperrun.routing.catalog import PoolShare
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.catalog import Route
from copperrun.routing.servers import HeldModel
from copperrun.routing.servers import ServerRecord

MAX_VERSION_CHARACTERS = 64
MAX_PORT = 65_535
# A server runs one request on each of its connections.
MAX_SLOTS = MAX_PORT
MAX_MODELS = 1_000  # of one server

_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_catalog(value: bytes) -> Catalog | str:
    """Decode the operator's configuration; a string says why it cannot be used."""
    catalog = decode(value, _catalog)
    if isinstance(catalog, DecodeError):
        return f"configuration is malformed: {catalog.detail}"
    return catalog


def find_malformed(fields: Mapping[str, Any]) -> Iterator[tuple[str, int, str]]:
    """Return section, position and fault of what cannot be decoded."""
    for section, decode_item in (
        ("routes", _route),
        ("services", _pool),
        ("tenants", decode_account),
    ):
        items = fields.get(section)
        for index, item in enumerate(items if isinstance(items, list) else ()):
            try:
                decode_item(item)
            except KeyError as exc:
                yield section, index, f"required key {exc} is missing"
            except MALFORMED as exc:
                yield section, index, str(exc)


def decode_server(server_id: str, value: bytes) -> ServerRecord | str:
    """Decode a server's registry entry; a string says why it cannot be used."""
    record = decode(value, lambda fields: _server(server_id, fields))
    if isinstance(record, DecodeError):
        return f"entry is malformed: {record.detail}"
    return record


def _server(server_id: str, fields: Mapping[str, Any]) -> ServerRecord:
    leaving = _LEAVING_BY_STATE[fields["state"]]
    return ServerRecord(
        _string(server_id),
        _address(fields["address"]),
        _string(fields["service"]),  # the wire's word for a pool
        _string(fields["zone"]),
        whole_number(fields["slots"], 1, MAX_SLOTS),
        # Announces a removal: the server is gone after that time.
        leaving or "remaining-ms" in fields,
        whole_number(fields.get("born", 0), 0),
        decode_held_models(fields.get("models", ())),
        *decode_cached_models(fields),
        _software_version(fields.get("version")),
    )


def _catalog(fields: Mapping[str, Any]) -> Catalog:
    return Catalog(
        _number(fields["version"]),
        tuple(_route(item) for item in fields["routes"]),
        {item["name"]: _pool(item) for item in fields["services"]},
        _limits(fields.get("limits") or {}),
        _accounts(fields.get("tenants")),
    )


def decode_held_models(items: Any) -> tuple[HeldModel, ...]:
    """Decode the models that a server holds."""
    if len(items) > MAX_MODELS:
        raise ValueError(f"expected at most {MAX_MODELS} models, got {len(items)}")
    return tuple(
        HeldModel(
            _string(item["name"]),
            _number(item.get("version", 0)),
            frozenset(_adapter_name(name) for name in item.get("adapters", ())),
        )
        for item in items
    )


def decode_cached_models(
    fields: Mapping[str, Any],
) -> tuple[frozenset[str], frozenset[str]]:
    """Decode the models cached in host memory and on disk."""
    copies = fields.get("at-hand") or {}
    return (
        frozenset(_string(name) for name in copies.get("in-memory", ())),
        frozenset(_string(name) for name in copies.get("on-disk", ())),
    )


def _software_version(value: Any) -> str:
    """Return the version of a server's program; empty when it cannot be used."""
    if not isinstance(value, str) or len(value) > MAX_VERSION_CHARACTERS:
        return ""
    return value


def _adapter_name(item: Any) -> str:
    """Return an adapter's name, given as a string or as an object with a name."""
    return _string(item["name"] if isinstance(item, dict) else item)


def _route(item: Mapping[str, Any]) -> Route:
    kind = item["kind"]
    streaming = kind == "streaming"
    target_ms = _number(item.get("target-latency-ms", item["timeout-ms"]))
    gap_ms = _number(item.get("target-gap-ms", 0))
    split = item.get("traffic-split")
    if split:
        shares = tuple(
            PoolShare(_string(share["service"]), float(share["weight"]))
            for share in split
        )
    else:
        shares = (PoolShare(_string(item["service"]), 1.0),)
    return Route(
        _string(item["name"]),
        _string(item["hostname"]),
        _string(item["path-prefix"]),
        RetrySafety.SAFE if kind == "safe" else RetrySafety.UNSAFE,
        streaming,
        bool(item.get("resumable", False)),
        _number(item["timeout-ms"]),
        target_ms,
        gap_ms,
        _caller_timeout_ms(target_ms, gap_ms) if streaming else 0,
        _number(item.get("priority", 0)),
        max(_number(item.get("max-attempts", 1)), 1),
        shares,
        item.get("public") is True,
    )


def _caller_timeout_ms(target_ms: int, gap_ms: int) -> int:
    """Return the gap, also before the first event, at which callers disconnect."""
    return max(2_000, 4 * target_ms, 8 * gap_ms)


def _pool(item: Mapping[str, Any]) -> BackendPool:
    engine = item.get("engine")
    return BackendPool(
        _string(item["name"]),
        _number(item.get("max-connections", 0)),
        _engine(engine) if engine else None,
        _string(item.get("health-check-path") or "/"),
    )


def _engine(item: Mapping[str, Any]) -> EngineSpec:
    models = [_model(model) for model in item.get("models", ())]
    return EngineSpec(
        _number(item["slots"]),
        _number(item["kv-cache-tokens"]),
        _number(item.get("stride", 1)),
        float(item.get("weights-mb", 0.0)),
        _number(item.get("max-adapters", 0)),
        float(item.get("loads-per-s", 0.0)),
        {model.name: model for model in models},
    )


def _model(item: Mapping[str, Any]) -> ModelSpec:
    store_load_ms = int(float(item["load-time-s"]) * 1000)
    return ModelSpec(
        _string(item["name"]),
        float(item["weights-mb"]),
        float(item.get("adapter-mb", 0.0)),
        store_load_ms,
        int(float(item.get("disk-s", item["load-time-s"])) * 1000),
        # A load from host memory takes only the warm-up.
        int(float(item.get("warmup-s", item["load-time-s"])) * 1000),
    )


def _accounts(items: Any) -> AccountTable | None:
    """Decode the client accounts; without such a list callers need no keys."""
    if items is None:
        return None
    return AccountTable([decode_account(item) for item in items])


def decode_account(item: Mapping[str, Any]) -> ClientAccount:
    """Decode a client account; raise ``TypeError`` and the like if it is malformed."""
    return ClientAccount(
        _string(item["name"]),  # the wire's word for an account is a tenant
        _key_digests(item.get("api-keys")),
        _number(item.get("priority", 0)),
        _allotment(item),
    )


def _key_digests(keys: Any) -> frozenset[bytes]:
    """Return the digests of an account's keys; an error quotes none of them."""
    if not isinstance(keys or [], list):
        raise TypeError("api-keys: expected a list of keys")
    if not all(isinstance(key, str) and key for key in keys or ()):
        raise TypeError("api-keys: expected each key to be a non-empty string")
    return frozenset(map(digest_key, keys or ()))


def _allotment(item: Mapping[str, Any]) -> Allotment | None:
    rate_per_s = _finite(item.get("rate-per-s") or 0.0)
    if rate_per_s <= 0:
        return None
    unit = AllotmentUnit(item.get("unit") or AllotmentUnit.REQUESTS.value)
    return Allotment(
        rate_per_s,
        _finite(item.get("burst") or 0.0),
        unit,
        max(_number(item.get("plain-tokens", 1)), 1),
    )


def _limits(item: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        _number(item.get("max-header-bytes", default.header_bytes)),
        _number(item.get("max-body-bytes", default.body_bytes)),
        _number(item.get("header-timeout-ms", default.header_timeout_ms)),
        _number(item.get("idle-timeout-ms", default.idle_timeout_ms)),
    )


_number = whole_number
_finite = finite_number
_string = printable_text


def _address(value: Any) -> str:
    """Return an address as IP:PORT, IPv6 in brackets."""
    host, _, port = _string(value).rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ip_address(host[1:-1] if is_bracketed else host)
    number = digits(port)
    if is_bracketed != (ip.version == 6) or number is None:
        raise ValueError(f"expected IP:PORT, got {value!a}")
    whole_number(number, 1, MAX_PORT)
    return str(value)
