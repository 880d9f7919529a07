"""Order and pace in which requests are admitted to an engine."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.admission.prefill import GRANT_TTL_MS
from copperrun.admission.prefill import PrefillQueue
from copperrun.admission.prefill import PrefillSpeed
from copperrun.admission.tickets import Ticket

GAP_MS = 300
STEP_TOKENS = 4_096  # prompt tokens that an engine prefills in one step
FIRST_EVENT_DELAY_MS = 80  # from the end of a prefill to the first event


def ticket(name: str, **changes: object) -> Ticket:
    plain = Ticket(
        name,
        "m",
        priority=1,
        tokens=1_500,
        gap_ms=GAP_MS,
        target_ms=1_000,
        deadline_ms=10_000,
    )
    return plain._replace(**changes)


def queue() -> PrefillQueue:
    prefill = PrefillQueue()
    prefill.tokens_per_event = 2
    prefill.initial_tokens_per_ms = {"m": 15.0, "small": 60.0}
    return prefill


def grant_ids(prefill: PrefillQueue, now_ms: int) -> list[str]:
    return [item.id for item in prefill.issue_grants(now_ms)]


def test_lone_request_is_granted_at_once_whatever_its_length():
    prefill = queue()
    prefill.enqueue(ticket("long", tokens=100_000))
    assert_that(grant_ids(prefill, 0), Equals(["long"]))


def test_grants_follow_priority_then_least_slack():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 0)
    prefill.enqueue(ticket("crew", priority=2, target_ms=100))
    prefill.enqueue(ticket("later", target_ms=900))
    prefill.enqueue(ticket("sooner", target_ms=500))
    order = []
    for now_ms in range(0, 2_000, 10):
        order += grant_ids(prefill, now_ms)
        for name in order:
            prefill.record_first_event(name, now_ms)
        prefill.record_first_event("running", now_ms)
    assert_that(order, Equals(["sooner", "later", "crew"]))


def test_requests_past_their_target_yield_to_those_in_time():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 2_000)
    prefill.enqueue(ticket("missed", target_ms=1_000))
    prefill.enqueue(ticket("in time", target_ms=3_000))
    prefill.record_first_event("running", 2_100)
    assert_that(grant_ids(prefill, 2_300)[0], Equals("in time"))


def test_burst_is_limited_to_the_allowed_gap():
    # 40 prompts at once, as after the load of a model.
    prefill = queue()
    for number in range(40):
        prefill.enqueue(ticket(str(number)))
    first = grant_ids(prefill, 0)
    prefill_ms = sum(1_500 / 15.0 for _ in first)
    assert_that(prefill_ms, LessThan(GAP_MS))


def test_engine_stays_busy_while_requests_wait():
    # 40 prompts at once; the engine prefills 15 tokens per ms after a fixed delay.
    prefill, engine = queue(), _Engine(rate=15.0, delay_ms=80)
    for number in range(40):
        prefill.enqueue(ticket(str(number)))
    done_ms = 0
    for now_ms in range(0, 20_000, 5):
        for item in prefill.issue_grants(now_ms):
            engine.submit(item, now_ms)
        for name in engine.pop_finished(now_ms):
            prefill.record_first_event(name, now_ms)
            done_ms = now_ms
    ideal_ms = 40 * 1_500 / 15.0
    assert_that(engine.count, Equals(40))
    assert_that(done_ms, LessThan(ideal_ms * 1.5))


def test_grant_of_a_dead_entry_expires():
    prefill = queue()
    prefill.enqueue(ticket("lost", tokens=20_000))
    grant_ids(prefill, 0)
    prefill.enqueue(ticket("next", tokens=20_000))
    assert_that(grant_ids(prefill, GRANT_TTL_MS - 1), Equals([]))
    assert_that(grant_ids(prefill, GRANT_TTL_MS + 1), Equals(["next"]))


def test_removed_request_releases_its_grant():
    prefill = queue()
    prefill.enqueue(ticket("gone", tokens=20_000))
    grant_ids(prefill, 0)
    prefill.enqueue(ticket("next"))
    prefill.remove("gone")
    assert_that(grant_ids(prefill, 2_000), Equals(["next"]))


def test_request_that_cannot_meet_its_deadline_is_detected_at_once():
    prefill = queue()
    for number in range(100):
        prefill.enqueue(ticket(str(number)))
    assert_that(prefill.can_meet_deadline(ticket("late"), 0), Equals(False))
    urgent = ticket("urgent", priority=0)
    assert_that(prefill.can_meet_deadline(urgent, 0), Equals(True))


def test_speed_is_estimated_despite_noise():
    random = Random(5)
    speed = PrefillSpeed(initial_tokens_per_ms=15.0)
    for _ in range(200):
        tokens = random.randint(300, 3_800)
        noise = random.uniform(-20, 20)
        speed.add_sample(tokens, int(150 + tokens / 25.0 + noise))
    assert_that(speed.tokens_per_ms, GreaterThan(22.0))
    assert_that(speed.tokens_per_ms, LessThan(28.0))
    assert_that(abs(speed.delay_ms - 150), LessThan(15))


def test_slowdown_of_the_engine_is_detected():
    random = Random(6)
    speed = PrefillSpeed(initial_tokens_per_ms=20.0)
    for step in range(400):
        tokens = random.randint(300, 3_800)
        rate = 20.0 if step < 200 else 5.0
        speed.add_sample(tokens, int(100 + tokens / rate))
    assert_that(speed.tokens_per_ms, LessThan(6.0))


def test_speed_of_a_busy_engine_is_estimated_correctly():
    # Guards against sampling overlapping prompts, which makes short ones look slow.
    # In scenario quiet-1 of the joint venture, the estimate was 28 tokens per ms, not
    # 19, and gaps of up to 436 ms hit 35 streams at once.
    prefill, gaps_ms = queue(), []
    _simulate(prefill, rate=19.2, seconds=60, on_gap=gaps_ms.append)
    assert_that(prefill.speed("m").tokens_per_ms, GreaterThan(15.0))
    assert_that(prefill.speed("m").tokens_per_ms, LessThan(22.0))
    assert_that(max(gaps_ms), LessThan(GAP_MS))


def test_slowdown_of_a_busy_engine_is_detected():
    prefill = queue()
    _simulate(prefill, rate=19.2, seconds=20)
    _simulate(prefill, rate=4.8, seconds=40, begin_ms=20_000)
    assert_that(prefill.speed("m").tokens_per_ms, LessThan(10.0))


def _simulate(
    prefill: PrefillQueue,
    *,
    rate: float,
    seconds: int,
    begin_ms: int = 0,
    on_gap: Callable[[int], None] = lambda gap_ms: None,
) -> None:
    """Simulate an engine that prefills in chunks between its decode steps."""
    random = Random(7)
    pending: deque[list] = deque()  # id, tokens left
    in_transit: list[tuple[int, Ticket]] = []
    cached_tokens = 150  # of a shared prefix
    first_events: list[tuple[int, str]] = []  # arrival time, id
    step_ends_ms, lengths, count = begin_ms, [0, 0], 0
    for now_ms in range(begin_ms, begin_ms + 1_000 * seconds):
        while first_events and first_events[0][0] <= now_ms:
            prefill.record_first_event(first_events.pop(0)[1], now_ms)
        if random.random() < 0.009:
            count += 1
            tokens = min(int(random.lognormvariate(6.8, 0.8)) + 200, 3_790)
            due = {"target_ms": now_ms + 1_000, "deadline_ms": now_ms + 5_000}
            prefill.enqueue(ticket(f"{begin_ms}-{count}", tokens=tokens, **due))
        for item in prefill.issue_grants(now_ms):
            # Time from the side through the entry to the engine.
            transit_ms = random.choice((1, 40))
            in_transit.append((now_ms + transit_ms, item))
        for at_ms, item in [pair for pair in in_transit if pair[0] <= now_ms]:
            in_transit.remove((at_ms, item))
            pending.append([item.id, item.tokens - cached_tokens])
        if now_ms < step_ends_ms:
            continue
        prefilled, finished = 0, []
        while pending and prefilled < STEP_TOKENS:
            chunk = min(pending[0][1], STEP_TOKENS - prefilled)
            prefilled += chunk
            pending[0][1] -= chunk
            if pending[0][1] == 0:
                finished.append(pending.popleft()[0])
        length_ms = int(12 + prefilled / rate)
        step_ends_ms = now_ms + length_ms
        return_ms = random.choice((1, 40))
        first_events += [
            (step_ends_ms + FIRST_EVENT_DELAY_MS + return_ms, name) for name in finished
        ]
        first_events.sort()
        lengths = [lengths[1], length_ms]
        on_gap(sum(lengths))  # an event carries the tokens of two steps


def test_small_models_are_admitted_faster_than_large_ones():
    prefill = queue()
    for number in range(10):
        prefill.enqueue(ticket(str(number), model="small"))
    small = len(grant_ids(prefill, 0))
    other = queue()
    for number in range(10):
        other.enqueue(ticket(str(number)))
    assert_that(small, GreaterThan(len(grant_ids(other, 0))))


def test_utilization_follows_the_granted_prefill_time():
    prefill = queue()
    assert_that(prefill.utilization(0), Equals(0.0))
    for now_ms in range(0, 10_000, 100):
        prefill.enqueue(ticket(str(now_ms), gap_ms=0, tokens=750))
        grant_ids(prefill, now_ms)
        prefill.remove(str(now_ms))
    assert_that(abs(prefill.utilization(10_000) - 0.5), LessThan(0.1))


class _Engine:
    """Prefills prompts one after another; first events follow after a delay."""

    def __init__(self, rate: float, delay_ms: int) -> None:
        self.count = 0
        self._rate = rate
        self._delay_ms = delay_ms
        self._free_ms = 0.0
        self._due: list[tuple[float, str]] = []

    def submit(self, item: Ticket, now_ms: int) -> None:
        start_ms = max(self._free_ms, now_ms + self._delay_ms)
        self._free_ms = start_ms + item.tokens / self._rate
        self._due.append((self._free_ms, item.id))

    def pop_finished(self, now_ms: int) -> list[str]:
        done = [name for due_ms, name in self._due if due_ms <= now_ms]
        self._due = [item for item in self._due if item[0] > now_ms]
        self.count += len(done)
        return done
