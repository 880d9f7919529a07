"""The callers' and operators' interfaces of real processes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import callers
import pytest
import yaml
from cluster import SHARED_KEY
from cluster import TIMERS
from cluster import Cluster
from installation import small_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import ContainsAll
from testtools.matchers import Equals
from testtools.matchers import MatchesRegex
from testtools.matchers import Not

from copperrun.idempotency.keys import create_idempotency_key

PROMPT = {"model": "allowances", "prompt": "per diem?", "max_tokens": 4}


class Running:
    """A cluster and the event loop of its connections."""

    def __init__(self, cluster: Cluster, loop: asyncio.AbstractEventLoop) -> None:
        self.cluster = cluster
        self._loop = loop

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self._loop.run_until_complete(work)

    def send(
        self, method: str, path: str, *, key: str | None = None, **request: Any
    ) -> tuple[int, Any, dict[str, str]]:
        """Send one request to the entry; return status, parsed body and headers."""
        headers = request.pop("headers", {})
        caller_key = self.cluster.keys["rigger"] if key is None else key
        headers = {"Authorization": f"Bearer {caller_key}", **headers}

        async def exchange() -> tuple[int, Any, dict[str, str]]:
            url = self.cluster.url("entry-0") + path
            async with self.cluster.session.request(
                method, url, headers=headers, **request
            ) as response:
                text = await response.text()
                return response.status, json.loads(text), dict(response.headers)

        result: tuple[int, Any, dict[str, str]] = self.run(exchange())
        return result

    def engine_starts(self) -> int:
        """Return how many generations the engine has started."""
        url = f"{self.cluster.url('engine-0')}/records"
        return len(self.run(self.cluster.get_json(url))["started"])


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Running]:
    loop = asyncio.new_event_loop()
    cluster = Cluster(tmp_path_factory.mktemp("cluster"))
    loop.run_until_complete(cluster.__aenter__())
    try:
        loop.run_until_complete(_start(cluster))
        yield Running(cluster, loop)
    finally:
        loop.run_until_complete(cluster.__aexit__())
        loop.close()


async def _start(cluster: Cluster) -> None:
    await cluster.start_platform()
    await cluster.start_engine("engine-0")
    await cluster.start_side("assistant-0", "assistant", "engine", "engine-0")
    await cluster.start_service("ledger")
    await cluster.start_side("ledger-0", "ledger", "service", "ledger")
    limits = {"body": "64 KiB", "body_timeout": "300 ms", "idle": "2 s"}
    await cluster.start_entry("entry-0", limits={**limits, "connections": 40})
    configuration = small_configuration()
    configuration["deployments"]["allowances"]["copies"] = 1
    configuration["callers"]["hasty"] = {
        "tenant": "jadran",
        "service_class": "crew",
        "requests_per_second": 0.01,
        "burst": 1,
    }
    configuration["tenants"]["drava"] = {"uses": ["ledger"]}
    configuration["callers"]["outsider"] = {
        "tenant": "drava",
        "service_class": "crew",
    }
    await cluster.publish(configuration)
    await cluster.wait_for_model("rigger", "allowances", "entry-0")
    await cluster.wait_for_path("rigger", "entry-0", "/services/ledger/balances")


@pytest.mark.parametrize(
    ("change", "status", "code"),
    [
        ({"model": "nothing"}, 404, "unknown_deployment"),
        ({"model": "allowances:nothing"}, 404, "unknown_adapter"),
        ({"model": 7}, 400, "bad_request"),
        ({"prompt": None}, 400, "bad_request"),
        ({"max_tokens": 0}, 400, "bad_request"),
        ({"max_tokens": True}, 400, "bad_request"),
        ({"stream": "yes"}, 400, "bad_request"),
        ({"n": 2}, 400, "bad_request"),
        ({"prompt": "x" * 70_000}, 413, "body_too_large"),
    ],
)
def test_wrong_request_is_refused_before_the_engine(
    running: Running, change: dict[str, Any], status: int, code: str
) -> None:
    before = running.engine_starts()
    got, body, _ = running.send("POST", "/v1/completions", json={**PROMPT, **change})
    assert_that(got, Equals(status))
    assert_that(body["error"]["code"], Equals(code))
    assert_that(body["error"]["ran"], Equals("no"))
    assert_that(running.engine_starts(), Equals(before))


@pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b"[" * 60_000])
def test_body_that_is_no_json_object_is_refused(running: Running, body: bytes) -> None:
    got, answer, _ = running.send("POST", "/v1/completions", data=body)
    assert_that((got, answer["error"]["code"]), Equals((400, "bad_request")))


@pytest.mark.parametrize(
    ("deadline", "status", "code"),
    [
        ("0", 503, "deadline_expired"),
        ("-5", 503, "deadline_expired"),
        ("soon", 400, "bad_request"),
    ],
)
def test_expired_or_invalid_deadline_is_refused(
    running: Running, deadline: str, status: int, code: str
) -> None:
    before = running.engine_starts()
    headers = {"X-Copperrun-Deadline-Ms": deadline}
    got, body, _ = running.send("POST", "/v1/completions", json=PROMPT, headers=headers)
    assert_that((got, body["error"]["code"]), Equals((status, code)))
    assert_that(body["error"]["ran"], Equals("no"))
    assert_that(running.engine_starts(), Equals(before))


@pytest.mark.parametrize(
    "key", ["", "cr.rigger.wrong", "cr.nobody.wrong", "rigger", "cr..", "\u0161"]
)
def test_wrong_caller_key_is_refused(running: Running, key: str) -> None:
    got, body, _ = running.send("POST", "/v1/completions", json=PROMPT, key=key)
    assert_that((got, body["error"]["code"]), Equals((401, "invalid_key")))


def test_tenant_may_use_only_its_configured_deployments(running: Running) -> None:
    key = running.cluster.keys["outsider"]
    got, body, _ = running.send("POST", "/v1/completions", json=PROMPT, key=key)
    assert_that((got, body["error"]["code"]), Equals((403, "not_allowed")))
    got, body, _ = running.send("GET", "/v1/models", key=key)
    assert_that(body["data"], Equals([]))


def test_caller_over_its_rate_gets_a_retry_time(running: Running) -> None:
    key = running.cluster.keys["hasty"]
    first, _, _ = running.send("POST", "/v1/completions", json=PROMPT, key=key)
    got, body, headers = running.send("POST", "/v1/completions", json=PROMPT, key=key)
    assert_that((first, got), Equals((200, 429)))
    assert_that(body["error"]["retry_after_ms"] > 0, Equals(True))
    assert_that(int(headers["Retry-After"]) > 0, Equals(True))


@pytest.mark.parametrize(
    ("path", "key", "code"),
    [
        ("/payouts", "", "idempotency_key_required"),
        ("/payouts", "7", "idempotency_key_invalid"),
        ("/payouts", "6f1c1d1e-0000-4000-8000-000000000000", "idempotency_key_invalid"),
        ("/%70ayouts", "", "idempotency_key_required"),
        ("/x/../payouts", "", "idempotency_key_required"),
        ("//payouts/7", "", "idempotency_key_required"),
    ],
)
def test_unrepeatable_call_needs_a_key_however_its_path_is_spelled(
    running: Running, path: str, key: str, code: str
) -> None:
    # yarl would normalize the path, so the request is written as raw bytes.
    headers = f"Authorization: Bearer {running.cluster.keys['rigger']}\r\n"
    if key:
        headers += f"Idempotency-Key: {key}\r\n"
    head = f"POST /services/ledger{path} HTTP/1.1\r\nHost: x\r\n{headers}"
    answer = running.run(_exchange_raw(running, f"{head}Content-Length: 0\r\n\r\n"))
    assert_that(answer, Contains("400 Bad Request"))
    assert_that(answer, Contains(f'"{code}"'))


def test_recorded_answer_is_marked(running: Running) -> None:
    key = create_idempotency_key(TIMERS.wall_ms())
    path = "/services/ledger/payouts"
    headers = {"Idempotency-Key": key}
    first = running.send("POST", path, json={"to": "crew"}, headers=headers)
    second = running.send("POST", path, json={"to": "crew"}, headers=headers)
    other = running.send("POST", path, json={"to": "other"}, headers=headers)
    assert_that(second[:2], Equals(first[:2]))
    assert_that(second[2]["X-Copperrun-Recorded"], Equals("true"))
    assert_that(other[1]["error"]["code"], Equals("idempotency_key_reused"))


def test_disconnect_of_the_caller_cancels_its_generation(running: Running) -> None:
    cluster = running.cluster
    url = f"{cluster.url('engine-0')}/records"

    async def disconnect_midway() -> dict[str, Any]:
        request = {**PROMPT, "max_tokens": 3_000, "stream": True}
        headers = {"Authorization": f"Bearer {cluster.keys['rigger']}"}
        async with aiohttp.ClientSession() as session:
            response = await session.post(
                f"{cluster.url('entry-0')}/v1/completions",
                json=request,
                headers=headers,
            )
            await response.content.readline()
            response.close()
        async with TIMERS.timeout_ms(10_000):
            while (records := await cluster.get_json(url))["running"]:
                await TIMERS.sleep_ms(20)
        return dict(records)

    records = running.run(disconnect_midway())
    assert_that(records["started"][-1][0], Equals(records["unfinished"][-1]))


def test_slow_body_is_refused(running: Running) -> None:
    key = running.cluster.keys["rigger"]
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: 100\r\n\r\n{{"
    )
    answer = running.run(_exchange_raw(running, head))
    assert_that(answer, Contains("408 Request Timeout"))
    assert_that(answer, Contains('"ran": "no"'))


def test_connection_with_incomplete_head_is_closed(running: Running) -> None:
    answer = running.run(_exchange_raw(running, "POST /v1/completions HTTP/1.1\r\n"))
    assert_that(answer, Equals(""))


def test_head_over_the_limit_is_refused(running: Running) -> None:
    head = f"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: {'x' * 20_000}\r\n\r\n"
    answer = running.run(_exchange_raw(running, head))
    assert_that(answer, Contains("400 Bad Request"))


def test_connections_over_the_limit_are_refused(running: Running) -> None:
    async def fill() -> int:
        host, port = _address(running)
        writers = [(await asyncio.open_connection(host, port))[1] for _ in range(41)]
        try:
            async with aiohttp.ClientSession() as session:
                url = f"{running.cluster.url('entry-0')}/healthz"
                async with session.get(url) as response:
                    return response.status
        finally:
            for writer in writers:
                writer.close()

    assert_that(running.run(fill()), Equals(503))


def test_internal_ports_refuse_without_the_shared_key(running: Running) -> None:
    async def ask(url: str, headers: dict[str, str]) -> int:
        async with running.cluster.session.get(url, headers=headers) as response:
            return response.status

    cluster = running.cluster
    for name in ("entry-0/internal", "assistant-0"):
        for path in ("/internal/status", "/metrics"):
            url = cluster.url(name) + path
            assert_that(running.run(ask(url, {})), Equals(401))
            wrong = {"X-Copperrun-Shared-Key": "wrong"}
            assert_that(running.run(ask(url, wrong)), Equals(401))
            right = {"X-Copperrun-Shared-Key": SHARED_KEY}
            assert_that(running.run(ask(url, right)), Equals(200))


def test_metrics_carry_tenant_and_class(running: Running) -> None:
    running.send("POST", "/v1/completions", json=PROMPT)

    async def scrape(name: str) -> str:
        headers = {"Authorization": f"Bearer {SHARED_KEY}"}
        url = f"{running.cluster.url(name)}/metrics"
        async with running.cluster.session.get(url, headers=headers) as response:
            return await response.text()

    text = running.run(scrape("entry-0/internal"))
    labels = 'class="crew",met="yes",tenant="jadran"'
    assert_that(text, Contains(f"copperrun_request_seconds_count{{{labels}"))
    text = running.run(scrape("assistant-0"))
    for name in ("queue_seconds", "moves_total", "log_appends_total"):
        assert_that(text, Contains(f"copperrun_{name}"))


def test_logs_are_json_lines_without_keys_prompts_or_bodies(running: Running) -> None:
    secret = "a prompt that must not be logged"
    running.send("POST", "/v1/completions", json={**PROMPT, "prompt": secret})
    running.send("POST", "/v1/completions", json={**PROMPT, "model": "nothing"})
    lines = running.cluster.log_lines("entry-0")
    answered = [line for line in lines if line["message"] == "answered"][-1]
    assert_that(answered, ContainsAll(["request", "caller", "tenant", "revision"]))
    text = json.dumps(lines)
    assert_that(text, Not(Contains(secret)))
    for key in running.cluster.keys.values():
        assert_that(text, Not(Contains(key)))


def test_publish_rejects_a_broken_file_with_its_line(running: Running) -> None:
    raw = small_configuration()
    raw["pools"]["assistant"]["memory"] = "320 gigs"
    raw["deployments"]["allowances"]["modle"] = "x"
    path = running.cluster.folder / "broken.yaml"
    path.write_text(yaml.safe_dump(raw))
    result = running.run(running.cluster.run_tool("publish", str(path)))
    assert_that(result.returncode, Equals(2))
    assert_that(
        result.stderr,
        MatchesRegex(r"(?s).*broken\.yaml:\d+: .*memory: expected a size"),
    )
    assert_that(result.stderr, Contains("modle: unknown key"))
    assert_that(result.stderr, Not(Contains("Traceback")))


def test_tool_shows_presets_and_status(running: Running) -> None:
    cluster = running.cluster
    used = running.run(cluster.run_tool("--json", "preset", "use", "peak"))
    assert_that(json.loads(used.stdout)["changed"], Equals(["change preset_in_force"]))
    listed = running.run(cluster.run_tool("preset", "list"))
    assert_that(listed.stdout, Contains("* peak"))
    status = json.loads(running.run(cluster.run_tool("--json", "status")).stdout)
    states = {item["instance"]: item["status"] for item in status["instances"]}
    assert_that(set(states), Equals({"assistant-0", "ledger-0", "entry-0"}))
    revisions = {item["revision"] for item in states.values()}
    assert_that(len(revisions), Equals(1))
    unknown = running.run(cluster.run_tool("preset", "use", "holiday"))
    assert_that((unknown.returncode, unknown.stdout), Equals((2, "")))
    assert_that(unknown.stderr, Contains("no preset 'holiday'"))


def test_tool_reports_an_unavailable_platform(running: Running) -> None:
    cluster = running.cluster
    url = f"{cluster.url('platform')}/faults/log"
    running.run(cluster.set_fault(url, down=True))
    try:
        result = running.run(cluster.run_tool("show"))
    finally:
        running.run(cluster.set_fault(url, down=False))
    assert_that(result.returncode, Equals(4))
    assert_that(result.stderr, Contains("log answered 503"))


def test_whole_and_streamed_answers_are_complete(running: Running) -> None:
    _, body, _ = running.send("POST", "/v1/completions", json=PROMPT)
    assert_that(body["choices"][0]["text"], Equals(callers.whole_text(PROMPT)))
    request = {
        "model": "allowances:jadran",
        "messages": [{"role": "user", "content": "per diem?"}],
        "max_tokens": 9,
    }
    cluster = running.cluster
    reply = running.run(
        callers.stream_chat(
            cluster.session, cluster.url("entry-0"), cluster.keys["rigger"], request
        )
    )
    assert_that(reply.text, Equals(callers.whole_text(request)))


def test_drained_side_exits_cleanly(running: Running) -> None:
    result = running.run(running.cluster.run_tool("drain", "ledger-0"))
    assert_that(result.returncode, Equals(0))
    assert_that(running.run(running.cluster.wait_for_exit("ledger-0")), Equals(0))
    got, body, _ = running.send("GET", "/services/ledger/balances")
    assert_that((got, body["error"]["ran"]), Equals((503, "no")))


def test_daemon_names_the_invalid_setting(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path)
    path = tmp_path / "settings.yaml"
    path.write_text("role: side\ninstance: a\nzone: z\n")
    result = asyncio.run(cluster.run_daemon_once(path))
    assert_that(result.returncode, Equals(2))
    assert_that(result.stderr, Contains("region: required key is missing"))
    path.write_text("role: sides\n")
    result = asyncio.run(cluster.run_daemon_once(path))
    assert_that(result.stderr, Contains("settings.yaml:1: role: expected one of"))


def _address(running: Running) -> tuple[str, int]:
    host, port = running.cluster.url("entry-0").removeprefix("http://").split(":")
    return host, int(port)


async def _exchange_raw(running: Running, text: str) -> str:
    """Send a raw request; read to the end of an error body or of the connection."""
    reader, writer = await asyncio.open_connection(*_address(running))
    writer.write(text.encode())
    parts = []
    try:
        async with TIMERS.timeout_ms(10_000):
            while part := await reader.read(65_536):
                parts.append(part.decode())
                if "\r\n\r\n" in "".join(parts) and "}}" in "".join(parts):
                    break
    finally:
        writer.close()
    return "".join(parts)
