"""A crowd of clients at a listener of a process, and what the process holds then."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import suppress
from pathlib import Path

from copperrun.adapters.timers import SystemTimers

MB = 10**6
TIMERS = SystemTimers()
WAIT_TIMEOUT_MS = 120_000  # ends the waits of a failing test
POLL_MS = 250
CALM_POLLS = 4  # in a row in which a process hardly works
CALM_TICKS = 3  # of processor time in one poll
READ_BYTES = 64 << 10


class ProcessFigures:
    """What the kernel tells of a process."""

    def __init__(self, pid: int) -> None:
        self._folder = Path("/proc") / str(pid)

    @property
    def peak_bytes(self) -> int:
        """Peak of its resident memory so far."""
        return self._memory("VmHWM:")

    @property
    def resident_bytes(self) -> int:
        """Resident memory now."""
        return self._memory("VmRSS:")

    def _memory(self, name: str) -> int:
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) * 1024
        raise AssertionError("the process has ended")

    @property
    def descriptors(self) -> int:
        """Open descriptors."""
        return len(os.listdir(self._folder / "fd"))

    @property
    def _ticks(self) -> int:
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    async def settle(self) -> None:
        """Wait until the process has nothing left to do."""
        calm = 0
        before = self._ticks
        async with TIMERS.timeout_ms(WAIT_TIMEOUT_MS):
            while calm < CALM_POLLS:
                await TIMERS.sleep_ms(POLL_MS)
                now = self._ticks
                calm = calm + 1 if now - before <= CALM_TICKS else 0
                before = now


class Member:
    """One client of a crowd, which sends what it is told and reads all it gets.

    Attributes:
        received: Bytes that it got, up to a size.
        has_ended: Whether its connection is closed.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.received = b""
        self.has_ended = False
        self._writer = writer
        self._tasks = [asyncio.create_task(self._read(reader))]

    @classmethod
    async def open(cls, host: str, port: int) -> Member:
        return cls(*await asyncio.open_connection(host, port))

    def send(self, *parts: bytes) -> None:
        """Send the parts one after the other, as fast as they are taken."""
        self._tasks.append(asyncio.create_task(self._send(parts)))

    async def _send(self, parts: tuple[bytes, ...]) -> None:
        # Pieces, because the writer keeps a copy of what is not sent at once.
        with suppress(ConnectionError):
            for part in parts:
                for start in range(0, len(part), READ_BYTES):
                    self._writer.write(part[start : start + READ_BYTES])
                    await self._writer.drain()

    def stop_reading(self) -> None:
        """Leave unread what arrives from now on."""
        self._tasks[0].cancel()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if len(self.received) < READ_BYTES:
                    self.received += data
        self.has_ended = True

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._writer.transport.abort()


@asynccontextmanager
async def crowd(host: str, port: int, count: int) -> AsyncIterator[list[Member]]:
    """Open connections, and reset them at the end."""
    members: list[Member] = []
    try:
        for _ in range(count):
            with suppress(ConnectionError):
                members.append(await Member.open(host, port))
        yield members
    finally:
        for member in members:
            await member.close()


def numbered_lines(size: int) -> bytes:
    """Return header lines of distinct short names, ``size`` bytes at most."""
    lines = b"".join(b"%x:\r\n" % number for number in range(size // 4))
    return lines[: lines.rindex(b"\n", 0, size) + 1]


def equal_lines(size: int) -> bytes:
    """Return header lines of one name, ``size`` bytes at most."""
    return b"a:\r\n" * (size // 4)


def odd_lines(size: int) -> bytes:
    """Return header lines of odd names with values beyond ASCII."""
    line = b"!#: \xff\xfe\xc3\xa9\r\n"
    return line * (size // len(line))


def head(
    size: int,
    lines: bytes = b"",
    *,
    method: str = "GET",
    path: str = "/safe/x",
    request_id: str = "r",
    extra: str = "",
) -> bytes:
    """Return the head of a request, ``size`` bytes at most; 0 for no filling."""
    first = (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n{extra}"
    )
    start = first.encode()
    room = max(size - len(start) - 2, 0)
    if len(lines) > room:
        lines = lines[: lines.rindex(b"\n", 0, room) + 1] if room else b""
    return start + lines + b"\r\n"


def unfinished(complete: bytes) -> bytes:
    """Return a head without its end."""
    return complete[:-2]


def chunks(body: bytes, size: int) -> bytes:
    """Return a body in chunks of one size, without the last chunk."""
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[at : at + size] for at in range(0, len(body), size))
    )
