"""Bound on what an entry holds for callers who read or send slowly."""

from __future__ import annotations

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import Not

from copperrun.admission.buffers import NEAR_FRACTION
from copperrun.admission.buffers import READER_BYTES
from copperrun.admission.buffers import STALLED_MS
from copperrun.admission.buffers import UNREAD_MS
from copperrun.admission.buffers import UNREAD_SERVER_BYTES
from copperrun.admission.buffers import UPLOAD_COPIES
from copperrun.admission.buffers import BufferBounds
from copperrun.admission.buffers import BufferBudget
from copperrun.admission.buffers import Measure

KB = 1 << 10
BOUNDS = BufferBounds(answers=1_024 * KB, answer=64 * KB, uploads=512 * KB)
IDLE_MS = 15_000
SIZE = 96 * KB - READER_BYTES  # ten callers with so much come near the bound


class Callers:
    """Callers and what the entry holds for each."""

    def __init__(self, bounds: BufferBounds = BOUNDS) -> None:
        self.now_ms = 0
        self.budget: BufferBudget[str, str] = BufferBudget(bounds)
        self.measures: dict[str, Measure] = {}

    def write(self, name: str, size: int) -> None:
        held, written, _ = self.measures.get(name, Measure(0, 0))
        self.measures[name] = Measure(held + size, written + size)
        self.budget.record(name, self.measures[name], self.now_ms)

    def read(self, name: str, size: int) -> None:
        """Read without the budget's knowledge, as from a socket."""
        held, written, _ = self.measures[name]
        self.measures[name] = Measure(held - size, written)

    def make_room(self) -> list[str]:
        return self.budget.make_room(self.measures.__getitem__, self.now_ms)


def test_the_bounds_follow_from_the_memory_of_the_machine():
    small, large = (
        BufferBounds.from_memory(memory_mb * 10**6) for memory_mb in (152, 552)
    )
    assert_that(small.answers, Equals(19 * 10**6))
    assert_that((small.heads, small.total), Equals((19 * 10**6, 38 * 10**6)))
    assert_that(large.answers, Equals(69 * 10**6))
    assert_that(small.answer, GreaterThan(250_000))
    assert_that(BufferBounds.from_memory(10**6).answer, Equals(64 * KB))


def test_what_all_callers_leave_unread_is_counted():
    callers = Callers()
    callers.write("a", 10 * KB)
    callers.write("b", 20 * KB)
    assert_that(callers.budget.held_bytes, Equals(30 * KB + 2 * READER_BYTES))
    callers.read("a", 10 * KB)
    callers.budget.record("a", callers.measures["a"], 0)
    callers.budget.forget("b")
    callers.budget.forget("b")
    assert_that(callers.budget.held_bytes, Equals(0))


def test_who_read_nothing_for_longest_gives_way_first():
    callers = Callers()
    for name in "abcdefgh":
        callers.write(name, SIZE)
        callers.now_ms += 100
    callers.read("a", KB)  # it has read, though nobody has noticed yet
    callers.now_ms += STALLED_MS
    callers.write("i", SIZE)
    assert_that(callers.make_room(), HasLength(0))
    callers.write("j", SIZE)
    assert_that(callers.make_room(), Equals(["b"]))
    assert_that(
        callers.budget.held_bytes, Not(GreaterThan(BOUNDS.answers * NEAR_FRACTION))
    )


def test_callers_who_read_give_way_only_beyond_the_bound():
    callers = Callers()
    names = [f"r{number}" for number in range(10)]
    for name in names:
        callers.write(name, SIZE)
    assert_that(callers.budget.is_near_bound, Equals(True))
    callers.now_ms += STALLED_MS // 2
    assert_that(callers.make_room(), HasLength(0))
    callers.write("r10", SIZE)
    callers.write("r0", SIZE)
    assert_that(callers.budget.held_bytes, GreaterThan(BOUNDS.answers))
    losers = callers.make_room()
    assert_that(losers[0], Equals("r0"))
    assert_that(losers, Not(HasLength(len(names))))
    assert_that(callers.budget.is_near_bound, Equals(False))


def test_a_caller_that_reads_slowly_is_not_taken_for_one_that_stalls():
    callers = Callers()
    callers.write("slow", 40 * KB)
    callers.write("stalled", 40 * KB)
    for _ in range(40):
        callers.now_ms += 500
        callers.read("slow", 100)
        callers.write("slow", 90)
        callers.budget.record("stalled", callers.measures["stalled"], callers.now_ms)
    losers = callers.budget.unread_too_long(IDLE_MS, callers.now_ms)
    assert_that(losers, Equals(["stalled"]))


def test_an_answer_at_its_bound_ends_before_its_server_cuts_it_off():
    callers = Callers()
    callers.write("full", 65 * KB)
    callers.write("part", 40 * KB)
    callers.now_ms = UNREAD_MS - 1
    assert_that(callers.budget.unread_too_long(IDLE_MS, callers.now_ms), HasLength(0))
    callers.now_ms = UNREAD_MS
    losers = callers.budget.unread_too_long(IDLE_MS, callers.now_ms)
    assert_that(losers, Equals(["full"]))


def test_an_answer_whose_writer_waits_counts_as_full_until_it_is_read():
    # Its writer waits until half of the bound is left.
    budget: BufferBudget[str, str] = BufferBudget(BOUNDS)
    budget.record("a", Measure(40 * KB, 80 * KB, is_full=True), 0)
    held = 40 * KB + READER_BYTES + UNREAD_SERVER_BYTES
    assert_that(budget.held_bytes, Equals(held))
    assert_that(budget.unread_too_long(IDLE_MS, UNREAD_MS), Equals(["a"]))
    budget.record("a", Measure(40 * KB, 80 * KB), 0)
    assert_that(budget.held_bytes, Equals(40 * KB + READER_BYTES))
    assert_that(budget.unread_too_long(IDLE_MS, UNREAD_MS), HasLength(0))


def test_answers_that_are_collected_have_a_bound():
    budget: BufferBudget[str, str] = BufferBudget(BOUNDS)
    assert_that(budget.take_collected(BOUNDS.answers), Equals(True))
    assert_that(budget.take_collected(1), Equals(False))
    budget.return_collected(BOUNDS.answers)
    assert_that(budget.take_collected(1), Equals(True))


def test_heads_have_a_bound_and_near_it_only_small_ones_fit():
    bounds = BOUNDS._replace(heads=64 * KB)
    budget: BufferBudget[str, str] = BufferBudget(bounds)
    near = int(64 * KB * NEAR_FRACTION)
    assert_that(budget.hold_head(near, is_small=False), Equals(True))
    assert_that(budget.hold_head(1, is_small=False), Equals(False))
    assert_that(budget.hold_head(KB, is_small=True), Equals(True))
    assert_that(budget.hold_head(8 * KB, is_small=True), Equals(False))
    budget.hold_head(-budget.head_bytes, is_small=False)
    assert_that(budget.hold_head(near, is_small=False), Equals(True))


def test_the_sum_of_heads_uploads_and_answers_has_a_bound():
    total = 256 * KB
    bounds = BOUNDS._replace(total=total)
    for hold in (
        lambda budget: budget.hold_head(200 * KB, is_small=True),
        lambda budget: budget.take_upload("u", 100 * KB),
        lambda budget: budget.take_collected(200 * KB),
        lambda budget: budget.record("r", Measure(100 * KB, 100 * KB), 0),
    ):
        budget: BufferBudget[str, str] = BufferBudget(bounds)
        hold(budget)
        held = budget.total_bytes
        assert_that(budget.fits_upload((total - held) // UPLOAD_COPIES), Equals(True))
        assert_that(budget.fits_upload(total - held), Equals(False))
        assert_that(budget.take_collected(total - held + 1), Equals(False))
        assert_that(budget.hold_head(total - held, is_small=True), Equals(True))
        assert_that(budget.hold_head(1, is_small=True), Equals(False))


def test_stalled_callers_give_way_when_the_sum_is_at_its_bound():
    budget: BufferBudget[str, str] = BufferBudget(BOUNDS._replace(total=256 * KB))
    measure = Measure(60 * KB, 60 * KB)
    budget.record("stalled", measure, 0)
    assert_that(budget.is_near_bound, Equals(False))
    budget.hold_head(200 * KB, is_small=True)
    losers = budget.make_room(lambda reader: measure, STALLED_MS)
    assert_that(losers, Equals(["stalled"]))


def test_an_upload_that_does_not_fit_is_refused():
    budget: BufferBudget[str, str] = BufferBudget(BOUNDS)
    whole = BOUNDS.uploads // UPLOAD_COPIES
    assert_that(budget.fits_upload(whole + 1), Equals(False))
    assert_that(budget.take_upload("a", whole), Equals(True))
    assert_that(budget.take_upload("b", 1), Equals(False))
    budget.release_upload(whole)
    assert_that(budget.take_upload("b", 1), Equals(True))


def test_answers_and_uploads_take_no_room_from_each_other():
    callers = Callers()
    callers.budget.take_upload("u", BOUNDS.uploads // UPLOAD_COPIES)
    for number in range(9):
        callers.write(f"r{number}", SIZE)
    callers.now_ms += STALLED_MS
    assert_that(callers.make_room(), HasLength(0))
    callers.budget.release_upload(BOUNDS.uploads // UPLOAD_COPIES)
    callers.write("r9", SIZE)
    assert_that(callers.budget.is_near_bound, Equals(True))
    whole = BOUNDS.uploads // UPLOAD_COPIES
    assert_that(callers.budget.fits_upload(whole), Equals(True))


def test_the_slowest_uploads_give_way_and_never_those_just_begun():
    budget: BufferBudget[str, str] = BufferBudget(BOUNDS)
    budget.begin_upload("fast", 0)
    budget.begin_upload("trickle", 0)
    budget.take_upload("fast", 100 * KB)
    budget.take_upload("trickle", 10)
    budget.begin_upload("new", STALLED_MS)
    size = 80 * KB
    assert_that(budget.make_upload_room(size, STALLED_MS - 1), HasLength(0))
    losers = budget.make_upload_room(size, STALLED_MS + 500)
    assert_that(losers, Equals(["trickle"]))
    losers = budget.make_upload_room(BOUNDS.uploads, STALLED_MS + 500)
    assert_that(losers, Equals(["trickle", "fast"]))


def test_uploads_that_arrive_count_even_before_their_first_byte():
    budget: BufferBudget[int, int] = BufferBudget(BOUNDS)
    count = BOUNDS.uploads // READER_BYTES + 1
    for number in range(count):
        budget.begin_upload(number, 0)
    assert_that(budget.fits_upload(1), Equals(False))
    assert_that(budget.make_upload_room(1, STALLED_MS), Not(HasLength(0)))
    for number in range(count):
        budget.end_upload(number)
    assert_that(budget.held_bytes, Equals(0))
