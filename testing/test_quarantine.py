"""Which requests and parts are blamed for crashes, how long, and what clears them."""

from __future__ import annotations

import tracemalloc

from loguru import logger
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.embedded.clock import ManualTimers
from copperrun.routing.crashes import CrashLog
from copperrun.routing.fingerprints import FINGERPRINT_PREFIX
from copperrun.routing.quarantine import ANSWERS_TIME_CONSTANT_MS
from copperrun.routing.quarantine import MAX_ANSWERED_PARTS
from copperrun.routing.quarantine import MAX_ANSWERED_REQUESTS
from copperrun.routing.quarantine import MAX_ANSWERS
from copperrun.routing.quarantine import MIN_CRASHES
from copperrun.routing.quarantine import MIN_CRASHES_ALONE
from copperrun.routing.quarantine import QUARANTINE_MS
from copperrun.routing.quarantine import SAME_EVENT_MS
from copperrun.routing.quarantine import TURN_MS
from copperrun.routing.quarantine import Quarantine

BAD = ("first", "bad")


class Case:
    """A quarantine with a manual clock."""

    def __init__(self, *, stagger_ms: int = 0) -> None:
        self.timers = ManualTimers()
        self.log = CrashLog(self.timers)
        self.quarantine = Quarantine(self.log, self.timers, stagger_ms=stagger_ms)
        self.crash_count = 0

    async def crash(self, *prompts: tuple[str, ...], after_ms: int = 1_000) -> None:
        """Let a server end that was working on these prompts."""
        await self.timers.advance(after_ms)
        self.crash_count += 1
        for parts in prompts:
            self.quarantine.record_crash(f"c{self.crash_count}", "llm", parts)

    async def crash_often(self, *prompts: tuple[str, ...]) -> None:
        for _ in range(MIN_CRASHES):
            await self.crash(*prompts)

    def begin(self, *parts: str, pool: str = "llm") -> None:
        self.quarantine.record_begun(pool, parts)

    def is_blocked(self, *parts: str) -> bool:
        return self.quarantine.blocked_ms(parts) > 0


async def test_a_part_is_blocked_after_several_crashes_and_not_before():
    case = Case()
    for _ in range(MIN_CRASHES - 1):
        await case.crash(("bad",))
        assert_that(case.is_blocked("bad"), Equals(False))
    await case.crash(("bad",))
    assert_that(case.is_blocked("bad"), Equals(True))
    assert_that(case.is_blocked("other"), Equals(False))
    assert_that(case.is_blocked(), Equals(False))


async def test_parts_with_recent_answers_need_more_crashes():
    case = Case()
    case.begin("first", "ok")
    await case.crash_often(BAD, ("first", "ok"))
    assert_that(case.is_blocked("first", "ok"), Equals(False))
    assert_that(case.is_blocked("first", "new"), Equals(False))
    assert_that(case.is_blocked("first", "bad"), Equals(True))


async def test_an_answer_that_begins_clears_earlier_crashes():
    case = Case()
    for _ in range(MIN_CRASHES - 1):
        await case.crash(("unlucky",))
    case.begin("unlucky")
    await case.timers.advance(10 * ANSWERS_TIME_CONSTANT_MS)
    await case.crash(("unlucky",))
    assert_that(case.is_blocked("unlucky"), Equals(False))


async def test_an_answer_before_a_crash_does_not_clear_it():
    witness, other = Case(), Case()
    witness.begin("turned")
    await other.timers.advance(2_000)
    await witness.timers.advance(2_000)
    await other.crash_often(("turned",))
    await witness.timers.advance(1_000 * MIN_CRASHES)
    witness.log.merge(other.log.changes_since(0))
    other.log.merge(witness.log.changes_since(0))
    assert_that(other.is_blocked("turned"), Equals(True))


async def test_a_part_that_turns_bad_is_found_by_some_more_crashes():
    case = Case()
    for _ in range(1_000):
        case.begin("turned")
    for _ in range(MIN_CRASHES + MAX_ANSWERS - 1):
        await case.crash(("turned",), after_ms=SAME_EVENT_MS)
    assert_that(case.is_blocked("turned"), Equals(False))
    await case.crash(("turned",))
    assert_that(case.is_blocked("turned"), Equals(True))


async def test_what_all_requests_share_is_not_blamed_while_no_server_is_left():
    case = Case()
    for _ in range(50):
        case.begin("first")
    for _ in range(MIN_CRASHES):
        await case.crash(BAD)
    assert_that(case.is_blocked("first", "bad"), Equals(True))
    assert_that(case.is_blocked("first"), Equals(False))


async def test_a_part_that_was_only_near_by_is_explained_away():
    case = Case()
    await case.crash(("bad",), ("near",))
    await case.crash(("bad",), ("near",))
    await case.crash(("bad",))
    await case.crash(("bad",), ("near",))
    assert_that(case.is_blocked("bad"), Equals(True))
    assert_that(case.is_blocked("near"), Equals(False))


async def test_a_part_blamed_by_chance_is_freed_when_another_explains_more():
    case = Case()
    await case.crash_often(("bad",), ("near",))
    # Neither alone is blamed yet: what occurred together may be harmless apart.
    assert_that(case.is_blocked("near"), Equals(False))
    assert_that(case.is_blocked("bad"), Equals(False))
    assert_that(case.is_blocked("bad", "near"), Equals(True))
    await case.crash(("bad",))
    assert_that(case.is_blocked("bad"), Equals(True))
    assert_that(case.is_blocked("near"), Equals(False))


async def test_two_bad_parts_are_both_found():
    case = Case()
    await case.crash_often(("bad",))
    await case.crash_often(("worse",))
    assert_that(case.is_blocked("bad"), Equals(True))
    assert_that(case.is_blocked("worse"), Equals(True))


async def test_servers_that_end_together_count_once():
    case = Case()
    await case.crash(("part",))
    for _ in range(2 * MIN_CRASHES):
        await case.crash(("part",), after_ms=SAME_EVENT_MS // (4 * MIN_CRASHES))
    assert_that(case.is_blocked("part"), Equals(False))


async def test_many_victims_of_one_crash_count_once():
    case = Case()
    await case.crash(*[("part",)] * 10)
    assert_that(case.is_blocked("part"), Equals(False))


async def test_a_part_is_tried_again_after_some_time_and_blocked_by_one_more_crash():
    case = Case()
    await case.crash_often(("bad",))
    await case.timers.advance(QUARANTINE_MS - 1)
    assert_that(case.is_blocked("bad"), Equals(True))
    await case.timers.advance(1)
    assert_that(case.is_blocked("bad"), Equals(False))
    await case.crash(("bad",), after_ms=0)
    assert_that(case.is_blocked("bad"), Equals(True))
    assert_that(case.quarantine.blocked_ms(["bad"]), Equals(QUARANTINE_MS))


async def test_a_part_that_is_sound_when_tried_again_is_free():
    case = Case()
    await case.crash_often(("part",))
    await case.timers.advance(QUARANTINE_MS)
    case.begin("part")
    await case.timers.advance(ANSWERS_TIME_CONSTANT_MS)
    for _ in range(MIN_CRASHES - 1):
        await case.crash(("part",))
    assert_that(case.is_blocked("part"), Equals(False))


async def test_entries_try_a_part_again_one_after_the_other():
    early, late = Case(), Case(stagger_ms=5_000)
    for case in (early, late):
        await case.crash_often(("bad",))
        await case.timers.advance(QUARANTINE_MS)
    assert_that(early.is_blocked("bad"), Equals(False))
    assert_that(late.is_blocked("bad"), Equals(True))
    await early.crash(("bad",), after_ms=0)
    late.log.merge(early.log.changes_since(0))
    assert_that(late.quarantine.blocked_ms(["bad"]), GreaterThan(QUARANTINE_MS))


async def test_what_an_entry_knows_as_sound_clears_the_part_for_all():
    witness, other = Case(), Case()
    await other.crash_often(("rare",))
    assert_that(other.is_blocked("rare"), Equals(True))
    witness.begin("rare")
    witness.log.merge(other.log.changes_since(0))
    other.log.merge(witness.log.changes_since(0))
    assert_that(other.is_blocked("rare"), Equals(False))


async def test_an_answer_in_one_pool_does_not_clear_crashes_in_another():
    case = Case()
    case.begin("bad", pool="other")
    await case.crash_often(("bad",))
    case.begin("bad", pool="other")
    assert_that(case.is_blocked("bad"), Equals(True))


REQUEST, NEAR, THIRD = (f"{FINGERPRINT_PREFIX}{digit}" for digit in "123")


async def test_a_request_is_blocked_by_servers_that_end_with_it_one_after_the_other():
    case = Case()
    for _ in range(MIN_CRASHES - 1):
        await case.crash((REQUEST,), after_ms=SAME_EVENT_MS // 10)
        assert_that(case.is_blocked(REQUEST), Equals(False))
    await case.crash((REQUEST,), after_ms=SAME_EVENT_MS // 10)
    assert_that(case.is_blocked(REQUEST), Equals(True))
    assert_that(case.is_blocked(NEAR), Equals(False))
    assert_that(case.quarantine.blocked_ms([REQUEST]), Equals(QUARANTINE_MS))


async def test_a_request_that_many_send_is_not_blocked_by_servers_that_end_together():
    case = Case()
    for _ in range(50):
        case.begin(REQUEST)
    for _ in range(3 * MIN_CRASHES):
        await case.crash((REQUEST,), after_ms=SAME_EVENT_MS // 20)
    assert_that(case.is_blocked(REQUEST), Equals(False))


async def test_a_request_that_turns_bad_is_found_by_one_more_crash():
    case = Case()
    for _ in range(1_000):
        case.begin(REQUEST)
    for _ in range(MIN_CRASHES):
        await case.crash((REQUEST,))
    assert_that(case.is_blocked(REQUEST), Equals(False))
    await case.crash((REQUEST,))
    assert_that(case.is_blocked(REQUEST), Equals(True))


async def test_an_answer_clears_a_request_of_earlier_crashes():
    case = Case()
    for _ in range(MIN_CRASHES - 1):
        await case.crash((REQUEST,))
    case.begin(REQUEST)
    await case.timers.advance(10 * ANSWERS_TIME_CONSTANT_MS)
    await case.crash((REQUEST,))
    assert_that(case.is_blocked(REQUEST), Equals(False))


async def test_requests_carried_on_together_are_tried_one_after_the_other():
    case = Case()
    await case.crash_often((REQUEST,), (NEAR,))
    waits = []
    for _ in range(4):
        waits.append([case.quarantine.blocked_ms([item]) for item in (REQUEST, NEAR)])
        await case.timers.advance(TURN_MS)
    assert_that(waits, Equals([[0, TURN_MS], [TURN_MS, 0]] * 2))
    await case.timers.advance(TURN_MS // 4)
    assert_that(case.quarantine.blocked_ms([NEAR]), Equals(TURN_MS * 3 // 4))


async def test_the_next_crash_tells_which_of_two_requests_it_was():
    case = Case()
    await case.crash_often((REQUEST,), (NEAR,))
    await case.crash((REQUEST,))
    assert_that(case.quarantine.blocked_ms([REQUEST]), Equals(QUARANTINE_MS))
    assert_that(case.is_blocked(NEAR), Equals(False))


async def test_the_next_answer_tells_which_of_two_requests_it_was():
    case = Case()
    await case.crash_often((REQUEST,), (NEAR,))
    case.begin(NEAR)
    assert_that(case.quarantine.blocked_ms([REQUEST]), Equals(QUARANTINE_MS))
    assert_that(case.is_blocked(NEAR), Equals(False))


async def test_a_sound_request_lost_in_each_crash_is_not_put_into_quarantine():
    case = Case()
    for _ in range(2 * MIN_CRASHES):
        await case.crash((REQUEST,), (NEAR,))
        for request in (REQUEST, NEAR):
            blocked_ms = case.quarantine.blocked_ms([request])
            assert_that(blocked_ms, LessThan(TURN_MS + 1))


async def test_requests_in_as_many_crashes_some_of_them_shared_take_turns():
    case = Case()
    for _ in range(MIN_CRASHES - 1):
        await case.crash((REQUEST,), (NEAR,))
    await case.crash((REQUEST,), (THIRD,))
    await case.crash((NEAR,))
    blocked_ms = [case.quarantine.blocked_ms([item]) for item in (REQUEST, NEAR)]
    assert_that(sorted(blocked_ms), Equals([0, TURN_MS]))
    assert_that(case.is_blocked(THIRD), Equals(False))


async def test_a_request_with_its_parts_is_blocked_and_others_with_them_are_not():
    case = Case()
    await case.crash_often(("first", "second", REQUEST))
    assert_that(case.is_blocked("first", "second", REQUEST), Equals(True))
    assert_that(case.is_blocked("first", "second", NEAR), Equals(False))


async def test_a_part_that_is_always_near_by_does_not_hide_a_bad_request():
    case = Case()
    for _ in range(MIN_CRASHES_ALONE):
        await case.crash((REQUEST,), ("near",))
    assert_that(case.is_blocked(REQUEST), Equals(True))
    assert_that(case.is_blocked("near"), Equals(False))


async def test_a_bad_part_is_found_though_its_requests_end_several_servers_each():
    case = Case()
    for number in range(MIN_CRASHES):
        for _ in range(MIN_CRASHES):
            request = f"{FINGERPRINT_PREFIX}{number}"
            await case.crash(("bad", request), after_ms=SAME_EVENT_MS // 10)
        await case.timers.advance(2 * SAME_EVENT_MS)
    assert_that(case.is_blocked("bad", NEAR), Equals(True))


async def test_answers_on_requests_do_not_push_out_those_on_parts():
    case = Case()
    case.begin("first", REQUEST)
    for number in range(MAX_ANSWERED_PARTS + 1):
        case.begin(f"{FINGERPRINT_PREFIX}x{number}")
    await case.crash_often(("first", "bad"), (REQUEST,))
    # The answer on the part still counts, the one on the request is gone.
    assert_that(case.is_blocked("first"), Equals(False))
    assert_that(case.is_blocked("bad", "first"), Equals(False))
    assert_that(case.is_blocked("bad", REQUEST), Equals(True))


async def test_what_is_kept_of_answered_requests_is_bounded():
    case = Case()
    tracemalloc.start()
    for number in range(20 * MAX_ANSWERED_REQUESTS):
        case.begin(f"{FINGERPRINT_PREFIX}{number:032x}")
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert_that(kept_bytes, LessThan(500_000))


async def test_the_log_names_what_is_blamed():
    case = Case()
    lines: list[tuple[str, dict]] = []
    sink = logger.add(
        lambda message: lines.append(
            (message.record["message"], message.record["extra"])
        )
    )
    await case.crash_often(("first", REQUEST))
    case.begin(REQUEST)
    await case.crash_often((NEAR,), (THIRD,))
    logger.remove(sink)
    found = [(name, fields.get("fingerprint")) for name, fields in lines]
    assert_that(found, Contains(("request in quarantine", REQUEST)))
    assert_that(found, Contains(("request no longer in quarantine", REQUEST)))
    tried = [f["fingerprints"] for name, f in lines if "one after" in name]
    assert_that(tried, Equals([[NEAR, THIRD]]))
