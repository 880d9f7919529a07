"""Thrift codec of the control messages between copperrun's processes."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import xxhash
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from copperrun import model
from copperrun.decoding import MALFORMED
from copperrun.decoding import MAX_DETAIL_CHARACTERS
from copperrun.decoding import DecodeError
from copperrun.decoding import decode as decode_json
from copperrun.gen import ttypes
from copperrun.ports.sides import SideStatus

CONTENT_TYPE = "application/vnd.apache.thrift.compact"
MAX_STRING_BYTES = 64 * 1024 * 1024
MAX_LIST_ITEMS = 100_000

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES, container_length_limit=MAX_LIST_ITEMS
)
_DECODE_ERRORS = (TException, EOFError, MemoryError, *MALFORMED)

T = TypeVar("T")


class WireError(NamedTuple):
    """Data that is not the expected message.

    Attributes:
        detail: One line for the operator's log.
    """

    detail: str


def encode(struct: object) -> bytes:
    """Serialize a generated struct."""
    buffer = TMemoryBuffer()
    struct.write(_PROTOCOL_FACTORY.getProtocol(buffer))  # type: ignore[attr-defined]
    return bytes(buffer.getvalue())


def decode(cls: type[T], data: bytes) -> T | WireError:
    """Parse a generated struct and check its required fields."""
    try:
        struct = cls()
        struct.read(_PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data)))  # type: ignore[attr-defined]
        struct.validate()  # type: ignore[attr-defined]
    except _DECODE_ERRORS as exc:
        return WireError(f"{cls.__name__}: {exc!r}"[:MAX_DETAIL_CHARACTERS])
    return struct


def id_to_wire(attempt_id: model.AttemptId) -> ttypes.AttemptId:
    """Convert an attempt id for sending."""
    return ttypes.AttemptId(*attempt_id)


def id_from_wire(wire: ttypes.AttemptId) -> model.AttemptId:
    """Convert a received attempt id."""
    return model.AttemptId(wire.request, wire.attempt, wire.incarnation)


def load_to_wire(load: model.Load) -> ttypes.Load:
    """Convert a load report for sending."""
    return ttypes.Load(*load)


def load_from_wire(wire: ttypes.Load | None) -> model.Load | None:
    """Convert a received load report."""
    if wire is None:
        return None
    return model.Load(wire.queued, wire.running, wire.queue_ms)


def encode_attempt(attempt: model.Attempt) -> bytes:
    """Serialize an attempt."""
    fields = attempt._asdict()
    fields["id"] = id_to_wire(attempt.id)
    return encode(ttypes.Attempt(**fields))


def decode_attempt(data: bytes) -> model.Attempt | WireError:
    """Parse an attempt."""
    wire = decode(ttypes.Attempt, data)
    if isinstance(wire, WireError):
        return wire
    return model.Attempt(
        id=id_from_wire(wire.id),
        deployment=wire.deployment,
        adapter=wire.adapter or "",
        tenant=wire.tenant,
        caller=wire.caller,
        service_class=wire.service_class,
        revision=wire.revision,
        remaining_ms=wire.remaining_ms,
        stream=bool(wire.stream),
        method=wire.method or "",
        path=wire.path or "",
        content_type=wire.content_type or "",
        idempotency_key=wire.idempotency_key or "",
        body=wire.body,
        resume_chunks=wire.resume_chunks or 0,
        resume_text=wire.resume_text or "",
        resume_weights=wire.resume_weights or "",
    )


def encode_refusal(
    attempt_id: model.AttemptId, refusal: model.Refusal, load: model.Load | None
) -> bytes:
    """Serialize a refusal of an attempt."""
    ran = ttypes.Ran.NO if refusal.ran is model.Ran.NO else ttypes.Ran.UNKNOWN
    return encode(
        ttypes.Refusal(
            id=id_to_wire(attempt_id),
            reason=refusal.reason.value,
            ran=ran,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
            redirect=refusal.redirect,
            load=None if load is None else load_to_wire(load),
        )
    )


def refusal_from_wire(wire: ttypes.Refusal) -> model.Refusal:
    """Convert a refusal; an unknown reason becomes ``NOT_READY`` and keeps ``ran``."""
    try:
        reason = model.RefusalReason(wire.reason)
    except ValueError:
        # The side may run a newer version that has more reasons.
        reason = model.RefusalReason.NOT_READY
    ran = model.Ran.NO if wire.ran == ttypes.Ran.NO else model.Ran.UNKNOWN
    return model.Refusal(
        reason, ran, wire.detail, wire.retry_after_ms, wire.redirect or ""
    )


def encode_status(status: SideStatus) -> bytes:
    """Serialize a side's status."""
    fields = status._asdict()
    fields["load"] = load_to_wire(status.load)
    fields["resident"] = list(status.resident)
    return encode(ttypes.Hello(**fields))


def decode_status(data: bytes) -> SideStatus | WireError:
    """Parse a side's status."""
    wire = decode(ttypes.Hello, data)
    if isinstance(wire, WireError):
        return wire
    return SideStatus(
        instance=wire.instance,
        incarnation=wire.incarnation,
        state=wire.state,
        revision=wire.revision,
        load=load_from_wire(wire.load) or model.Load(),
        resident=tuple(wire.resident),
    )


def encode_answer(
    attempt_id: model.AttemptId, answer: model.Answer, load: model.Load
) -> bytes:
    """Serialize a complete answer."""
    return encode(
        ttypes.Answer(
            id=id_to_wire(attempt_id),
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            checksum=checksum([answer.body]),
            recorded=answer.recorded,
            load=load_to_wire(load),
        )
    )


def stream_end_to_json(end: model.StreamEnd) -> str:
    """Serialize the end marker of a stream."""
    return json.dumps(end._asdict())


def stream_end_from_json(data: str) -> model.StreamEnd:
    """Parse the end marker of a stream.

    Raises:
        ValueError: The text is not an end marker.
    """
    end = decode_json(data, lambda fields: model.StreamEnd(**fields))
    if isinstance(end, DecodeError):
        raise ValueError(f"malformed end marker: {end.detail}")
    return end


def refusal_to_json(refusal: model.Refusal) -> str:
    """Serialize a refusal that ends a stream."""
    fields = refusal._asdict()
    return json.dumps(
        {**fields, "reason": refusal.reason.value, "ran": refusal.ran.value}
    )


def refusal_from_json(data: str) -> model.Refusal:
    """Parse a refusal that ended a stream.

    Raises:
        ValueError: The text is not a refusal.
    """
    refusal = decode_json(data, _refusal)
    if isinstance(refusal, DecodeError):
        raise ValueError(f"malformed refusal: {refusal.detail}")
    return refusal


def _refusal(fields: dict[str, Any]) -> model.Refusal:
    return model.Refusal(
        reason=model.RefusalReason(fields["reason"]),
        ran=model.Ran(fields["ran"]),
        detail=fields["detail"],
        retry_after_ms=fields["retry_after_ms"],
        redirect=fields["redirect"],
    )


def checksum(parts: Iterable[bytes]) -> int:
    """Return the xxh64 of a complete answer as a signed 64-bit number."""
    digest = xxhash.xxh64()
    for part in parts:
        digest.update(part)
    return digest.intdigest() - 2**63
