"""Decoding of the platform's settings, configuration and registry entries."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import Not

from copperrun.admission.memory import EngineRun
from copperrun.admission.memory import MemoryReport
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.platform import http_headers
from copperrun.platform.engine_control import _decode_status
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server
from copperrun.platform.records import find_malformed
from copperrun.platform.settings import SETTINGS_PATH_VARIABLE
from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import load_settings
from copperrun.platform.settings import settings_path
from copperrun.ports.engine_control import EngineStatus
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import RetrySafety
from copperrun.routing.servers import ServerRecord

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def server_entry(**changes: Any) -> dict[str, Any]:
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 2,
        "born": 1_790_000_000_000,
        "models": [{"name": "m", "version": 3, "adapters": ["a1", "a2"]}],
        "at-hand": {"in-memory": ["m"], "on-disk": ["m", "n"]},
        **changes,
    }


def configuration(**changes: Any) -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "hostname": "h.example",
                "path-prefix": "/a/",
                "kind": "streaming",
                "timeout-ms": 20_000,
                "target-latency-ms": 4_000,
                "priority": 2,
                "service": "s",
                "max-attempts": 1,
                "session-affinity": True,
                "resumable": False,
                "target-gap-ms": 300,
            },
            {
                "name": "r2",
                "hostname": "h.example",
                "path-prefix": "/b/",
                "kind": "safe",
                "timeout-ms": 1_500,
                "target-latency-ms": 200,
                "priority": 2,
                "traffic-split": [
                    {"service": "s", "weight": 90},
                    {"service": "t", "weight": 10},
                ],
                "max-attempts": 2,
            },
        ],
        "services": [
            {
                "name": "s",
                "health-check-path": "/health",
                "max-connections": 630,
                "engine": {
                    "slots": 128,
                    "kv-cache-tokens": 157_677,
                    "stride": 2,
                    "weights-mb": 83_000.0,
                    "max-adapters": 8,
                    "loads-per-s": 1.8,
                    "models": [
                        {
                            "name": "m",
                            "weights-mb": 34_300.0,
                            "load-time-s": 5.4,
                            "adapters": 37,
                            "adapter-mb": 40.0,
                            "warmup-s": 0.78,
                            "disk-s": 1.1,
                        }
                    ],
                },
            },
            {"name": "t", "health-check-path": "/health", "max-connections": 110},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        **changes,
    }


def test_an_entry_becomes_a_server():
    record = decode_server("i-1", json.dumps(server_entry()).encode())
    assert isinstance(record, ServerRecord)
    assert_that(
        (record.pool, record.address, record.leaving, record.slots),
        Equals(("s", "10.0.0.1:80", False, 4)),
    )
    assert_that(record.models[0].adapters, Equals(frozenset({"a1", "a2"})))
    assert_that(record.on_disk, Equals(frozenset({"m", "n"})))


@pytest.mark.parametrize("change", [{"state": "draining"}, {"remaining-ms": 900}])
def test_an_entry_that_announces_its_removal_is_leaving(change: dict[str, Any]) -> None:
    record = decode_server("i-1", json.dumps(server_entry(**change)).encode())
    assert isinstance(record, ServerRecord)
    assert_that(record.leaving, Equals(True))


@pytest.mark.parametrize(
    "change",
    [
        {"state": "unknown"},
        {"state": 1},
        {"service": None},
        {"address": "10.0.0.1"},
        {"address": 5},
        {"slots": "4"},
        {"models": [{"version": 1}]},
        {"models": "m"},
        {"at-hand": [1]},
    ],
)
def test_an_entry_with_fields_of_another_type_names_no_server(
    change: dict[str, Any],
) -> None:
    record = decode_server("i-1", json.dumps(server_entry(**change)).encode())
    assert_that(record, IsInstance(str))


# Odd entries were used as servers, drew work by their size or ended their readers.
@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**300},
        {"slots": 1e300},
        {"slots": 65_536},
        {"slots": 0},
        {"slots": -5},
        {"born": 10**30},
        {"born": -1},
        {"models": [{"name": "m", "version": 10**40}]},
        {"models": [{"name": "m"}] * 1_001},
        {"models": [[]]},
        {"service": "\ud800"},
        {"zone": "\ud800"},
        {"zone": "z\r\nHost: other"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:²"},
        {"address": "10.0.0.1:٣"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"address": "10.0.0.1:80/x"},
        {"address": "10.0.0.1 :80"},
        {"address": " 10.0.0.1:80"},
        {"address": "a b:80"},
        {"address": "user@10.0.0.1:80"},
        {"address": "[::1"},
        {"address": "[::1:80"},
        {"address": "::1:80"},
        {"address": ":80"},
        {"address": "10.0.0.256:80"},
        {"address": "\ud800:80"},
    ],
    ids=lambda change: ascii(change)[1:40],
)
def test_an_entry_with_values_out_of_range_names_no_server(
    change: dict[str, Any],
) -> None:
    record = decode_server("i-1", json.dumps(server_entry(**change)).encode())
    assert_that(record, IsInstance(str))


@pytest.mark.parametrize("server_id", ["", "a\r\nX: 1", "\ud800"])
def test_an_id_that_no_header_may_hold_names_no_server(server_id: str) -> None:
    record = decode_server(server_id, json.dumps(server_entry()).encode())
    assert_that(record, IsInstance(str))


@pytest.mark.parametrize("address", ["10.0.0.1:1", "10.0.0.1:65535", "[::1]:80"])
def test_addresses_of_both_families_are_decoded(address: str) -> None:
    record = decode_server("i-1", json.dumps(server_entry(address=address)).encode())
    assert isinstance(record, ServerRecord)
    assert_that(record.address, Equals(address))


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_are_decoded_or_refused_with_a_reason(value: bytes) -> None:
    assert isinstance(decode_server("i-1", value), str)
    assert isinstance(decode_catalog(value), str)


@given(st.sampled_from(sorted(server_entry())), JSON)
def test_any_field_of_an_entry_may_be_of_any_type(name: str, value: Any) -> None:
    record = decode_server("i-1", json.dumps(server_entry(**{name: value})).encode())
    assert isinstance(record, str | ServerRecord)


def test_a_configuration_becomes_a_catalog():
    catalog = decode_catalog(json.dumps(configuration()).encode())
    assert isinstance(catalog, Catalog)
    stream, safe = catalog.routes
    assert_that(
        (stream.streaming, stream.retry_safety, stream.resumable),
        Equals((True, RetrySafety.UNSAFE, False)),
    )
    assert_that(stream.caller_timeout_ms, Equals(16_000))
    assert_that(
        (safe.retry_safety, safe.caller_timeout_ms), Equals((RetrySafety.SAFE, 0))
    )
    assert_that([share.pool for share in safe.shares], Equals(["s", "t"]))
    engine = catalog.pools["s"].engine
    assert engine is not None
    assert_that(engine.tokens_per_event, Equals(2))
    spec = engine.models["m"]
    assert_that(
        (spec.store_load_ms, spec.disk_load_ms, spec.host_load_ms),
        Equals((5_400, 1_100, 780)),
    )
    assert_that(catalog.pools["t"].engine, Equals(None))


def test_a_configuration_without_routes_is_refused_with_a_reason():
    fields = configuration()
    del fields["routes"]
    assert_that(decode_catalog(json.dumps(fields).encode()), Contains("routes"))


def test_hop_by_hop_headers_are_not_passed_on():
    headers = [
        (b"Connection", b"close, X-One"),
        (b"X-One", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Two", b"2"),
        (b"x-two", b"3"),
    ]
    passed_on = list(http_headers.end_to_end(headers))
    assert_that(passed_on, Equals([("X-Two", "2"), ("x-two", "3")]))


def settings(**changes: Any) -> dict[str, Any]:
    return {
        "node-name": "front-1",
        "zone": "z",
        "region": "r",
        "zones": {"z": "r"},
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:8149", "ready": "127.0.0.1:8141"},
        "internal-port-range": [7380, 7395],
        "seeds": ["127.0.0.1:8144"],
        "platform": {"address": "127.0.0.1:8142"},
        "bounds": {
            "drain-ms": 2_500,
            "config-apply-ms": 2_500,
            "grace-s": 8,
            "budget-ratio": 0.2,
            "budget-slack": 58,
            "budget-window-s": 10,
            "ceiling-window-s": 5,
            "ceiling-overage": 1.1,
        },
        **changes,
    }


def write_settings(tmp_path: Path, fields: Any) -> Path:
    path = tmp_path / "local.yaml"
    path.write_text(yaml.safe_dump(fields))
    return path


def test_settings_are_decoded(tmp_path: Path) -> None:
    cfg = load_settings(
        write_settings(tmp_path, settings(app="127.0.0.1:9", service="s"))
    )
    assert isinstance(cfg, PlatformSettings)
    assert_that((cfg.front_port, cfg.control_port), Equals((8149, 0)))
    assert_that((cfg.grace_ms, cfg.drain_ms), Equals((8_000, 2_500)))
    assert_that((cfg.engine_address, cfg.pool), Equals(("127.0.0.1:9", "s")))


@pytest.mark.parametrize(
    ("field", "value", "named"),
    [
        ("zone", None, "zone"),
        ("seeds", 5, "seeds"),
        ("ip", 5, "ip"),
        ("internal-port-range", [], "internal-port-range"),
        ("platform", {}, "address"),
        ("bounds", {"grace-s": "8"}, "grace-s"),
        ("listen", {"front": "x"}, "listen.front"),
    ],
)
def test_bad_settings_are_named_in_one_line(
    tmp_path: Path, field: str, value: Any, named: str
) -> None:
    error = load_settings(write_settings(tmp_path, settings(**{field: value})))
    assert isinstance(error, SettingsError)
    assert_that(error.detail, Contains(named))
    assert_that(error.detail.count("\n"), Equals(0))


def test_engines_that_crash_when_full_are_known_from_the_rules(tmp_path: Path) -> None:
    for rules, crash in (
        ({}, False),
        ({"contracts": None}, False),
        ({"contracts": ["base", "engine"]}, False),
        ({"contracts": ["base", "pressure"]}, True),
    ):
        cfg = load_settings(write_settings(tmp_path, settings(**rules)))
        assert isinstance(cfg, PlatformSettings)
        assert_that(cfg.engines_crash_when_full, Equals(crash))
    bad = load_settings(write_settings(tmp_path, settings(contracts="pressure")))
    assert isinstance(bad, SettingsError)
    assert_that(bad.detail, Contains("contracts"))


def test_an_engines_count_of_its_memory_is_decoded():
    report = {
        "models": [],
        "busy": False,
        "sequence": 0,
        "running": 1,
        "queued": 0,
    }
    assert_that(_decode_status(report).memory, Equals(None))
    report |= {"kv-used": 1_600, "kv-total": 9_000, "pinned": 100, "held": 50}
    assert_that(
        _decode_status(report).memory, Equals(MemoryReport(9_000, 1_600, 50, running=1))
    )
    report["runs"] = [["id-1", 1_550, 30, 5]]
    memory = _decode_status(report).memory
    assert memory is not None
    assert_that(memory.runs, Equals((EngineRun("id-1", 1_550, 30),)))
    # The models are known though the memory is not.
    for malformed in ({"kv-used": "x"}, {"runs": [["id-1"]]}, {"held": [1]}):
        assert_that(_decode_status(report | malformed).memory, Equals(None))


def test_missing_or_malformed_settings_files_give_one_line(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    path.write_text("a: [")
    for error in (load_settings(path), load_settings(tmp_path / "none.yaml")):
        assert isinstance(error, SettingsError)
        assert_that(error.detail.count("\n"), Equals(0))


def test_the_path_comes_from_the_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(SETTINGS_PATH_VARIABLE, raising=False)
    assert_that(settings_path(), IsInstance(SettingsError))
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, "/x.yaml")
    assert_that(settings_path(), Equals(Path("/x.yaml")))


def test_a_service_without_a_health_check_is_asked_at_its_root():
    plain, named, empty = (
        {"name": name, "max-connections": 1, **changes}
        for name, changes in (
            ("a", {}),
            ("b", {"health-check-path": "/health"}),
            ("c", {"health-check-path": ""}),
        )
    )
    value = json.dumps(configuration(services=[plain, named, empty])).encode()
    catalog = decode_catalog(value)
    assert isinstance(catalog, Catalog)
    paths = [pool.health_path for pool in catalog.pools.values()]
    assert_that(paths, Equals(["/", "/health", "/"]))


SECRET = "k7b2ex5wa5xwyhks8nbk"


@pytest.mark.parametrize(
    "keys", [[f"{SECRET}\ud800"], [{SECRET: 1}], [[SECRET]], {SECRET: 1}, SECRET]
)
def test_an_error_of_malformed_keys_quotes_none_of_them(keys: Any) -> None:
    fields = configuration(tenants=[{"name": "north", "api-keys": keys}])
    decoded = decode_catalog(json.dumps(fields).encode())
    assert_that(decoded, IsInstance(str))
    assert_that(decoded, Not(Contains(SECRET)))
    for _, _, text in find_malformed(fields):
        assert_that(text, Not(Contains(SECRET)))


def test_an_error_of_bytes_that_are_no_text_quotes_no_key() -> None:
    fields = configuration(tenants=[{"name": "north", "api-keys": [SECRET]}])
    decoded = decode_catalog(json.dumps(fields).encode() + b"\xff")
    assert_that(decoded, IsInstance(str))
    assert_that(decoded, Not(Contains(SECRET)))


@pytest.mark.parametrize("name", ["rate-per-s", "burst", "priority"])
@pytest.mark.parametrize("value", ["Infinity", "NaN", "1e999"])
def test_a_number_that_is_not_finite_is_malformed(name: str, value: str) -> None:
    item = {"name": "north", "api-keys": [], "rate-per-s": 5, name: "HERE"}
    text = json.dumps(configuration(tenants=[item])).replace('"HERE"', value)
    assert_that(decode_catalog(text.encode()), IsInstance(str))


# A report nested deep ended the side that read it; so did one with an endless number.
@pytest.mark.parametrize(
    "change",
    [
        {"models": None},
        {"sequence": 10**300},
        {"sequence": float("inf")},
        {"born": 1e300},
        {"running": "1"},
        {"models": [{"name": "\ud800"}]},
    ],
    ids=str,
)
def test_an_engine_report_with_odd_values_is_malformed(change: dict[str, Any]) -> None:
    report = {
        "born": 1_790_000_000_000,
        "models": [{"name": "m", "version": 3, "adapters": []}],
        "busy": False,
        "sequence": 2,
        "running": 1,
        "queued": 0,
    }
    assert_that(decode(json.dumps(report), _decode_status), IsInstance(EngineStatus))
    odd = json.dumps(report | change)
    assert_that(decode(odd, _decode_status), IsInstance(DecodeError))
