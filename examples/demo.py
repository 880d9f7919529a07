"""Runs each example installation, sends requests and checks the promises."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from typing import NamedTuple

import aiohttp
import yaml
from prometheus_client.parser import text_string_to_metric_families
from tqdm import tqdm

from copperrun.adapters.timers import SystemTimers
from copperrun.embedded.engine import expected_text
from copperrun.idempotency.keys import create_idempotency_key
from copperrun.routing.dispatcher import chunk_text

EXAMPLES = Path(__file__).parent
BIN = Path(sys.executable).parent
REQUESTS = 60
START_TIMEOUT_MS = 30_000
TIMERS = SystemTimers()


class Example(NamedTuple):
    """One user's installation.

    Attributes:
        name: Folder below ``examples``.
        callers: Callers that send completions.
        order_caller: Caller of the unrepeatable call.
        order_path: Path of the unrepeatable call.
        executions_path: Where the service's stand-in shows what it executed.
    """

    name: str
    callers: tuple[str, ...]
    order_caller: str
    order_path: str
    executions_path: str


EXAMPLE_INSTALLATIONS = (
    Example(
        "turneja",
        ("jadran-crew", "velebit-managers", "drava-reports"),
        "velebit-managers",
        "/services/ledger/payouts",
        "/services/ledger/executions",
    ),
    Example(
        "terrain",
        ("flood-office", "survey-north", "barangay-desk"),
        "survey-north",
        "/services/portal/orders",
        "/services/portal/executions",
    ),
)


@dataclass
class Report:
    """Counts and violated promises of one installation."""

    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    recorded: int = 0
    failures: list[str] = field(default_factory=list)

    def check(self, condition: bool, promise: str) -> None:
        """Record a violated promise."""
        if not condition:
            self.failures.append(promise)


class Demo:
    """One running example."""

    def __init__(self, example: Example, folder: Path) -> None:
        self.example = example
        self.report = Report()
        self._folder = folder
        self._settings = yaml.safe_load(self._path("embedded.yaml").read_text())
        self._configuration = yaml.safe_load(
            self._path("configuration.yaml").read_text()
        )
        self._keys: dict[str, str] = {}

    async def run(self) -> Report:
        """Start the example, publish, send requests, and stop."""
        command = [
            str(BIN / "copperrund"),
            f"--settings={self._path('embedded.yaml')}",
        ]
        process = await asyncio.to_thread(subprocess.Popen, command)
        try:
            async with aiohttp.ClientSession() as session:
                await self._publish(session)
                await self._send_work(session)
                await self._check_order(session)
                await self._print_report(session)
        finally:
            process.terminate()
            stopped = await asyncio.to_thread(process.wait)
        self.report.check(stopped == 0, "the daemon exited with code 0")
        return self.report

    async def _publish(self, session: aiohttp.ClientSession) -> None:
        """Create caller keys and publish the example's configuration."""
        for name, caller in self._configuration["callers"].items():
            created = json.loads(
                await self._run_tool("--json", "token", "create", name)
            )
            self._keys[name] = created["key"]
            caller["key_hashes"] = [created["key_hash"]]
        path = self._folder / f"{self.example.name}.yaml"
        path.write_text(yaml.safe_dump(self._configuration))
        await self._wait_for(session, f"{self._internal()}/healthz")
        await self._run_tool("publish", str(path))
        await self._wait_for(session, f"{self._public()}/readyz")

    async def _send_work(self, session: aiohttp.ClientSession) -> None:
        """Send streamed and whole completions for every model and some adapters."""
        requests = list(self._requests())
        await self._wait_for_copies(session)
        with tqdm(total=len(requests), desc=self.example.name, unit="req") as bar:

            async def send(number: int, request: dict[str, Any]) -> None:
                await self._complete(session, number, request)
                bar.update()

            tasks = [send(number, item) for number, item in enumerate(requests)]
            await asyncio.gather(*tasks)

    def _requests(self) -> list[dict[str, Any]]:
        deployments = self._configuration["deployments"]
        names = []
        for name, spec in deployments.items():
            names += [name, *(f"{name}:{item}" for item in spec["adapters"][:2])]
        return [
            {
                "model": names[number % len(names)],
                "prompt": f"question {number} of {self.example.name}",
                "max_tokens": 12,
                "stream": number % 2 == 0,
            }
            for number in range(max(REQUESTS, len(names)))
        ]

    async def _complete(
        self, session: aiohttp.ClientSession, number: int, request: dict[str, Any]
    ) -> None:
        caller = self.example.callers[number % len(self.example.callers)]
        async with session.post(
            f"{self._public(number % 2)}/v1/completions",
            json=request,
            headers=self._headers(caller),
        ) as response:
            body = await response.text()
            if response.status != 200:
                self._count_refusal(json.loads(body)["error"])
                return
        text = _streamed_text(body) if request["stream"] else _whole_text(body)
        model, _, adapter = request["model"].partition(":")
        expected = expected_text(
            f"{model}@1", f"adapter/{adapter}" if adapter else "", request
        )
        self.report.answered += 1
        self.report.check(text == expected, f"request {number} got its complete answer")

    async def _check_order(self, session: aiohttp.ClientSession) -> None:
        """Send one unrepeatable call twice with the same key."""
        key = create_idempotency_key(TIMERS.wall_ms())
        headers = {
            **self._headers(self.example.order_caller),
            "Idempotency-Key": key,
        }
        bodies = []
        for number in range(2):
            async with session.post(
                self._public(number) + self.example.order_path,
                json={"order": self.example.name},
                headers=headers,
            ) as response:
                bodies.append(await response.text())
                self.report.answered += response.status == 200
                self.report.recorded += "X-Copperrun-Recorded" in response.headers
        self.report.check(bodies[0] == bodies[1], "both calls got the same answer")
        self.report.check(self.report.recorded == 1, "the second answer was recorded")
        async with session.get(
            self._public() + self.example.executions_path,
            headers=self._headers(self.example.order_caller),
        ) as response:
            executions = (await response.json()).get(key)
        self.report.check(executions == 1, "the unrepeatable call ran once")

    async def _print_report(self, session: aiohttp.ClientSession) -> None:
        headers = {"Authorization": f"Bearer {self._settings['shared_keys'][0]}"}
        async with session.get(f"{self._internal()}/metrics", headers=headers) as reply:
            text = await reply.text()
        requests_by_class: Counter[tuple[str, str]] = Counter()
        moves: Counter[str] = Counter()
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                labels = sample.labels
                if sample.name == "copperrun_request_seconds_count":
                    requests_by_class[labels["class"], labels["met"]] += int(
                        sample.value
                    )
                if sample.name == "copperrun_moves_total":
                    moves[f"{labels['object']} {labels['kind']}"] += int(sample.value)
        report = self.report
        print(f"  answered {report.answered}, recorded answers {report.recorded}")
        print(f"  refused  {dict(report.refused) or 'none'}")
        for name in sorted({name for name, _ in requests_by_class}):
            total = requests_by_class[name, "yes"] + requests_by_class[name, "no"]
            print(f"  attained {name}: {requests_by_class[name, 'yes']} of {total}")
        print(f"  moves    {dict(moves)}")
        self.report.check(not report.refused, "no request was refused")

    async def _wait_for_copies(self, session: aiohttp.ClientSession) -> None:
        """Wait until every model is resident somewhere."""
        for name in self._configuration["deployments"]:
            probe = {"model": name, "prompt": "ready?", "max_tokens": 1}
            url = f"{self._public()}/v1/completions"
            headers = self._headers(self.example.callers[0])
            await self._wait_for(session, url, json=probe, headers=headers)
        await self._wait_for(session, f"{self._public(1)}/readyz")

    async def _wait_for(
        self, session: aiohttp.ClientSession, url: str, **request: Any
    ) -> None:
        deadline_ms = TIMERS.now_ms() + START_TIMEOUT_MS
        while TIMERS.now_ms() < deadline_ms:
            try:
                method = "POST" if "json" in request else "GET"
                async with session.request(method, url, **request) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await TIMERS.sleep_ms(50)
        raise SystemExit(f"demo: {url} does not answer; is the port in use?")

    async def _run_tool(self, *arguments: str) -> str:
        settings = self._path("copperrunctl.yaml")
        command = [str(BIN / "copperrunctl"), f"--settings={settings}", *arguments]
        result = await asyncio.to_thread(
            subprocess.run, command, stdout=subprocess.PIPE, text=True, check=False
        )
        if result.returncode != 0:
            raise SystemExit(f"demo: {' '.join(arguments)} failed")
        return result.stdout

    def _count_refusal(self, error: dict[str, Any]) -> None:
        self.report.refused[error["code"]] += 1

    def _headers(self, caller: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._keys[caller]}"}

    def _public(self, number: int = 0) -> str:
        listener = self._settings["public"]
        return f"http://{listener['host']}:{listener['port'] + number}"

    def _internal(self) -> str:
        return self._public(self._settings["entries"])

    def _path(self, name: str) -> Path:
        return EXAMPLES / self.example.name / name


def _streamed_text(body: str) -> str:
    events = [line[6:] for line in body.splitlines() if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return "stream without [DONE]"
    return "".join(chunk_text(event) for event in events[:-1])


def _whole_text(body: str) -> str:
    return str(json.loads(body)["choices"][0]["text"])


async def main() -> int:
    """Run every example and return the exit code."""
    failures: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        for example in EXAMPLE_INSTALLATIONS:
            report = await Demo(example, Path(folder)).run()
            failures += [f"{example.name}: {item}" for item in report.failures]
    for item in failures:
        print(f"VIOLATED: {item}")
    print("every checked promise held" if not failures else "demo failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
