"""Exchange of crash records: any order and any repetition gives the same log."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength

from copperrun.embedded.clock import ManualTimers
from copperrun.routing.crashes import MAX_CRASHES
from copperrun.routing.crashes import MAX_PARTS
from copperrun.routing.crashes import RETENTION_MS
from copperrun.routing.crashes import CrashLog
from copperrun.routing.crashes import CrashRecord

PARTS = st.frozensets(st.sampled_from("abcdef"), min_size=1)


@st.composite
def crash_records(draw: st.DrawFn) -> CrashRecord:
    parts = draw(PARTS)
    return CrashRecord(
        draw(st.sampled_from(["c1", "c2", "c3"])),
        "llm",
        draw(st.integers(0, 5_000)),
        parts,
        draw(st.frozensets(st.sampled_from(sorted(parts)))),
    )


def record(crash: str, *parts: str, age_ms: int = 0) -> CrashRecord:
    return CrashRecord(crash, "llm", age_ms, frozenset(parts))


@given(st.lists(crash_records(), max_size=8), st.integers())
def test_records_give_the_same_log_in_any_order_and_twice(records, seed):
    once, shuffled = CrashLog(ManualTimers()), CrashLog(ManualTimers())
    once.merge(records)
    mixed = records * 2
    Random(seed).shuffle(mixed)
    for item in mixed:
        shuffled.merge([item])
    assert_that(set(shuffled.crashes()), Equals(set(once.crashes())))


@given(st.lists(crash_records(), max_size=8))
def test_a_log_that_follows_another_by_versions_gets_all_of_its_suspects(records):
    source, copy = CrashLog(ManualTimers()), CrashLog(ManualTimers())
    version = 0
    for item in records:
        source.merge([item])
        copy.merge(source.changes_since(version))
        version = source.version
    # A better time alone is not sent again: it differs by the time on the way only.
    suspects, expected = (
        {crash.id: crash.suspects for crash in log.crashes()} for log in (copy, source)
    )
    assert_that(suspects, Equals(expected))
    assert_that(source.changes_since(version), HasLength(0))


def test_a_record_that_tells_nothing_new_is_no_change():
    log = CrashLog(ManualTimers())
    changes: list[int] = []
    log.subscribe(lambda: changes.append(log.version))
    log.merge([record("c1", "a", "b")])
    log.merge([record("c1", "a")])
    log.clear("llm", {"x": 0})
    log.clear("other", {"a": 0})
    assert_that(changes, HasLength(1))


def test_old_crashes_are_dropped():
    log = CrashLog(ManualTimers())
    log.merge([record("c1", "a", age_ms=RETENTION_MS), record("c2", "a", age_ms=1)])
    assert_that([crash.id for crash in log.crashes()], Equals(["c2"]))


def test_the_log_is_bounded():
    log = CrashLog(ManualTimers())
    log.merge(
        record(f"c{number}", "a", age_ms=number) for number in range(MAX_CRASHES + 5)
    )
    crashes = log.crashes()
    assert_that(crashes, HasLength(MAX_CRASHES))
    assert_that(min(crash.at_ms for crash in crashes), GreaterThan(-MAX_CRASHES))
    log.merge([record("wide", *(f"p{number}" for number in range(MAX_PARTS + 5)))])
    (wide,) = (crash for crash in log.crashes() if crash.id == "wide")
    assert_that(wide.suspects, HasLength(MAX_PARTS))


@given(st.lists(st.frozensets(st.integers(0, 2_000), min_size=1), max_size=8))
def test_the_same_suspects_are_dropped_in_any_order_of_the_records(sets):
    records = [record("c1", *(f"{number:x}" for number in ids)) for ids in sets]
    wide = record("c1", *(f"{number:x}" for number in range(MAX_PARTS)))
    once, reverse = CrashLog(ManualTimers()), CrashLog(ManualTimers())
    once.merge([wide, *records])
    for item in [*reversed(records), wide, *records]:
        reverse.merge([item])
    assert_that(reverse.crashes(), Equals(once.crashes()))


def test_no_suspect_is_dropped_from_every_crash_for_its_id():
    log = CrashLog(ManualTimers())
    last = "request-ffff"
    others = [f"p{number}" for number in range(2 * MAX_PARTS)]
    log.merge(record(f"c{number}", last, *others) for number in range(40))
    kept = [crash for crash in log.crashes() if last in crash.suspects]
    assert_that(len(kept), GreaterThan(5))
