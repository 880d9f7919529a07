"""Streams that break off and are taken up later, and the share that goes on."""

from __future__ import annotations

import asyncio
import re
import signal
from collections.abc import Sequence

import aiohttp
import deployment
from deployment import TIMERS
from deployment import Deployment
from deployment import Instance

STREAMS = 24
MIN_TAKEN_UP = 12  # by which the rule judges
EVENT_INTERVAL_MS = 100
BUDGET_MS = 20_000  # the callers' time budget, as on the sheet
# After the restart machines are in touch only when this has passed.
IN_TOUCH_MS = deployment.STABILITY_WINDOW_MS + 500
_EVENT = re.compile(rb"id: (\d+)\ndata: \S+ (\S+)/\d+\n\n")


class Stream:
    """One stream over its caller's attempts."""

    def __init__(self, number: int) -> None:
        self.id = f"stream-{number}"
        self.started_ms = TIMERS.now_ms()
        self.events: list[tuple[int, str]] = []

    @property
    def left_ms(self) -> int:
        """Time left of the caller's time budget."""
        return self.started_ms + BUDGET_MS - TIMERS.now_ms()


class Streams:
    """Begins streams, and takes them up once their channels have broken."""

    def __init__(self, dep: Deployment) -> None:
        self._dep = dep
        self._streams = [Stream(number) for number in range(STREAMS)]
        self._reads = [
            asyncio.create_task(self._read(stream, self._entry(number)))
            for number, stream in enumerate(self._streams)
        ]

    async def break_off(self) -> None:
        """Close the callers' channels that are still open."""
        for read in self._reads:
            read.cancel()
        await asyncio.gather(*self._reads, return_exceptions=True)

    async def take_up(self) -> int:
        """Take the streams up, begin as many new ones, and judge the shares."""
        broken = [stream for stream in self._streams if stream.events]
        new = [Stream(STREAMS + number) for number in range(len(broken))]
        before = [len(stream.events) for stream in broken]
        await asyncio.gather(
            *(
                self._read(stream, self._entry(number + 1), attempt=2)
                for number, stream in enumerate(broken)
            ),
            *(
                self._read(stream, self._entry(number))
                for number, stream in enumerate(new)
            ),
        )
        went_on = sum(
            len(stream.events) > count
            for stream, count in zip(broken, before, strict=True)
        )
        began = sum(bool(stream.events) for stream in new)
        self._note_joined(broken)
        self._dep.note(f"{went_on} of {len(broken)} streams taken up went on")
        self._dep.note(f"{began} of {len(new)} new streams began")
        if len(broken) < MIN_TAKEN_UP or not began:
            return deployment.NOT_RUN
        is_broken = went_on / len(broken) < began / len(new) / 2
        return deployment.BROKEN if is_broken else deployment.KEPT

    def _note_joined(self, streams: Sequence[Stream]) -> None:
        """Note what a stream's caller may not get, whatever the share."""
        for stream in streams:
            numbers = [number for number, _ in stream.events]
            versions = sorted({version for _, version in stream.events})
            if numbers != list(range(1, len(numbers) + 1)) or len(versions) > 1:
                self._dep.note(f"{stream.id}: events {numbers} of {versions}")

    async def _read(self, stream: Stream, instance: Instance, attempt: int = 1) -> None:
        """Read one attempt's events until its channel ends."""
        attempt_id = stream.id if attempt == 1 else f"{stream.id}-{attempt}"
        headers = {
            "Host": "h",
            "Request-Id": attempt_id,
            "Deadline-Ms": str(stream.left_ms),
            "Model": deployment.MODELS[0],
            "Token-Usage": "100,80",
            "Prompt-Prefix": f"f1:40,{int(stream.id[7:]) + 1:x}:60",
        }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
            headers["Resumes"] = stream.id
        status, data, before = 0, b"", len(stream.events)
        timeout = aiohttp.ClientTimeout(total=max(stream.left_ms, 1) / 1000)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f"http://{instance.front}/crew/x", headers=headers, data=b"x"
                ) as response,
            ):
                status = response.status
                async for chunk in response.content.iter_any():
                    data += chunk
                    while status == 200 and (found := _EVENT.match(data)):
                        data = data[found.end() :]
                        stream.events.append((int(found[1]), found[2].decode()))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            data = repr(exc).encode()
        finally:
            count = len(stream.events) - before
            detail = data.decode(errors="replace").strip()[:100]
            self._dep.note(
                f"{attempt_id} at {instance.host}: {status}, {count} events {detail}"
            )

    def _entry(self, number: int) -> Instance:
        return self._dep.entries[number % len(self._dep.entries)]


async def end_all(dep: Deployment, instances: Sequence[Instance]) -> None:
    """End processes at the same moment and start them again after a short delay."""
    for instance in instances:
        instance.send(signal.SIGKILL)
    for instance in instances:
        assert instance.process is not None
        await asyncio.to_thread(instance.process.wait)
    dep.note(f"killed: {[item.host for item in instances]}")
    await TIMERS.sleep_ms(deployment.RESTART_DELAY_MS)
    for instance in instances:
        instance.start()
    dep.note("they start again")
