"""Measures the slopes used in docs/CAPACITY.md, each over four sizes."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from statistics import linear_regression
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / "testing"))

from installation import small_configuration
from network import NullMetrics

from copperrun.adapters import wire
from copperrun.admission.attempts import AttemptTable
from copperrun.configuration.changes import Change
from copperrun.configuration.changes import encode_record
from copperrun.configuration.changes import objects_by_key
from copperrun.configuration.schema import CONFIGURATION
from copperrun.configuration.state import ConfigurationState
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.embedded.log import LogStandIn
from copperrun.idempotency.journal import Call
from copperrun.idempotency.journal import Journal
from copperrun.idempotency.keys import create_idempotency_key
from copperrun.model import AttemptId
from copperrun.model import Instance
from copperrun.model import Load
from copperrun.model import LogRecord
from copperrun.model import Role
from copperrun.placement.assignments import assign_deployments
from copperrun.ports.sides import SideStatus

RUNNERS = (500, 1_000, 2_000, 4_000)
DEPLOYMENTS = (30, 60, 120, 270)
INSTANCES = (1_000, 4_000, 8_000, 14_300)
ATTEMPTS = (5_000, 10_000, 20_000, 40_000)
RESIDENT = (5, 10, 20, 40)
CALLS = (10, 40, 160, 640)
CHANGES = 100


def create_configuration(deployments: int, copies: int = 1) -> dict[str, Any]:
    """Return a configuration with models of 40 GiB."""
    raw = small_configuration()
    raw["models"] = {}
    raw["adapters"] = {}
    raw["deployments"] = {}
    raw["presets"] = {"ordinary": {}}
    for number in range(deployments):
        name = f"model-{number}"
        raw["models"][name] = {"versions": {"1": {"weights": "40 GiB"}}}
        raw["deployments"][name] = {
            "pool": "assistant", "model": name, "version": "1", "copies": copies,
        }  # fmt: skip
    raw["tenants"] = {"t": {"uses": list(raw["deployments"])}}
    raw["callers"] = {}
    return raw


def create_runners(count: int) -> list[Instance]:
    """Return runners over ten zones in five regions."""
    return [
        Instance(
            f"runner-{n}", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7000",
            f"zone-{n % 10}", f"region-{n % 5}", Role.SIDE, "assistant",
        )
        for n in range(count)
    ]  # fmt: skip


def cpu_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of ``work`` in seconds."""
    started = time.process_time()
    work()
    return time.process_time() - started


def report(name: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> None:
    """Print the measured points and the fitted line."""
    slope, intercept = linear_regression(sizes, values)
    points = ", ".join(f"{x}: {y:.4g}" for x, y in zip(sizes, values, strict=True))
    print(f"{name}\n    points    {points}\n    slope     {slope:.4g} {unit}")
    print(f"    intercept {intercept:.4g}", flush=True)


def measure_assignments() -> None:
    """Measure the processor time of computing all assignments."""
    values = []
    for count in RUNNERS:
        copies = max(1, count * 3 // 270)
        cfg = CONFIGURATION.validate_python(create_configuration(270, copies))
        listed = create_runners(count)
        values.append(cpu_seconds(partial(assign_deployments, cfg, listed)))
    report("assignments of 270 deployments", "s a runner", RUNNERS, values)


def measure_configuration_change() -> None:
    """Measure the processor time of one change and the size of a snapshot."""
    times = []
    sizes = []
    for count in DEPLOYMENTS:
        state = ConfigurationState()
        raw = create_configuration(count)
        first = Change("first", "a", -1, 0, objects_by_key(raw))
        state.apply(LogRecord(0, encode_record(first)))
        records = [_weight_change(number) for number in range(1, CHANGES + 1)]
        times.append(cpu_seconds(partial(_apply_all, state, records)) / CHANGES)
        sizes.append(float(len(encode_record(state.snapshot(0)))))
    report("one change applied", "s a deployment", DEPLOYMENTS, times)
    report("snapshot", "B a deployment", DEPLOYMENTS, sizes)


def _weight_change(number: int) -> LogRecord:
    value = {"uses": ["model-0"], "weight": number % 100 + 1}
    change = Change(f"c{number}", "a", number - 1, 0, {"tenants/t": value})
    return LogRecord(number, encode_record(change))


def _apply_all(state: ConfigurationState, records: list[LogRecord]) -> None:
    for record in records:
        state.apply(record)


def measure_messages() -> None:
    """Measure the sizes of the instance list and of a hello's answer."""
    sizes = []
    for count in INSTANCES:
        listed = [
            {**item._asdict(), "role": item.role.value}
            for item in create_runners(count)
        ]
        sizes.append(float(len(json.dumps(listed))))
    report("instance list", "B an instance", INSTANCES, sizes)
    hellos = []
    for count in RESIDENT:
        names = tuple(f"model-{number}@1" for number in range(count))
        status = SideStatus("runner-1", 2**61, "serving", 10**6, Load(3, 4, 5), names)
        hellos.append(float(len(wire.encode_status(status))))
    report("hello", "B a resident object", RESIDENT, hellos)


def measure_attempts() -> None:
    """Measure the memory of the attempts that a side remembers."""
    values = []
    for count in ATTEMPTS:
        tracemalloc.start()
        table = AttemptTable(ManualTimers(), 1)
        for number in range(count):
            table.register(AttemptId(f"{number:032x}", 1, 1))
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    report("attempt remembered", "B an attempt", ATTEMPTS, values)


async def _count_appends(calls: int) -> float:
    timers = ManualTimers()
    log = LogStandIn(timers)
    journal = Journal(
        "ledger", log, timers, NullMetrics(),
        window_ms=3_600_000, appends_per_second=40,
    )  # fmt: skip
    running = asyncio.create_task(journal.run())
    await timers.advance(1_000)
    before = log.appends
    keys = [create_idempotency_key(timers.wall_ms()) for _ in range(calls)]
    begins = [journal.begin(Call("t", key, "d")) for key in keys]
    await run_until(timers, asyncio.gather(*begins), 60_000)
    running.cancel()
    return float(log.appends - before)


def measure_appends() -> None:
    """Count the appends for calls that arrive together at one side."""
    values = [asyncio.run(_count_appends(calls)) for calls in CALLS]
    report("appends for calls in one instant", "appends a call", CALLS, values)


if __name__ == "__main__":
    measure_assignments()
    measure_configuration_change()
    measure_messages()
    measure_attempts()
    measure_appends()
