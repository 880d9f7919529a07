"""Learned costs of requests, also when what they are learned from misleads."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from factories import engine
from factories import server
from test_admission import Bench
from test_admission import admission_request
from test_relay import SAFE
from test_relay import STREAM
from test_relay import Bench as RelayBench
from test_relay import Plan
from test_relay import events
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.admission.memory import EngineRun
from copperrun.admission.work import EngineWork
from copperrun.admission.work import expected_rest
from copperrun.embedded.clock import ManualTimers
from copperrun.ports.costs import CostKind
from copperrun.ports.responder import Responder
from copperrun.routing.costs import MAX_ESTIMATES
from copperrun.routing.costs import MAX_GROUPS
from copperrun.routing.costs import LearnedCosts
from copperrun.routing.costs import Learner
from copperrun.routing.estimates import with_estimate
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.scoring import MAX_ENGINE_WEIGHT
from copperrun.routing.scoring import RUNNING_REQUEST_MS
from copperrun.routing.scoring import Candidate
from copperrun.routing.scoring import Distance
from copperrun.routing.scoring import choose_engine
from copperrun.routing.scoring import choose_plain_server
from copperrun.routing.servers import ServerReport
from copperrun.routing.work import ServerWork

DRAFT = CostKind("draft", "m", "acme")
CHAT = CostKind("chat", "m", "acme")
LIMIT = 4_000


def learn(
    costs: LearnedCosts,
    kind: CostKind,
    tokens: float,
    count: int,
    hint: Callable[[int], int] = lambda generated: 0,
) -> None:
    """Record answers whose lengths scatter by some 40 % around ``tokens``."""
    random = Random(count)
    for _ in range(count):
        generated = int(tokens * random.lognormvariate(0, 0.4))
        costs.record_output(kind, hint=hint(generated), generated=generated)


def expected(costs: LearnedCosts, kind: CostKind, **changes: int) -> int:
    return costs.estimate_output(
        kind, **{"hint": 0, "limit": LIMIT, **changes}
    ).expected


def between(value: float, low: float, high: float) -> None:
    assert_that(value, GreaterThan(low))
    assert_that(value, LessThan(high))


def test_what_was_never_seen_is_estimated_from_the_limit_alone():
    costs = LearnedCosts()
    estimate = costs.estimate_output(DRAFT, hint=0, limit=200)
    assert_that(estimate.likely, Equals(200))
    between(estimate.expected, 1, 200)


def test_kinds_are_told_apart_and_new_accounts_go_by_their_route():
    costs = LearnedCosts()
    learn(costs, DRAFT, 800, 100)
    learn(costs, CHAT, 40, 100)
    between(expected(costs, DRAFT), 600, 1_200)
    between(expected(costs, CHAT), 30, 70)
    between(expected(costs, CostKind("draft", "other", "new")), 500, 1_200)


def test_one_account_with_heavy_work_changes_no_other():
    costs = LearnedCosts()
    accounts = [CostKind("chat", "m", f"a{number}") for number in range(9)]
    heavy = CostKind("chat", "m", "heavy")
    for _ in range(8):
        for kind in accounts:
            learn(costs, kind, 40, 6)
        learn(costs, heavy, 1_200, 6)
    between(expected(costs, heavy), 600, 1_800)
    between(expected(costs, accounts[0]), 30, 250)
    # Its other models are known from its account, too.
    assert_that(expected(costs, heavy._replace(model="n")), GreaterThan(400))


def test_a_request_that_outlived_its_estimate_is_not_nearly_done():
    costs = LearnedCosts()
    learn(costs, DRAFT, 100, 200)
    for generated in (400, 800, 1_600, 2_400):
        rest = expected(costs, DRAFT, generated=generated) - generated
        assert_that(rest, GreaterThan(generated * 0.15))
    assert_that(expected(costs, DRAFT, generated=LIMIT), Equals(LIMIT))


def test_the_expected_rest_shrinks_while_a_request_is_as_expected():
    costs = LearnedCosts()
    learn(costs, DRAFT, 400, 200)
    rests = [expected(costs, DRAFT, generated=n) - n for n in (0, 100, 200)]
    assert_that(rests, Equals(sorted(rests, reverse=True)))


def test_first_hints_are_believed_until_they_prove_wrong():
    costs = LearnedCosts()
    for hint in (30, 300):
        between(expected(costs, DRAFT, hint=hint), 0.8 * hint, 2 * hint)
    learn(costs, DRAFT, 200, 60, lambda n: 3_000 if n % 2 else 5)
    between(expected(costs, DRAFT, hint=3_000), 120, 350)


def test_right_hints_are_used_and_steady_lies_corrected():
    for lie in (1, 10, 0.1):
        costs = LearnedCosts()
        for tokens in (50, 200, 800) * 24:
            learn(costs, DRAFT, tokens, 1, lambda n, lie=lie: max(int(n * lie), 1))
        for tokens in (60, 700):
            estimate = expected(costs, DRAFT, hint=max(int(tokens * lie), 1))
            between(estimate, tokens * 0.6, tokens * 2.2)


def test_hints_that_lie_at_random_by_ten_are_not_used():
    random = Random(4)
    costs = LearnedCosts()
    for _ in range(150):
        learn(
            costs, DRAFT, 200, 1, lambda n: max(int(n * 10 ** random.uniform(-1, 1)), 1)
        )
    plain = expected(costs, DRAFT)
    for hint in (20, 200, 2_000):
        assert_that(expected(costs, DRAFT, hint=hint), Equals(plain))


def test_hints_that_begin_to_lie_are_dropped_within_100_answers():
    random = Random(5)
    costs = LearnedCosts()
    for tokens in (50, 200, 800) * 20:
        learn(costs, DRAFT, tokens, 1, lambda n: n)
    for _ in range(100):
        learn(
            costs, DRAFT, 200, 1, lambda n: max(int(n * 10 ** random.uniform(-1, 1)), 1)
        )
    between(expected(costs, DRAFT, hint=2_000), 100, 500)


def test_a_route_whose_cost_jumps_tenfold_is_known_after_60_answers():
    costs = LearnedCosts()
    learn(costs, DRAFT, 60, 500)
    learn(costs, DRAFT, 600, 60)
    between(expected(costs, DRAFT), 350, 900)
    learn(costs, DRAFT, 60, 60)
    assert_that(expected(costs, DRAFT), LessThan(300))


def test_rare_kinds_of_a_route_that_jumped_follow_it():
    costs = LearnedCosts()
    rare = DRAFT._replace(account="rare", model="rare")
    learn(costs, rare, 60, 50)
    learn(costs, DRAFT, 600, 10_000)
    between(expected(costs, rare), 300, 900)


def test_a_group_that_saw_nothing_for_long_learns_anew():
    learner = Learner()
    learner.add(DRAFT, 4)
    learner.sample += 10**9
    learner.add(DRAFT, 12)
    assert_that(learner.samples(DRAFT), LessThan(1.1))
    assert_that(
        learner.shares(DRAFT)[12], GreaterThan(0.5 * sum(learner.shares(DRAFT)))
    )


def test_memory_is_bounded_at_any_count_of_kinds():
    costs = LearnedCosts()
    for number in range(3 * MAX_GROUPS):
        kind = CostKind(f"r{number % 5}", f"m{number}", f"a{number % 50}")
        costs.record_output(kind, hint=10, generated=20)
        costs.estimate_output(kind, hint=10, limit=100)
        costs.record_call(kind, 20.0)
    for learner in (costs._outputs, costs._ratios, costs._calls):
        assert isinstance(learner, Learner)
        assert_that(len(learner), LessThan(MAX_GROUPS + 1))
        assert_that(len(learner._estimates), LessThan(MAX_ESTIMATES + 1))


def test_plain_calls_are_learned_by_route_and_method():
    costs = LearnedCosts()
    for _ in range(50):
        costs.record_call(CostKind("ledger", "POST"), 90.0)
        costs.record_call(CostKind("ledger", "GET"), 9.0)
    between(costs.estimate_call_ms(CostKind("ledger", "POST")), 60, 130)
    between(costs.estimate_call_ms(CostKind("ledger", "GET")), 5, 20)


def candidates(random: Random, count: int) -> list[Candidate]:
    return [
        Candidate(
            random.randint(0, 60),
            random.choice([0, random.randint(0, 400)]),
            64,
            Distance.ZONE,
            0.0,
            work_ms=random.choice([0.0, 10 ** random.uniform(0, 7)]),
        )
        for _ in range(count)
    ]


def test_a_choice_by_wrong_work_is_never_worse_than_its_bound():
    # The delay by today's rule of what is chosen, against the best by that rule.
    random = Random(6)
    for _ in range(2_000):
        servers = candidates(random, random.randint(2, 8))
        delays = [item.wait_ms + RUNNING_REQUEST_MS * item.load for item in servers]
        chosen = delays[choose_engine(servers)]
        assert chosen <= MAX_ENGINE_WEIGHT**2 * min(delays) + 1e-6


def test_without_the_work_of_each_server_requests_are_counted():
    random = Random(7)
    for _ in range(500):
        servers = candidates(random, 4)
        servers[0] = servers[0]._replace(work_ms=None)
        plain = [item._replace(work_ms=None) for item in servers]
        assert_that(choose_engine(servers), Equals(choose_engine(plain)))


def test_an_engine_whose_requests_are_nearly_done_is_preferred():
    near_done = Candidate(22, 0, 64, Distance.ZONE, 0.0, work_ms=2_000)
    just_begun = Candidate(18, 0, 64, Distance.ZONE, 0.0, work_ms=30_000)
    assert_that(choose_engine([just_begun, near_done]), Equals(1))


def test_a_step_is_measured_from_the_engines_own_report():
    work = EngineWork()
    work.tokens_per_event = 4
    for turn in range(40):
        now_ms = 200 * turn
        # Events of four tokens, 25 ms a step: one event in 100 ms.
        work.apply_report([EngineRun("r", 100, 5 + 2 * turn)], now_ms)
    between(work.step_ms, 24, 26)
    for turn in range(40, 60):
        work.apply_report([EngineRun("r", 100, 85 + turn)], 200 * turn)
    between(work.step_ms, 45, 51)


def test_work_left_falls_with_what_is_generated_and_stays_for_the_late():
    work = EngineWork()
    work.begin(admission_request("r", expected_output=100, output_tokens=1_000))
    begun_ms = work.left_ms()
    work.apply_report([EngineRun("r", 100, 40)], 0)
    assert_that(work.left_ms(), LessThan(begun_ms * 0.7))
    work.apply_report([EngineRun("r", 100, 400)], 0)
    assert_that(work.left_ms(), GreaterThan(begun_ms))
    work.end("r")
    assert_that(work.left_ms(), Equals(0))


async def test_a_side_reports_work_only_to_entries_that_learn_costs():
    for changes, knows in (({}, False), ({"expected_output": 100}, True)):
        bench = Bench()
        await bench.start()
        bench.admit(admission_request("r", output_tokens=200, **changes))
        await bench.timers.advance(5)
        report = bench.admission.report()
        assert report is not None
        assert_that((report.work_ms > 0, report.step_ms > 0), Equals((knows, knows)))


async def test_entries_learn_from_whole_answers_and_state_what_they_expect():
    bench = RelayBench(engine("e", ["m"]))
    costs = LearnedCosts()
    bench.relay._costs = costs
    bench.backends.plans["e"] = [Plan(parts=events(1, 30)) for _ in range(12)]
    for _ in range(12):
        await bench.handle(STREAM, model="m", prompt_tokens=100, output_tokens=900)
    # An event holds two tokens.
    kind = CostKind("r", "m")
    between(expected(costs, kind, limit=900), 45, 110)
    assert_that(bench.sides.admission_requests[0][1].expected_output, Equals(0))


class PlainServers:
    """Servers of six slots whose calls take 20 ms, or more where one is slow."""

    def __init__(self, timers: ManualTimers, count: int) -> None:
        self.timers = timers
        self.factors = [1.0] * count
        self.works = [ServerWork(timers) for _ in range(count)]
        self.running: list[list[tuple[float, float]]] = [[] for _ in range(count)]

    def candidates(self, *, learns: bool) -> list[Candidate]:
        return [
            Candidate(
                len(running),
                0,
                6,
                Distance.ZONE,
                0.0,
                work_ms=(work.own_ms + 20.0) * work.slowness if learns else None,
            )
            for running, work in zip(self.running, self.works, strict=True)
        ]

    def call(self, index: int, now_ms: float) -> float:
        """Return the time of a call that is sent to a server now."""
        running, work = self.running[index], self.works[index]
        ends = sorted(end for end, _ in running)
        start_ms = ends[-6] if len(ends) >= 6 else now_ms
        end_ms = max(start_ms, now_ms) + 20.0 * self.factors[index]
        running.append((end_ms, now_ms))
        work.begin(0, 20.0)
        return end_ms - now_ms

    def finish(self, now_ms: float) -> None:
        for running, work in zip(self.running, self.works, strict=True):
            for item in [item for item in running if item[0] <= now_ms]:
                running.remove(item)
                work.end(0, 20.0)
                work.record_call(item[0] - item[1], 20.0)


async def call_times(*, learns: bool, seed: int) -> list[tuple[int, float]]:
    """Play 12 s in which the slow half of four servers swaps after 6 s."""
    timers, random = ManualTimers(), Random(seed)
    servers = PlainServers(timers, 4)
    times = []
    for now_ms in range(0, 12_000, 5):
        servers.factors = (
            [6.0, 6.0, 1.0, 1.0] if now_ms < 6_000 else [1.0, 1.0, 6.0, 6.0]
        )
        servers.finish(now_ms)
        while random.random() < 0.6:
            index = choose_plain_server(servers.candidates(learns=learns))
            times.append((now_ms, servers.call(index, now_ms)))
        await timers.advance(5)
    return times


def mean(times: list[tuple[int, float]], begin_ms: int, end_ms: int) -> float:
    part = [time for now_ms, time in times if begin_ms <= now_ms < end_ms]
    return sum(part) / len(part)


async def test_servers_that_swap_speeds_cost_little_and_are_known_within_2_s():
    for seed in (1, 2, 3):
        counted = await call_times(learns=False, seed=seed)
        learned = await call_times(learns=True, seed=seed)
        # Never worse than the count by more than a quarter, also right after the swap.
        for begin_ms in range(0, 12_000, 1_000):
            span = begin_ms, begin_ms + 1_000
            assert_that(mean(learned, *span), LessThan(1.25 * mean(counted, *span)))
        assert_that(
            mean(learned, 8_000, 12_000), LessThan(0.9 * mean(counted, 8_000, 12_000))
        )


class EstimatingRelay:
    """Estimates requests before a relay handles them, as an entry does."""

    def __init__(self, bench: RelayBench, costs: LearnedCosts) -> None:
        bench.relay._costs = costs
        self._handle = bench.relay.handle
        self._costs = costs
        bench.relay.handle = self.handle

    async def handle(self, request: RoutedRequest, responder: Responder) -> None:
        await self._handle(with_estimate(request, self._costs), responder)


def engine_waits(
    seed: int,
    estimate: Callable[[Random, float], float] | None,
    count: int = 6,
    slots: int = 16,
) -> list[int]:
    """Play 20 s of engines whose sides report each 0.8 s; return the waits for a slot.

    A seventh of the requests, of one account, generate fifteen times as much as the
    others. After 10 s a third of the engines turn half as fast.

    Args:
        seed: Seed of the arrivals and lengths.
        estimate: Returns the estimate of a kind's mean; None when none is made.
        count: Engines.
        slots: Requests that each runs at once.
    """
    random = Random(seed)
    # Tokens left, estimated and generated, and the arrival.
    queues: list[list[list[float]]] = [[] for _ in range(count)]
    running: list[list[list[float]]] = [[] for _ in range(count)]
    known = [(0.0, 0.0)] * count
    waits = []
    for now_ms in range(0, 20_000, 10):
        for index in range(count):
            is_slow = now_ms >= 10_000 and index < count // 3
            for item in running[index]:
                item[0] -= 0.5 if is_slow else 1.0
                item[2] += 0.5 if is_slow else 1.0
            running[index] = [item for item in running[index] if item[0] > 0]
            while queues[index] and len(running[index]) < slots:
                item = queues[index].pop(0)
                waits.append(now_ms - int(item[3]))
                running[index].append(item)
            if (now_ms + 130 * index) % 800 < 10:
                items = running[index] + queues[index]
                tokens = sum(
                    expected_rest(int(item[1]), 0, int(item[2])) for item in items
                )
                known[index] = len(items), tokens * (20.0 if is_slow else 10.0)
        while random.random() < 0.54:
            mean = 300.0 if random.random() < 1 / 7 else 20.0
            tokens = random.expovariate(1 / mean) + 1
            guess = estimate(random, mean) if estimate else mean
            servers = [
                Candidate(
                    int(load),
                    0,
                    slots,
                    Distance.ZONE,
                    0.0,
                    work_ms=work if estimate else None,
                )
                for load, work in known
            ]
            chosen = choose_engine(servers)
            known[chosen] = known[chosen][0] + 1, known[chosen][1] + 10 * guess
            queues[chosen].append([tokens, guess, 0.0, float(now_ms)])
    return sorted(waits)


def test_engines_with_heavy_and_slow_work_are_told_by_what_is_left():
    counted, learned, lied = [], [], []
    for seed in range(4):
        counted += engine_waits(seed, None)
        learned += engine_waits(seed, lambda random, mean: mean)
        lied += engine_waits(
            seed, lambda random, mean: mean * 10 ** random.uniform(-1, 1)
        )
    for waits in (counted, learned, lied):
        waits.sort()
    late = [waits[int(0.99 * len(waits))] for waits in (counted, learned, lied)]
    means = [sum(waits) / len(waits) for waits in (counted, learned, lied)]
    assert_that(late[1], LessThan(0.8 * late[0]))
    assert_that(means[1], LessThan(0.95 * means[0]))
    # Estimates that are ten times wrong either way, with no learning to drop them.
    assert_that(late[2], LessThan(1.25 * late[0]))
    assert_that(means[2], LessThan(1.25 * means[0]))


async def test_estimates_reach_the_side_and_what_is_sent_counts_as_work():
    bench = RelayBench(engine("e", ["m"]))
    costs = LearnedCosts()
    EstimatingRelay(bench, costs)
    learn(costs, CostKind("r", "m"), 60, 100)
    target = bench.servers.find("e")
    held = {"m": frozenset[str]()}
    target.apply_report(ServerReport(1, held, 0, 0, {}, step_ms=10.0, work_ms=500.0))
    bench.backends.plans["e"] = [Plan(parts=events(1, 30))]
    _, task = bench.begin(STREAM, model="m", prompt_tokens=9, output_tokens=900)
    await bench.timers.advance(100)
    request = bench.sides.admission_requests[0][1]
    between(request.expected_output, 40, 90)
    assert_that(request.likely_output, GreaterThan(request.expected_output))
    assert_that(target.work.left_ms, Equals(500.0 + 10 * request.expected_output))
    task.cancel()


async def test_times_of_plain_calls_and_slow_servers_are_learned():
    bench = RelayBench(server("pay-1"))
    costs = LearnedCosts()
    EstimatingRelay(bench, costs)
    bench.backends.plans["pay-1"] = [Plan(delay_ms=100)] * 20 + [Plan(delay_ms=800)] * 4
    for _ in range(20):
        await bench.handle(SAFE)
    between(costs.estimate_call_ms(CostKind("r", "POST")), 70, 150)
    slowness = bench.servers.find("pay-1").work.slowness
    for _ in range(4):
        await bench.handle(SAFE)
    assert_that(bench.servers.find("pay-1").work.slowness, GreaterThan(1.5 * slowness))
