"""Publishes configurations and waits until they are in force."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from copperrun.configuration.changes import PRESET_KEY
from copperrun.configuration.changes import STREAM
from copperrun.configuration.changes import Change
from copperrun.configuration.changes import difference
from copperrun.configuration.changes import encode_record
from copperrun.configuration.changes import objects_by_key
from copperrun.configuration.check import Severity
from copperrun.configuration.check import check_configuration
from copperrun.configuration.document import Document
from copperrun.configuration.document import DocumentError
from copperrun.configuration.document import load_document
from copperrun.configuration.reader import read_to_end
from copperrun.configuration.schema import CONFIGURATION
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import check_references
from copperrun.configuration.state import ApplyOutcome
from copperrun.configuration.state import ConfigurationState
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.installation import Installation
from copperrun.ctl.installation import InstanceReport
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason

MAX_APPEND_ATTEMPTS = 3
STATUS_POLL_INTERVAL_MS = 100


class Published(NamedTuple):
    """A change that is in force.

    Attributes:
        revision: Log offset of the change.
        changed: One line for each object that it adds, changes or removes.
        waited_ms: Time until it was in force at every instance that answered.
        silent: Instances that did not answer.
    """

    revision: int
    changed: tuple[str, ...]
    waited_ms: int
    silent: tuple[str, ...]


def load_configuration(path: Path) -> Document[Configuration] | DocumentError:
    """Read a configuration and check it, with the references between objects."""
    document = load_document(path, CONFIGURATION)
    if isinstance(document, DocumentError):
        return document
    problems = check_references(document.value)
    if problems:
        return DocumentError(
            tuple(document.problem(item.location, item.detail) for item in problems)
        )
    errors = [
        document.problem(item.place, f"{item.text}; {item.remedy}")
        for item in check_configuration(document.value)
        if item.severity is Severity.ERROR
    ]
    return DocumentError(tuple(errors)) if errors else document


def describe_warnings(document: Document[Configuration]) -> tuple[str, ...]:
    """Return one line for each part that has no effect or costs requests."""
    return tuple(
        str(document.problem(item.place, f"warning: {item.text}; {item.remedy}"))
        for item in check_configuration(document.value)
        if item.severity is Severity.WARNING
    )


def describe_change(old: ConfigurationState, change: Change) -> tuple[str, ...]:
    """Return one line for each object that a change adds, changes or removes."""
    known = old.objects()
    lines = [
        f"{'change' if key in known else 'add'} {key}" for key in sorted(change.put)
    ]
    return (*lines, *(f"remove {key}" for key in change.remove))


async def plan_publication(
    installation: Installation, document: Document[Configuration]
) -> tuple[ConfigurationState, Change | None] | ToolError:
    """Return the configuration in force and the change to a document, if any."""
    state = await installation.read_configuration()
    if isinstance(state, ToolError):
        return state
    change = difference(
        state.objects(),
        objects_by_key(document.raw),
        base=state.revision,
        author=installation.operator,
        at_ms=installation.timers.wall_ms(),
    )
    return state, change


async def plan_preset(
    installation: Installation, preset: str
) -> tuple[ConfigurationState, Change | None] | ToolError:
    """Return the configuration in force and the change to a preset, if any."""
    state = await installation.read_configuration()
    if isinstance(state, ToolError):
        return state
    objects = state.objects()
    cfg = state.configuration
    if cfg is None or preset not in cfg.presets:
        known = ", ".join(cfg.presets) if cfg else "none; publish a configuration first"
        return ToolError(
            ToolErrorReason.USAGE, f"no preset {preset!r}; presets: {known}"
        )
    change = difference(
        objects,
        {**objects, PRESET_KEY: preset},
        base=state.revision,
        author=installation.operator,
        at_ms=installation.timers.wall_ms(),
    )
    return state, change


async def publish(
    installation: Installation,
    state: ConfigurationState,
    change: Change,
    *,
    timeout_ms: int,
) -> Published | ToolError:
    """Append a change, check that it is accepted and wait until it is in force."""
    changed = describe_change(state, change)
    started_ms = installation.timers.now_ms()
    revision = await _append_change(installation, state, change)
    if isinstance(revision, ToolError):
        return revision
    reports = await _wait_in_force(installation, revision, started_ms + timeout_ms)
    if isinstance(reports, ToolError):
        return reports
    waited_ms = installation.timers.now_ms() - started_ms
    silent = tuple(item.instance.id for item in reports if item.status is None)
    return Published(revision, changed, waited_ms, silent)


async def _append_change(
    installation: Installation, state: ConfigurationState, change: Change
) -> int | ToolError:
    """Append a change until it is read back; repeated records are applied once."""
    detail = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        result = await installation.log.append(STREAM, [encode_record(change)])
        if isinstance(result, LogError):
            detail = result.detail
            if result.reason is LogErrorReason.UNAVAILABLE:
                break
        error = await read_to_end(installation.log, state)
        if error is not None:
            detail = error.detail
            continue
        applied = state.result_of(change.id)
        if applied is None:
            continue
        if applied.outcome is ApplyOutcome.ACCEPTED:
            return state.revision
        return ToolError(
            ToolErrorReason.REJECTED,
            f"{applied.outcome.value}: {applied.detail}; "
            "see 'copperrunctl show' and publish again",
        )
    return ToolError(
        ToolErrorReason.PLATFORM,
        f"log: {detail}; the change may yet be appended, see 'copperrunctl show'",
    )


async def _wait_in_force(
    installation: Installation, revision: int, deadline_ms: int
) -> list[InstanceReport] | ToolError:
    while True:
        reports = await installation.fetch_reports()
        if isinstance(reports, ToolError):
            return reports
        behind = [
            item.instance.id
            for item in reports
            if item.status is not None and item.status["revision"] < revision
        ]
        if not behind:
            return list(reports)
        if installation.timers.now_ms() >= deadline_ms:
            return ToolError(
                ToolErrorReason.FAILED,
                f"revision {revision} is accepted but not yet in force at "
                f"{', '.join(behind)}; see 'copperrunctl status'",
            )
        await installation.timers.sleep_ms(STATUS_POLL_INTERVAL_MS)
