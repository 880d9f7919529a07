"""The commands of ``copperrunctl``."""

from __future__ import annotations

import sys
from argparse import Namespace
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import yaml

from copperrun.configuration.changes import Change
from copperrun.configuration.document import DocumentError
from copperrun.configuration.schema import Configuration
from copperrun.configuration.state import ConfigurationState
from copperrun.ctl.checking import group_by_section
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.installation import Installation
from copperrun.ctl.installation import InstanceReport
from copperrun.ctl.installation import connect
from copperrun.ctl.output import Output
from copperrun.ctl.output import format_table
from copperrun.ctl.publishing import describe_change
from copperrun.ctl.publishing import describe_warnings
from copperrun.ctl.publishing import load_configuration
from copperrun.ctl.publishing import plan_preset
from copperrun.ctl.publishing import plan_publication
from copperrun.ctl.publishing import publish as publish_change
from copperrun.entry.authentication import create_key
from copperrun.entry.authentication import hash_key
from copperrun.placement.assignments import weights_object
from copperrun.settings import ToolSettings
from copperrun.settings import load_tool_settings

MS_PER_S = 1000


async def validate(arguments: Namespace, output: Output) -> ToolError | None:
    """Check a configuration file without publishing it."""
    document = load_configuration(Path(arguments.file))
    if isinstance(document, DocumentError):
        return ToolError(ToolErrorReason.USAGE, str(document))
    for warning in describe_warnings(document):
        print(warning, file=sys.stderr)
    output.emit({"valid": True}, [f"{arguments.file}: valid"])
    return None


async def publish(arguments: Namespace, output: Output) -> ToolError | None:
    """Publish a configuration file and wait until it is in force."""
    document = load_configuration(Path(arguments.file))
    if isinstance(document, DocumentError):
        return ToolError(ToolErrorReason.USAGE, str(document))
    for warning in describe_warnings(document):
        print(warning, file=sys.stderr)
    settings = _load_settings(arguments)
    if isinstance(settings, ToolError):
        return settings
    async with connect(settings) as installation:
        plan = await plan_publication(installation, document)
        return await _publish_plan(arguments, output, installation, plan)


async def show(arguments: Namespace, output: Output) -> ToolError | None:
    """Print the configuration in force."""
    state = await _read_configuration(arguments)
    if isinstance(state, ToolError):
        return state
    objects = state.objects()
    value = {"revision": state.revision, "objects": objects}
    text = yaml.safe_dump(group_by_section(objects), sort_keys=True).rstrip()
    output.emit(value, [f"# revision {state.revision}", text])
    return None


async def list_presets(arguments: Namespace, output: Output) -> ToolError | None:
    """Print the presets, with a mark at the one in force."""
    state = await _read_configuration(arguments)
    if isinstance(state, ToolError):
        return state
    cfg = state.configuration
    presets = cfg.presets if cfg else {}
    in_force = cfg.preset_in_force if cfg else ""
    value = {"in_force": in_force, "presets": sorted(presets)}
    lines = [
        f"{'*' if name == in_force else ' '} {name}  {preset.description}".rstrip()
        for name, preset in sorted(presets.items())
    ]
    output.emit(value, lines or ["no configuration is published"])
    return None


async def use_preset(arguments: Namespace, output: Output) -> ToolError | None:
    """Put a preset in force."""
    settings = _load_settings(arguments)
    if isinstance(settings, ToolError):
        return settings
    async with connect(settings) as installation:
        plan = await plan_preset(installation, arguments.preset)
        return await _publish_plan(arguments, output, installation, plan)


async def status(arguments: Namespace, output: Output) -> ToolError | None:
    """Print the status of every instance and the copies of each deployment."""
    settings = _load_settings(arguments)
    if isinstance(settings, ToolError):
        return settings
    async with connect(settings) as installation:
        reports = await installation.fetch_reports()
        state = await installation.read_configuration()
    if isinstance(reports, ToolError):
        return reports
    # Without the log, the status of the instances is still shown.
    cfg = None if isinstance(state, ToolError) else state.configuration
    copies = _count_copies(reports)
    deployments = _count_deployments(cfg, copies)
    value = {
        "instances": [
            {"instance": item.instance.id, "status": item.status} for item in reports
        ],
        "deployments": [item._asdict() for item in deployments],
        "copies": copies,
    }
    lines = format_table(
        ("INSTANCE", "ROLE", "ZONE", "STATE", "REVISION", "QUEUED", "RUNNING"),
        [_status_row(item) for item in sorted(reports)],
    )
    header = ("DEPLOYMENT", "OBJECT", "WANTED", "RESIDENT")
    lines += ["", *format_table(header, deployments)]
    output.emit(value, lines)
    return None


async def drain(arguments: Namespace, output: Output) -> ToolError | None:
    """Let an instance finish its requests and exit."""
    settings = _load_settings(arguments)
    if isinstance(settings, ToolError):
        return settings
    async with connect(settings) as installation:
        reports = await installation.fetch_reports()
        if isinstance(reports, ToolError):
            return reports
        for item in reports:
            if item.instance.id == arguments.instance:
                error = await installation.drain(item.instance)
                if error is None:
                    value = {"draining": arguments.instance}
                    output.emit(value, [f"{arguments.instance}: draining"])
                return error
    return ToolError(
        ToolErrorReason.USAGE,
        f"no instance {arguments.instance!r}; 'copperrunctl status' lists them",
    )


async def create_token(arguments: Namespace, output: Output) -> ToolError | None:
    """Create a caller key; the configuration stores only its hash."""
    key = create_key(arguments.caller)
    key_hash = hash_key(key)
    output.emit(
        {"caller": arguments.caller, "key": key, "key_hash": key_hash},
        [
            f"key:      {key}",
            f"key hash: {key_hash}",
            f"Add the hash to callers.{arguments.caller}.key_hashes and publish; "
            "the key is not shown again.",
        ],
    )
    return None


def _load_settings(arguments: Namespace) -> ToolSettings | ToolError:
    settings = load_tool_settings(Path(arguments.settings))
    if isinstance(settings, DocumentError):
        return ToolError(ToolErrorReason.USAGE, str(settings))
    return settings


async def _read_configuration(arguments: Namespace) -> ConfigurationState | ToolError:
    settings = _load_settings(arguments)
    if isinstance(settings, ToolError):
        return settings
    async with connect(settings) as installation:
        return await installation.read_configuration()


async def _publish_plan(
    arguments: Namespace,
    output: Output,
    installation: Installation,
    plan: tuple[ConfigurationState, Change | None] | ToolError,
) -> ToolError | None:
    if isinstance(plan, ToolError):
        return plan
    state, change = plan
    if change is None:
        value = {"revision": state.revision, "changed": []}
        output.emit(value, [f"nothing to change at revision {state.revision}"])
        return None
    if arguments.dry_run:
        changed = describe_change(state, change)
        output.emit({"revision": state.revision, "changed": changed}, changed)
        return None
    timeout_ms = int(arguments.timeout * MS_PER_S)
    published = await publish_change(installation, state, change, timeout_ms=timeout_ms)
    if isinstance(published, ToolError):
        return published
    lines = [
        *published.changed,
        f"revision {published.revision} in force after {published.waited_ms} ms",
    ]
    if published.silent:
        lines.append(f"no answer from: {', '.join(published.silent)}")
    output.emit(published._asdict(), lines)
    return None


def _status_row(report: InstanceReport) -> tuple[object, ...]:
    instance, status = report
    if status is None:
        return (
            instance.id,
            instance.role.value,
            instance.zone,
            "no answer",
            "",
            "",
            "",
        )
    return (
        instance.id,
        instance.role.value,
        instance.zone,
        status["state"],
        status["revision"],
        status["queued"],
        status["running"],
    )


class _DeploymentCopies(NamedTuple):
    deployment: str
    weights: str
    wanted: int
    resident: int


def _count_deployments(
    cfg: Configuration | None, copies: dict[str, int]
) -> list[_DeploymentCopies]:
    if cfg is None:
        return []
    counted = []
    for name in sorted(cfg.deployments):
        weights, _ = weights_object(cfg, name)
        wanted = cfg.copies(name)
        resident = copies.get(weights, 0)
        counted.append(_DeploymentCopies(name, weights, wanted, resident))
    return counted


def _count_copies(reports: Sequence[InstanceReport]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for item in reports:
        if item.status is not None:
            counts.update(item.status["resident"])
    return dict(counts)
