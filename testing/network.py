"""Connects the roles in one test process: links, pause gates and task ownership."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from contextvars import Context
from contextvars import ContextVar
from contextvars import copy_context
from dataclasses import dataclass
from functools import partial
from typing import Any
from weakref import WeakSet

from copperrun.adapters.sides import CANCEL_TIMEOUT_MS
from copperrun.adapters.sides import HELLO_TIMEOUT_MS
from copperrun.adapters.wire import checksum
from copperrun.embedded.clock import ManualTimers
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Chunk
from copperrun.model import Refusal
from copperrun.model import StreamEnd
from copperrun.model import StreamStart
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import EndedTenure
from copperrun.ports.allotments import NotKeeper
from copperrun.ports.sides import SideError
from copperrun.ports.sides import SideErrorReason
from copperrun.ports.sides import SideReply
from copperrun.ports.sides import SideStatus
from copperrun.ports.sides import StreamItem
from copperrun.ports.topics import TopicPosition
from copperrun.side.agent import Agent
from copperrun.side.process import SideProcess


class NullMetrics:
    """Accepts every measurement and discards it."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


@dataclass
class LinkFaults:
    """Faults of the link to one side.

    Attributes:
        cut: Nothing gets through.
        lose_requests: Number of next attempts that are lost before they arrive.
        lose_answers: Number of next attempts whose answers are lost.
        cut_streams_after: Number of chunks after which the next stream breaks; 0 for
            never.
        delay_ms: Time until an attempt arrives.
        double_requests: Number of next attempts that arrive twice.
    """

    cut: bool = False
    lose_requests: int = 0
    lose_answers: int = 0
    cut_streams_after: int = 0
    delay_ms: int = 0
    double_requests: int = 0


class PauseGate:
    """Open while a process runs; closed while it is paused."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def pause(self) -> None:
        self._open.clear()

    def resume(self) -> None:
        self._open.set()

    @property
    def is_open(self) -> bool:
        return self._open.is_set()

    async def wait(self) -> None:
        await self._open.wait()


class GatedPort:
    """Wraps a port; its answers reach the process only while the gate is open."""

    def __init__(self, port: Any, gate: PauseGate) -> None:
        self._port = port
        self._gate = gate

    def __getattr__(self, name: str) -> Any:
        member = getattr(self._port, name)
        if inspect.isasyncgenfunction(member):
            return partial(self._iterate, member)
        if inspect.iscoroutinefunction(member):
            return partial(self._call, member)
        return member

    async def _call(self, member: Any, *args: Any, **named: Any) -> Any:
        await self._gate.wait()
        result = await member(*args, **named)
        await self._gate.wait()
        return result

    async def _iterate(
        self, member: Any, *args: Any, **named: Any
    ) -> AsyncIterator[Any]:
        items = member(*args, **named)
        try:
            async for item in items:
                await self._gate.wait()
                yield item
        finally:
            await items.aclose()


OWNER: ContextVar[str] = ContextVar("owner", default="")


class TaskOwners:
    """Tracks the tasks of each side process, so that killing it cancels them."""

    def __init__(self) -> None:
        self._tasks: dict[str, WeakSet[asyncio.Task[Any]]] = {}
        self._killed: set[str] = set()

    def create_task(
        self, loop: asyncio.AbstractEventLoop, coro: Any, context: Any = None
    ) -> asyncio.Task[Any]:
        """Create a task for the event loop; a task of a killed process never starts."""
        owner = OWNER.get() if context is None else context.get(OWNER, "")
        if owner in self._killed:
            coro.close()
            coro = _do_nothing()
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, context=context)
        if owner:
            self._tasks.setdefault(owner, WeakSet()).add(task)
        return task

    def kill(self, owner: str) -> None:
        """Cancel the tasks of a process; tasks that they start later never run."""
        self._killed.add(owner)
        for task in list(self._tasks.pop(owner, ())):
            task.cancel()


async def _do_nothing() -> None:
    """Replace the coroutine of a killed process."""


class InProcessSides:
    """Calls the sides in the same process over links with faults."""

    def __init__(self, timers: ManualTimers) -> None:
        self.processes: dict[str, SideProcess] = {}
        self.faults: dict[str, LinkFaults] = {}
        self.owners: dict[str, str] = {}
        self.gates: dict[str, PauseGate] = {}
        self._duplicates: list[asyncio.Task[Answer | Refusal]] = []
        self._timers = timers

    async def submit(self, address: str, attempt: Attempt) -> SideReply:
        agent = self._agent(address)
        if agent is None:
            return SideReply(SideError(SideErrorReason.UNREACHABLE, "refused"))
        faults = self.faults[address]
        if faults.lose_requests > 0:
            faults.lose_requests -= 1
            return SideReply(SideError(SideErrorReason.ANSWER_LOST, "reset"))
        handler = asyncio.create_task(
            self._deliver(agent, attempt, faults), context=self.context_of(address)
        )
        # A message in transit arrives even when its sender is cancelled.
        reply = asyncio.shield(handler) if faults.delay_ms else handler
        try:
            outcome = await reply
        except asyncio.CancelledError:
            if not handler.cancelled() or _is_cancelled():
                raise
            return SideReply(SideError(SideErrorReason.ANSWER_LOST, "closed"))
        if faults.cut or faults.lose_answers > 0:
            faults.lose_answers -= 1
            return SideReply(SideError(SideErrorReason.ANSWER_LOST, "reset"))
        return SideReply(outcome, agent.load())

    async def stream(
        self, address: str, attempt: Attempt
    ) -> AsyncGenerator[StreamItem, None]:
        agent = self._agent(address)
        if agent is None:
            yield SideError(SideErrorReason.UNREACHABLE, "refused")
            return
        items: asyncio.Queue[StreamItem] = asyncio.Queue()
        handler = asyncio.create_task(
            _stream_into(items, agent, attempt, self.faults[address]),
            context=self.context_of(address),
        )
        handler.add_done_callback(
            lambda _: items.put_nowait(
                SideError(SideErrorReason.ANSWER_LOST, "connection closed")
            )
        )
        try:
            while True:
                item = await items.get()
                yield item
                if not isinstance(item, StreamStart | Chunk):
                    return
        finally:
            # Closing a connection cancels its handler at the side.
            handler.cancel()

    async def cancel(self, address: str, attempt_id: AttemptId) -> bool | SideError:
        agent = self._agent(address)
        if agent is None:
            return SideError(SideErrorReason.UNREACHABLE, "refused")
        if not self.gates[address].is_open:
            await self._timers.sleep_ms(CANCEL_TIMEOUT_MS)
            return SideError(SideErrorReason.ANSWER_LOST, "no answer")
        return agent.cancel(attempt_id)

    async def pin(self, address: str, name: str) -> bool | SideError:
        if self._agent(address) is None:
            return SideError(SideErrorReason.UNREACHABLE, "refused")
        return self.processes[address].grant_pin(name)

    async def hello(self, address: str) -> SideStatus | SideError:
        if self._agent(address) is None:
            return SideError(SideErrorReason.UNREACHABLE, "refused")
        if not self.gates[address].is_open:
            await self._timers.sleep_ms(HELLO_TIMEOUT_MS)
            return SideError(SideErrorReason.ANSWER_LOST, "no answer")
        return self.processes[address].status()

    async def request_credits(
        self,
        host: str,
        group: int,
        version: int,
        requests: Sequence[CreditRequest],
        silent: str,
        timeout_ms: int,
    ) -> Sequence[CreditGrant] | NotKeeper | SideError:
        if self._agent(host) is None:
            return SideError(SideErrorReason.UNREACHABLE, "refused")
        handler = asyncio.create_task(
            self._grant(host, group, version, requests, silent),
            context=self.context_of(host),
        )
        try:
            async with self._timers.timeout_ms(timeout_ms):
                return await handler
        except TimeoutError:
            return SideError(SideErrorReason.ANSWER_LOST, "no answer")
        except asyncio.CancelledError:
            if not handler.cancelled() or _is_cancelled():
                raise
            return SideError(SideErrorReason.ANSWER_LOST, "closed")

    async def _grant(
        self, host: str, group: int, version: int, requests: Any, silent: str
    ) -> Sequence[CreditGrant] | NotKeeper:
        await self.gates[host].wait()
        return await self.processes[host].keeper.grant(group, version, requests, silent)

    async def end_tenure(
        self, host: str, group: int, claimed: TopicPosition, timeout_ms: int
    ) -> EndedTenure | SideError:
        if host not in self.processes:
            return EndedTenure({})
        if self.faults[host].cut or not self.gates[host].is_open:
            await self._timers.sleep_ms(timeout_ms)
            return SideError(SideErrorReason.ANSWER_LOST, "no answer")
        return self.processes[host].keeper.end_tenure(group, claimed)

    async def _deliver(
        self, agent: Agent, attempt: Attempt, faults: LinkFaults
    ) -> Answer | Refusal:
        if faults.delay_ms:
            await self._timers.sleep_ms(faults.delay_ms)
        await self.gates[agent.instance].wait()
        if faults.double_requests > 0:
            faults.double_requests -= 1
            self._duplicates.append(asyncio.create_task(agent.submit(attempt)))
        return await agent.submit(attempt)

    def context_of(self, address: str) -> Context:
        """Return a context in which new tasks belong to a side."""
        context = copy_context()
        context.run(OWNER.set, self.owners[address])
        return context

    def _agent(self, address: str) -> Agent | None:
        process = self.processes.get(address)
        if process is None or self.faults[address].cut:
            return None
        return process.agent


def _is_cancelled() -> bool:
    """Return whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def _stream_into(
    items: asyncio.Queue[StreamItem], agent: Agent, attempt: Attempt, faults: LinkFaults
) -> None:
    parts: list[bytes] = []
    async for item in agent.stream(attempt):
        if isinstance(item, Refusal):
            items.put_nowait(item)
            return
        if isinstance(item, StreamStart):
            items.put_nowait(item)
            continue
        items.put_nowait(Chunk(len(parts), item))
        parts.append(item.encode())
        if faults.cut or 0 < faults.cut_streams_after <= len(parts):
            faults.cut_streams_after = 0
            items.put_nowait(SideError(SideErrorReason.ANSWER_LOST, "reset"))
            return
    items.put_nowait(StreamEnd(len(parts), checksum(parts)))
