"""A runner sends a second answer late; a client gets a health page as its answer."""

# Cases use the real clock and none of the project's code; see testing/* for names.
# ruff: noqa: D102, D103, TID251

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

HOST = "127.0.0.1"
CLIENTS = 2
PERIOD_S = 0.1  # of each client: 20 requests a second
LENGTH_S = 40.0
SPOILED_EACH = 100  # answers; two in so many are spoiled
COPY_DELAY_S = 0.01


class FaultyRunner:
    """Spoils two of 100 answers: one is sent twice, one is broken off in its head."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers = 0
        self._breaks_next = False

    async def spoil(
        self, runner: Runner, request_id: str, writer: asyncio.StreamWriter
    ) -> bool | None:
        self._answers += 1
        if self._breaks_next:
            self._breaks_next = False
            await asyncio.sleep(3 * COPY_DELAY_S)
            self._record(f"spoiled  {request_id}: broken off in its head")
            writer.write(runner.whole_answer(request_id)[:30])
            await writer.drain()
            return False
        if self._answers % SPOILED_EACH == 50:
            self._breaks_next = True
            answer = runner.whole_answer(request_id)
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(COPY_DELAY_S)
            self._record(f"spoiled  {request_id}: sent a second time")
            writer.write(answer)
            await writer.drain()
            return True
        return None


async def case(record: Record, scratch: Path, processes: list[Process]) -> bool:
    store = Store()
    await store.start()
    runner = Runner("i-1", record, "127.0.0.1", work_s=0.045)
    await runner.start()
    store.put("keyed.op", "config", plain_config())
    store.put("keyed.servers", runner.id, runner.entry("desk"))
    entry = Entry("front-1", HOST, store, scratch, free_port(HOST))
    processes.append(entry.process)
    entry.process.start()
    await entry.wait_ready()
    await asyncio.sleep(1.0)
    if TROUBLE:
        runner.trouble = FaultyRunner(record).spoil
    wrong: list[str] = []

    async def run_client(number: int) -> None:
        client = Client(entry.address, record)
        end = asyncio.get_running_loop().time() + LENGTH_S
        count = 0
        while asyncio.get_running_loop().time() < end:
            count += 1
            request_id = f"c{number}-{count}"
            began = asyncio.get_running_loop().time()
            answer = await client.send("POST", "/book/1", request_id, b"pay 10")
            proof, body = runner.proofs.get(request_id, ("", b""))
            if 200 <= answer.status < 300 and (
                answer.headers.get("response-signature") != proof or answer.body != body
            ):
                wrong.append(request_id)
                record(f"WRONG    {request_id}: a success that the runner never gave")
            left = began + PERIOD_S - asyncio.get_running_loop().time()
            await asyncio.sleep(max(left, 0))

    await asyncio.gather(*(run_client(number) for number in range(CLIENTS)))
    record(f"{len(runner.ran)} requests run, {len(wrong)} wrong answers")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
