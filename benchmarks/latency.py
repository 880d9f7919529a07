"""Measures the overhead of one entry and one side, on one core each.

Prints requests a second and latencies of the same load sent directly to the engine
stand-in and through copperrun, whole and streamed, at several numbers of callers.
Callers send their next request at once, which saturates the processes; in the rows
marked ``paced``, 16 callers pause between requests.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp

sys.path.insert(0, str(Path(__file__).parent.parent / "testing"))

from cluster import Cluster
from installation import small_configuration

CALLERS = (1, 16, 128)
LOAD_PROCESSES = 4
DURATION_S = 4.0
WARM_UP_S = 1.0
STREAM_TOKENS = 16
PAUSE_S = 0.1
TARGET_ADDED_MS = 3.0
TARGET_PER_SECOND = 1_000


class Load(NamedTuple):
    """Requests that a number of callers send to one target."""

    url: str
    headers: dict[str, str]
    body: bytes
    callers: int
    pause_s: float = 0.0


class Result(NamedTuple):
    """Measurements of one load.

    Attributes:
        per_second: Requests answered a second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        failed: Requests without a complete answer.
    """

    per_second: float
    p50_ms: float
    p99_ms: float
    failed: int


async def _send_request(session: aiohttp.ClientSession, load: Load) -> bool:
    async with session.post(load.url, data=load.body, headers=load.headers) as reply:
        body = await reply.read()
        is_complete = body.endswith((b"}", b"data: [DONE]\n\n"))
        return reply.status == 200 and is_complete


async def _run_caller(
    session: aiohttp.ClientSession, load: Load, start: float, latencies: list[float]
) -> int:
    failed = 0
    end = start + DURATION_S
    while (began := time.perf_counter()) < end:
        is_complete = await _send_request(session, load)
        if began >= start:
            failed += not is_complete
            latencies.append(time.perf_counter() - began)
        if load.pause_s:
            await asyncio.sleep(load.pause_s * random.uniform(0.5, 1.5))
    return failed


async def _run_callers(load: Load) -> tuple[list[float], int]:
    latencies: list[float] = []
    start = time.perf_counter() + WARM_UP_S
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            _run_caller(session, load, start, latencies) for _ in range(load.callers)
        ]
        failed = sum(await asyncio.gather(*callers))
    return latencies, failed


def _run_load(load: Load) -> tuple[list[float], int]:
    return asyncio.run(_run_callers(load))


def measure(pool: multiprocessing.pool.Pool, load: Load) -> Result:
    """Run one load over several processes."""
    processes = min(LOAD_PROCESSES, load.callers)
    share = load._replace(callers=load.callers // processes)
    parts = pool.map(_run_load, [share] * processes, chunksize=1)
    latencies = sorted(item for part, _ in parts for item in part)
    return Result(
        per_second=len(latencies) / DURATION_S,
        p50_ms=latencies[len(latencies) // 2] * 1000,
        p99_ms=latencies[int(len(latencies) * 0.99)] * 1000,
        failed=sum(failed for _, failed in parts),
    )


def _create_loads(cluster: Cluster, callers: int, *, stream: bool) -> tuple[Load, Load]:
    request = {
        "model": "allowances",
        "prompt": "per diem in Split?",
        "max_tokens": STREAM_TOKENS if stream else 1,
        "stream": stream,
    }
    direct = {
        **request, "model": "allowances@1", "request_id": "bench", "priority": 0,
    }  # fmt: skip
    key = f"Bearer {cluster.keys['rigger']}"
    headers = {"Content-Type": "application/json"}
    path = "/v1/completions"
    return (
        Load(
            cluster.url("engine-0") + path,
            headers,
            json.dumps(direct).encode(),
            callers,
        ),
        Load(
            cluster.url("entry-0") + path,
            {**headers, "Authorization": key},
            json.dumps(request).encode(),
            callers,
        ),
    )


async def _start(cluster: Cluster) -> None:
    await cluster.start_platform()
    await cluster.start_engine("engine-0", step_ms=0, prefill_ms=0)
    await cluster.start_side("assistant-0", "assistant", "engine", "engine-0")
    await cluster.start_entry("entry-0", log_level="info")
    configuration = small_configuration()
    configuration["deployments"]["allowances"]["copies"] = 1
    configuration["pools"]["assistant"]["slots"] = 256
    rigger = configuration["callers"]["rigger"]
    rigger |= {"requests_per_second": 1_000_000, "burst": 1_000_000}
    await cluster.publish(configuration)
    await cluster.wait_for_model("rigger", "allowances", "entry-0")


def _format_row(kind: str, callers: int, direct: Result, through: Result) -> str:
    return (
        f"{kind:12} {callers:7} "
        f"{direct.per_second:9.0f} {direct.p50_ms:7.2f} {direct.p99_ms:7.2f} "
        f"{through.per_second:9.0f} {through.p50_ms:7.2f} {through.p99_ms:7.2f} "
        f"{through.p50_ms - direct.p50_ms:7.2f} {through.p99_ms - direct.p99_ms:7.2f} "
        f"{direct.failed + through.failed:6}"
    )


async def _compare(
    cluster: Cluster,
    pool: multiprocessing.pool.Pool,
    kind: str,
    callers: int,
    pause_s: float = 0.0,
) -> Result:
    loads = _create_loads(cluster, callers, stream=kind.startswith("stream"))
    direct, through = [
        await asyncio.to_thread(measure, pool, load._replace(pause_s=pause_s))
        for load in loads
    ]
    print(_format_row(kind, callers, direct, through), flush=True)
    return through


async def main() -> None:
    """Print the table and the targets."""
    with (
        tempfile.TemporaryDirectory() as folder,
        multiprocessing.get_context("spawn").Pool(LOAD_PROCESSES) as pool,
    ):
        async with Cluster(Path(folder)) as cluster:
            await _start(cluster)
            print(
                "kind         callers "
                "direct/s  p50 ms  p99 ms through/s  p50 ms  p99 ms "
                "+p50 ms +p99 ms failed"
            )
            peak = 0.0
            for kind in ("whole", "stream"):
                for callers in CALLERS:
                    through = await _compare(cluster, pool, kind, callers)
                    peak = max(peak, through.per_second if kind == "whole" else 0)
                await _compare(cluster, pool, f"{kind}, paced", 16, PAUSE_S)
            print(f"whole requests/s: {peak:.0f}, target at least {TARGET_PER_SECOND}")
            print(f"target at 16 callers: at most {TARGET_ADDED_MS} ms added at p50")


if __name__ == "__main__":
    asyncio.run(main())
