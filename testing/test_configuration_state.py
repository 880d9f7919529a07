"""Configuration state: concurrent changes, snapshots and unreadable records."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from installation import small_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Is

from copperrun.configuration.changes import Change
from copperrun.configuration.changes import difference
from copperrun.configuration.changes import encode_record
from copperrun.configuration.changes import objects_by_key
from copperrun.configuration.state import ApplyOutcome
from copperrun.configuration.state import ApplyResult
from copperrun.configuration.state import ConfigurationState
from copperrun.model import LogRecord


def first_change() -> Change:
    return Change("first", "ana", -1, 0, objects_by_key(small_configuration()))


def put(name: str, base: int, **objects: Any) -> Change:
    keyed = {key.replace("__", "/"): value for key, value in objects.items()}
    return Change(name, "ana", base, 0, keyed)


def state_after(*records: Change | str) -> tuple[ConfigurationState, list[ApplyResult]]:
    state = ConfigurationState()
    results = []
    for offset, record in enumerate(records):
        data = record if isinstance(record, str) else encode_record(record)
        results.append(state.apply(LogRecord(offset, data)))
    return state, results


def test_first_of_two_concurrent_changes_of_one_object_wins() -> None:
    tenant = {"uses": ["ledger"], "weight": 2}
    state, results = state_after(
        first_change(),
        put("a", 0, tenants__jadran=tenant),
        put("b", 0, tenants__jadran={**tenant, "weight": 3}),
    )
    assert_that(
        [item.outcome for item in results],
        Equals([ApplyOutcome.ACCEPTED, ApplyOutcome.ACCEPTED, ApplyOutcome.CONFLICT]),
    )
    assert_that(results[2].detail, Contains("tenants/jadran changed after"))
    assert_that(state.configuration.tenants["jadran"].weight, Equals(2))
    assert_that(state.revision, Equals(1))


def test_changes_of_different_objects_do_not_conflict() -> None:
    _, results = state_after(
        first_change(),
        put("a", 0, preset_in_force="peak"),
        put("b", 0, tenants__jadran={"uses": ["ledger"]}),
    )
    assert_that({item.outcome for item in results}, Equals({ApplyOutcome.ACCEPTED}))


def test_change_made_against_a_removed_object_conflicts() -> None:
    remove = Change("a", "ana", 0, 0, {}, ("callers/rigger",))
    rigger = {"tenant": "jadran", "service_class": "crew"}
    state, results = state_after(
        first_change(), remove, put("b", 0, callers__rigger=rigger)
    )
    assert_that(results[2].outcome, Is(ApplyOutcome.CONFLICT))
    assert_that("rigger" in state.configuration.callers, Is(False))


@pytest.mark.parametrize(
    ("change", "detail"),
    [
        (put("a", 0, preset_in_force="holiday"), "no preset 'holiday'"),
        (put("a", 0, pools__assistant={"memory": "1 GB"}), "expected a size"),
        (put("a", 0, pools__assistant={"slots": 0}), "slots"),
        (put("a", 0, plans__x={}), "unknown object"),
        (put("a", 0, pools={}), "unknown object"),
        (Change("a", "ana", 0, 0, {}, ("preset_in_force",)), "required key"),
        (Change("a", "ana", 0, 0, {}, ("models/allowances",)), "no model"),
    ],
)
def test_change_that_makes_the_configuration_invalid_is_rejected(
    change: Change, detail: str
) -> None:
    state, results = state_after(first_change(), change)
    assert_that(results[1].outcome, Is(ApplyOutcome.INVALID))
    assert_that(results[1].detail, Contains(detail))
    assert_that(state.revision, Equals(0))


def test_change_appended_twice_applies_once() -> None:
    change = put("a", 0, preset_in_force="peak")
    back = put("b", 1, preset_in_force="ordinary")
    state, results = state_after(first_change(), change, back, change)
    assert_that(results[3].outcome, Is(ApplyOutcome.DUPLICATE))
    assert_that(state.configuration.preset_in_force, Equals("ordinary"))


def test_corrupt_record_is_skipped_and_unknown_one_is_kept() -> None:
    later = json.dumps({"version": 2, "kind": "change"})
    state, results = state_after(first_change(), "{", '{"version": 1}', later, "[]")
    assert_that(
        [item.outcome for item in results[1:]],
        Equals(
            [
                ApplyOutcome.CORRUPT,
                ApplyOutcome.UNKNOWN,
                ApplyOutcome.UNKNOWN,
                ApplyOutcome.CORRUPT,
            ]
        ),
    )
    assert_that([item.data for item in state.unknown_records], Contains(later))
    assert_that(state.revision, Equals(0))


@given(st.text() | st.binary().map(repr) | st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.dictionaries(st.text(), inner),
).map(json.dumps))  # fmt: skip
def test_any_text_as_a_record_keeps_the_configuration_in_force(text: str) -> None:
    state, _ = state_after(first_change(), text)
    assert_that(state.revision, Equals(0))


def test_reader_that_starts_after_trimming_waits_for_the_snapshot() -> None:
    complete, _ = state_after(first_change(), put("a", 0, preset_in_force="peak"))
    snapshot = encode_record(complete.snapshot(0))
    records = [
        encode_record(put("b", 1, tenants__jadran={"uses": ["ledger"]})),
        snapshot,
        encode_record(put("c", 2, tenants__jadran={"uses": ["allowances"]})),
    ]
    late = ConfigurationState()
    late.skip_to(2)
    results = []
    for offset, data in enumerate(records, start=2):
        complete.apply(LogRecord(offset, data))
        results.append(late.apply(LogRecord(offset, data)).outcome)
        assert_that(late.revision <= complete.revision, Is(True))
    assert_that(
        results,
        Equals([ApplyOutcome.PENDING, ApplyOutcome.SNAPSHOT, ApplyOutcome.ACCEPTED]),
    )
    assert_that(late.configuration, Equals(complete.configuration))
    assert_that(late.objects(), Equals(complete.objects()))


def test_snapshot_that_does_not_cover_the_gap_is_not_applied() -> None:
    complete, _ = state_after(first_change())
    snapshot = complete.snapshot(0)
    late = ConfigurationState()
    late.skip_to(5)
    assert_that(late.apply(LogRecord(5, encode_record(snapshot))).outcome, Is(
        ApplyOutcome.SNAPSHOT
    ))  # fmt: skip
    assert_that((late.configuration, late.is_complete()), Equals((None, False)))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["presets", "tenants", "callers"]),
            st.integers(0, 3),
            st.integers(-1, 8),
        ),
        max_size=8,
    ),
    st.integers(1, 8),
)
def test_every_reader_gets_the_same_results_wherever_it_starts(
    edits: list[tuple[str, int, int]], cut: int
) -> None:
    values: dict[str, Any] = {
        "presets": {"description": "x"},
        "tenants": {"uses": ["ledger"]},
        "callers": {"tenant": "t1", "service_class": "crew"},
    }
    records: list[Change] = [first_change()]
    for number, (section, which, base) in enumerate(edits):
        key = f"{section}/t{which}"
        records.append(Change(f"c{number}", "ana", base, 0, {key: values[section]}))
    cut = min(cut, len(records))
    before, _ = state_after(*records[:cut])
    encoded = [encode_record(record) for record in records]
    encoded.insert(cut, encode_record(before.snapshot(0)))
    complete, results = state_after(*encoded)
    late = ConfigurationState()
    late.skip_to(cut)
    replayed = [
        late.apply(LogRecord(offset, data))
        for offset, data in enumerate(encoded[cut:], start=cut)
    ]
    assert_that(replayed[1:], Equals(results[cut + 1 :]))
    assert_that(late.objects(), Equals(complete.objects()))
    assert_that(late.revision, Equals(complete.revision))


def test_record_applied_twice_changes_nothing() -> None:
    change = put("a", 0, preset_in_force="peak")
    state, _ = state_after(first_change(), change)
    result = state.apply(LogRecord(0, encode_record(first_change())))
    assert_that(result.outcome, Is(ApplyOutcome.OLD))
    assert_that(state.next_offset, Equals(2))
    assert_that(state.configuration.preset_in_force, Equals("peak"))


def test_difference_of_equal_documents_is_none() -> None:
    objects = objects_by_key(small_configuration())
    same = copy.deepcopy(objects)
    assert_that(difference(objects, same, base=0, author="a", at_ms=0), Is(None))


def test_peer_snapshot_is_restored_only_when_it_is_ahead() -> None:
    ahead, _ = state_after(first_change(), put("a", 0, preset_in_force="peak"))
    behind, _ = state_after(first_change())
    starting = ConfigurationState()
    assert_that(starting.restore(ahead.snapshot(0)), Is(True))
    assert_that(starting.configuration, Equals(ahead.configuration))
    assert_that(starting.restore(behind.snapshot(0)), Is(False))
    assert_that((starting.revision, starting.next_offset), Equals((1, 2)))
    late = ConfigurationState()
    late.skip_to(2)
    assert_that(late.restore(behind.snapshot(0)), Is(False))
    assert_that(late.restore(ahead.snapshot(0)), Is(True))
    next_change = put("b", 1, preset_in_force="ordinary")
    result = late.apply(LogRecord(2, encode_record(next_change)))
    assert_that(result.outcome, Is(ApplyOutcome.ACCEPTED))
