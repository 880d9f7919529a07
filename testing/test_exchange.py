"""Entries that share what they know of crashes, and the rules that follow from it."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from crash_relays import CrashRelays
from factories import engine
from testtools.assertions import assert_that
from testtools.matchers import AllMatch
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.membership.exchange import MIN_HOLD_MS
from copperrun.membership.exchange import RELAYS
from copperrun.membership.exchange import CrashExchange
from copperrun.routing.crashes import CrashLog
from copperrun.routing.fingerprints import FINGERPRINT_PREFIX
from copperrun.routing.quarantine import MIN_CRASHES
from copperrun.routing.quarantine import Quarantine

STABILITY_WINDOW_MS = 4_000
# What the platform allows after five crashes and that window.
MAX_LATE_REQUESTS = 3
# Time for a record from one entry through a side to another.
SHARE_MS = 200
REQUEST, OTHER = f"{FINGERPRINT_PREFIX}1", f"{FINGERPRINT_PREFIX}2"


class Entry:
    """The quarantine of one entry and its exchange with the sides."""

    def __init__(self, relays: CrashRelays, timers: ManualTimers) -> None:
        self.quarantine = Quarantine(CrashLog(timers), timers)
        self.exchange = CrashExchange(self.quarantine.log, relays, timers)

    def is_blocked(self, *parts: str) -> bool:
        return self.quarantine.blocked_ms(parts) > 0


class Fleet:
    """Entries and the sides beside engines, on a manual clock."""

    def __init__(self, entries: int, engines: int) -> None:
        self.timers = ManualTimers()
        self.relays = CrashRelays(self.timers)
        self.engines = [
            engine(f"i-{number}", ["m"], address=f"10.0.{number}.1:80")
            for number in range(engines)
        ]
        self.entries = [self.add_entry() for _ in range(entries)]

    def add_entry(self) -> Entry:
        entry = Entry(self.relays, self.timers)
        entry.exchange.set_engines(self.engines)
        return entry

    async def wait_first_reply(self, entry: Entry) -> None:
        waiting = asyncio.create_task(entry.exchange.wait_first_reply(SHARE_MS))
        await run_until(self.timers, waiting, SHARE_MS)

    def refresh(self) -> None:
        for entry in self.entries:
            entry.exchange.set_engines(self.engines)

    def relay_addresses(self) -> list[str]:
        return sorted(self.relays.calls, key=lambda item: -self.relays.calls[item])

    async def crash(self, entry: Entry, number: int, *parts: str) -> None:
        entry.quarantine.record_crash(f"c{number}", "llm", parts)
        await self.timers.advance(500)

    def blocked_entries(self, *parts: str) -> int:
        return sum(entry.is_blocked(*parts) for entry in self.entries)

    def close(self) -> None:
        for entry in self.entries:
            entry.exchange.close()


async def test_crashes_seen_by_different_entries_block_the_part_at_all_of_them():
    fleet = Fleet(5, 6)
    await fleet.timers.advance(SHARE_MS)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "bad")
    assert_that(fleet.blocked_entries("bad"), Equals(5))
    fleet.close()


async def test_a_crash_seen_while_a_call_begins_is_not_held_back():
    fleet = Fleet(2, 1)
    await fleet.timers.advance(SHARE_MS)
    crashes = iter(range(MIN_CRASHES))

    def crash() -> None:
        for number in crashes:
            fleet.entries[0].quarantine.record_crash(
                f"c{number}", "llm", ("bad",), age_ms=number * 1_000
            )

    fleet.relays.on_call = crash
    # The next calls begin when the held ones end.
    await fleet.timers.advance(MIN_HOLD_MS + SHARE_MS)
    assert_that(fleet.blocked_entries("bad"), Equals(2))
    fleet.close()


async def test_an_answer_at_one_entry_frees_the_part_at_all_of_them():
    fleet = Fleet(5, 6)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "part")
    fleet.entries[4].quarantine.record_begun("llm", ("part",))
    await fleet.timers.advance(SHARE_MS)
    assert_that(fleet.blocked_entries("part"), Equals(0))
    fleet.close()


async def test_an_entry_that_starts_knows_what_the_others_know():
    fleet = Fleet(3, 6)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "bad")
    late = fleet.add_entry()
    await fleet.wait_first_reply(late)
    assert_that(late.is_blocked("bad"), Equals(True))
    late.exchange.close()
    fleet.close()


async def test_all_entries_may_start_again_one_after_the_other():
    fleet = Fleet(3, 6)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "bad")
    for number in range(3):
        fleet.entries[number].exchange.close()
        fleet.entries[number] = fleet.add_entry()
        await fleet.timers.advance(SHARE_MS)
    assert_that(fleet.blocked_entries("bad"), Equals(3))
    fleet.close()


async def test_sides_that_start_again_are_told_anew():
    fleet = Fleet(2, 6)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[0], number, "bad")
    for address in fleet.relay_addresses():
        fleet.relays.restart(address)
    await fleet.timers.advance(5_000)
    late = fleet.add_entry()
    await fleet.wait_first_reply(late)
    assert_that(late.is_blocked("bad"), Equals(True))
    late.exchange.close()
    fleet.close()


async def test_other_sides_are_used_while_the_usual_ones_are_cut_off():
    fleet = Fleet(3, 6)
    await fleet.timers.advance(SHARE_MS)
    usual = fleet.relay_addresses()[:RELAYS]
    fleet.relays.unreachable = set(usual)
    # A reply is missed after the time that a side may hold it; then others are asked.
    for _ in range(10):
        await fleet.timers.advance(500)
        fleet.refresh()
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "bad")
    fleet.refresh()
    await fleet.timers.advance(SHARE_MS)
    assert_that(fleet.blocked_entries("bad"), Equals(3))
    fleet.close()


async def test_entries_that_reach_only_some_of_the_sides_still_meet():
    fleet = Fleet(3, 6)
    await fleet.timers.advance(SHARE_MS)
    fleet.relays.unreachable = set(fleet.relay_addresses()[: RELAYS - 1])
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, "bad")
    assert_that(fleet.blocked_entries("bad"), Equals(3))
    fleet.close()


async def test_idle_exchanges_are_rare():
    fleet = Fleet(4, 60)
    await fleet.timers.advance(20_000)
    calls = sum(fleet.relays.calls.values())
    # Three sides for each entry, one call each two seconds and the first one.
    assert_that(calls, LessThan(4 * RELAYS * 12))
    assert_that(len(fleet.relays.calls), Equals(RELAYS))
    fleet.close()


async def test_one_crash_seen_by_all_entries_takes_few_messages():
    fleet = Fleet(68, 59)
    await fleet.timers.advance(1_000)
    before = sum(fleet.relays.calls.values())
    for number, entry in enumerate(fleet.entries):
        entry.quarantine.record_crash("c", "llm", ("first", f"s{number}"))
    for _ in range(10):
        await fleet.timers.advance(50)
        for number, entry in enumerate(fleet.entries):
            entry.quarantine.record_begun("llm", ("first", f"s{number}"))
    # Each entry tells and is told by each of its sides a few times.
    calls = sum(fleet.relays.calls.values()) - before
    assert_that(calls, LessThan(68 * RELAYS * 6))
    fleet.close()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("entries", "engines"), [(5, 6), (32, 29), (68, 59)])
async def test_few_requests_reach_servers_after_five_have_ended(seed, entries, engines):
    play = Play(Random(seed), Fleet(entries, engines))
    await play.run(30_000)
    check_rules(play)
    assert_that(len(play.crashes_ms), LessThan(12))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("entries", "engines"), [(5, 6), (32, 29)])
async def test_a_part_that_was_sound_before_is_found_in_time(seed, entries, engines):
    play = Play(Random(seed), Fleet(entries, engines), turns_bad_ms=10_000)
    await play.run(40_000)
    check_rules(play)


def check_rules(play: Play) -> None:
    """Check what the platform allows after five servers have ended."""
    fifth_ms = play.crashes_ms[4] if len(play.crashes_ms) > 4 else None
    late = [
        at_ms
        for at_ms in play.bad_sent_ms
        if fifth_ms is not None and at_ms > fifth_ms + STABILITY_WINDOW_MS
    ]
    assert_that(len(late), LessThan(MAX_LATE_REQUESTS + 1))
    # Sound requests with the same first part go on.
    assert_that(play.sound_refused, LessThan(play.sound_sent // 50 + 1))
    assert_that(play.sound_sent, GreaterThan(100))


class Play:
    """Requests at all entries; one part ends each server that begins on it."""

    def __init__(self, random: Random, fleet: Fleet, *, turns_bad_ms: int = 0) -> None:
        self._turns_bad_ms = turns_bad_ms
        self.crashes_ms: list[int] = []
        self.bad_sent_ms: list[int] = []
        self.sound_sent = 0
        self.sound_refused = 0
        self._random = random
        self._fleet = fleet
        self._up = {address.address: 0 for address in fleet.engines}
        self._victims: dict[str, list[tuple[Entry, tuple[str, ...]]]] = {}

    async def run(self, duration_ms: int) -> None:
        timers = self._fleet.timers
        tasks = []
        while timers.now_ms() < duration_ms:
            await timers.advance(self._random.expovariate(1 / 40))
            number = self._random.randrange(len(self._fleet.entries))
            if self._random.random() < 0.002:
                # An entry starts again without what it knew.
                self._fleet.entries[number].exchange.close()
                self._fleet.entries[number] = self._fleet.add_entry()
                continue
            subject = "bad" if self._random.random() < 0.15 else self._subject()
            request = self._request(self._fleet.entries[number], ("first", subject))
            tasks.append(asyncio.create_task(request))
        for task in tasks:
            task.cancel()
        self._fleet.close()

    def _subject(self) -> str:
        return f"s{self._random.randrange(200)}"

    async def _request(self, entry: Entry, parts: tuple[str, ...]) -> None:
        timers = self._fleet.timers
        is_bad = "bad" in parts and timers.now_ms() >= self._turns_bad_ms
        self.sound_sent += not is_bad
        if entry.is_blocked(*parts):
            self.sound_refused += not is_bad
            return
        up = [name for name, at_ms in self._up.items() if at_ms <= timers.now_ms()]
        if not up:
            return
        address = self._random.choice(up)
        start = f"{address}/{self._up[address]}"
        if is_bad:
            self.bad_sent_ms.append(timers.now_ms())
        victims = self._victims.setdefault(start, [])
        victims.append((entry, parts))
        await timers.sleep_ms(self._random.uniform(50, 400))
        if (entry, parts) not in victims:
            return
        if not is_bad:
            victims.remove((entry, parts))
            entry.quarantine.record_begun("llm", parts)
            return
        self.crashes_ms.append(timers.now_ms())
        self._up[address] = timers.now_ms() + self._random.randint(1_000, 6_000)
        lost = list(victims)
        victims.clear()
        for victim, victim_parts in lost:
            victim.quarantine.record_crash(start, "llm", victim_parts)


async def test_every_entry_agrees_in_the_end():
    play = Play(Random(99), Fleet(8, 12))
    fleet = play._fleet
    await play.run(20_000)
    fleet.refresh()
    fleet.entries = [fleet.add_entry() for _ in fleet.entries]
    await fleet.timers.advance(1_000)
    blocked = [entry.is_blocked("first", "bad") for entry in fleet.entries]
    assert_that(blocked, AllMatch(Equals(True)))
    fleet.close()


async def test_a_request_in_quarantine_is_known_to_an_entry_that_starts_again():
    fleet = Fleet(3, 6)
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, REQUEST)
    assert_that(fleet.blocked_entries(REQUEST), Equals(3))
    fleet.entries[0].exchange.close()
    fleet.entries[0] = fleet.add_entry()
    await fleet.wait_first_reply(fleet.entries[0])
    assert_that(fleet.blocked_entries(REQUEST), Equals(3))
    fleet.close()


async def test_crashes_with_a_request_meet_though_sides_are_lost():
    fleet = Fleet(3, 6)
    await fleet.timers.advance(SHARE_MS)
    usual = fleet.relay_addresses()
    fleet.relays.unreachable = set(usual[: RELAYS - 1])
    fleet.relays.restart(usual[RELAYS - 1])
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, REQUEST)
    assert_that(fleet.blocked_entries(REQUEST), Equals(3))
    fleet.close()


async def test_crashes_in_a_cut_between_entries_and_sides_are_told_after_it():
    fleet = Fleet(3, 6)
    await fleet.timers.advance(SHARE_MS)
    fleet.relays.unreachable = {item.address for item in fleet.engines}
    for number in range(MIN_CRASHES):
        await fleet.crash(fleet.entries[number], number, REQUEST)
    assert_that(fleet.blocked_entries(REQUEST), Equals(0))
    fleet.relays.unreachable = set()
    for _ in range(20):
        await fleet.timers.advance(500)
        fleet.refresh()
    assert_that(fleet.blocked_entries(REQUEST), Equals(3))
    fleet.close()


async def test_an_answer_at_one_entry_ends_the_turns_at_all_of_them():
    fleet = Fleet(3, 6)
    for number in range(MIN_CRASHES):
        for entry in fleet.entries[:2]:
            request = REQUEST if entry is fleet.entries[0] else OTHER
            entry.quarantine.record_crash(f"c{number}", "pay", [request])
        await fleet.timers.advance(500)
    assert_that(
        fleet.blocked_entries(REQUEST) + fleet.blocked_entries(OTHER), Equals(3)
    )
    fleet.entries[2].quarantine.record_begun("pay", [OTHER])
    await fleet.timers.advance(SHARE_MS)
    assert_that(fleet.blocked_entries(REQUEST), Equals(3))
    assert_that(fleet.blocked_entries(OTHER), Equals(0))
    fleet.close()


MAX_ATTEMPTS = 2


class RequestPlay(Play):
    """Requests of a plain service; one, sent again and again, ends each server.

    A request lost with a server is carried on to the next one, and its caller sends
    it again after some time.
    """

    async def _request(self, entry: Entry, parts: tuple[str, ...]) -> None:
        timers = self._fleet.timers
        is_bad = parts[1] == "bad"
        subject = parts[1] if self._random.random() < 0.5 else f"{timers.now_ms()}"
        request = REQUEST if is_bad else f"{FINGERPRINT_PREFIX}{subject}"
        for _ in range(2):
            for _ in range(MAX_ATTEMPTS):
                if entry.is_blocked(request):
                    self.sound_refused += not is_bad
                    break
                self.sound_sent += not is_bad
                if await self._send(entry, request, is_bad=is_bad):
                    return
            await timers.sleep_ms(self._random.uniform(200, 2_000))
            entry = self._random.choice(self._fleet.entries)

    async def _send(self, entry: Entry, request: str, *, is_bad: bool) -> bool:
        """Send a request to a server; return whether it was answered."""
        timers = self._fleet.timers
        up = [name for name, at_ms in self._up.items() if at_ms <= timers.now_ms()]
        if not up:
            return False
        address = self._random.choice(up)
        start = f"{address}/{self._up[address]}"
        victims = self._victims.setdefault(start, [])
        sent = (entry, (request, str(timers.now_ms())))
        victims.append(sent)
        if is_bad:
            self.bad_sent_ms.append(timers.now_ms())
        end_ms = timers.now_ms() + self._random.uniform(40, 80 if is_bad else 600)
        while timers.now_ms() < end_ms:
            await timers.sleep_ms(5)
            if sent not in victims:
                return False
        if not is_bad:
            victims.remove(sent)
            entry.quarantine.record_begun("pay", [request])
            return True
        self.crashes_ms.append(timers.now_ms())
        self._up[address] = timers.now_ms() + self._random.randint(1_000, 6_000)
        for victim, (lost, _) in victims:
            victim.quarantine.record_crash(start, "pay", [lost])
        victims.clear()
        return False


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("entries", "engines"), [(5, 3), (32, 12), (68, 29)])
async def test_a_repeated_request_reaches_few_servers_after_three_have_ended(
    seed, entries, engines
):
    play = RequestPlay(Random(seed), Fleet(entries, engines))
    await play.run(30_000)
    third_ms = play.crashes_ms[2]
    late = [at for at in play.bad_sent_ms if at > third_ms + STABILITY_WINDOW_MS]
    assert_that(len(late), LessThan(MAX_LATE_REQUESTS + 1))
    assert_that(play.sound_refused, LessThan(play.sound_sent // 50 + 1))
    assert_that(play.sound_sent, GreaterThan(100))
