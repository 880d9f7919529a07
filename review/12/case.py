"""Servers in trouble whose bytes look like an answer, without id and proof."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import TextIO

from aiohttp import web
from platform_engine import PlatformEngine

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import deployment  # noqa: E402
from deployment import TIMERS  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import Instance  # noqa: E402

LENGTH_MS = 75_000
SPOILED_SHARE = 0.05  # of the answers of each second server, while in trouble
TROUBLE_MS = 5_000  # length of each trouble, and of the calm after it
ENTRIES, SERVICES = 4, 8
CLOSING_SHARE = 0.1  # of the answers of all servers end their channel
SEED = 31
PAUSE_MS = 20  # between two requests of a caller
KINDS = ("safe", "unsafe")
CALLERS = 4  # of each kind at each entry
SIGNATURE = "Response-Signature"


class Server(PlatformEngine):
    """Runs a request and sends bytes that are no answer to it, if it is in trouble."""

    random = Random(SEED)
    is_faulty = False
    spoiled: set[str] = set()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if not self.is_faulty or self.random.random() >= SPOILED_SHARE:
            response = await super()._serve(request)
            if self.random.random() < CLOSING_SHARE:
                response.force_close()
            return response
        request_id = request.headers["Request-Id"]
        await request.read()
        self.runs[request_id] += 1
        self.spoiled.add(request_id)
        response = web.Response(text="no answer to any request")
        response.force_close()
        return response


class SpoiledDeployment(Deployment):
    """A deployment of such servers."""

    engine_class = Server


class Case:
    """Counts successes without the proof of a run."""

    def __init__(self) -> None:
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._unproved = 0

    def build(self, folder: Path, record: TextIO) -> Deployment:
        """Return the deployment."""
        return SpoiledDeployment(folder, record, entries=ENTRIES, services=SERVICES)

    async def play(self, dep: Deployment) -> int:
        """Send ordinary plain requests, one after the other by each caller."""
        tasks = [asyncio.create_task(dep.keep_registry())]
        if deployment.has_trouble():
            tasks.append(asyncio.create_task(self._spoil(dep)))
        end_ms = TIMERS.now_ms() + LENGTH_MS
        await asyncio.gather(
            *(
                self._call(dep, instance, kind, caller, end_ms)
                for instance in dep.entries
                for kind in KINDS
                for caller in range(CALLERS)
            )
        )
        for task in tasks:
            task.cancel()
        for (kind, outcome), count in sorted(self._outcomes.items()):
            dep.note(f"{kind}: {outcome}: {count}")
        dep.note(f"answers that servers spoiled: {len(Server.spoiled)}")
        dep.note(f"successes without {SIGNATURE}: {self._unproved}")
        return deployment.BROKEN if self._unproved else deployment.KEPT

    async def _spoil(self, dep: Deployment) -> None:
        """Let half of the plain servers get into trouble at times."""
        plain = [server for server in dep.backends if not server.max_models]
        while True:
            for is_faulty in (True, False):
                for server in plain[::2]:
                    server.is_faulty = is_faulty
                dep.note(f"servers in trouble: {is_faulty}")
                await TIMERS.sleep_ms(TROUBLE_MS)

    async def _call(
        self, dep: Deployment, instance: Instance, kind: str, caller: int, end_ms: int
    ) -> None:
        number = 0
        while TIMERS.now_ms() < end_ms:
            number += 1
            request_id = f"{kind}-{instance.host}-{caller}-{number}"
            answer = await dep.send(
                instance, request_id, path=f"/{kind}/x", deadline_ms=3_000
            )
            is_success = 200 <= answer.status < 300
            is_unproved = is_success and SIGNATURE not in answer.headers
            proof = " without proof" if is_unproved else ""
            self._outcomes[kind, f"{answer.status}{proof}"] += 1
            self._unproved += is_unproved
            was = ", spoiled by its server" if request_id in Server.spoiled else ""
            dep.note(f"{request_id}: {answer.status}{proof} {answer.body[-30:]!r}{was}")
            await TIMERS.sleep_ms(PAUSE_MS)


if __name__ == "__main__":
    deployment.main(Case(), FOLDER)
