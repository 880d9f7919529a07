"""A loopback proxy that delays, resets, or drops data of its connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

from copperrun.adapters.timers import SystemTimers

READ_BYTES = 65_536
TIMERS = SystemTimers()


class Fault(Enum):
    """Fault of a proxy's connections.

    Attributes:
        DELAY: Data is delayed by ``Proxy.delay_ms``.
        RESET: Connections are reset, new ones too.
        NO_REQUESTS: Data to the target is dropped.
        NO_ANSWERS: Data from the target is dropped.
        SILENT: Data is dropped both ways.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


class Proxy:
    """Forwards connections to a target.

    A connection whose data a fault has dropped is reset when the fault is cleared, as
    after a partition that outlives its connections.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.address = ""
        self.fault = Fault.NONE
        self.delay_ms = 50
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._cleared = asyncio.Event()

    async def start(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._accept, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def set_fault(self, fault: Fault) -> None:
        """Set a fault; ``Fault.NONE`` clears it."""
        self.fault = fault
        if fault is Fault.RESET:
            for writer in list(self._writers):
                reset(writer)
        if fault is Fault.NONE:
            self._cleared.set()
            self._cleared = asyncio.Event()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def refuse(self) -> None:
        """Refuse connections until the next start, as while no process listens."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is Fault.RESET:
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self._writers.update((writer, target_writer))
        requests = self._forward(reader, target_writer, Fault.NO_REQUESTS)
        answers = self._forward(target_reader, writer, Fault.NO_ANSWERS)
        try:
            await asyncio.gather(requests, answers)
        finally:
            self._writers.difference_update((writer, target_writer))
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_fault: Fault,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is Fault.DELAY:
                    await TIMERS.sleep_ms(self.delay_ms)
                if self.fault in (blocking_fault, Fault.SILENT):
                    # This connection carries no data again; new ones may work.
                    await self._cleared.wait()
                    reset(writer)
                    return
                await self._pass_on(data, writer, blocking_fault)
        except OSError:
            reset(writer)
            return
        finally:
            if not writer.is_closing():
                writer.close()

    async def _pass_on(
        self, data: bytes, writer: asyncio.StreamWriter, direction: Fault
    ) -> None:
        """Forward data; ``direction`` is the fault that would drop it."""
        writer.write(data)
        await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
