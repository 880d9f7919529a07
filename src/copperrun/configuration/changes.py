"""Records of the configuration stream, and changes between documents."""

from __future__ import annotations

import json
from typing import Annotated
from typing import Any
from typing import NamedTuple
from uuid import uuid4

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from copperrun.configuration.document import describe_validation_error
from copperrun.configuration.schema import SECTIONS
from copperrun.decoding import DecodeError
from copperrun.decoding import parse_json

STREAM = "configuration"
RECORD_VERSION = 1
PRESET_KEY = "preset_in_force"

Objects = dict[str, Any]


class Change(NamedTuple):
    """One operator's change of named objects.

    Attributes:
        id: Unique name, so that a change appended twice applies once.
        author: Who made it.
        base: Revision that it was made against; -1 before the first change.
        at_ms: When it was made, Unix time in milliseconds.
        put: Objects by key (``section/name``) with their new values.
        remove: Keys of objects to remove.
    """

    id: Annotated[str, Field(min_length=1)]
    author: str
    base: int
    at_ms: int
    put: dict[str, Any]
    remove: tuple[str, ...] = ()


class Snapshot(NamedTuple):
    """Configuration state at one offset, so that older records may be trimmed.

    Attributes:
        at_ms: When it was made, Unix time in milliseconds.
        upto: Offset of the last record applied.
        revision: Offset of the last accepted change.
        objects: Value and offset of the last change by key.
        change_ids: Ids of recent changes, oldest first.
    """

    at_ms: int
    upto: int
    revision: int
    objects: dict[str, tuple[Any, int]]
    change_ids: tuple[str, ...]


class UnknownRecord(NamedTuple):
    """A record of a version or kind that this program does not support.

    Attributes:
        data: The record as read.
    """

    data: str


class CorruptRecord(NamedTuple):
    """A record that no reader can parse.

    Attributes:
        detail: What is wrong with it.
    """

    detail: str


Record = Change | Snapshot | UnknownRecord | CorruptRecord

_SCHEMAS: dict[object, TypeAdapter[Change] | TypeAdapter[Snapshot]] = {
    "change": TypeAdapter(Change),
    "snapshot": TypeAdapter(Snapshot),
}


def encode_record(record: Change | Snapshot) -> str:
    """Serialize a record for the log."""
    kind = "change" if isinstance(record, Change) else "snapshot"
    fields = record._asdict()
    return json.dumps({"version": RECORD_VERSION, "kind": kind, **fields})


def decode_record(data: str) -> Record:
    """Parse a record of the log."""
    fields = parse_json(data)
    if isinstance(fields, DecodeError):
        return CorruptRecord("not JSON")
    if not isinstance(fields, dict) or not isinstance(fields.get("version"), int):
        return CorruptRecord("not an object with a version")
    version = fields.pop("version")
    schema = _SCHEMAS.get(fields.pop("kind", None))
    if version != RECORD_VERSION or schema is None:
        return UnknownRecord(data)
    try:
        return schema.validate_python(fields)
    except ValidationError as exc:
        return CorruptRecord(describe_validation_error(exc))


def objects_by_key(raw: dict[str, Any]) -> Objects:
    """Split a checked document into objects by key."""
    objects: Objects = {PRESET_KEY: raw[PRESET_KEY]}
    for section in SECTIONS:
        for name, value in (raw.get(section) or {}).items():
            objects[f"{section}/{name}"] = value
    return objects


def difference(
    old: Objects, new: Objects, *, base: int, author: str, at_ms: int
) -> Change | None:
    """Return the change from ``old`` to ``new``, or None when they are equal."""
    put = {key: value for key, value in new.items() if old.get(key) != value}
    remove = tuple(sorted(key for key in old if key not in new))
    if not put and not remove:
        return None
    return Change(f"{author}-{uuid4().hex}", author, base, at_ms, put, remove)
