"""What differs between two documents, in the words of the documents; pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

Values = Mapping[str, Any]
Outline = Mapping[tuple[str, str], Values]
MAX_TEXT_CHARACTERS = 80


class Secrets(NamedTuple):
    """Values that are compared and never shown."""

    values: frozenset[str]


def outline(
    document: Mapping[str, Any], kinds: Mapping[str, str], secrets: frozenset[str]
) -> Outline:
    """Return the objects of a document with their fields.

    Args:
        document: Sections that hold objects by name or as a list, or plain values.
        kinds: What an object of a section is called.
        secrets: Words in the names of fields whose values are never shown.
    """
    objects: dict[tuple[str, str], Values] = {}
    for section, content in document.items():
        kind = kinds.get(section, section)
        if section in kinds:
            for name, fields in _members(content):
                objects[kind, name] = dict(_flatten("", fields, secrets))
        else:
            objects[kind, ""] = dict(_flatten("", content, secrets))
    return objects


def differences(old: Outline, new: Outline) -> list[str]:
    """Return one line for each difference."""
    lines: list[str] = []
    for key in sorted({*old, *new}):
        kind, name = key
        title = f"{kind} {name!r}" if name else kind
        if key not in new:
            lines.append(f"{title}: removed")
        elif key not in old:
            lines.append(f"{title}: added")
        else:
            lines += [f"{title}: {text}" for text in _changes(old[key], new[key])]
    return lines


def _changes(old: Values, new: Values) -> Iterator[str]:
    for label in sorted({*old, *new}):
        before, after = old.get(label), new.get(label)
        if before == after:
            continue
        prefix = f"{label}: " if label else ""
        if isinstance(before, Secrets) or isinstance(after, Secrets):
            yield prefix + _count_changes(before, after)
        elif before is None:
            yield f"{prefix}{_text(after)} is set"
        elif after is None:
            yield f"{prefix}{_text(before)} is no longer set"
        else:
            yield f"{prefix}{_text(before)} becomes {_text(after)}"


def _count_changes(before: object, after: object) -> str:
    old = before.values if isinstance(before, Secrets) else frozenset[str]()
    new = after.values if isinstance(after, Secrets) else frozenset[str]()
    return f"{len(new - old)} added, {len(old - new)} removed"


def _members(content: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(content, Mapping):
        yield from ((str(name), fields) for name, fields in content.items())
    elif isinstance(content, Sequence) and not isinstance(content, str):
        for index, item in enumerate(content):
            name = item.get("name") if isinstance(item, Mapping) else None
            yield (name if isinstance(name, str) else str(index)), item


def _flatten(
    label: str, value: Any, secrets: frozenset[str]
) -> Iterator[tuple[str, Any]]:
    field = label.rpartition(".")[2]
    if any(word in field for word in secrets):
        items = value if isinstance(value, list | tuple) else [value]
        yield label, Secrets(frozenset(str(item) for item in items if item))
    elif isinstance(value, Mapping):
        for key, item in value.items():
            if key != "name":
                yield from _flatten(
                    f"{label}.{key}" if label else str(key), item, secrets
                )
    elif isinstance(value, list) and any(isinstance(item, Mapping) for item in value):
        for name, item in _members(value):
            yield f"{label}[{name}]", "listed"
            yield from _flatten(f"{label}[{name}]", item, secrets)
    else:
        yield label, value


def _text(value: Any) -> str:
    if isinstance(value, list | tuple):
        text = ", ".join(str(item) for item in value) or "none"
    else:
        text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) > MAX_TEXT_CHARACTERS:
        return text[:MAX_TEXT_CHARACTERS] + "..."
    return text
