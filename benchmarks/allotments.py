"""Spread of a limit over entries: what of it is served, and with how many messages.

Runs entries and keepers on a manual clock, without a network.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent.parent / "testing"))

from allotment_fleet import BOUNDS
from allotment_fleet import Fleet
from allotment_fleet import most_used
from allotment_fleet import tokens

ENTRIES = (5, 30, 68, 300)
LIMIT = tokens(9_800, 9_800)
COSTS = (646, 1_460, 1_631)
LOADS = (0.9, 3.0)  # of the limit
TRAFFIC = ("one", "shifting", "random")
DURATION_S = 30
STEP_MS = 10


async def _play(entries: int, load: float, traffic: str) -> None:
    fleet = Fleet(1, keepers=24, entries=entries, limit=LIMIT)
    per_step = load * LIMIT.rate_per_s / (sum(COSTS) / len(COSTS)) * STEP_MS / 1_000
    offered = 0
    due = 0.0
    # The messages of the first second claim the group.
    for step in range(DURATION_S * 1_000 // STEP_MS):
        second = step * STEP_MS // 1_000
        due += per_step
        while due >= 1:
            due -= 1
            cost = fleet.rng.choice(COSTS)
            offered += cost
            number = {"one": 0, "shifting": second % entries}.get(traffic)
            entry = fleet.rng.choice(fleet.entries)
            if number is not None:
                entry = fleet.entries[number]
            fleet.send(entry, "north", cost)
        await fleet.timers.advance(STEP_MS)
    await fleet.timers.advance(500)
    owed = min(offered, LIMIT.rate_per_s * DURATION_S)
    allowed = LIMIT.rate_per_s * BOUNDS.window_ms / 1_000 + LIMIT.burst
    used = sum(use.units for use in fleet.uses)
    most = most_used(fleet.uses, "north", BOUNDS.window_ms)
    print(
        f"{entries:4} entries, {load:3.1f} of the limit, entry {traffic:8}: "
        f"served {used / owed:5.3f} of what is owed, "
        f"at most {most / allowed:5.3f} of a window's limit, "
        f"{fleet.messages / DURATION_S:5.1f} questions/s, "
        f"{fleet.bytes / DURATION_S / 1_000:4.1f} KB/s and HTTP headers, "
        f"{(fleet.store.reads + fleet.store.puts) / DURATION_S:4.2f} store calls/s"
    )
    fleet.close()


async def _run(counts: Sequence[int]) -> None:
    for count in counts:
        for load in LOADS:
            for traffic in TRAFFIC:
                await _play(count, load, traffic)


def main() -> None:
    """Print one line for each case."""
    logger.remove()
    asyncio.run(_run([int(text) for text in sys.argv[1:]] or ENTRIES))


if __name__ == "__main__":
    main()
