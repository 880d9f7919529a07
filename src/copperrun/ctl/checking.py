"""``config check``: problems of a configuration, and what it would change."""

from __future__ import annotations

from argparse import Namespace
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from typing import NamedTuple

from pydantic import TypeAdapter

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.platform import HttpInstances
from copperrun.adapters.platform import HttpLog
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.check import ServerCounts
from copperrun.configuration.check import Severity
from copperrun.configuration.check import check_configuration
from copperrun.configuration.comparison import Outline
from copperrun.configuration.comparison import differences
from copperrun.configuration.comparison import outline
from copperrun.configuration.document import Document
from copperrun.configuration.document import DocumentError
from copperrun.configuration.document import load_document
from copperrun.configuration.document import parse_document
from copperrun.configuration.reader import read_to_end
from copperrun.configuration.schema import CONFIGURATION
from copperrun.configuration.state import ConfigurationState
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.output import Output
from copperrun.model import Role
from copperrun.platform import checking as platform_checking
from copperrun.ports.instances import InstancesError
from copperrun.ports.log import LogError

_PLAIN = TypeAdapter(dict[str, Any])
_KINDS = {
    "pools": "pool",
    "classes": "class",
    "tenants": "tenant",
    "presets": "preset",
    "models": "model",
    "adapters": "adapter",
    "deployments": "deployment",
    "services": "service",
    "callers": "caller",
}
_SECRETS = frozenset({"key"})
_SYNTAX_REMEDY = "see docs/reference/configuration.md"


class InForce(NamedTuple):
    """What a document is compared with.

    Attributes:
        document: The other document; empty when there is none yet.
        servers: Servers of each pool; None when they are not known.
    """

    document: Mapping[str, Any]
    servers: ServerCounts | None = None


class Problem(NamedTuple):
    """A finding with its line in the file; 0 when it has none."""

    severity: str
    line: int
    place: str
    text: str
    remedy: str

    def format(self, source: str) -> str:
        """Return the lines for an operator."""
        where = f"{source}:{self.line}" if self.line else source
        place = f" {self.place}:" if self.place else ""
        remedy = f"\n    {self.remedy}" if self.remedy else ""
        return f"{where}: {self.severity}:{place} {self.text}{remedy}"


async def check(arguments: Namespace, output: Output) -> ToolError | None:
    """Print the problems of a configuration file and what it would change."""
    path = Path(arguments.file)
    if not _is_file(path):
        return ToolError(ToolErrorReason.USAGE, f"{path}: no such file")
    plain = load_document(path, _PLAIN)
    if isinstance(plain, DocumentError):
        return _report(arguments, output, _syntax_problems(plain), None)
    is_platform = platform_checking.is_platform_document(plain.raw)
    in_force = await _load_in_force(arguments.against, is_platform=is_platform)
    if isinstance(in_force, ToolError):
        return in_force
    if is_platform:
        problems = _check_platform_document(plain, in_force)
    else:
        problems = _check_configuration(plain, in_force)
    changes = None
    if in_force is not None:
        changes = differences(
            _outline(in_force.document, is_platform=is_platform),
            _outline(plain.raw, is_platform=is_platform),
        )
    return _report(arguments, output, problems, changes)


def _is_file(path: Path) -> bool:
    return path.is_file()


def _check_platform_document(
    plain: Document[dict[str, Any]], in_force: InForce | None
) -> list[Problem]:
    servers, version = None, None
    if in_force is not None:
        servers, version = in_force.servers, in_force.document.get("version")
    findings = platform_checking.check_document(
        plain.raw, servers, version if isinstance(version, int) else None
    )
    return [
        _located(plain, item.severity, item.place, item.text, item.remedy)
        for item in findings
    ]


def _check_configuration(
    plain: Document[dict[str, Any]], in_force: InForce | None
) -> list[Problem]:
    text = Path(plain.source).read_text(encoding="utf-8")
    document = parse_document(plain.source, text, CONFIGURATION)
    if isinstance(document, DocumentError):
        return _syntax_problems(document)
    servers = in_force.servers if in_force is not None else None
    return [
        _located(plain, item.severity, item.place, item.text, item.remedy)
        for item in check_configuration(document.value, servers)
    ]


def _located(
    document: Document[dict[str, Any]],
    severity: Severity,
    place: tuple[str | int, ...],
    text: str,
    remedy: str,
) -> Problem:
    found = document.problem(place, text)
    return Problem(severity.value, found.line, found.path, text, remedy)


def _syntax_problems(error: DocumentError) -> list[Problem]:
    return [
        Problem(Severity.ERROR.value, item.line, item.path, item.detail, _SYNTAX_REMEDY)
        for item in error.problems
    ]


def _outline(document: Mapping[str, Any], *, is_platform: bool) -> Outline:
    if is_platform:
        return platform_checking.outline_document(document)
    return outline(document, _KINDS, _SECRETS)


async def _load_in_force(
    against: str | None, *, is_platform: bool
) -> InForce | ToolError | None:
    if against is None:
        return None
    if _is_file(Path(against)):
        return _load_other(against, is_platform=is_platform)
    host, _, port = against.rpartition(":")
    if not host or not port.isdigit():
        detail = f"--against {against}: neither a file nor HOST:PORT"
        return ToolError(ToolErrorReason.USAGE, detail)
    timers = SystemTimers()
    async with open_session() as session:
        client = HttpClient(session, timers)
        if not is_platform:
            return await _read_installation(client, against)
        found = await platform_checking.read_in_force(client, against)
    if isinstance(found, str):
        return ToolError(ToolErrorReason.PLATFORM, f"{against}: {found}")
    return InForce(*found)


def _load_other(against: str, *, is_platform: bool) -> InForce | ToolError:
    other = load_document(Path(against), _PLAIN)
    if isinstance(other, DocumentError):
        return ToolError(ToolErrorReason.USAGE, str(other))
    if not is_platform and not {"pools", "classes"} & other.raw.keys():
        detail = f"{against}: no configuration; give one, or HOST:PORT of the log"
        return ToolError(ToolErrorReason.USAGE, detail)
    if platform_checking.is_platform_document(other.raw) != is_platform:
        detail = f"{against}: has another form; compare files of one form"
        return ToolError(ToolErrorReason.USAGE, detail)
    return InForce(other.raw)


async def _read_installation(client: HttpClient, address: str) -> InForce | ToolError:
    url = f"http://{address}"
    state = ConfigurationState()
    error = await read_to_end(HttpLog(client, url), state)
    if isinstance(error, LogError):
        return ToolError(ToolErrorReason.PLATFORM, f"{address}: log: {error.detail}")
    instances = await HttpInstances(client, url).list()
    if isinstance(instances, InstancesError):
        detail = f"{address}: instance list: {instances.detail}"
        return ToolError(ToolErrorReason.PLATFORM, detail)
    servers = Counter(
        item.pool for item in instances if item.role is Role.SIDE and not item.leaving
    )
    return InForce(group_by_section(state.objects()), servers)


def group_by_section(objects: Mapping[str, object]) -> dict[str, object]:
    """Return a document with the objects of a configuration."""
    document: dict[str, object] = {}
    for key, value in objects.items():
        section, _, name = key.partition("/")
        if not name:
            document[section] = value
            continue
        members = document.setdefault(section, {})
        if isinstance(members, dict):
            members[name] = value
    return document


def _report(
    arguments: Namespace,
    output: Output,
    problems: list[Problem],
    changes: list[str] | None,
) -> ToolError | None:
    source = arguments.file
    lines = [problem.format(source) for problem in problems]
    if not problems:
        lines.append(f"{source}: no problems")
    if changes is not None:
        lines += ["", "This would change:" if changes else "This would change nothing."]
        lines += [f"  {line}" for line in changes]
    value = {
        "file": source,
        "problems": [problem._asdict() for problem in problems],
        "changes": changes,
    }
    as_json = arguments.format == "json"
    (Output(as_json=True) if as_json else output).emit(value, lines)
    if not problems:
        return None
    noun = "problem" if len(problems) == 1 else "problems"
    return ToolError(ToolErrorReason.FAILED, f"{source}: {len(problems)} {noun}")
