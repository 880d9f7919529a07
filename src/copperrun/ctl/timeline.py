"""Timeline of one request, from the JSON log lines of all processes."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any
from typing import NamedTuple

from copperrun.adapters.logs import logged_forms
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.ctl.output import Output
from copperrun.decoding import parse_json

STANDARD_INPUT = "-"
# Changes in what a process knows. They may explain a request that they do not name.
CONTEXT_MESSAGES = frozenset(
    {
        "allotments claimed by another process",
        "allotments handed over",
        "allotments kept here",
        "allotments not claimed",
        "catalog in force",
        "claims of allotments not read",
        "engine status available",
        "engine status unavailable",
        "keeper of allotments does not answer",
        "keeper of stream origins does not reply",
        "keys changed",
        "keeper of stream origins is told anew",
        "lifecycle state changed",
        "move cancelled: not enough accelerator memory",
        "move started",
        "prompt parts in quarantine",
        "prompt parts no longer in quarantine",
        "request in quarantine",
        "request no longer in quarantine",
        "requests tried one after the other",
        "server left the registry",
        "side responsive again",
        "side unresponsive",
        "start of an engine not confirmed",
        "store available again",
        "store unavailable",
        # Texts of earlier builds, so that their logs can still be explained.
        "engine found",
        "engine lost",
        "lifecycle",
        "move begun",
        "move dropped: no room",
        "side lost",
        "side regained",
        "store lost",
        "store regained",
    }
)
# Why a request was refused before any server was chosen.
EXPLANATIONS = {
    "unknown key": "its key is in no configuration that the entry had; see 'keys "
    "changed' for when keys were added to or withdrawn from this entry",
    "over the allotment": "its client account had used its limit; 'used' is what the "
    "account's bucket lacked, as its keeper said 'used_age_ms' before",
    "request larger than the allotment": "it needs more units than its client account "
    "may use in a whole window",
    "no keeper of the allotment": "no process kept the limit of its client account, or "
    "none answered in time; it could not be said whether it was within it",
}
# A refusal is logged at once; what led to it came some time before.
LOOK_BACK_MS = 10_000
_COMMON_FIELDS = frozenset({"time", "level", "instance", "message", "request"})


class LogLine(NamedTuple):
    """One line of a process's log.

    Attributes:
        time: ISO 8601 time by the process's own clock.
        instance: Instance name of the process.
        message: Constant text of the event.
        fields: All other fields of the line.
        is_about: Whether it names the request; other lines are context.
    """

    time: str
    instance: str
    message: str
    fields: dict[str, Any]
    is_about: bool


async def explain(arguments: argparse.Namespace, output: Output) -> ToolError | None:
    """Print the lines of all processes on one request, with their context."""
    try:
        timeline = build_timeline(arguments.request, _read_lines(arguments.files))
    except OSError as exc:
        return ToolError(ToolErrorReason.USAGE, f"{exc.filename}: {exc.strerror}")
    if not timeline:
        detail = (
            f"no line names request {arguments.request!r}; pass all logs of its time"
        )
        return ToolError(ToolErrorReason.FAILED, detail)
    causes = dict.fromkeys(line.message for line in timeline if line.is_about)
    words = [EXPLANATIONS[name] for name in causes if name in EXPLANATIONS]
    output.emit(
        [line._asdict() for line in timeline],
        [*map(_format_line, timeline), *(f"= refused: {text}" for text in words)],
    )
    return None


def build_timeline(request: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the request's lines with their context, sorted by time.

    Context runs from the request's arrival to its last line. It covers the instances
    that logged the request, and the models and servers that its lines name.
    """
    forms = logged_forms(request)
    request_lines: list[LogLine] = []
    context_lines: list[LogLine] = []
    for text in lines:
        line = _parse_line(text, forms)
        if line is None:
            continue
        if line.is_about:
            request_lines.append(line)
        elif line.message in CONTEXT_MESSAGES:
            context_lines.append(line)
    if not request_lines:
        return []
    request_lines.sort(key=lambda line: line.time)
    arrived, ended = _arrival_time(request_lines), request_lines[-1].time
    names = _models_and_servers(request_lines)
    instances = {line.instance for line in request_lines}
    relevant = [
        line
        for line in context_lines
        if arrived <= line.time <= ended
        and (line.instance in instances or names & _models_and_servers([line]))
    ]
    return sorted([*request_lines, *relevant], key=lambda line: line.time)


def _read_lines(files: list[str]) -> Iterator[str]:
    for name in files or [STANDARD_INPUT]:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as stream:
            yield from stream


def _parse_line(text: str, forms: Sequence[str]) -> LogLine | None:
    # Log collectors put a prefix before the JSON object.
    start = text.find("{")
    if start < 0:
        return None
    fields = parse_json(text[start:])
    if not isinstance(fields, dict) or "message" not in fields:
        return None
    return LogLine(
        str(fields.get("time", "")),
        str(fields.get("instance", "")),
        str(fields["message"]),
        {name: value for name, value in fields.items() if name not in _COMMON_FIELDS},
        # Attempts that take a stream up name the one that began it.
        any(fields.get(name) in forms for name in ("request", "resumes")),
    )


def _arrival_time(request_lines: list[LogLine]) -> str:
    """Return the arrival time, estimated from durations in the request's lines."""
    return min(
        _subtract_ms(
            line.time,
            LOOK_BACK_MS
            if line.message in EXPLANATIONS
            else line.fields.get("elapsed_ms") or line.fields.get("waited_ms"),
        )
        for line in request_lines
    )


def _subtract_ms(time: str, duration_ms: object) -> str:
    if not isinstance(duration_ms, int):
        return time
    try:
        moment = datetime.fromisoformat(time) - timedelta(milliseconds=duration_ms)
    except ValueError:
        return time
    return moment.isoformat(timespec="milliseconds")


def _models_and_servers(lines: Iterable[LogLine]) -> set[str]:
    """Return the names of models and servers in the lines."""
    names: set[str] = set()
    for line in lines:
        for field in ("model", "server"):
            if isinstance(line.fields.get(field), str):
                names.add(line.fields[field])
        for field in ("servers", "victims"):
            values = line.fields.get(field)
            if isinstance(values, list):
                names.update(str(value) for value in values)
        if isinstance(line.fields.get("group"), int):
            names.add(f"group {line.fields['group']}")
    names.discard("")
    return names


def _format_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None)
    )
    mark = "*" if line.is_about else " "
    return f"{mark} {line.time} {line.instance}: {line.message}  {fields}".rstrip()
