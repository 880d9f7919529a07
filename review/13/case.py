"""All processes end together while one software version serves; streams go on later."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TextIO

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import deployment  # noqa: E402
import streams  # noqa: E402
from deployment import TIMERS  # noqa: E402
from deployment import Deployment  # noqa: E402
from platform_engine import PlatformEngine  # noqa: E402

EVENTS = 80
END_AFTER_MS = 4_000  # from the start of the streams
VERSION = "v1"


class VersionedDeployment(Deployment):
    """All engines run one version of their software."""

    def prepare(self, backend: PlatformEngine) -> None:
        """Set the version and the length of the streams."""
        backend.software_version = VERSION
        backend.events_per_stream = EVENTS


class Case:
    """Counts the streams that go on, and new ones, at machines in touch."""

    def build(self, folder: Path, record: TextIO) -> Deployment:
        """Return the deployment."""
        return VersionedDeployment(folder, record)

    async def play(self, dep: Deployment) -> int:
        """Begin streams, break their channels, and take them up."""
        check_ins = asyncio.create_task(dep.keep_registry())
        deployment.set_event_interval(streams.EVENT_INTERVAL_MS)
        callers = streams.Streams(dep)
        await TIMERS.sleep_ms(END_AFTER_MS)
        if deployment.has_trouble():
            await streams.end_all(dep, dep.instances)
        else:
            await TIMERS.sleep_ms(deployment.RESTART_DELAY_MS)
        await callers.break_off()
        await TIMERS.sleep_ms(streams.IN_TOUCH_MS)
        result = await callers.take_up()
        check_ins.cancel()
        return result


if __name__ == "__main__":
    deployment.main(Case(), FOLDER)
