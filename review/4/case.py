"""Reports without an end fill the memory of the sides that read them."""

# Cases use the real clock and none of the project's code; see testing/* for names.
# ruff: noqa: ASYNC220, D103, TID251

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import TROUBLE
from standins import CannotRun
from standins import Process
from standins import Record
from standins import Store
from standins import free_port
from standins import node_settings
from standins import plain_config
from standins import run_case

HOSTS = ("127.0.0.1", "127.0.0.2")
MEMORY_MB = 232  # of a side machine on the site's sheet
WARM_UP_S = 6.0
TROUBLE_S = 12.0  # of each runner, one after the other
RESTART_S = 0.5
MOST_ENDS = 2  # of one process; the rule says three times


def engine_config() -> dict[str, Any]:
    config = plain_config()
    model = {"name": "m1", "weights-mb": 16_100.0, "load-time-s": 2.6}
    config["services"].append(
        {
            "name": "assistant",
            "max-connections": 630,
            "engine": {
                "slots": 128,
                "kv-cache-tokens": 90_000,
                "weights-mb": 83_000.0,
                "max-adapters": 8,
                "loads-per-s": 1.8,
                "models": [{**model, "adapters": 2, "adapter-mb": 14.0}],
            },
        }
    )
    return config


def registry_entry(address: str) -> dict[str, Any]:
    return {
        "service": "assistant",
        "address": address,
        "zone": "za",
        "version": "v1",
        "slots": 128,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 0,
        "born": 1_700_000_000_000,
        "models": [{"name": "m1", "version": 1, "adapters": []}],
    }


def resident_mb(pid: int) -> float:
    """Return the memory of a process; 0 when it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def case(record: Record, scratch: Path, processes: list[Process]) -> bool:
    store = Store()
    await store.start()
    store.put("keyed.op", "config", engine_config())
    internal = free_port(HOSTS[0])
    runners: list[subprocess.Popen[bytes]] = []
    sides: list[Process] = []
    length_s = TROUBLE_S if TROUBLE else 0.0
    for number, host in enumerate(HOSTS):
        port = free_port(host)
        command = [sys.executable, str(Path(__file__).with_name("runner.py"))]
        start_s = WARM_UP_S + number * length_s
        arguments = [host, str(port), str(start_s), str(length_s)]
        runners.append(subprocess.Popen(command + arguments))
        address = f"{host}:{port}"
        store.put("keyed.servers", f"i-{number}", registry_entry(address))
        settings = node_settings(f"side-{number}", host, store, {}, internal)
        settings |= {"app": address, "service": "assistant", "machine-class": "side"}
        settings["limits"] = {"memory-mb": MEMORY_MB, "cores": 1}
        sides.append(Process("side", scratch, settings))
        processes.append(sides[-1])
    try:
        return await _watch(record, sides)
    finally:
        for runner in runners:
            runner.kill()
            runner.wait()


async def _watch(record: Record, sides: list[Process]) -> bool:
    """Act as the platform: kill a process over its memory and start it again."""
    loop = asyncio.get_running_loop()
    for side in sides:
        side.start()
    began = loop.time()
    ends = dict.fromkeys(range(len(sides)), 0)
    most_mb = dict.fromkeys(range(len(sides)), 0.0)

    async def watch(number: int, side: Process) -> None:
        while loop.time() < began + WARM_UP_S + len(sides) * TROUBLE_S:
            await asyncio.sleep(0.005)
            assert side.popen is not None
            size_mb = resident_mb(side.popen.pid)
            most_mb[number] = max(most_mb[number], size_mb)
            has_ended = side.popen.poll() is not None
            if size_mb <= MEMORY_MB and not has_ended:
                continue
            if loop.time() < began + WARM_UP_S - 1:
                raise CannotRun("a side ended before the trouble")
            ends[number] += 1
            record(f"side-{number} ended: {size_mb:.0f} MB, {ends[number]} times")
            side.end()
            await asyncio.sleep(RESTART_S)
            side.start()

    await asyncio.gather(*(watch(*item) for item in enumerate(sides)))
    for number in ends:
        record(f"side-{number}: at most {most_mb[number]:.0f} MB, {ends[number]} ends")
    return not all(count > MOST_ENDS for count in ends.values())


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
