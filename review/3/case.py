"""An entry of another writer in the registry ends every process, again and again."""

# Cases use the real clock and none of the project's code; see testing/* for names.
# ruff: noqa: D103, TID251

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import TROUBLE
from standins import Client
from standins import Entry
from standins import Process
from standins import Record
from standins import Runner
from standins import Store
from standins import free_port
from standins import plain_config
from standins import run_case

HOSTS = ("127.0.0.1", "127.0.0.2")
SIZE = 2_000  # bytes; a record may have 262,144
LENGTH_S = 25.0
RESTART_S = 0.5
MOST_ENDS = 2  # of one process; the rule says three times


async def case(record: Record, scratch: Path, processes: list[Process]) -> bool:
    store = Store()
    await store.start()
    runner = Runner("i-1", record, "127.0.0.1")
    await runner.start()
    store.put("keyed.op", "config", plain_config())
    store.put("keyed.servers", runner.id, runner.entry("desk"))
    internal = free_port(HOSTS[0])
    entries = [
        Entry(f"front-{number}", host, store, scratch, internal)
        for number, host in enumerate(HOSTS)
    ]
    for entry in entries:
        processes.append(entry.process)
        entry.process.start()
    for entry in entries:
        await entry.wait_ready()
    served = {"before": 0, "after": 0}
    clients = [Client(entry.address, record) for entry in entries]

    async def send_some(phase: str) -> None:
        for number, client in enumerate(clients):
            request_id = f"{phase}-{number}-{len(runner.ran)}"
            answer = await client.send("GET", "/status/1", request_id)
            served[phase] += answer.status == 200

    for _ in range(5):
        await send_some("before")
        await asyncio.sleep(0.2)
    if TROUBLE:
        record(f"another writer adds servers/other with {SIZE} bytes")
        store.put("keyed.servers", "other", b"[" * SIZE)
    ends = dict.fromkeys(HOSTS, 0)
    deadline = asyncio.get_running_loop().time() + LENGTH_S

    async def keep_running(entry: Entry, host: str) -> None:
        """Start the process again after it has ended, as the platform does."""
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.1)
            if entry.process.popen is None or entry.process.popen.poll() is None:
                continue
            ends[host] += 1
            code = entry.process.popen.returncode
            record(f"front {host} ended by itself with {code}, {ends[host]} times")
            await asyncio.sleep(RESTART_S)
            entry.process.start()

    async def keep_sending() -> None:
        while asyncio.get_running_loop().time() < deadline:
            await send_some("after")
            await asyncio.sleep(0.5)

    keepers = [
        keep_running(entry, host) for entry, host in zip(entries, HOSTS, strict=True)
    ]
    await asyncio.gather(keep_sending(), *keepers)
    for entry in entries:
        lines = entry.process.log_text().splitlines()
        for line in [line for line in lines if "RecursionError" in line][-1:]:
            record(f"log of {entry.address}: {line[-200:]}")
    record(f"served before: {served['before']}, after: {served['after']}; ends: {ends}")
    return all(count <= MOST_ENDS for count in ends.values())


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
