"""Records of the streams of unrepeatable calls."""

from __future__ import annotations

import base64
import json
from typing import Any
from typing import NamedTuple

from copperrun.decoding import MALFORMED
from copperrun.decoding import describe
from copperrun.decoding import parse_json
from copperrun.model import Answer

RECORD_VERSION = 1


class Intent(NamedTuple):
    """A side is about to execute a call.

    Attributes:
        key: Tenant and idempotency key.
        attempt: Unique name of this attempt to execute.
        digest: Digest of the request.
        at_ms: Writer's Unix time in milliseconds.
    """

    key: str
    attempt: str
    digest: str
    at_ms: int


class Outcome(NamedTuple):
    """A call was executed.

    Attributes:
        key: Tenant and idempotency key.
        attempt: Attempt that executed it.
        at_ms: Writer's Unix time in milliseconds.
        answer: The answer, or None when it was too large to record.
    """

    key: str
    attempt: str
    at_ms: int
    answer: Answer | None


class Abandonment(NamedTuple):
    """The writer of an intent has not executed the call and never will.

    Attributes:
        key: Tenant and idempotency key.
        attempt: Attempt that was abandoned.
        at_ms: Writer's Unix time in milliseconds.
    """

    key: str
    attempt: str
    at_ms: int


class Mark(NamedTuple):
    """Record in an idle stream; shows how far back the log retains the stream.

    Attributes:
        at_ms: Writer's Unix time in milliseconds.
    """

    at_ms: int


Record = Intent | Outcome | Abandonment | Mark


class RecordError(NamedTuple):
    """A record that cannot be read.

    Attributes:
        unknown: Whether it has a version or kind that this program does not support.
        detail: One line for the operator's log.
    """

    unknown: bool
    detail: str


def encode(record: Record) -> str:
    """Serialize a record."""
    fields: dict[str, Any] = {"version": RECORD_VERSION}
    match record:
        case Intent():
            fields |= {"kind": "intent", **record._asdict()}
        case Outcome():
            answer = None if record.answer is None else _answer_fields(record.answer)
            fields |= {"kind": "outcome", **record._asdict(), "answer": answer}
        case Abandonment():
            fields |= {"kind": "abandonment", **record._asdict()}
        case Mark():
            fields |= {"kind": "mark", **record._asdict()}
    return json.dumps(fields)


def decode(data: str) -> Record | RecordError:
    """Parse a record."""
    fields = parse_json(data)
    if not isinstance(fields, dict) or not {"version", "kind"} <= fields.keys():
        return RecordError(False, "not a JSON object with version and kind")
    version, kind = fields.pop("version"), fields.pop("kind")
    if version != RECORD_VERSION:
        return RecordError(True, f"record version {version!r}")
    try:
        return _decode_kind(kind, fields)
    except MALFORMED as exc:
        return RecordError(False, f"{kind}: {describe(exc)}")


def _decode_kind(kind: str, fields: dict[str, Any]) -> Record | RecordError:
    match kind:
        case "intent":
            return Intent(**fields)
        case "outcome":
            answer = fields["answer"]
            fields["answer"] = None if answer is None else _parse_answer(answer)
            return Outcome(**fields)
        case "abandonment":
            return Abandonment(**fields)
        case "mark":
            return Mark(**fields)
        case _:
            return RecordError(True, f"record kind {kind!r}")


def _answer_fields(answer: Answer) -> dict[str, Any]:
    return {
        "status": answer.status,
        "content_type": answer.content_type,
        "body": base64.b64encode(answer.body).decode(),
    }


def _parse_answer(fields: dict[str, Any]) -> Answer:
    return Answer(
        status=int(fields["status"]),
        content_type=str(fields["content_type"]),
        body=base64.b64decode(fields["body"]),
        recorded=True,
    )
