"""Checks the promises against what the stand-ins recorded."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import callers
from installation import TestInstallation

from copperrun.configuration.changes import STREAM
from copperrun.model import Answer
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.routing.dispatcher import chunk_text

SETTLE_MS = 45_000  # longer than any order, append or side loss stays undecided
MEMORY = "memory"
REACHABLE = "reachable"
WHOLE = "whole answer"
NOT_RUN = "not run"
ONCE = "at most once"
LEAVING = "leaving"
SHUTDOWN = "shutdown"
CONFIGURATION = "configuration"


@dataclass
class Call:
    """One request and everything returned for it."""

    request: dict[str, Any] | None = None
    key: str = ""
    items: list[str | Refusal | Answer] = field(default_factory=list)
    request_id: str = ""

    @property
    def refusal(self) -> Refusal | None:
        last = self.items[-1] if self.items else None
        return last if isinstance(last, Refusal) else None

    @property
    def answer(self) -> Answer | None:
        last = self.items[-1] if self.items else None
        return last if isinstance(last, Answer) else None

    @property
    def text(self) -> str:
        if self.answer is not None:
            return str(json.loads(self.answer.body)["choices"][0]["text"])
        parts = [chunk_text(item) for item in self.items if isinstance(item, str)]
        return "".join(parts)

    @property
    def answered(self) -> bool:
        return bool(self.items) and self.refusal is None


class Oracle:
    """Records what happens to an installation and lists violated promises."""

    def __init__(self, installation: TestInstallation) -> None:
        self._installation = installation
        self.calls: list[Call] = []
        self.left: list[str] = []
        self.stopped_cleanly: list[bool] = []
        self._revisions: dict[int, int] = {}
        self._has_reverted = False
        self._started_before_leaving: dict[str, int] = {}

    def observe_revisions(self) -> None:
        """Record each revision, and whether a process returned to an earlier one."""
        installation = self._installation
        processes = (
            *installation.entries.values(),
            *installation.sides.processes.values(),
        )
        for process in processes:
            seen = self._revisions.get(id(process), -1)
            self._has_reverted |= process.follower.revision < seen
            self._revisions[id(process)] = process.follower.revision

    def record_leaving(self, side: str) -> None:
        """Record that a side must start no new work from now on."""
        engine = self._installation.engines.get(side)
        if engine is not None:
            self._started_before_leaving[side] = len(engine.started)

    def violations(self) -> list[str]:
        """Return the violated promises, each with what was observed."""
        return [
            *self._check_memory(),
            *self._check_whole(),
            *self._check_not_run(),
            *self._check_once(),
            *self._check_leaving(),
            *self._check_configuration(),
        ]

    async def check_reachable(self, deployments: dict[str, str]) -> list[str]:
        """Send each deployment a request by every entry; a live engine must answer."""
        installation = self._installation
        violations = []
        for deployment in deployments:
            body = json.dumps({"model": deployment, "prompt": "?", "max_tokens": 1})
            for entry in installation.entries:
                outcome = await installation.wait(
                    installation.complete(body.encode(), entry=entry)
                )
                if isinstance(outcome, Refusal):
                    violations.append(
                        f"{REACHABLE}: {deployment} at {entry}: {outcome}"
                    )
        return violations

    def _check_memory(self) -> list[str]:
        return [
            f"{MEMORY}: {name} held {engine.memory_high_water} B"
            for name, engine in self._installation.engines.items()
            if engine.memory_high_water > engine.memory_bytes
        ]

    def _check_whole(self) -> list[str]:
        violations = []
        for call in self.calls:
            if call.request is None or not call.items:
                continue
            expected = {
                callers.whole_text(call.request, version=version)
                for version in ("1", "2")
            }
            is_whole = call.text in expected
            is_prefix = any(text.startswith(call.text) for text in expected)
            if (call.answered and not is_whole) or not is_prefix:
                violations.append(f"{WHOLE}: {call.request} got {call.text!r}")
        return violations

    def _check_not_run(self) -> list[str]:
        violations = []
        started = {
            record.request_id.split(".")[0]
            for engine in self._installation.engines.values()
            for record in engine.started
        }
        for call in self.calls:
            refusal = call.refusal
            if call.request is None or refusal is None or refusal.ran is not Ran.NO:
                continue
            if call.request_id in started:
                violations.append(f"{NOT_RUN}: {call.request_id} ran: {refusal}")
        return violations + self._check_keys_not_run()

    def _check_keys_not_run(self) -> list[str]:
        executions = self._installation.service.executions
        by_key: dict[str, list[Call]] = {}
        for call in self.calls:
            if call.key:
                by_key.setdefault(call.key, []).append(call)
        return [
            f"{NOT_RUN}: {key} was executed: {calls[0].refusal}"
            for key, calls in by_key.items()
            if executions[key]
            and all(call.refusal and call.refusal.ran is Ran.NO for call in calls)
        ]

    def _check_once(self) -> list[str]:
        executions = self._installation.service.executions
        violations = [
            f"{ONCE}: {key} ran {count} times"
            for key, count in executions.items()
            if count > 1
        ]
        for call in self.calls:
            if call.key and call.answered and executions[call.key] != 1:
                violations.append(
                    f"{ONCE}: {call.key} was answered but did not run exactly once"
                )
        return violations

    def _check_leaving(self) -> list[str]:
        return [
            f"{LEAVING}: {side} got new work"
            for side, count in self._started_before_leaving.items()
            if len(self._installation.engines[side].started) > count
        ] + [
            f"{SHUTDOWN}: a drain ended with work in flight"
            for clean in self.stopped_cleanly
            if not clean
        ]

    def _check_configuration(self) -> list[str]:
        violations = (
            [f"{CONFIGURATION}: a process returned to an earlier revision"]
            if self._has_reverted
            else []
        )
        installation = self._installation
        expected = _accepted_preset(installation.log.records(STREAM))
        for name, entry in installation.entries.items():
            cfg = entry.follower.configuration
            if cfg is not None and cfg.preset_in_force != expected:
                violations.append(
                    f"{CONFIGURATION}: {name} does not have {expected} in force"
                )
        revisions = {
            process.follower.revision
            for process in (
                *installation.entries.values(),
                *installation.sides.processes.values(),
            )
        }
        if len(revisions) > 1:
            violations.append(f"{CONFIGURATION}: revisions {revisions} in force")
        return violations


def _accepted_preset(records: list[str]) -> str:
    """Return the preset in force after all changes in the log.

    Works from the records alone, not from the product's state: a change is rejected
    when one of its objects changed after the change's base revision, or when it names
    an unknown preset.
    """
    changed: dict[str, int] = {}
    seen: set[str] = set()
    preset = ""
    for offset, data in enumerate(records):
        change = json.loads(data)
        if change["kind"] != "change" or change["id"] in seen:
            continue
        seen.add(change["id"])
        touched = [*change["put"], *change["remove"]]
        if any(changed.get(key, -1) > change["base"] for key in touched):
            continue
        preset_after = change["put"].get("preset_in_force", preset)
        if f"presets/{preset_after}" not in {*changed, *touched}:
            continue
        changed |= dict.fromkeys(touched, offset)
        preset = preset_after
    return preset
