"""Soak of answers that servers and the store spoil, and of odd registry entries.

Run ``python testing/soak_answers.py --seed=1 --seeds=50 --seconds=8``.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

from absl import app
from soak import TIMERS
from soak import InstanceProcess
from soak import Soak
from soak import run_seeds
from soak import seed_runner
from soak_proxy import Fault
from soak_proxy import Proxy
from soak_proxy import reset

SPOILED_SHARE = 0.5  # of the answers, while a proxy is in trouble
MAX_LATE_MS = 40
ENDLESS_BYTES = 64 << 20
NESTED = b"[" * 50_000
MAX_MEMORY_MB = 232.0  # of a side on the smallest of the users' machines
MEMORY_PERIOD_MS = 20
ODD_ENTRIES: tuple[Any, ...] = (
    NESTED,
    b'{"state":' * 20_000,
    b"9" * 5_000,
    b"\xff\xfe",
    {"slots": 10**300},
    {"slots": -1},
    {"address": "127.0.7.10:99999"},
    {"address": "[::1"},
    {"zone": "\ud800"},
    {"born": 10**30},
    {"models": [[]]},
)


class Trouble(Enum):
    """What happens to one answer.

    Attributes:
        DOUBLED: It is written twice at once.
        LATE_COPY: It is written again some time later.
        LATE_REFUSAL: A refusal of its request follows some time later.
        REFUSAL_BEFORE: A refusal of an earlier request comes before it.
        WITHOUT_ID: It lacks its id.
        CUT: It ends within.
        GARBAGE: Bytes that are no answer come in its place.
        ENDLESS: Bytes without an end follow it, or are its body.
        ENDLESS_HEAD: It has more header lines than anybody reads.
        NESTED: Its body is nested deep.
        MALFORMED: Its head breaks the protocol.
        NO_STREAM: An answer that is no stream of events comes in place of one.
    """

    DOUBLED = "doubled"
    LATE_COPY = "late_copy"
    LATE_REFUSAL = "late_refusal"
    REFUSAL_BEFORE = "refusal_before"
    WITHOUT_ID = "without_id"
    CUT = "cut"
    GARBAGE = "garbage"
    ENDLESS = "endless"
    ENDLESS_HEAD = "endless_head"
    NESTED = "nested"
    MALFORMED = "malformed"
    NO_STREAM = "no_stream"


# The store may be slow, silent or away; what it writes is sound but for its bodies.
STORE_TROUBLES = (Trouble.CUT, Trouble.NESTED, Trouble.ENDLESS, Trouble.MALFORMED)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# What stands in place of the status line.
MALFORMED_LINES = (
    b"HTTP/1.1 000 OK\r\n",
    b"HTTP/1.1 099 OK\r\n",
    b"HTTP/1.1 600 OK\r\n",
    b"HTTP/1.1 200 a\0b\r\n",
    b"HTTP/1.1 200 OK\n",
    STATUS_LINE + b"X Y: 1\r\n",
    STATUS_LINE + b"X: a\x01b\r\n",
    STATUS_LINE + b"X: a\r\n b\r\n",
)
# With the id lines of the answer that they replace.
NO_STREAMS = (
    b"HTTP/1.1 204 No Content\r\n%b\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: 0\r\n%b\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n"
    b"Content-Length: 10\r\n%b\r\n<html>\n\n\n\n",
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Response-Signature: sig\r\nContent-Length: 25\r\n%b\r\n"
    b"HTTP/1.1 500 X\n\nfailed!\n\n",
)


class SpoilingProxy(Proxy):
    """Spoils some of its target's answers.

    Attributes:
        troubles: Those that happen now.
        spoiled: How often each happened.
    """

    def __init__(self, target: tuple[str, int], random: Random) -> None:
        super().__init__(target)
        self.troubles: tuple[Trouble, ...] = ()
        self.spoiled: Counter[str] = Counter()
        self._random = random
        # Id lines of the latest answer, by connection.
        self._latest: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )
        self._late: set[asyncio.Task[None]] = set()

    async def _pass_on(
        self, data: bytes, writer: asyncio.StreamWriter, direction: Fault
    ) -> None:
        is_answer = direction is Fault.NO_ANSWERS and data.startswith(b"HTTP/1.1 ")
        earlier = self._latest.get(writer)
        if is_answer:
            self._latest[writer] = _id_line(data)
        if not is_answer or not self.troubles or self._random.random() > SPOILED_SHARE:
            await super()._pass_on(data, writer, direction)
            return
        trouble = self._random.choice(self.troubles)
        self.spoiled[trouble.value] += 1
        await self._spoil(trouble, data, writer, earlier)

    async def _spoil(
        self,
        trouble: Trouble,
        data: bytes,
        writer: asyncio.StreamWriter,
        earlier: bytes | None,
    ) -> None:
        head = data.partition(b"\r\n\r\n")[0]
        match trouble:
            case Trouble.DOUBLED:
                writer.write(data + data)
            case Trouble.LATE_COPY:
                writer.write(data)
                self._write_late(writer, self._maybe_without_id(data))
            case Trouble.LATE_REFUSAL:
                writer.write(data)
                refusal = _refusal(_id_line(data))
                self._write_late(writer, self._maybe_without_id(refusal))
            case Trouble.REFUSAL_BEFORE if earlier is not None:
                writer.write(self._maybe_without_id(_refusal(earlier)) + data)
            case Trouble.WITHOUT_ID:
                writer.write(_without_id(data))
            case Trouble.CUT:
                writer.write(data[: self._random.randrange(1, len(data))])
                await writer.drain()
                reset(writer)
            case Trouble.GARBAGE:
                writer.write(b"\x00no answer at all\r\n\r\n" + data)
            case Trouble.ENDLESS if b"Response-Signature" in head:
                await _write_without_end(writer, data, b" " * 65_536)
            case Trouble.ENDLESS:
                begin = b"HTTP/1.1 200 OK\r\n\r\n"
                await _write_without_end(writer, begin, b" " * 65_536)
            case Trouble.ENDLESS_HEAD:
                await _write_without_end(writer, head + b"\r\n", b"X: y\r\n" * 10_000)
            case Trouble.NESTED if b"Response-Signature" not in head:
                length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(NESTED)
                writer.write(length + NESTED)
            case _:
                writer.write(self._replaced(trouble, data, head))
        await writer.drain()

    def _replaced(self, trouble: Trouble, data: bytes, head: bytes) -> bytes:
        """Return an answer with another head, or another answer."""
        if trouble is Trouble.MALFORMED and data.startswith(STATUS_LINE):
            line = self._random.choice(MALFORMED_LINES)
            return line + data.removeprefix(STATUS_LINE)
        if trouble is Trouble.NO_STREAM and b"text/event-stream" in head:
            return self._random.choice(NO_STREAMS) % _id_line(data)
        return data

    def _maybe_without_id(self, data: bytes) -> bytes:
        return _without_id(data) if self._random.random() < 0.5 else data

    def _write_late(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        async def write() -> None:
            await TIMERS.sleep_ms(self._random.uniform(0, MAX_LATE_MS))
            if not writer.is_closing():
                writer.write(data)

        task = asyncio.create_task(write())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


def _id_line(data: bytes) -> bytes:
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
    found = [line for line in lines if line.lower().startswith(b"request-id:")]
    return found[0] + b"\r\n" if found else b""


def _without_id(data: bytes) -> bytes:
    line = _id_line(data)
    return data.replace(line, b"", 1) if line else data


def _refusal(id_line: bytes) -> bytes:
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
        + id_line
        + b"\r\n"
    )


async def _write_without_end(
    writer: asyncio.StreamWriter, begin: bytes, filler: bytes
) -> None:
    """Write until the reader closes, or many times more than it should take."""
    writer.write(begin)
    for _ in range(ENDLESS_BYTES // len(filler)):
        if writer.is_closing():
            return
        writer.write(filler)
        await writer.drain()


class AnswerSoak(Soak):
    """One run of one seed; no process is ended, so none may end."""

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, fall_backs=False, bad_part=False)
        self._faults = [self._spoil_server] * 4 + [self._spoil_store]
        self._faults += [self._write_odd_entries, self._pause, self._break_link]

    async def run(self, seconds: float) -> list[str]:
        """Run the soak and return the violated promises."""
        watch = asyncio.create_task(self._watch_memory())
        try:
            return await super().run(seconds)
        finally:
            watch.cancel()
            spoiled = sum((p.spoiled for p in self._spoiling()), Counter[str]())
            self.outcomes |= {f"answers {name}": n for name, n in spoiled.items()}

    async def _start_proxy(
        self, target: tuple[str, int], host: str = "127.0.0.1"
    ) -> Proxy:
        proxy = SpoilingProxy(target, self._random)
        await proxy.start(host)
        self._proxies.append(proxy)
        return proxy

    def _spoiling(self) -> list[SpoilingProxy]:
        return [proxy for proxy in self._proxies if isinstance(proxy, SpoilingProxy)]

    async def _spoil_server(self) -> None:
        proxy = self._random.choice(self._spoiling()[1:])
        await self._spoil(proxy, tuple(Trouble))

    async def _spoil_store(self) -> None:
        await self._spoil(self._spoiling()[0], STORE_TROUBLES)

    async def _spoil(self, proxy: SpoilingProxy, kinds: tuple[Trouble, ...]) -> None:
        count = self._random.randint(1, len(kinds))
        proxy.troubles = tuple(self._random.sample(kinds, count))
        await TIMERS.sleep_ms(self._random.uniform(500, 2_500))
        proxy.troubles = ()

    async def _write_odd_entries(self) -> None:
        """Let another writer add entries for a time."""
        backend, pool, address = self._random.choice(list(self._registry.values()))
        fields = backend.registry_entry(pool, address, "z")
        for number, odd in enumerate(self._random.sample(ODD_ENTRIES, 3)):
            value = odd if isinstance(odd, bytes) else json.dumps(fields | odd).encode()
            self._store.put("keyed.servers", f"odd-{number}", value)
        await TIMERS.sleep_ms(self._random.uniform(200, 2_000))
        for number in range(3):
            self._store.put("keyed.servers", f"odd-{number}", b"")

    async def _clear_faults(self) -> None:
        self._check_ends()
        for proxy in self._spoiling():
            proxy.troubles = ()
        await super()._clear_faults()

    def _check_ends(self) -> None:
        for instance in self._instances:
            if instance.process is not None and instance.process.poll() is not None:
                state = instance.describe_state()
                self.violations.append(f"{instance.host} ended by itself: {state}")

    async def _watch_memory(self) -> None:
        while True:
            await TIMERS.sleep_ms(MEMORY_PERIOD_MS)
            for instance in self._instances:
                size_mb = _resident_mb(instance)
                most_mb = max(size_mb, self.outcomes.get("memory MB", 0))
                self.outcomes["memory MB"] = int(most_mb)
                if size_mb > MAX_MEMORY_MB:
                    line = f"{instance.role} {instance.host}: over its memory"
                    if line not in self.violations:
                        self.violations.append(line)


def _resident_mb(instance: InstanceProcess) -> float:
    """Return the memory of a process; 0 when it does not run."""
    if instance.process is None:
        return 0.0
    try:
        text = Path(f"/proc/{instance.process.pid}/statm").read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) * 4_096 / (1 << 20)


run_seed = seed_runner(AnswerSoak)


def main(argv: list[str]) -> None:
    """Run the seeds of the command line."""
    run_seeds(run_seed)


if __name__ == "__main__":
    app.run(main)
