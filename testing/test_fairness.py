"""Client accounts share engines fairly; plays of load without a network."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Mapping
from random import Random

import pytest
from test_prefill import grant_ids
from test_prefill import queue
from test_prefill import ticket
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.admission.fairness import MIN_ASKED
from copperrun.admission.fairness import FairShares
from copperrun.admission.fairness import ServedFractions
from copperrun.admission.fairness import Share
from copperrun.admission.prefill import PrefillQueue
from copperrun.admission.tickets import Ticket

RATE = 15.0  # prompt tokens that an engine prefills in a ms
DELAY_MS = 80  # from the end of a prefill to the first event
TARGET_MS = 1_000
DEADLINE_MS = 4_000
TICK_MS = 5
ENGINES = 3
OTHERS = [f"account-{number}" for number in range(15)]
HOT = "hot"


class Outcome:
    """What the requests of one account got."""

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.served = 0
        self.tokens = 0

    @property
    def in_time_share(self) -> float:
        return self.in_time / self.asked

    @property
    def served_share(self) -> float:
        return self.served / self.asked


class Play:
    """Callers of many accounts, an entry that knows the backlogs, and engines."""

    def __init__(
        self, seed: int, ranks: Mapping[str, int], *, names_accounts: bool
    ) -> None:
        self.outcomes: defaultdict[str, Outcome] = defaultdict(Outcome)
        self._random = Random(seed)
        self._ranks = ranks
        self._names_accounts = names_accounts
        self._queues = [queue() for _ in range(ENGINES)]
        self._free_ms = [0.0] * ENGINES
        self._started_ms: dict[str, int] = {}
        self._first_events: list[tuple[float, int, Ticket]] = []
        self._waiting: dict[str, tuple[PrefillQueue, Ticket]] = {}

    def run(self, rates: Mapping[str, float], *, seconds: int) -> None:
        """Play requests at so many a second for each account."""
        count = 0
        for now_ms in range(0, seconds * 1_000, TICK_MS):
            for account, rate in rates.items():
                if self._random.random() < rate * TICK_MS / 1_000:
                    count += 1
                    self._arrive(f"{account}/{count}", account, now_ms)
            self._step(now_ms)

    def _arrive(self, name: str, account: str, now_ms: int) -> None:
        self.outcomes[account].asked += 1
        req = ticket(
            name,
            priority=self._ranks.get(account, 1),
            tokens=min(int(self._random.lognormvariate(6.8, 0.8)) + 200, 3_790),
            target_ms=now_ms + TARGET_MS,
            deadline_ms=now_ms + DEADLINE_MS,
            account=account if self._names_accounts else "",
        )
        for prefill in sorted(self._queues, key=PrefillQueue.backlog_ms):
            prefill.record_asked(req, now_ms)
            if prefill.can_meet_deadline(req, now_ms):
                self._started_ms[name] = now_ms
                self._waiting[name] = prefill, req
                prefill.enqueue(req)
                return

    def _step(self, now_ms: int) -> None:
        # Sides look again at each request when another may be granted.
        looks = now_ms % 50 == 0
        for name, (prefill, req) in list(self._waiting.items()) * looks:
            if not prefill.can_meet_deadline(req, now_ms):
                prefill.remove(name)
                del self._waiting[name]
        for number, prefill in enumerate(self._queues):
            for req in prefill.issue_grants(now_ms):
                del self._waiting[req.id]
                start_ms = max(self._free_ms[number], now_ms)
                self._free_ms[number] = start_ms + req.tokens / RATE
                at_ms = self._free_ms[number] + DELAY_MS
                self._first_events.append((at_ms, number, req))
        self._first_events.sort()
        while self._first_events and self._first_events[0][0] <= now_ms:
            _, number, req = self._first_events.pop(0)
            self._queues[number].record_first_event(req.id, now_ms)
            outcome = self.outcomes[req.id.split("/")[0]]
            outcome.served += 1
            outcome.tokens += req.tokens
            outcome.in_time += now_ms <= req.target_ms


def _play(
    hot_factor: float,
    *,
    seed: int,
    ranks: Mapping[str, int] | None = None,
    names_accounts: bool = True,
) -> Mapping[str, Outcome]:
    """Play 15 small accounts and a large one of a quarter of the load."""
    # Usually 0.45 of what the engines prefill, at 1,250 tokens a prompt.
    usual = 0.45 * ENGINES * RATE * 1_000 / 1_250
    rates = dict.fromkeys(OTHERS, usual * 0.75 / len(OTHERS))
    rates[HOT] = usual * 0.25 * hot_factor
    play = Play(seed, ranks or {}, names_accounts=names_accounts)
    play.run(rates, seconds=20)
    return play.outcomes


def _others_in_time(outcomes: Mapping[str, Outcome]) -> float:
    asked = sum(outcomes[name].asked for name in OTHERS)
    return sum(outcomes[name].in_time for name in OTHERS) / asked


def _all_served(outcomes: Mapping[str, Outcome]) -> float:
    asked = sum(item.asked for item in outcomes.values())
    return sum(item.served for item in outcomes.values()) / asked


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_account_at_six_times_its_usual_costs_the_others_nothing(seed):
    usual, hot = _play(1.0, seed=seed), _play(6.0, seed=seed)
    # The engines are full now, so that a prompt waits for those that are being read.
    assert_that(_others_in_time(hot), GreaterThan(_others_in_time(usual) - 0.1))
    assert_that(hot[HOT].served_share, LessThan(0.8))


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("hot_rank", [0, 1])
def test_no_account_is_served_less_than_a_quarter_as_often_as_all(seed, hot_rank):
    ranks = {HOT: hot_rank, OTHERS[0]: 2, OTHERS[1]: 2}
    outcomes = _play(6.0, seed=seed, ranks=ranks)
    least = min(item.served_share for item in outcomes.values())
    assert_that(least, GreaterThan(0.25 * _all_served(outcomes)))


def test_engines_stay_as_busy_as_without_accounts():
    tokens = [
        sum(item.tokens for item in _play(6.0, seed=4, names_accounts=named).values())
        for named in (True, False)
    ]
    assert_that(tokens[0], GreaterThan(0.97 * tokens[1]))


def test_requests_that_name_no_account_keep_their_order():
    named, plain = queue(), queue()
    random = Random(8)
    for number in range(30):
        req = ticket(str(number), target_ms=random.randint(500, 2_000))
        plain.enqueue(req)
        named.enqueue(req._replace(account="only"))
    orders = []
    for prefill in (named, plain):
        order: list[str] = []
        for now_ms in range(0, 8_000, 50):
            for name in grant_ids(prefill, now_ms):
                order.append(name)
                prefill.record_first_event(name, now_ms)
        orders.append(order)
    assert_that(orders[0], Equals(orders[1]))
    assert_that(len(orders[1]), Equals(30))


def test_the_expected_wait_of_a_newcomer_leaves_out_most_of_a_long_queue():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 0)
    for number in range(60):
        prefill.enqueue(ticket(str(number), account=HOT))
    newcomer = ticket("newcomer", account="small", deadline_ms=2_000)
    one_more = ticket("one more", account=HOT, deadline_ms=2_000)
    assert_that(prefill.expected_wait_ms(newcomer, 0), LessThan(700))
    assert_that(prefill.can_meet_deadline(newcomer, 0), Equals(True))
    assert_that(prefill.can_meet_deadline(one_more, 0), Equals(False))


def test_accounts_are_served_by_turns_whatever_they_queue():
    prefill = queue()
    prefill.enqueue(ticket("running"))
    grant_ids(prefill, 0)
    for number in range(40):
        prefill.enqueue(ticket(f"{HOT}/{number}", account=HOT))
    for number in range(10):
        due = {"account": "small", "target_ms": 2_000}
        prefill.enqueue(ticket(f"small/{number}", **due))
    prefill.remove("running")
    order: list[str] = []
    for now_ms in range(0, 4_000, 50):
        for name in grant_ids(prefill, now_ms):
            order.append(name.split("/")[0])
            prefill.record_first_event(name, now_ms)
    counts = Counter(order[:20])
    assert_that(counts["small"], GreaterThan(7))


def test_an_account_saves_nothing_up_while_it_sends_nothing():
    shares = FairShares()
    busy, idle = Share(1, "busy"), Share(1, "idle")
    for _ in range(100):
        shares.charge(busy, 100.0, [busy])
    # It is ahead by one request only.
    assert_that(shares.lead_ms(busy), Equals(100.0))
    assert_that(shares.lead_ms(idle), Equals(0.0))


def test_an_account_that_was_served_longer_has_a_lead_while_others_wait():
    shares = FairShares()
    hot, small = Share(1, "hot"), Share(1, "small")
    for _ in range(3):
        shares.charge(hot, 100.0, [hot, small])
    assert_that(shares.lead_ms(hot), Equals(300.0))
    assert_that(shares.lead_ms(Share(2, "hot")), Equals(0.0))


def test_an_account_is_starved_only_after_some_requests():
    fractions = ServedFractions()
    for _ in range(20):
        fractions.record_asked("large", 0)
        fractions.record_served("large")
    for count in range(1, 6):
        fractions.record_asked("small", 0)
        expected = count >= MIN_ASKED
        assert_that("small" in fractions.starved(), Equals(expected))
    for _ in range(3):
        fractions.record_served("small")
    assert_that(fractions.starved(), Equals(set()))


def test_accounts_without_recent_requests_are_forgotten():
    fractions = ServedFractions()
    fractions.record_asked("gone", 0)
    fractions.record_asked("here", 120_000)
    assert_that(set(fractions._by_account), Equals({"here"}))
