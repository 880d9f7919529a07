"""Ordinary traffic before and after all machines lose power, beside odd requests."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from pathlib import Path
from typing import NamedTuple
from typing import TextIO

import deployment
from deployment import TIMERS
from deployment import Deployment
from deployment import Instance

BEFORE_MS = 6_000  # of traffic before the loss of power
RECOVERY_MS = 12_000  # recovery-s of the sheet
AFTER_MS = 15_000  # of traffic by which the recovery is judged
LEAST_SHARE = 0.25
RETRIES = 1  # of a caller, as on the sheet
MIN_RETRY_MS = 100
MAX_RETRY_SHARE = 1 / 3  # of a caller's time left, for which it honours Retry-After


class Kind(NamedTuple):
    """A kind of request of the first site's sheet.

    Attributes:
        name: Name of the kind.
        path: Path of its route.
        model: Model that it names; empty for none.
        per_s: Requests a second at one entry.
        budget_ms: Time budget of its callers.
    """

    name: str
    path: str
    model: str
    per_s: float
    budget_ms: int


# A fourth of the sheet's rates, each entry with a third of that.
_SHARE = 1 / 12
KINDS = (
    Kind("lead", "/lead/x", "m1", 23.2 / 2 * _SHARE, 15_000),
    Kind("lead-2", "/lead/x", "m2", 23.2 / 2 * _SHARE, 15_000),
    Kind("crew", "/crew/x", "m3", 3.22 * _SHARE, 20_000),
    Kind("draft", "/draft/x", "m1", 14.3 / 2 * _SHARE, 10_000),
    Kind("draft-2", "/draft/x", "m3", 14.3 / 2 * _SHARE, 10_000),
    Kind("unsafe", "/unsafe/x", "", 10.2 * _SHARE, 3_000),
    Kind("safe", "/safe/x", "", 4.07 * _SHARE, 3_000),
)


class Recovery:
    """Counts the callers' attempts that are served, by when they were sent.

    Args:
        odd_request: The request of a caller that nobody controls, without its id.
        odd_interval_ms: Time between two odd requests to an entry.
        load_ms: Time to load a model.
    """

    def __init__(
        self,
        odd_request: bytes,
        *,
        odd_interval_ms: int,
        load_ms: int,
    ) -> None:
        self._odd_request = odd_request
        self._odd_interval_ms = odd_interval_ms
        self._load_ms = load_ms
        self._phase = "before"
        self._stopping = False
        self._outcomes: Counter[tuple[str, str, str]] = Counter()
        self._calls: set[asyncio.Task[None]] = set()
        self._odd_answers: Counter[bytes] = Counter()

    def build(self, folder: Path, record: TextIO) -> Deployment:
        """Return the deployment."""
        dep = Deployment(folder, record)
        deployment.set_load_time(dep, self._load_ms)
        return dep

    async def play(self, dep: Deployment) -> int:
        """Send before and after all machines lose power."""
        tasks = [asyncio.create_task(dep.keep_registry())]
        tasks += [
            asyncio.create_task(self._call(dep, instance, kind))
            for instance in dep.entries
            for kind in KINDS
        ]
        if deployment.has_trouble() and os.environ.get("ODD") != "0":
            dep.note("the odd caller begins")
            tasks += [
                asyncio.create_task(self._send_odd(instance))
                for instance in dep.entries
            ]
        await TIMERS.sleep_ms(BEFORE_MS)
        self._phase = "during"
        if deployment.has_trouble():
            await self._lose_power(dep)
        await TIMERS.sleep_ms(RECOVERY_MS)
        self._phase = "after"
        await TIMERS.sleep_ms(AFTER_MS)
        self._stopping = True
        await asyncio.gather(*list(self._calls))
        for task in tasks:
            task.cancel()
        dep.note(f"answers to the odd requests: {dict(self._odd_answers)}")
        for engine in dep.engines:
            dep.note(f"{engine.id} holds {sorted(engine.held)}")
        return self._judge(dep)

    async def _lose_power(self, dep: Deployment) -> None:
        """Let all machines of the system lose power, with the engines on them."""
        for instance in dep.instances:
            instance.send(signal.SIGKILL)
        for engine in dep.engines:
            await dep.cut_power(engine)
        for instance in dep.instances:
            assert instance.process is not None
            await asyncio.to_thread(instance.process.wait)
        dep.note("all machines have lost power")
        await TIMERS.sleep_ms(deployment.RESTART_DELAY_MS)
        for engine in dep.engines:
            await dep.restore_power(engine)
        for instance in dep.instances:
            instance.start()
        dep.note("all machines are back")

    def _judge(self, dep: Deployment) -> int:
        shares = {}
        for phase in ("before", "during", "after"):
            outcomes: Counter[str] = Counter()
            for (when, kind, outcome), count in sorted(self._outcomes.items()):
                if when == phase:
                    outcomes[outcome] += count
                    dep.note(f"{phase}: {kind} {outcome}: {count}")
            shares[phase] = outcomes["200"] / max(sum(outcomes.values()), 1)
            dep.note(f"{phase}: {dict(outcomes)}, share served {shares[phase]:.2f}")
        if shares["before"] < LEAST_SHARE:
            return deployment.NOT_RUN
        is_broken = shares["after"] < LEAST_SHARE
        return deployment.BROKEN if is_broken else deployment.KEPT

    async def _call(self, dep: Deployment, instance: Instance, kind: Kind) -> None:
        """Send requests of a kind, whatever becomes of them."""
        number = 0
        while not self._stopping:
            number += 1
            request_id = f"{kind.name}-{instance.host}-{number}"
            call = asyncio.create_task(self._send(dep, instance, kind, request_id))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await TIMERS.sleep_ms(1_000 / kind.per_s)

    async def _send(
        self, dep: Deployment, instance: Instance, kind: Kind, request_id: str
    ) -> None:
        """Send a request, and again at another entry when it was refused."""
        end_ms = TIMERS.now_ms() + kind.budget_ms
        at = dep.entries.index(instance)
        for attempt in range(1 + RETRIES):
            phase = self._phase
            left_ms = end_ms - TIMERS.now_ms()
            answer = await dep.send(
                dep.entries[(at + attempt) % len(dep.entries)],
                f"{request_id}-{attempt}",
                kind.model,
                path=kind.path,
                deadline_ms=left_ms,
            )
            outcome = f"{answer.status}{'' if answer.is_whole else ' cut'}"
            self._outcomes[phase, kind.name, outcome] += 1
            dep.note(f"{request_id}-{attempt}: {outcome}")
            left_ms = end_ms - TIMERS.now_ms()
            # The others promise nothing, so that an unsafe request ends with them.
            if answer.status not in (429, 503) or left_ms < MIN_RETRY_MS:
                return
            pause_ms = float(answer.headers.get("Retry-After", 0)) * 1_000
            pause_ms = min(max(pause_ms, MIN_RETRY_MS), left_ms * MAX_RETRY_SHARE)
            await TIMERS.sleep_ms(pause_ms)

    async def _send_odd(self, instance: Instance) -> None:
        """Send the odd request to an entry at each interval."""
        host, _, port = instance.front.rpartition(":")
        number = 0
        while not self._stopping:
            number += 1
            head, _, rest = self._odd_request.partition(b"\r\n")
            name = f"\r\nRequest-Id: odd-{host}-{number}\r\n".encode()
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head + name + rest)
                line = await reader.readline()
                writer.close()
                self._odd_answers[line.strip()] += 1
            except OSError:
                pass
            await TIMERS.sleep_ms(self._odd_interval_ms)
