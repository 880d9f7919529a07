"""Stand-in for a model engine with continuous batching."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextvars import Context
from dataclasses import dataclass
from typing import Any
from typing import NamedTuple
from typing import Protocol

import xxhash

from copperrun.model import Answer
from copperrun.ports.engine import EngineCall
from copperrun.ports.engine import EngineError
from copperrun.ports.engine import EngineErrorReason
from copperrun.ports.engine import EngineState
from copperrun.ports.engine import Order
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine import OrderNumber
from copperrun.ports.timers import Timers

DEFAULT_MAX_TOKENS = 16
PREFIX_CACHE_PROMPTS = 256
CHARS_PER_TOKEN = 4
NO_ORDER = OrderNumber(0, 0)
_WORDS = (
    "allowance",
    "claim",
    "rider",
    "stage",
    "load",
    "venue",
    "river",
    "tile",
    "basin",
    "survey",
    "crew",
    "van",
    "fuel",
    "hotel",
    "show",
    "truck",
    "flood",
    "plain",
    "coast",
    "relief",
    "grid",
    "sheet",
    "raster",
    "map",
)


class TokenTimes(NamedTuple):
    """Generation times of the stand-in.

    Attributes:
        prefill_ms: Time per prompt token that is not in the prefix cache.
        step_ms: Time per generated token with one running generation.
        step_per_running_ms: Time that each further generation adds to a step.
    """

    prefill_ms: float = 0.2
    step_ms: float = 20.0
    step_per_running_ms: float = 0.5


DEFAULT_TIMES = TokenTimes()


@dataclass
class EngineFaults:
    """Faults that tests inject.

    Attributes:
        down: Every call fails before it is sent.
        lose_order_answers: Number of next orders that take effect without an answer.
        drop_orders: Number of next orders that are lost before they arrive.
        late_orders: Number of next orders that arrive ``late_ms`` later.
        late_ms: Delay of late orders.
        cut_streams_after: Number of chunks after which streams break; 0 for never.
    """

    down: bool = False
    lose_order_answers: int = 0
    drop_orders: int = 0
    late_orders: int = 0
    late_ms: int = 5_000
    cut_streams_after: int = 0


class WeightSource(Protocol):
    """Source of the engine's weights."""

    async def fetch(self, name: str, size_bytes: int) -> bool:
        """Wait as long as a load takes; return False when the store is down."""


class EngineRecord(NamedTuple):
    """One generation that the engine started, for checks in tests."""

    request_id: str
    model: str
    adapter: str


class EngineStandIn:
    """Simulates the memory, loads and generations of one engine."""

    def __init__(
        self,
        timers: Timers,
        weights: WeightSource,
        *,
        memory_bytes: int,
        kv_reserve_bytes: int = 0,
        checks_orders: bool = True,
        times: TokenTimes = DEFAULT_TIMES,
    ) -> None:
        self.faults = EngineFaults()
        self.started: list[EngineRecord] = []
        self.unfinished: list[str] = []
        self.order_count = 0
        self.memory_high_water = kv_reserve_bytes
        self._timers = timers
        self._weights = weights
        self._memory_bytes = memory_bytes
        self._kv_reserve_bytes = kv_reserve_bytes
        self._checks_orders = checks_orders
        self._times = times
        self._reserved_bytes: dict[str, int] = {}
        self._resident: set[str] = set()
        self._last_order = NO_ORDER
        self._order_lock = asyncio.Lock()
        self._running: dict[str, asyncio.Event] = {}
        self._order_tasks: set[asyncio.Task[EngineState | EngineError]] = set()
        self._prefix_cache: dict[int, None] = {}

    @property
    def memory_bytes(self) -> int:
        """Accelerator memory in bytes."""
        return self._memory_bytes

    @property
    def resident(self) -> frozenset[str]:
        """Loaded models and adapters."""
        return frozenset(self._resident)

    @property
    def running(self) -> int:
        """Generations in progress."""
        return len(self._running)

    async def complete(self, call: EngineCall) -> Answer | EngineError:
        """Generate a complete answer."""
        parts: list[str] = []
        error = self._start_call(call)
        if error is not None:
            return error
        request = json.loads(call.body)
        async for token in self._generate(call, request):
            parts.append(token)
        if call.request_id in self.unfinished:
            return EngineError(EngineErrorReason.ANSWER_LOST, "cancelled")
        body = _completion(call, request, "".join(parts), len(parts))
        return Answer(200, "application/json", json.dumps(body).encode())

    async def stream(self, call: EngineCall) -> AsyncGenerator[str | EngineError, None]:
        """Yield event payloads; an ``EngineError`` ends a broken stream."""
        error = self._start_call(call)
        if error is not None:
            yield error
            return
        request = json.loads(call.body)
        sent = 0
        async for token in self._generate(call, request):
            yield json.dumps(_chunk(call, request, token, None))
            sent += 1
            if 0 < self.faults.cut_streams_after <= sent:
                yield EngineError(EngineErrorReason.ANSWER_LOST, "stream cut")
                return
        if call.request_id in self.unfinished:
            yield EngineError(EngineErrorReason.ANSWER_LOST, "cancelled")
            return
        yield json.dumps(_chunk(call, request, "", "stop"))

    async def cancel(self, request_id: str) -> EngineError | None:
        """Stop a generation and free its memory."""
        if self.faults.down:
            return EngineError(EngineErrorReason.UNREACHABLE, "engine is down")
        stop = self._running.get(request_id)
        if stop is not None:
            stop.set()
        return None

    async def order(self, order: Order) -> EngineState | EngineError:
        """Execute an order and return the state after it."""
        if self.faults.down:
            return EngineError(EngineErrorReason.UNREACHABLE, "engine is down")
        if self.faults.drop_orders > 0:
            self.faults.drop_orders -= 1
            return EngineError(EngineErrorReason.ANSWER_LOST, "order lost")
        delay_ms = 0
        if self.faults.late_orders > 0:
            self.faults.late_orders -= 1
            delay_ms = self.faults.late_ms
        # An order in transit is executed even when its sender is killed; without the
        # sender's context its task is not cancelled with the sender's tasks.
        received = asyncio.create_task(
            self._process_order(order, delay_ms), context=Context()
        )
        self._order_tasks.add(received)
        received.add_done_callback(self._order_tasks.discard)
        return await asyncio.shield(received)

    async def _process_order(
        self, order: Order, delay_ms: int
    ) -> EngineState | EngineError:
        if delay_ms:
            await self._timers.sleep_ms(delay_ms)
        async with self._order_lock:
            if self._checks_orders and order.number < self._last_order:
                return EngineError(EngineErrorReason.STALE_ORDER, "stale order number")
            self._last_order = max(self._last_order, order.number)
            self.order_count += 1
            if not await self._execute(order):
                return EngineError(EngineErrorReason.REFUSED, "weights not available")
        if self.faults.lose_order_answers > 0:
            self.faults.lose_order_answers -= 1
            return EngineError(EngineErrorReason.ANSWER_LOST, "answer lost")
        return self._state()

    async def state(self) -> EngineState | EngineError:
        """Return the engine's state."""
        if self.faults.down:
            return EngineError(EngineErrorReason.UNREACHABLE, "engine is down")
        return self._state()

    def _state(self) -> EngineState:
        resident = tuple(
            sorted((name, self._reserved_bytes[name]) for name in self._resident)
        )
        return EngineState(
            self._memory_bytes, resident, self._last_order, self._order_lock.locked()
        )

    async def _execute(self, order: Order) -> bool:
        match order.kind:
            case OrderKind.LOAD:
                return await self._load(order)
            case OrderKind.UNLOAD:
                self._resident.discard(order.name)
                self._reserved_bytes.pop(order.name, None)
                return True

    async def _load(self, order: Order) -> bool:
        if order.name in self._resident:
            return True
        self._reserved_bytes[order.name] = order.size_bytes
        in_use = sum(self._reserved_bytes.values()) + self._kv_reserve_bytes
        self.memory_high_water = max(self.memory_high_water, in_use)
        if not await self._weights.fetch(order.name, order.size_bytes):
            del self._reserved_bytes[order.name]
            return False
        self._resident.add(order.name)
        return True

    def _start_call(self, call: EngineCall) -> EngineError | None:
        if self.faults.down:
            return EngineError(EngineErrorReason.UNREACHABLE, "engine is down")
        for name in (call.model, call.adapter):
            if name and name not in self._resident:
                return EngineError(EngineErrorReason.REFUSED, f"{name} is not loaded")
        self.started.append(EngineRecord(call.request_id, call.model, call.adapter))
        return None

    async def _generate(
        self, call: EngineCall, request: dict[str, Any]
    ) -> AsyncIterator[str]:
        stop = self._running.setdefault(call.request_id, asyncio.Event())
        finished = False
        try:
            await self._sleep(self._prefill_ms(call, request))
            tokens = list(_tokens(call, request))
            if call.resume_text != "".join(tokens[: call.resume_chunks]):
                # Resuming from a different text must change the rest of the answer.
                tokens = ["astray "] * len(tokens)
            for token in tokens[call.resume_chunks :]:
                if stop.is_set():
                    return
                await self._sleep(self._step_ms())
                yield token
            finished = True
        finally:
            if not finished:
                self.unfinished.append(call.request_id)
            self._running.pop(call.request_id, None)

    async def _sleep(self, delay_ms: float) -> None:
        if delay_ms > 0:
            await self._timers.sleep_ms(delay_ms)

    def _step_ms(self) -> float:
        others = max(0, len(self._running) - 1)
        return self._times.step_ms + self._times.step_per_running_ms * others

    def _prefill_ms(self, call: EngineCall, request: dict[str, Any]) -> float:
        prompt = _prompt(request)
        prefix = xxhash.xxh64_intdigest(
            f"{call.model}/{call.adapter}/{prompt[:256]}".encode()
        )
        cached = min(len(prompt), 256) if prefix in self._prefix_cache else 0
        self._prefix_cache.pop(prefix, None)
        self._prefix_cache[prefix] = None
        if len(self._prefix_cache) > PREFIX_CACHE_PROMPTS:
            del self._prefix_cache[next(iter(self._prefix_cache))]
        new_tokens = (len(prompt) - cached + len(call.resume_text)) / CHARS_PER_TOKEN
        return new_tokens * self._times.prefill_ms


def expected_text(model: str, adapter: str, request: dict[str, Any]) -> str:
    """Return the text that the stand-in generates, to check complete answers."""
    call = EngineCall("", "", model, adapter, 0, b"")
    return "".join(_tokens(call, request))


def _prompt(request: dict[str, Any]) -> str:
    if "messages" in request:
        return "\n".join(str(item.get("content")) for item in request["messages"])
    return str(request.get("prompt", ""))


def _tokens(call: EngineCall, request: dict[str, Any]) -> Iterator[str]:
    seed = xxhash.xxh64_intdigest(
        f"{call.model}/{call.adapter}/{_prompt(request)}".encode()
    )
    for index in range(int(request.get("max_tokens", DEFAULT_MAX_TOKENS))):
        seed = xxhash.xxh64_intdigest(seed.to_bytes(8, "little"), index)
        yield _WORDS[seed % len(_WORDS)] + " "


def _completion(
    call: EngineCall, request: dict[str, Any], text: str, tokens: int
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if "messages" in request:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"cmpl-{call.request_id}",
        "object": "chat.completion" if "messages" in request else "text_completion",
        "model": request.get("model"),
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }


def _chunk(
    call: EngineCall, request: dict[str, Any], token: str, finish_reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if "messages" in request:
        choice["delta"] = {"content": token} if token else {}
        kind = "chat.completion.chunk"
    else:
        choice["text"] = token
        kind = "text_completion"
    return {
        "id": f"cmpl-{call.request_id}",
        "object": kind,
        "model": request.get("model"),
        "choices": [choice],
    }
