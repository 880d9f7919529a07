"""Deterministic state machine over the configuration stream.

Readers that have applied the same records hold the same configuration and got the same
result for each change, so that operators need no lock.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Any
from typing import NamedTuple

from pydantic import ValidationError

from copperrun.configuration.changes import PRESET_KEY
from copperrun.configuration.changes import Change
from copperrun.configuration.changes import CorruptRecord
from copperrun.configuration.changes import Objects
from copperrun.configuration.changes import Record
from copperrun.configuration.changes import Snapshot
from copperrun.configuration.changes import UnknownRecord
from copperrun.configuration.changes import decode_record
from copperrun.configuration.document import describe_validation_error
from copperrun.configuration.schema import SECTIONS
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import check_references
from copperrun.decoding import MALFORMED
from copperrun.model import LogRecord

NO_REVISION = -1
# Ids kept to detect duplicates; more than a day's changes at the design size.
MAX_CHANGE_IDS = 20_000


class ApplyOutcome(Enum):
    """Effect of a record on the state.

    Attributes:
        ACCEPTED: The change is in force.
        CONFLICT: An object of the change has changed since its base; not applied.
        INVALID: The change would make the configuration invalid; not applied.
        DUPLICATE: A change with the same id was read before; not applied.
        SNAPSHOT: A snapshot, applied only when it covers missing records.
        CORRUPT: The record cannot be parsed.
        UNKNOWN: The record has an unsupported version or kind.
        OLD: The record was read before.
        PENDING: Earlier records are missing; applied after a snapshot that covers them.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    DUPLICATE = "duplicate"
    SNAPSHOT = "snapshot"
    CORRUPT = "corrupt"
    UNKNOWN = "unknown"
    OLD = "old"
    PENDING = "pending"


class ApplyResult(NamedTuple):
    """Result of applying one record.

    Attributes:
        outcome: Effect of the record.
        change_id: Id of the change, or an empty string.
        detail: Reason, for operators.
    """

    outcome: ApplyOutcome
    change_id: str = ""
    detail: str = ""


class _VersionedObject(NamedTuple):
    value: Any
    offset: int


class ConfigurationState:
    """Configuration that results from the records applied so far.

    Attributes:
        next_offset: Offset of the next record to apply.
        revision: Offset of the last accepted change.
        changed_at_ms: Time of the last accepted change that was read as a record and
            not from a snapshot, Unix milliseconds; 0 before the first.
        snapshot_at_ms: Time of the newest snapshot, Unix milliseconds.
        records_since_snapshot: Number of records read since that snapshot.
        configuration: Configuration in force, or None before the first one.
        unknown_records: Records of a later version of this program.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.revision = NO_REVISION
        self.changed_at_ms = 0
        self.snapshot_at_ms = 0
        self.records_since_snapshot = 0
        self.configuration: Configuration | None = None
        self.unknown_records: list[UnknownRecord] = []
        self._objects: dict[str, _VersionedObject] = {}
        self._parsed: dict[str, Any] = {}
        self._results: dict[str, ApplyResult] = {}
        self._change_ids: deque[str] = deque()
        # First offset after the missing records; None when the state is complete.
        self._gap_end: int | None = None
        self._pending: list[LogRecord] = []

    def skip_to(self, start: int) -> None:
        """Skip to ``start``, the first offset that the log keeps.

        When records before it are missing, changes wait until a snapshot that covers
        the gap has been read: applied to an incomplete state, they would have results
        that differ from other readers'.
        """
        if start <= self.next_offset:
            return
        self.next_offset = start
        self._gap_end = start
        self._pending.clear()

    def apply(self, record: LogRecord) -> ApplyResult:
        """Apply one record; records below ``next_offset`` change nothing."""
        if record.offset < self.next_offset:
            return ApplyResult(ApplyOutcome.OLD)
        self.next_offset = record.offset + 1
        self.records_since_snapshot += 1
        decoded = decode_record(record.data)
        if self._gap_end is not None and not isinstance(decoded, Snapshot):
            self._pending.append(record)
            return ApplyResult(ApplyOutcome.PENDING)
        return self._apply_decoded(decoded, record.offset)

    def restore(self, snapshot: Snapshot) -> bool:
        """Restore a peer's snapshot if it is ahead of this empty or incomplete state.

        Returns:
            Whether the snapshot was applied; one of a lower offset never is.
        """
        if self.configuration is not None and self.is_complete():
            return False
        gap_end = self.next_offset if self._gap_end is None else self._gap_end
        if snapshot.upto < gap_end - 1 or snapshot.revision < self.revision:
            return False
        previous = self._gap_end
        self._gap_end = gap_end
        if self._apply_snapshot(snapshot).outcome is not ApplyOutcome.SNAPSHOT:
            self._gap_end = previous
            return False
        self.next_offset = max(self.next_offset, snapshot.upto + 1)
        return self.configuration is not None

    def is_complete(self) -> bool:
        """Return whether no records are missing from the state."""
        return self._gap_end is None

    def _apply_decoded(self, decoded: Record, offset: int) -> ApplyResult:
        match decoded:
            case Change() as change:
                result = self._apply_change(change, offset)
                self._record_result(change.id, result)
                return result
            case Snapshot() as snapshot:
                return self._apply_snapshot(snapshot)
            case UnknownRecord() as unknown:
                # Kept for a later version of this program.
                self.unknown_records.append(unknown)
                return ApplyResult(ApplyOutcome.UNKNOWN)
            case CorruptRecord(detail):
                return ApplyResult(ApplyOutcome.CORRUPT, detail=detail)

    def objects(self) -> Objects:
        """Return the objects in force as they were published."""
        return {
            key: entry.value
            for key, entry in self._objects.items()
            if entry.value is not None
        }

    def result_of(self, change_id: str) -> ApplyResult | None:
        """Return the result of a recent change, or None when it has not been read."""
        return self._results.get(change_id)

    def snapshot(self, at_ms: int) -> Snapshot:
        """Return the state after the last applied record."""
        return Snapshot(
            at_ms=at_ms,
            upto=self.next_offset - 1,
            revision=self.revision,
            objects={
                key: (entry.value, entry.offset) for key, entry in self._objects.items()
            },
            change_ids=tuple(self._change_ids),
        )

    def _apply_change(self, change: Change, offset: int) -> ApplyResult:
        if change.id in self._results:
            return ApplyResult(ApplyOutcome.DUPLICATE, change.id)
        conflicts = self._conflicting_keys(change)
        if conflicts:
            return ApplyResult(
                ApplyOutcome.CONFLICT,
                change.id,
                f"{', '.join(conflicts)} changed after revision {change.base}",
            )
        parsed = self._parse_change(change)
        if isinstance(parsed, ApplyResult):
            return parsed
        cfg = _build_configuration(parsed)
        if isinstance(cfg, str):
            return ApplyResult(ApplyOutcome.INVALID, change.id, cfg)
        self._commit(change, offset, parsed, cfg)
        return ApplyResult(ApplyOutcome.ACCEPTED, change.id)

    def _conflicting_keys(self, change: Change) -> list[str]:
        touched = [*change.put, *change.remove]
        return sorted(
            key
            for key in touched
            if (entry := self._objects.get(key)) and entry.offset > change.base
        )

    def _parse_change(self, change: Change) -> dict[str, Any] | ApplyResult:
        parsed = dict(self._parsed)
        for key in change.remove:
            parsed.pop(key, None)
        for key, value in change.put.items():
            try:
                parsed[key] = _parse_object(key, value)
            except ValidationError as exc:
                detail = f"{key}: {describe_validation_error(exc)}"
                return ApplyResult(ApplyOutcome.INVALID, change.id, detail)
            except MALFORMED:
                return ApplyResult(
                    ApplyOutcome.INVALID, change.id, f"{key}: unknown object"
                )
        return parsed

    def _commit(
        self, change: Change, offset: int, parsed: dict[str, Any], cfg: Configuration
    ) -> None:
        for key in change.remove:
            # The offset stays as a tombstone, so that a change made against an
            # earlier revision conflicts instead of restoring the object.
            self._objects[key] = _VersionedObject(None, offset)
        for key, value in change.put.items():
            self._objects[key] = _VersionedObject(value, offset)
        self._parsed = parsed
        self.configuration = cfg
        self.revision = offset
        self.changed_at_ms = change.at_ms

    def _apply_snapshot(self, snapshot: Snapshot) -> ApplyResult:
        self.snapshot_at_ms = snapshot.at_ms
        self.records_since_snapshot = 0
        if self._gap_end is None or snapshot.upto < self._gap_end - 1:
            return ApplyResult(ApplyOutcome.SNAPSHOT, detail="not needed")
        parsed = _parse_snapshot(snapshot)
        if isinstance(parsed, str):
            return ApplyResult(ApplyOutcome.CORRUPT, detail=f"snapshot: {parsed}")
        cfg = _build_configuration(parsed) if parsed else None
        if isinstance(cfg, str):
            return ApplyResult(ApplyOutcome.CORRUPT, detail=f"snapshot: {cfg}")
        self._objects = {
            key: _VersionedObject(value, offset)
            for key, (value, offset) in snapshot.objects.items()
        }
        self._parsed = parsed
        self.configuration = cfg
        self.revision = snapshot.revision
        for change_id in snapshot.change_ids:
            self._record_result(
                change_id, ApplyResult(ApplyOutcome.DUPLICATE, change_id)
            )
        self._gap_end = None
        self._replay(snapshot.upto)
        return ApplyResult(ApplyOutcome.SNAPSHOT)

    def _replay(self, upto: int) -> None:
        pending = self._pending
        self._pending = []
        for record in pending:
            if record.offset > upto:
                self._apply_decoded(decode_record(record.data), record.offset)

    def _record_result(self, change_id: str, result: ApplyResult) -> None:
        if change_id in self._results:
            return
        self._results[change_id] = result
        self._change_ids.append(change_id)
        if len(self._change_ids) > MAX_CHANGE_IDS:
            del self._results[self._change_ids.popleft()]


def _parse_snapshot(snapshot: Snapshot) -> dict[str, Any] | str:
    try:
        return {
            key: _parse_object(key, value)
            for key, (value, _) in snapshot.objects.items()
            if value is not None
        }
    except ValidationError as exc:
        return describe_validation_error(exc)
    except MALFORMED as exc:
        return f"unknown object {exc}"


def _parse_object(key: str, value: Any) -> Any:
    if key == PRESET_KEY:
        return str(value)
    section, name = key.split("/", 1)
    if not name:
        raise ValueError(key)
    return SECTIONS[section].validate_python(value)


def _build_configuration(parsed: dict[str, Any]) -> Configuration | str:
    """Assemble a configuration, or return the first inconsistency."""
    if PRESET_KEY not in parsed:
        return "preset_in_force: required key is missing"
    sections: dict[str, dict[str, Any]] = {section: {} for section in SECTIONS}
    for key, value in parsed.items():
        if key != PRESET_KEY:
            section, name = key.split("/", 1)
            sections[section][name] = value
    cfg = Configuration(preset_in_force=parsed[PRESET_KEY], **sections)
    problems = check_references(cfg)
    if problems:
        first = problems[0]
        return f"{'.'.join(map(str, first.location))}: {first.detail}"
    return cfg
