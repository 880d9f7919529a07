"""What is used of an allotment stays within the limit, whatever happens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager

import pytest
from allotment_fleet import BOUNDS
from allotment_fleet import Fleet
from allotment_fleet import most_used
from allotment_fleet import tokens
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan
from topic_store import MemoryTopicStore

from copperrun.admission.buckets import Buckets
from copperrun.admission.groups import group_of
from copperrun.admission.groups import keeper_order
from copperrun.admission.stock import CreditStock
from copperrun.admission.uses import AccountUse
from copperrun.embedded.clock import ManualTimers
from copperrun.membership.claim_log import UNKNOWN
from copperrun.membership.claim_log import ClaimLog
from copperrun.membership.claim_log import Incarnation
from copperrun.membership.tenures import LEASE_MARGIN_MS
from copperrun.membership.tenures import LEASE_MS
from copperrun.model import RefusalReason
from copperrun.ports.allotments import CreditGrant
from copperrun.ports.allotments import CreditRequest
from copperrun.ports.allotments import NotKeeper
from copperrun.routing.accounts import ClientAccount

LIMIT = tokens(1_000, 2_000)
COSTS = (50, 200, 900, 1_600)
SMALL_COSTS = (40, 80)  # so many requests that entries ask ahead
ACCOUNTS = ("north", "south", "east")
STEP_MS = 20


@contextmanager
def fleet(seed: int = 0, **kwargs: object) -> Iterator[Fleet]:
    running = Fleet(seed, **{"limit": LIMIT, **kwargs})
    try:
        yield running
        assert_that(running.failures, Equals([]))
    finally:
        running.close()


def most_allowed(limit=LIMIT, bounds=BOUNDS) -> float:
    total = limit.rate_per_s * bounds.window_ms / 1_000 + limit.burst
    return total * (1 + bounds.overage)


def ask(*needed: int, ahead: int = 0, limit=LIMIT) -> CreditRequest:
    return CreditRequest("north", limit.rate_per_s, limit.burst, needed, ahead)


async def play(
    running: Fleet,
    seconds: float,
    faults: Callable[[], None] = lambda: None,
    *,
    load: float = 3.0,
    wave_ms: int = 0,
    given_back: float = 0.0,
    costs: Sequence[int] = COSTS,
) -> None:
    """Send requests worth ``load`` times the limits while faults come and go.

    With ``wave_ms`` a time of little load follows each such time of much load.
    """
    rng = running.rng
    mean = sum(costs) / len(costs)
    per_step = load * LIMIT.rate_per_s / mean * STEP_MS / 1_000
    for _ in range(int(seconds * 1_000 / STEP_MS)):
        is_low = wave_ms and running.timers.now_ms() // wave_ms % 2
        for account in ACCOUNTS:
            expected = per_step * 0.1 if is_low else per_step
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                entry = rng.choice(running.entries)
                if entry.is_alive and not entry.timers.is_frozen:
                    runs = rng.random() >= given_back
                    running.send(entry, account, rng.choice(costs), runs=runs)
        faults()
        await running.timers.advance(STEP_MS)


class Faults:
    """Faults that come and go at random, at most ``most`` at a time."""

    def __init__(self, running: Fleet, most: int = 3) -> None:
        self._running = running
        self._most = most
        self._ends: list[tuple[int, Callable[[], None]]] = []

    def __call__(self) -> None:
        now = self._running.timers.now_ms()
        for item in [item for item in self._ends if item[0] <= now]:
            self._ends.remove(item)
            item[1]()
        rng = self._running.rng
        if len(self._ends) < self._most and rng.random() < 0.02:
            length_ms = int(rng.choice((300, 2_000, 6_000, LEASE_MS + 3_000)))
            end = rng.choice(
                (self._kill, self._freeze, self._cut, self._outage, self._lose)
            )()
            self._ends.append((now + length_ms, end))

    def _kill(self) -> Callable[[], None]:
        running = self._running
        all_hosts = sorted(running.keepers)
        count = running.rng.choice((1, 1, len(all_hosts)))
        hosts = running.rng.sample(all_hosts, count)
        for host in hosts:
            running.keepers[host].timers.thaw()
            running.keepers[host].kill()
        return lambda: [running.start_keeper(host) for host in hosts] and None

    def _freeze(self) -> Callable[[], None]:
        running = self._running
        process = running.rng.choice([*running.keepers.values(), *running.entries])
        process.timers.freeze()
        return process.timers.thaw

    def _cut(self) -> Callable[[], None]:
        running = self._running
        places = [*running.hosts, *(e.host for e in running.entries), "store"]
        cut = frozenset(running.rng.sample(places, running.rng.choice((1, 2, 2))))
        running.cuts.add(cut)
        return lambda: running.cuts.discard(cut)

    def _outage(self) -> Callable[[], None]:
        store = self._running.store
        store.is_available = False

        def end() -> None:
            store.is_available = True

        return end

    def _lose(self) -> Callable[[], None]:
        running = self._running
        running.loss = running.rng.choice((0.02, 0.2))

        def end() -> None:
            running.loss = 0.0

        return end


@pytest.mark.parametrize("seed", range(16))
async def test_no_fault_makes_the_use_in_a_window_pass_the_limit(seed):
    with fleet(seed, keepers=4, entries=3) as running:
        if seed % 2:
            # Two views of who may be the keeper.
            running.entries[0].credits.set_hosts(running.hosts[::2])
        await play(
            running,
            45,
            Faults(running),
            wave_ms=(0, 1_000, 3_000)[seed % 3],
            given_back=0.1,
            costs=COSTS if seed % 4 < 2 else SMALL_COSTS,
        )
        for account in ACCOUNTS:
            used = most_used(running.uses, account, BOUNDS.window_ms)
            assert_that(used, LessThan(most_allowed() + 1))
        assert_that(len(running.uses), GreaterThan(0))


@pytest.mark.parametrize("seed", range(8))
async def test_no_fault_makes_the_use_pass_the_limit_where_entries_keep_it(seed):
    with fleet(seed, keepers=0, entries=4) as running:
        costs = COSTS if seed % 2 else SMALL_COSTS
        await play(running, 45, Faults(running), given_back=0.1, costs=costs)
        for account in ACCOUNTS:
            used = most_used(running.uses, account, BOUNDS.window_ms)
            assert_that(used, LessThan(most_allowed() + 1))
        assert_that(len(running.uses), GreaterThan(0))


@pytest.mark.parametrize("keepers", [0, 4])
async def test_the_limit_holds_and_is_served_without_faults(keepers):
    with fleet(keepers=keepers) as running:
        await play(running, 40)
        for account in ACCOUNTS:
            used = most_used(running.uses, account, BOUNDS.window_ms)
            total = sum(use.units for use in running.uses if use.account == account)
            assert_that(used, LessThan(most_allowed() + 1))
            assert_that(total, GreaterThan(0.95 * 40 * LIMIT.rate_per_s))


async def test_a_keeper_without_the_store_stops_before_another_one_begins():
    with fleet(keepers=2, entries=2) as running:
        first, second = running.entries
        kept = keeper_order(running.hosts, group_of("north"))[0]
        (other,) = set(running.hosts) - {kept}
        running.send(first, "north", 50)
        await running.timers.advance(2_000)
        for one, another in (
            (kept, "store"),
            (kept, other),
            (first.host, other),
            (second.host, kept),
        ):
            running.cuts.add(frozenset((one, another)))
        await play(running, 40)
        used = most_used(running.uses, "north", BOUNDS.window_ms)
        assert_that(used, LessThan(most_allowed() + 1))
        late_ms = running.timers.now_ms() - 15_000
        late = [use for use in running.uses if use.at_ms > late_ms]
        assert_that(len(late), GreaterThan(0))


async def test_a_lower_limit_binds_once_it_is_known():
    with fleet() as running:
        await play(running, 10)
        running.limits[2] = tokens(200, 400)
        for entry in running.entries:
            entry.version = 2
        changed_ms = running.timers.now_ms()
        await play(running, 20)
        for account in ACCOUNTS:
            used = most_used(
                running.uses, account, BOUNDS.window_ms, since_ms=changed_ms + 900
            )
            assert_that(used, LessThan(most_allowed(running.limits[2]) + max(COSTS)))


async def test_requests_larger_than_the_burst_pass_and_are_paid_back():
    with fleet() as running:
        await play(running, 40, load=15, costs=(3_000,))
        for account in ACCOUNTS:
            used = most_used(running.uses, account, BOUNDS.window_ms)
            total = sum(use.units for use in running.uses if use.account == account)
            assert_that(used, LessThan(most_allowed() + 3_000))
            # One may not be paid back yet, and one not have come again.
            assert_that(total, GreaterThan(40 * LIMIT.rate_per_s - 2 * 3_000))


async def test_a_request_that_never_fits_is_refused_without_a_message():
    with fleet() as running:
        running.send(running.entries[0], "north", 10_001)
        await running.timers.advance(500)
        assert_that(running.refusals[0].reason, Equals(RefusalReason.RATE_LIMITED))
        assert_that(running.refusals[0].retry_after_ms, Equals(0))
        assert_that(running.messages, Equals(0))


async def test_nothing_is_read_or_sent_until_a_request_needs_units():
    with fleet() as running:
        await running.timers.advance(30_000)
        done = running.messages, running.store.reads, running.store.puts
        assert_that(done, Equals((0, 0, 0)))


@pytest.mark.parametrize("is_killed", [False, True])
async def test_another_keeper_goes_on_with_the_units_left_or_with_none(is_killed):
    with fleet(entries=2) as running:
        entry = running.entries[0]
        running.send(entry, "north", 500)
        await running.timers.advance(1_000)
        order = keeper_order(running.hosts, group_of("north"))
        if is_killed:
            running.keepers[order[0]].kill()
        else:
            # The others reach it; its lease has ended.
            running.cuts.add(frozenset((order[0], "store")))
            await running.timers.advance(LEASE_MS + 1_000)
        for _ in range(3):
            running.send(entry, "north", 1)
            await running.timers.advance(400)
        running.send(entry, "north", 1_950)
        await running.timers.advance(400)
        served = any(use.units == 1_950 for use in running.uses)
        assert_that(served, Equals(not is_killed))


async def test_a_frozen_keeper_grants_nothing_after_another_one_has_begun():
    with fleet(keepers=2, entries=2) as running:
        kept = keeper_order(running.hosts, group_of("north"))[0]
        running.send(running.entries[0], "north", 50)
        await running.timers.advance(1_000)
        running.keepers[kept].timers.freeze()
        await play(running, (LEASE_MS + LEASE_MARGIN_MS) / 1_000 + 4)
        running.keepers[kept].timers.thaw()
        await play(running, 10)
        used = most_used(running.uses, "north", BOUNDS.window_ms)
        assert_that(used, LessThan(most_allowed() + 1))
        assert_that(used, GreaterThan(0.5 * most_allowed()))


async def test_units_granted_as_the_caller_leaves_stay_for_the_next_one():
    with fleet(keepers=1, entries=1) as running:
        credits = running.entries[0].credits
        use = AccountUse(
            ClientAccount("north", frozenset(), 0, LIMIT), LIMIT, 1, 50, "r"
        )
        leaving = asyncio.create_task(credits.acquire(use, 300))
        await running.timers.advance(0)
        account, now = credits._accounts["north"], running.timers.now_ms()
        account.stock.add(50, now + 800, now)
        account.apply(CreditGrant("north", 50, 0, 50), list(account.waiters), now)
        assert_that(account.stock.available(now), Equals(0))
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        assert_that(account.stock.available(now), Equals(50))


async def test_a_keeper_that_ends_grants_and_claims_nothing_more():
    # Others take its refused connections for its end; those that it has are open yet.
    with fleet(keepers=1, entries=1) as running:
        (keeper,) = running.keepers.values()
        group = group_of("north")
        running.send(running.entries[0], "north", 50)
        await running.timers.advance(1_000)
        puts = running.store.puts
        keeper.keeper.close()
        for _ in range(2):
            asked = keeper.keeper.grant(group, 1, [ask(50)], "")
            task = asyncio.create_task(asked)
            await running.timers.advance(1_000)
            assert_that(task.result(), Equals(NotKeeper("")))
        assert_that(running.store.puts, Equals(puts))


async def test_of_claims_written_at_once_one_counts_and_a_later_one_names_it():
    timers = ManualTimers()
    store = MemoryTopicStore(timers)
    logs = [
        ClaimLog("t", store, Incarnation(host, "side", "1"), timers) for host in "ab"
    ]
    tasks = [asyncio.create_task(log.append(0, None)) for log in logs]
    await timers.advance(100)
    first, second = (task.result() for task in tasks)
    assert_that(second, Equals(None))
    later = asyncio.create_task(logs[1].append(0, first.claim))
    await timers.advance(100)
    assert_that(later.result().claim.formers, Equals((first.claim.by,)))


async def test_claims_of_other_groups_do_not_hinder_a_claim():
    timers = ManualTimers()
    store = MemoryTopicStore(timers)
    logs = [ClaimLog("t", store, Incarnation("a", "side", n), timers) for n in "123"]
    tasks = [
        asyncio.create_task(log.append(group, None)) for group, log in enumerate(logs)
    ]
    await timers.advance(200)
    assert_that([task.result() is None for task in tasks], Equals([False] * 3))


async def test_a_claim_after_a_fall_back_names_a_former_that_is_not_known():
    timers = ManualTimers()
    store = MemoryTopicStore(timers)
    log = ClaimLog("t", store, Incarnation("a", "side", "1"), timers)
    task = asyncio.create_task(log.append(0, None))
    await timers.advance(100)
    store.fall_back("t", 0)
    task = asyncio.create_task(log.append(0, None))
    await timers.advance(100)
    assert_that(task.result().claim.formers, Equals((UNKNOWN,)))


def test_a_bucket_grants_in_order_and_tells_when_the_next_units_come():
    buckets = Buckets(0, {}, is_full=True)
    grant = buckets.grant(1, ask(900, 900, 900, 50), 0)
    assert_that(grant, Equals(CreditGrant("north", 1_800, 701, 1_800)))


def test_units_ahead_are_granted_above_half_of_the_burst_only():
    buckets = Buckets(0, {}, is_full=True)
    assert_that(buckets.grant(1, ask(ahead=1_500), 0).units, Equals(1_000))
    assert_that(buckets.grant(1, ask(ahead=1_500), 0).units, Equals(0))


def test_a_bucket_without_known_units_begins_empty():
    buckets = Buckets(0, {"south": 7.0}, is_full=False)
    assert_that(buckets.grant(1, ask(500), 400).units, Equals(0))
    assert_that(buckets.grant(1, ask(500), 500).units, Equals(500))
    assert_that(buckets.levels(500)["south"], Equals(7.0))


def test_units_in_stock_lapse_also_when_they_were_given_back():
    stock = CreditStock("north", 800)
    stock.add(100, 800, 0)
    stock.add(100, 900, 0)
    credit = stock.take(150, 10)
    assert_that(credit.expires_ms, Equals(800))
    stock.give_back(credit, 20)
    assert_that(stock.available(799), Equals(200))
    assert_that(stock.available(800), Equals(50))
    assert_that(stock.available(900), Equals(0))


async def test_the_first_claim_of_all_has_no_formers_in_any_era_of_the_store():
    for is_first_start, formers in ((True, ()), (False, (UNKNOWN,))):
        timers = ManualTimers()
        store = MemoryTopicStore(timers)
        store.era = 1
        log = ClaimLog(
            "t",
            store,
            Incarnation("a", "side", "1"),
            timers,
            is_first_start=is_first_start,
        )
        task = asyncio.create_task(log.append(0, None))
        await timers.advance(100)
        assert_that(task.result().claim.formers, Equals(formers))
