"""Soak of servers of several software versions, with callers that take streams up.

Run ``python testing/soak_versions.py --seed=1 --seeds=50 --seconds=8``; with
``--common_ends`` all processes also end together, the store also comes back from older
copies, and one version serves at first.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
from absl import app
from absl import flags
from platform_engine import PlatformEngine
from soak import MODELS
from soak import TIMERS
from soak import InstanceProcess
from soak import Soak
from soak import run_seeds
from soak import seed_runner

_COMMON_ENDS = flags.DEFINE_bool(
    "common_ends", False, "End all processes at once, too, and take records back."
)

EVENTS = 40
VERSIONS = ("v1", "v2")
# The least streams taken up by which the platform judges the share that goes on.
MIN_TAKEN_UP = 12
_EVENT = re.compile(rb"id: (\d+)\ndata: \S+ (\S+)/\d+\n\n")


class VersionSoak(Soak):
    """One run of one seed: releases in series beside all other faults."""

    entries, engines = 3, 4

    def __init__(self, seed: int, folder: Path, *, common_ends: bool = False) -> None:
        super().__init__(seed, folder, fall_backs=common_ends, bad_part=False)
        self._versions = cycle(VERSIONS[:1] if common_ends else VERSIONS)
        self._is_first_start = common_ends
        if common_ends:
            self._faults += [self._end_all]
        self._faults += [self._release, self._kill_entry, self._release]
        # Attempts and those that got an event, by whether they took a stream up.
        self._attempts: Counter[bool] = Counter()
        self._begun: Counter[bool] = Counter()

    async def run(self, seconds: float) -> list[str]:
        """Run the soak and return the violated promises."""
        violations = await super().run(seconds)
        self.outcomes["taken up"] = self._attempts[True]
        self.outcomes["went on"] = self._begun[True]
        if self._attempts[True] >= MIN_TAKEN_UP and self._attempts[False]:
            went_on = self._begun[True] / self._attempts[True]
            began = self._begun[False] / self._attempts[False]
            if went_on < began / 2:
                violations.append(f"{went_on:.2f} went on, {began:.2f} began")
        return violations

    def _prepare_backend(self, backend: PlatformEngine) -> None:
        backend.software_version = next(self._versions)
        backend.events_per_stream = EVENTS

    async def _inject_faults(self, seconds: float) -> None:
        for instance in self._instances:
            instance.forget_first_start()
        await super()._inject_faults(seconds)

    async def _end_all(self) -> None:
        """End all processes at once and start them again."""
        for instance in self._instances:
            instance.send_signal(9)
        await asyncio.gather(*(item.restart_after_exit() for item in self._instances))

    async def _kill_entry(self) -> None:
        instance = self._random.choice(self._entries())
        instance.send_signal(9)
        await instance.restart_after_exit()

    async def _release(self) -> None:
        """Replace an engine by one of any version, under its id or another one."""
        engines = [item for item in self._backends if item.max_models]
        backend = self._random.choice(engines)
        proxy = self._proxies[1 + self._backends.index(backend)]
        if backend in self._restarts:
            return
        restart = asyncio.create_task(self._replace_engine(backend, proxy))
        self._restarts[backend] = restart
        await restart

    async def _replace_engine(self, backend: PlatformEngine, proxy: object) -> None:
        backend_id = backend.id
        _, pool, address = self._registry[backend_id]
        host = address.rpartition(":")[0]
        proxy.refuse()
        await backend.close()
        await TIMERS.sleep_ms(self._random.uniform(300, 1_000))
        keeps_id = self._random.random() < 0.5
        backend.begin_again(
            backend_id if keeps_id else f"i-{host}-{self._random.getrandbits(32):x}"
        )
        backend.software_version = self._random.choice([*VERSIONS, "v3"])
        await backend.start(host)
        proxy.target = (host, backend.port)
        await proxy.start(host, int(address.rpartition(":")[2]))
        # The registry lists the earlier start for a time.
        await TIMERS.sleep_ms(self._random.uniform(0, 1_500))
        if not keeps_id:
            self._store.put("keyed.servers", backend_id, b"")
        del self._registry[backend_id]
        self._registry[backend.id] = (backend, pool, address)
        self._write_registry()
        del self._restarts[backend]

    async def _run_client(self, number: int) -> None:
        """Take streams up until they are whole, at any entry."""
        random = Random(self._random.random() + number)
        async with aiohttp.ClientSession() as session:
            while not self._stopping:
                outcome = await self._read_stream(session, random)
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
                await TIMERS.sleep_ms(random.uniform(5, 60))

    async def _read_stream(self, session: aiohttp.ClientSession, random: Random) -> str:
        """Read one stream over several attempts and check what they brought."""
        events: list[tuple[int, str]] = []
        model = random.choice(MODELS)
        first_id = ""
        for _ in range(4):
            self._request_count += 1
            attempt_id = f"stream-{self._request_count}"
            instance = random.choice(self._entries())
            before = len(events)
            breaks_after = random.choice([None, None, random.randint(1, EVENTS)])
            took_up = bool(events)
            serving = self._serving(events[0][1]) if events else len(self._backends)
            await self._read_events(
                session, instance, attempt_id, model, first_id, events, breaks_after
            )
            if serving >= 2:
                self._attempts[took_up] += 1
                self._begun[took_up] += len(events) > before
            first_id = first_id or (attempt_id if events else "")
            self._check_events(attempt_id, events)
            if len(events) >= EVENTS:
                return "answered"
            await TIMERS.sleep_ms(random.uniform(0, 150))
        return "incomplete" if events else "refused"

    def _serving(self, version: str) -> int:
        """Return how many engines of a version serve and are listed."""
        return sum(
            backend.software_version == version and backend not in self._restarts
            for backend in self._backends
            if backend.max_models
        )

    async def _read_events(
        self,
        session: aiohttp.ClientSession,
        instance: InstanceProcess,
        attempt_id: str,
        model: str,
        first_id: str,
        events: list[tuple[int, str]],
        breaks_after: int | None,
    ) -> None:
        """Read the events of one attempt; leave after some of them if told so."""
        headers = {
            "Host": "h",
            "Request-Id": attempt_id,
            "Deadline-Ms": "3000",
            "Model": model,
            "Token-Usage": "100,80",
            "Prompt-Prefix": f"f1:40,{self._request_count:x}:60",
        }
        if events:
            headers |= {"Last-Event-Id": str(events[-1][0]), "Resumes": first_id}
        url = f"http://{instance.settings['listen']['front']}/stream/x"
        timeout = aiohttp.ClientTimeout(total=5.0)
        data = b""
        try:
            async with session.post(url, headers=headers, timeout=timeout) as response:
                if response.status != 200:
                    return
                async for chunk in response.content.iter_any():
                    data += chunk
                    while (found := _EVENT.match(data)) is not None:
                        data = data[found.end() :]
                        events.append((int(found[1]), found[2].decode()))
                        if len(events) == breaks_after:
                            response.close()
                            return
        except (TimeoutError, aiohttp.ClientError, OSError):
            return

    def _check_answer(
        self, request_id: str, model: str, body: bytes, headers: Any
    ) -> None:
        if not model:
            super()._check_answer(request_id, model, body, headers)
            return
        found = _EVENT.findall(body)
        self._check_events(request_id, [(int(n), v.decode()) for n, v in found])

    def _check_events(self, attempt_id: str, events: list[tuple[int, str]]) -> None:
        numbers = [number for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self.violations.append(f"{attempt_id}: events {numbers}")
        versions = sorted({version for _, version in events})
        if len(versions) > 1:
            self.violations.append(f"{attempt_id}: events of {versions}")


run_seed = seed_runner(VersionSoak)


def main(argv: list[str]) -> None:
    """Run the seeds of the command line."""
    kind = partial(VersionSoak, common_ends=_COMMON_ENDS.value)
    run_seeds(seed_runner(kind))


if __name__ == "__main__":
    app.run(main)
