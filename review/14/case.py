"""The store comes back from a copy, later all processes end; two versions serve."""

from __future__ import annotations

import asyncio
import os
import sys
from itertools import cycle
from pathlib import Path
from typing import TextIO

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import deployment  # noqa: E402
import streams  # noqa: E402
from deployment import TIMERS  # noqa: E402
from deployment import Deployment  # noqa: E402
from platform_engine import PlatformEngine  # noqa: E402

EVENTS = 150
VERSIONS = ("v1", "v2")
MIXED_MS = 2_000  # both versions are listed for so long before the streams begin
AWAY_AFTER_MS = 1_500  # the store, from the start of the streams
AWAY_MS = 1_000
REWRITE_MS = 300  # until the operator and the servers have written again
# The core is stable again before the processes end.
STABLE_MS = deployment.STABILITY_WINDOW_MS + 200


class MixedDeployment(Deployment):
    """Two engines of each of two versions of their software."""

    def __init__(self, folder: Path, record: TextIO) -> None:
        super().__init__(folder, record, engines=4)
        self._versions = cycle(VERSIONS)

    def prepare(self, backend: PlatformEngine) -> None:
        """Set the version and the length of the streams."""
        backend.software_version = next(self._versions)
        backend.events_per_stream = EVENTS


class Case:
    """Counts the streams that go on, and new ones, at machines in touch."""

    def build(self, folder: Path, record: TextIO) -> Deployment:
        """Return the deployment."""
        return MixedDeployment(folder, record)

    async def play(self, dep: Deployment) -> int:
        """Begin streams, break their channels, and take them up."""
        check_ins = asyncio.create_task(dep.keep_registry())
        deployment.set_event_interval(streams.EVENT_INTERVAL_MS)
        await TIMERS.sleep_ms(MIXED_MS)
        copy = {topic: len(items) for topic, items in dep.store.records.items()}
        callers = streams.Streams(dep)
        await TIMERS.sleep_ms(AWAY_AFTER_MS)
        has_drill = deployment.has_trouble() and os.environ.get("DRILL") != "0"
        if has_drill:
            await self._fall_back(dep, copy)
        else:
            await TIMERS.sleep_ms(AWAY_MS + REWRITE_MS)
        await TIMERS.sleep_ms(STABLE_MS)
        if deployment.has_trouble():
            await streams.end_all(dep, dep.instances)
        else:
            await TIMERS.sleep_ms(deployment.RESTART_DELAY_MS)
        await callers.break_off()
        await TIMERS.sleep_ms(streams.IN_TOUCH_MS)
        result = await callers.take_up()
        check_ins.cancel()
        return result

    async def _fall_back(self, dep: Deployment, copy: dict[str, int]) -> None:
        """Let the store be away for a moment and come back from a copy."""
        dep.store.is_down = True
        dep.note("the store is away")
        await TIMERS.sleep_ms(AWAY_MS)
        for topic in dep.store.records.keys() - copy.keys():
            copy[topic] = 0
        lost = {
            topic: len(items) - copy[topic]
            for topic, items in dep.store.records.items()
        }
        dep.store.fall_back(copy)
        dep.store.is_down = False
        dep.note(f"the store is back from a copy, records lost: {lost}")
        await TIMERS.sleep_ms(REWRITE_MS)
        dep.write_registry()
        dep.store.put("keyed.op", "config", dep.configuration)


if __name__ == "__main__":
    deployment.main(Case(), FOLDER)
