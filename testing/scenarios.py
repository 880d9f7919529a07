"""The scenario language: one step a line, run on a manual clock.

A scenario starts servers, sends requests, injects faults and checks results. After its
last line all faults are cleared, time passes, and the oracle checks every promise.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import lark
from installation import TestInstallation
from installation import small_configuration
from oracle import SETTLE_MS
from oracle import Call
from oracle import Oracle

from copperrun.configuration.schema import CONFIGURATION
from copperrun.configuration.schema import check_references
from copperrun.entry.gateway import AdmittedRequest
from copperrun.model import Answer
from copperrun.model import Refusal

# ``runners`` starts engines and ``ledgers`` services, each with its side; ``ignoring``
# engines ignore order numbers. ``at`` sets the base revision of a change. ``as`` reuses
# the idempotency key of an earlier call, ``aged`` creates an older key, and
# ``meanwhile`` leaves a call running until ``finish``.
GRAMMAR = r"""
start: (step? _NEWLINE)* step?
step: "runners" INT IGNORING?                         -> runners
    | "ledgers" INT                                   -> ledgers
    | "entries" INT                                   -> entries
    | "publish" edit*                                 -> publish
    | "wait" time                                     -> wait
    | "pay" NAME option*                              -> pay
    | "ask" NAME option*                              -> ask
    | "stream" NAME option*                           -> stream
    | "finish" NAME                                   -> finish
    | "kill" NAME                                     -> kill
    | "restart" NAME                                  -> restart
    | "drain" NAME                                    -> drain
    | "leave" NAME                                    -> leave
    | "unlist" NAME                                   -> unlist
    | "pause" NAME                                    -> pause
    | "resume" NAME                                   -> resume
    | "cut" NAME                                      -> cut
    | "heal" NAME                                     -> heal
    | "log" log_fault                                 -> log
    | "store" switch                                  -> store
    | "list" "lags" time                              -> lag
    | "list" switch                                   -> list_switch
    | "link" NAME link_fault                          -> link
    | "engine" NAME engine_fault                      -> engine
    | "service" service_fault                         -> service
    | NAME "is" "answered"                            -> answered
    | NAME "is" "recorded"                            -> recorded
    | NAME "is" "refused" NAME ("ran" RAN)?           -> refused
    | NAME "is" "whole"                               -> whole
    | NAME "ran" TIMES                                -> ran
    | NAME "has" INT ("copy" | "copies")              -> copies
    | NAME "is" "resident" "at" NAME                  -> resident
    | "preset" "is" NAME                              -> preset
    | "took" "under" time                             -> took
edit: "version" INT                                   -> version
    | "preset" NAME                                   -> use_preset
    | "copies" INT                                    -> set_copies
    | "at" SIGNED                                     -> at_base
    | "broken"                                        -> broken
option: "through" NAME                                -> through
    | "within" time                                   -> within
    | "meanwhile"                                     -> meanwhile
    | "as" NAME                                       -> same_key
    | "with" "body" NAME                              -> body
    | "aged" time                                     -> aged
    | "tokens" INT                                    -> tokens
    | "adapter" NAME                                  -> adapter
log_fault: switch                                     -> log_switch
    | "slow" time                                     -> log_slow
    | "loses" INT "answers"                           -> log_loses
    | "delays" INT NAME "by" time                     -> log_delays
    | "trims" NAME                                    -> log_trims
link_fault: "loses" INT "requests"                    -> lose_requests
    | "loses" INT "answers"                           -> lose_answers
    | "delays" time                                   -> delay_ms
    | "breaks" "stream" "after" INT                   -> cut_streams_after
engine_fault: switch                                  -> engine_switch
    | "loses" INT "answers"                           -> lose_order_answers
    | "drops" INT "orders"                            -> drop_orders
    | "delays" INT "orders" "by" time                 -> late_orders
    | "breaks" "streams" "after" INT                  -> cut_streams
service_fault: switch                                 -> service_switch
    | "takes" time                                    -> service_delay
    | "loses" INT "answers"                           -> service_loses
switch: DOWN | UP
time: NUMBER UNIT
DOWN: "down"
UP: "up"
IGNORING: "ignoring"
RAN: "no" | "unknown"
TIMES: "never" | "once"
UNIT: "ms" | "s" | "min" | "h"
SIGNED: /-?\d+/
NUMBER: /\d+/
NAME.-1: /[a-z][a-z0-9_@\/-]*/
COMMENT: /#[^\n]*/
_NEWLINE: /\n/
%import common.INT
%ignore COMMENT
%ignore /[ \t]+/
"""
UNIT_MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
PARSER = lark.Lark(GRAMMAR, parser="earley", maybe_placeholders=False)


class ScenarioError(AssertionError):
    """A scenario line that failed, with what was seen instead."""


def run_scenario(path: Path) -> None:
    """Run one scenario file."""
    lines = path.read_text(encoding="utf-8").splitlines()
    asyncio.run(_run(path, lines))


async def _run(path: Path, lines: list[str]) -> None:
    async with TestInstallation() as installation:
        scenario = Scenario(installation)
        for number, line in enumerate(lines, start=1):
            tree = PARSER.parse(line)
            for step in tree.children:
                try:
                    await scenario.run(step)
                except ScenarioError as exc:
                    raise ScenarioError(f"{path.name}:{number}: {line}: {exc}") from exc
        violations = await scenario.settle()
        if violations:
            raise ScenarioError(f"{path.name}: {'; '.join(violations)}")


class Scenario:
    """State of one running scenario; each method is a step of the language."""

    def __init__(self, installation: TestInstallation) -> None:
        self.installation = installation
        self.oracle = Oracle(installation)
        self.raw = small_configuration()
        self.revision = -1
        self._calls: dict[str, Call] = {}
        self._pending: dict[str, asyncio.Future[None]] = {}
        self._elapsed_ms = 0

    async def run(self, step: lark.Tree) -> None:
        """Run one step."""
        values = [_convert_argument(child) for child in step.children]
        result = getattr(self, step.data)(*values)
        if isinstance(result, Awaitable):
            await result
        self.oracle.observe_revisions()

    async def settle(self) -> list[str]:
        """Clear all faults, let time pass and return the violated promises."""
        for name in list(self._pending):
            await self.finish(name)
        self.clear_faults()
        await self.wait(SETTLE_MS)
        violations = self.oracle.violations()
        sides = self.installation.sides.processes.values()
        if any(process.reconciler is not None for process in sides):
            violations += await self.oracle.check_reachable(self.raw["deployments"])
        return violations

    def clear_faults(self) -> None:
        """Clear every fault of stand-ins, links, gates and the clock."""
        installation = self.installation
        stand_ins = (
            installation.log,
            installation.instances,
            installation.weights,
            installation.service,
            *installation.engines.values(),
        )
        for stand_in in stand_ins:
            stand_in.faults = type(stand_in.faults)()  # type: ignore[attr-defined]
        for gate in installation.sides.gates.values():
            gate.resume()
        installation.timers.wall_offset_ms = 0
        for name, faults in installation.sides.faults.items():
            installation.sides.faults[name] = type(faults)()

    async def wait(self, delay_ms: int) -> None:
        """Advance the clock, and observe revisions on the way."""
        for _ in range(4):
            await self.installation.timers.advance(delay_ms / 4)
            self.oracle.observe_revisions()

    # Servers.

    async def runners(self, count: int, ignoring: str = "") -> None:
        self.raw["pools"]["assistant"]["checks_orders"] = not ignoring
        for number in range(count):
            name = f"assistant-{number}"
            self.installation.start_engine_side(name, checks_orders=not ignoring)

    def ledgers(self, count: int) -> None:
        for number in range(count):
            self.installation.start_service_side(f"ledger-{number}")

    def entries(self, count: int) -> None:
        for number in range(count):
            self.installation.start_entry(f"entry-{number}")

    def kill(self, name: str) -> None:
        self.installation.stop_side(name)

    def restart(self, name: str) -> None:
        if name in self.installation.sides.processes:
            self.installation.stop_side(name)
        if name in self.installation.engines:
            self.installation.start_engine_side(name)
        else:
            self.installation.start_service_side(name)

    def unlist(self, name: str) -> None:
        self.installation.instances.remove(name)

    def drain(self, name: str) -> None:
        process = self.installation.sides.processes[name]
        self.oracle.record_leaving(name)

        async def leave() -> None:
            await process.drain()
            self.oracle.stopped_cleanly.append(process.agent.load().running == 0)
            self.installation.instances.remove(name)
            # It may have been killed while it drained.
            if self.installation.sides.processes.get(name) is process:
                self.installation.stop_side(name)

        self._pending[f"drain {name}"] = asyncio.ensure_future(leave())

    async def leave(self, name: str) -> None:
        self.installation.instances.mark_leaving(name)
        await self.wait(3_000)
        self.oracle.record_leaving(name)

    def pause(self, name: str) -> None:
        self.installation.sides.gates[name].pause()

    def resume(self, name: str) -> None:
        self.installation.sides.gates[name].resume()

    # Requests.

    async def publish(self, *edits: tuple[str, Any]) -> None:
        base = self.revision
        raw = json.loads(json.dumps(self.raw))
        for kind, value in edits:
            match kind:
                case "version":
                    versions = raw["models"]["allowances"]["versions"]
                    versions.setdefault(str(value), {"weights": "30 GiB"})
                    raw["deployments"]["allowances"]["version"] = str(value)
                case "use_preset":
                    raw["preset_in_force"] = value
                case "set_copies":
                    raw["deployments"]["allowances"]["copies"] = value
                case "at_base":
                    base = value
                case "broken":
                    raw["preset_in_force"] = "nothing"
        await self.installation.publish(raw, base=base)
        await self.wait(4_000)
        self._record_accepted(raw)

    def _record_accepted(self, raw: dict[str, Any]) -> None:
        """Keep a document once it is in force; a rejected one changes nothing."""
        entry = next(iter(self.installation.entries.values()))
        expected = CONFIGURATION.validate_python(raw)
        if entry.follower.configuration == expected and not check_references(expected):
            self.raw = raw
        self.revision = entry.follower.revision

    async def pay(self, name: str, *options: tuple[str, Any]) -> None:
        chosen = dict(options)
        earlier_call = self._calls.get(chosen.get("same_key", ""))
        key = earlier_call.key if earlier_call else self.installation.new_key(
            age_ms=chosen.get("aged", 0)
        )  # fmt: skip
        call = Call(key=key)
        body = str(chosen.get("body", "payout")).encode()
        gateway = self.installation.entries[chosen.get("through", "entry-0")].gateway
        request = self.installation.request(
            body, path="/payouts", key=key, deadline=_deadline(chosen)
        )
        call.request_id = request.id

        async def send() -> None:
            admitted = await gateway.admit_service(request, "ledger")
            if isinstance(admitted, AdmittedRequest):
                call.items.append(await gateway.submit(admitted))
            else:
                call.items.append(admitted)

        await self._start_call(name, call, send(), "meanwhile" in chosen)

    async def ask(self, name: str, *options: tuple[str, Any]) -> None:
        await self._complete(name, dict(options), stream=False)

    async def stream(self, name: str, *options: tuple[str, Any]) -> None:
        await self._complete(name, dict(options), stream=True)

    async def _complete(
        self, name: str, chosen: dict[str, Any], *, stream: bool
    ) -> None:
        adapter = chosen.get("adapter")
        payload = {
            "model": f"allowances:{adapter}" if adapter else "allowances",
            "prompt": f"question {name}",
            "max_tokens": chosen.get("tokens", 20),
        }
        call = Call(request=payload)
        gateway = self.installation.entries[chosen.get("through", "entry-0")].gateway
        body = json.dumps({**payload, "stream": stream}).encode()
        request = self.installation.request(body, deadline=_deadline(chosen))
        call.request_id = request.id

        async def send() -> None:
            admitted = await gateway.admit_model(request)
            if isinstance(admitted, Refusal):
                call.items.append(admitted)
            elif stream:
                async for item in gateway.stream(admitted):
                    call.items.append(item)
            else:
                call.items.append(await gateway.submit(admitted))

        await self._start_call(name, call, send(), "meanwhile" in chosen)

    async def _start_call(
        self, name: str, call: Call, work: Any, meanwhile: bool
    ) -> None:
        self._calls[name] = call
        self.oracle.calls.append(call)
        self._pending[name] = asyncio.ensure_future(work)
        if not meanwhile:
            await self.finish(name)

    async def finish(self, name: str) -> None:
        started = self.installation.timers.now_ms()
        await self.installation.wait(self._pending.pop(name), limit_ms=400_000)
        self._elapsed_ms = self.installation.timers.now_ms() - started

    # Faults.

    def cut(self, name: str) -> None:
        self.installation.sides.faults[name].cut = True

    def heal(self, name: str) -> None:
        self.installation.sides.faults[name].cut = False

    def log(self, fault: tuple[str, Any]) -> None:
        log = self.installation.log
        match fault:
            case ("log_switch", state):
                log.faults.down = state == "down"
            case ("log_slow", delay_ms):
                log.faults.delay_ms = delay_ms
            case ("log_loses", count):
                log.faults.lose_answers = count
            case ("log_delays", (count, kind, delay_ms)):
                log.faults.late_appends = count
                log.faults.late_match = f'"{kind}"'
                log.faults.late_ms = delay_ms
            case ("log_trims", stream):
                for name in (stream, *(f"{stream}/{n}" for n in range(4))):
                    log.trim(name, 10**9)

    def store(self, state: str) -> None:
        self.installation.weights.faults.down = state == "down"

    def lag(self, delay_ms: int) -> None:
        self.installation.instances.faults.lag_ms = delay_ms

    def list_switch(self, state: str) -> None:
        self.installation.instances.faults.down = state == "down"

    def link(self, name: str, fault: tuple[str, Any]) -> None:
        setattr(self.installation.sides.faults[name], *fault)

    def engine(self, name: str, fault: tuple[str, Any]) -> None:
        faults = self.installation.engines[name].faults
        match fault:
            case ("engine_switch", state):
                faults.down = state == "down"
            case ("late_orders", (count, delay_ms)):
                faults.late_orders, faults.late_ms = count, delay_ms
            case ("cut_streams", chunks):
                faults.cut_streams_after = chunks
            case (kind, value):
                setattr(faults, kind, value)

    def service(self, fault: tuple[str, Any]) -> None:
        faults = self.installation.service.faults
        match fault:
            case ("service_switch", state):
                faults.down = state == "down"
            case ("service_delay", delay_ms):
                faults.delay_ms = delay_ms
            case ("service_loses", count):
                faults.lose_answers = count

    # Checks.

    def answered(self, name: str) -> None:
        _check(self._calls[name].answered, self._calls[name].refusal)

    def recorded(self, name: str) -> None:
        answer = self._calls[name].answer
        _check(isinstance(answer, Answer) and answer.recorded, self._calls[name].items)

    def refused(self, name: str, reason: str, ran: str = "") -> None:
        refusal = self._calls[name].refusal
        matches = refusal is not None and refusal.reason.value == reason
        _check(matches and (not ran or refusal.ran.value == ran), refusal)  # type: ignore[union-attr]

    def whole(self, name: str) -> None:
        call = self._calls[name]
        _check(call.answered, call.refusal)
        _check(not self.oracle.violations(), self.oracle.violations())

    def ran(self, name: str, times: str) -> None:
        count = self.installation.service.executions[self._calls[name].key]
        _check(count == (1 if times == "once" else 0), count)

    def copies(self, name: str, count: int) -> None:
        resident_count = sum(
            name in engine.resident
            for side, engine in self.installation.engines.items()
            if side in self.installation.sides.processes
        )
        _check(resident_count == count, resident_count)

    def resident(self, name: str, side: str) -> None:
        engine = self.installation.engines[side]
        _check(name in engine.resident, engine.resident)

    def preset(self, name: str) -> None:
        for process in (
            *self.installation.entries.values(),
            *self.installation.sides.processes.values(),
        ):
            cfg = process.follower.configuration
            _check(cfg is not None and cfg.preset_in_force == name, process.follower)

    def took(self, limit_ms: int) -> None:
        _check(self._elapsed_ms < limit_ms, f"{self._elapsed_ms} ms")


def _check(condition: object, observed: object) -> None:
    if not condition:
        raise ScenarioError(f"saw {observed}")


def _deadline(chosen: dict[str, Any]) -> str | None:
    return str(chosen["within"]) if "within" in chosen else None


def _convert_argument(node: Any) -> Any:
    """Turn a parsed argument into a plain value."""
    if isinstance(node, lark.Token):
        return int(node) if node.type in ("INT", "SIGNED", "NUMBER") else str(node)
    if node.data == "time":
        number, unit = node.children
        return int(number) * UNIT_MS[unit]
    values = [_convert_argument(child) for child in node.children]
    if node.data == "switch":
        return values[0]
    if len(values) == 1:
        return str(node.data), values[0]
    return str(node.data), tuple(values)
