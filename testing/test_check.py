"""Problems of configurations in both forms, and what a new one would change."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from argparse import Namespace
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import yaml
from installation import small_configuration
from platform_standins import StoreStandIn
from test_platform_records import server_entry
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from copperrun.configuration.check import Finding
from copperrun.configuration.check import Severity
from copperrun.configuration.check import check_configuration
from copperrun.configuration.comparison import differences
from copperrun.configuration.comparison import outline
from copperrun.configuration.document import DocumentError
from copperrun.configuration.schema import CONFIGURATION
from copperrun.ctl.checking import check
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.output import Output
from copperrun.ctl.publishing import load_configuration
from copperrun.platform.checking import check_document
from copperrun.platform.checking import outline_document
from copperrun.platform.store import CATALOG_KEY
from copperrun.platform.store import OPERATOR_TOPIC
from copperrun.platform.store import SERVERS_TOPIC

KEY = "sk-very-secret-1"
OTHER_KEY = "sk-very-secret-2"
HASH = "a" * 64
ERROR, WARNING = Severity.ERROR, Severity.WARNING

Change = Callable[[Any], object]


def product(**changes: Any) -> dict[str, Any]:
    """Return a configuration without problems."""
    return {
        "pools": {
            "p": {
                "accelerators": 1,
                "memory": "80 GiB",
                "kv_reserve": "20 GiB",
                "adapter_reserve": "2 GiB",
            },
            "plain": {},
        },
        "classes": {
            "c": {
                "priority": 1,
                "first_token": "1 s",
                "between_tokens": "100 ms",
                "whole": "20 s",
                "queue_bound": "2 s",
            }
        },
        "tenants": {"t": {"uses": ["d", "ledger"]}},
        "presets": {"normal": {}},
        "preset_in_force": "normal",
        "models": {"m": {"versions": {"v1": {"weights": "40 GiB"}}}},
        "adapters": {"a": {"model": "m", "weights": "1 GiB"}},
        "deployments": {
            "d": {"pool": "p", "model": "m", "version": "v1", "adapters": ["a"]}
        },
        "services": {
            "ledger": {
                "pool": "plain",
                "unrepeatable": [{"methods": ["POST"], "path": "/pay"}],
            }
        },
        "callers": {"x": {"tenant": "t", "service_class": "c", "key_hashes": [HASH]}},
        **changes,
    }


def check_product(
    change: Change, servers: dict[str, int] | None = None
) -> list[Finding]:
    document = product()
    change(document)
    return check_configuration(CONFIGURATION.validate_python(document), servers)


def platform_route(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "h",
        "path-prefix": f"/{name}/",
        "kind": "safe",
        "timeout-ms": 4_000,
        "target-latency-ms": 500,
        "service": "s",
        **changes,
    }


def platform_document() -> dict[str, Any]:
    """Return a configuration of the platform without problems."""
    models = [{"name": "m", "weights-mb": 700.0, "load-time-s": 1.0}]
    engine = {
        "slots": 8,
        "kv-cache-tokens": 10_000,
        "weights-mb": 1_000.0,
        "models": models,
    }
    return {
        "version": 5,
        "routes": [
            platform_route("a"),
            platform_route("b", kind="streaming", service="e"),
        ],
        "services": [{"name": "s"}, {"name": "e", "engine": engine}],
        "limits": {},
        "tenants": [
            {"name": "t1", "api-keys": [KEY], "rate-per-s": 10, "burst": 20},
            {"name": "t2", "api-keys": [OTHER_KEY]},
        ],
    }


def check_platform(
    change: Change, servers: dict[str, int] | None = None
) -> list[Finding]:
    document = platform_document()
    change(document)
    return check_document(document, servers)


def test_sound_configurations_have_no_problems():
    assert_that(check_product(lambda cfg: None, {"p": 1, "plain": 1}), Equals([]))
    assert_that(check_platform(lambda cfg: None, {"s": 1, "e": 1}), Equals([]))
    assert_that(check_product(lambda cfg: None), Equals([]))


def put(path: str, value: Any) -> Change:
    """Return a change that sets one field."""

    def change(document: Any) -> None:
        *parents, last = path.split(".")
        for part in parents:
            document = document[int(part) if part.isdecimal() else part]
        document[int(last) if last.isdecimal() else last] = value

    return change


ONE_CALLER = {"tenant": "t", "service_class": "c", "key_hashes": [HASH]}


@pytest.mark.parametrize(
    ("change", "severity", "place", "text"),
    [
        (put("deployments.d.pool", "q"), ERROR, "deployments.d.pool", "no pool 'q'"),
        (
            put("models.m.versions.v1.weights", "60 GiB"),
            ERROR,
            "deployments.d.version",
            "its weights take 60 GiB, a server of pool 'p' has 58 GiB",
        ),
        (
            put("adapters.a.weights", "21 GiB"),
            ERROR,
            "deployments.d.adapters.0",
            "adapter 'a' takes 21 GiB, beside the model a server of pool 'p' has 20",
        ),
        (
            put("classes.c.first_token", "21 s"),
            ERROR,
            "classes.c.first_token",
            "21000 ms is more than the whole answer's 20000 ms",
        ),
        (
            put("classes.c.between_tokens", "21 s"),
            ERROR,
            "classes.c.between_tokens",
            "21000 ms is more",
        ),
        (
            put("classes.c.queue_bound", "21 s"),
            WARNING,
            "classes.c.queue_bound",
            "admitted to a wait of 21000 ms",
        ),
        (
            put("callers.x.key_hashes", []),
            WARNING,
            "callers.x.key_hashes",
            "no request can come from it",
        ),
        (
            put("callers.y", ONE_CALLER),
            ERROR,
            "callers.y.key_hashes.0",
            "caller 'x' has the same key",
        ),
        (
            put("presets.normal.admits", ["other"]),
            ERROR,
            "presets.normal.admits.0",
            "no class 'other'",
        ),
        (
            put("tenants.u", {"uses": ["d"]}),
            WARNING,
            "tenants.u",
            "it has no callers",
        ),
        (
            put("tenants.t.uses", ["d"]),
            WARNING,
            "services.ledger",
            "no tenant may use it",
        ),
        (put("pools.q", {}), WARNING, "pools.q", "no requests go to this pool"),
        (
            put(
                "services.ledger.unrepeatable",
                [
                    {"methods": ["POST", "PUT"], "path": "/"},
                    {"methods": ["POST"], "path": "/pay"},
                ],
            ),
            WARNING,
            "services.ledger.unrepeatable.1",
            "the pattern '/' before it holds all its calls",
        ),
    ],
)
def test_a_problem_of_the_product_has_a_place(change, severity, place, text):
    (finding,) = check_product(change)
    assert_that(finding.severity, Equals(severity))
    assert_that(".".join(str(part) for part in finding.place), Equals(place))
    assert_that(finding.text, Contains(text))
    assert_that(finding.remedy, Not(Equals("")))


def test_a_class_that_the_preset_in_force_keeps_out_is_found():
    def change(document: Any) -> None:
        document["classes"]["other"] = document["classes"]["c"]
        document["presets"]["normal"]["admits"] = ["other"]

    (finding,) = check_product(change)
    assert_that(finding.place, Equals(("callers", "x", "service_class")))


def test_callers_of_a_tenant_that_uses_nothing_are_found():
    findings = check_product(put("tenants.t.uses", []))
    places = [finding.place for finding in findings]
    assert_that(places, Contains(("tenants", "t", "uses")))


@pytest.mark.parametrize(
    ("change", "servers", "place"),
    [
        (put("deployments.d.copies", 3), {"p": 2, "plain": 1}, "deployments.d.copies"),
        (put("version", 1), {"p": 1}, "pools.plain"),
    ],
)
def test_known_servers_are_counted(change, servers, place):
    document = product()
    change(document)
    document.pop("version", None)
    findings = check_configuration(CONFIGURATION.validate_python(document), servers)
    places = [".".join(map(str, finding.place)) for finding in findings]
    assert_that(places, Contains(place))


def test_more_weights_than_all_servers_hold_are_found():
    def change(document: Any) -> None:
        document["deployments"]["d2"] = document["deployments"]["d"]
        document["tenants"]["t"]["uses"].append("d2")

    assert_that(check_product(change, {"p": 2, "plain": 1}), Equals([]))
    (finding,) = check_product(change, {"p": 1, "plain": 1})
    assert_that(finding.place, Equals(("pools", "p")))
    assert_that(finding.text, Contains("80 GiB"))


ONE_ROUTE = platform_route("c")


@pytest.mark.parametrize(
    ("change", "severity", "place", "text"),
    [
        (
            put("routes.0.path-prefix", "/b/"),
            ERROR,
            "routes.a.path-prefix",
            "route 'b' after it has the same host and prefix",
        ),
        (
            put("routes.0.path-prefix", "/a"),
            ERROR,
            "routes.a.path-prefix",
            "lacks a slash",
        ),
        (put("routes.0.hostname", "h:80"), ERROR, "routes.a.hostname", "has a port"),
        (put("routes.0.timeout-ms", 0), ERROR, "routes.a.timeout-ms", "no time"),
        (
            put("routes.0.timeout-ms", 400),
            ERROR,
            "routes.a.timeout-ms",
            "the time limit of 400 ms is under the target of 500 ms",
        ),
        (
            put("routes.1.target-gap-ms", 5_000),
            ERROR,
            "routes.b.target-gap-ms",
            "a pause of 5000 ms",
        ),
        (
            put(
                "routes.0.traffic-split",
                [{"service": "s", "weight": 1}, {"service": "gone", "weight": 1}],
            ),
            ERROR,
            "routes.a.traffic-split",
            "no service 'gone'",
        ),
        (
            put(
                "routes.0.traffic-split",
                [{"service": "s", "weight": 1}, {"service": "e", "weight": 0}],
            ),
            WARNING,
            "routes.a.traffic-split",
            "service 'e' has a share of zero",
        ),
        (
            put(
                "routes.0.traffic-split",
                [{"service": "s", "weight": 0}, {"service": "e", "weight": 0}],
            ),
            ERROR,
            "routes.a.traffic-split",
            "all shares are zero",
        ),
        (
            put(
                "routes.0.traffic-split",
                [{"service": "s", "weight": 2}, {"service": "e", "weight": -1}],
            ),
            ERROR,
            "routes.a.traffic-split",
            "a share is negative",
        ),
        (
            put("services.1.engine.models.0.weights-mb", 1_001.0),
            ERROR,
            "services.e.engine.models.m.weights-mb",
            "the model takes 1001 MB, an engine has 1000 MB",
        ),
        (
            lambda document: document["services"].append({"name": "u"}),
            WARNING,
            "services.u",
            "no requests go to this service",
        ),
        (
            lambda document: document["services"].append({"name": "s"}),
            ERROR,
            "services.s",
            "the name occurs twice",
        ),
        (
            put("tenants.0.api-keys", []),
            WARNING,
            "tenants.t1.api-keys",
            "no request can come from it",
        ),
        (
            put("tenants.1.api-keys", [OTHER_KEY, KEY]),
            ERROR,
            "tenants.t2.api-keys",
            "tenant 't1' has one of its keys too",
        ),
        (
            put("tenants.0.burst", 0.5),
            WARNING,
            "tenants.t1.burst",
            "below the smallest request, which takes 1 requests",
        ),
        (
            lambda document: document["tenants"][0].update(
                {"unit": "tokens", "plain-tokens": 50}
            ),
            WARNING,
            "tenants.t1.burst",
            "below the smallest request, which takes 50 tokens",
        ),
        (put("tenants.0.api-keys", [17]), ERROR, "tenants.t1.api-keys", "not a list"),
        (
            put("routes.0.timeout-ms", "long"),
            ERROR,
            "routes.0",
            "expected a number, got 'long'",
        ),
        (
            lambda document: document["routes"][1].pop("kind"),
            ERROR,
            "routes.1",
            "required key 'kind' is missing",
        ),
        (lambda document: document.pop("version"), ERROR, "", "malformed"),
    ],
)
def test_a_problem_of_the_platforms_form_has_a_place(change, severity, place, text):
    (finding,) = check_platform(change)
    assert_that(finding.severity, Equals(severity))
    assert_that(".".join(str(part) for part in finding.place), Equals(place))
    assert_that(finding.text, Contains(text))
    assert_that(finding.remedy, Not(Equals("")))
    assert_that(str(finding), Not(Contains("secret")))


def test_an_allotment_without_a_burst_is_no_problem():
    assert_that(check_platform(put("tenants.0.burst", 0)), Equals([]))


def test_known_engines_are_counted_in_the_platforms_form():
    def add_model(document: Any) -> None:
        models = document["services"][1]["engine"]["models"]
        models.append({**models[0], "name": "m2"})

    assert_that(check_platform(add_model, {"s": 1, "e": 2}), Equals([]))
    (finding,) = check_platform(add_model, {"s": 1, "e": 1})
    assert_that(finding.text, Contains("the models take 1400 MB"))
    (finding,) = check_platform(lambda document: None, {"e": 1})
    assert_that(finding.place, Equals(("services", "s")))
    assert_that(finding.text, Contains("no servers"))


def test_a_version_that_entries_would_skip_is_found():
    (finding,) = check_document(platform_document(), None, 5)
    assert_that(finding.place, Equals(("version",)))
    assert_that(check_document(platform_document(), None, 4), Equals([]))


def test_differences_are_told_without_keys():
    old, new = platform_document(), platform_document()
    new["version"] = 6
    new["routes"][0]["timeout-ms"] = 5_000
    new["routes"].append(platform_route("c"))
    del new["routes"][1]
    new["services"][1]["engine"]["models"][0]["load-time-s"] = 2.5
    new["tenants"][0]["api-keys"] = [OTHER_KEY, "sk-very-secret-3"]
    new["tenants"][1]["api-key"] = "sk-very-secret-4"
    lines = differences(outline_document(old), outline_document(new))
    assert_that(
        lines,
        Equals(
            [
                "route 'a': timeout-ms: 4000 becomes 5000",
                "route 'b': removed",
                "route 'c': added",
                "service 'e': engine.models[m].load-time-s: 1.0 becomes 2.5",
                "tenant 't1': api-keys: 2 added, 1 removed",
                "tenant 't2': api-key: 1 added, 0 removed",
            ]
        ),
    )


def test_differences_of_lists_plain_fields_and_what_is_no_longer_set():
    kinds = {"tenants": "tenant"}
    old = {"preset": "normal", "tenants": {"t": {"uses": ["a", "b"], "weight": 2}}}
    new = {"preset": "peak", "tenants": {"t": {"uses": ["a"], "limit": 1}}}
    lines = differences(*(outline(item, kinds, frozenset()) for item in (old, new)))
    assert_that(
        lines,
        Equals(
            [
                "preset: normal becomes peak",
                "tenant 't': limit: 1 is set",
                "tenant 't': uses: a, b becomes a",
                "tenant 't': weight: 2 is no longer set",
            ]
        ),
    )


def write(folder: Path, name: str, document: Any) -> str:
    path = folder / name
    path.write_text(
        json.dumps(document, indent=1)
        if name.endswith("json")
        else yaml.safe_dump(document)
    )
    return str(path)


def run(*arguments: str) -> tuple[int, str]:
    code = "from copperrun.ctl.main import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", code, "config", "check", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_the_exit_status_tells_problems_from_usage(tmp_path: Path):
    good = write(tmp_path, "good.yaml", product())
    bad = write(tmp_path, "bad.yaml", product(callers={}))
    broken = tmp_path / "broken.yaml"
    broken.write_text("pools: [")
    platform = write(tmp_path, "p.json", platform_document())
    tool = write(tmp_path, "tool.yaml", {"operator": "ana"})
    for arguments, status, text in (
        ((good,), 0, "no problems"),
        ((platform,), 0, "no problems"),
        ((bad,), 1, "it has no callers"),
        ((str(broken),), 1, "not valid YAML"),
        ((str(tmp_path / "none"),), 2, "no such file"),
        ((), 2, "usage"),
        ((good, "--against", "here"), 2, "neither a file nor HOST:PORT"),
        ((good, "--against", tool), 2, "no configuration; give one, or HOST:PORT"),
        ((platform, "--against", good), 2, "has another form"),
        ((good, "--against", bad), 0, "caller 'x': added"),
        ((good, "--against", good), 0, "This would change nothing."),
    ):
        found = run(*arguments)
        assert_that((arguments, found[0]), Equals((arguments, status)))
        assert_that(found[1], Contains(text))


def test_a_problem_names_its_line_and_json_has_all(tmp_path: Path):
    document = platform_document()
    document["tenants"][1]["api-keys"] = [KEY]
    path = write(tmp_path, "p.json", document)
    line = Path(path).read_text().split('"t2"')[0].count("\n") + 2
    status, text = run(path)
    assert_that(text, Contains(f"{path}:{line}: error: tenants.t2.api-keys: "))
    assert_that((status, "secret" in text), Equals((1, False)))
    status, text = run(path, "--format", "json", "--against", path)
    value = json.loads(text.splitlines()[0])
    assert_that((status, "secret" in text), Equals((1, False)))
    assert_that((value["changes"], len(value["problems"])), Equals(([], 2)))
    problem = value["problems"][0]
    assert_that(
        (problem["severity"], problem["line"], problem["place"]),
        Equals(("error", line, "tenants.t2.api-keys")),
    )


async def test_a_file_is_compared_with_what_is_in_force(tmp_path: Path, capsys):
    store = StoreStandIn()
    await store.start()
    in_force = platform_document()
    in_force["routes"][0]["timeout-ms"] = 3_000
    store.put(OPERATOR_TOPIC, CATALOG_KEY, in_force)
    store.put(SERVERS_TOPIC, "i-1", server_entry(service="s"))
    path = write(tmp_path, "p.json", platform_document())
    arguments = Namespace(file=path, against=store.address, format="text")
    error = await check(arguments, Output(as_json=False))
    await store.close()
    assert error is not None
    assert_that(error.reason, Equals(ToolErrorReason.FAILED))
    text = capsys.readouterr().out
    for part in (
        "version: 5 is not above 5, which is in force",
        "services.e: this service has no servers",
        "route 'a': timeout-ms: 3000 becomes 4000",
    ):
        assert_that(text, Contains(part))
    assert_that(text, Not(Contains("secret")))
    arguments.against = "127.0.0.1:1"
    error = await check(arguments, Output(as_json=False))
    assert error is not None
    assert_that(error.reason, Equals(ToolErrorReason.PLATFORM))


def test_the_same_checks_run_when_a_configuration_is_published(tmp_path: Path):
    document = copy.deepcopy(small_configuration())
    path = write(tmp_path, "small.yaml", document)
    assert_that(
        isinstance(load_configuration(Path(path)), DocumentError), Equals(False)
    )
    document = product()
    document["callers"]["y"] = ONE_CALLER
    refused = load_configuration(Path(write(tmp_path, "twice.yaml", document)))
    assert isinstance(refused, DocumentError)
    assert_that(refused.problems, HasLength(1))
    assert_that(str(refused), Contains("caller 'x' has the same key"))
