"""The system's clocks, apart after a suspension."""

from __future__ import annotations

import time
from types import SimpleNamespace

from factories import server
from platform_standins import ScriptedServer
from test_connector import send
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from copperrun.adapters import timers as system
from copperrun.adapters.client import open_session
from copperrun.adapters.timers import SystemTimers
from copperrun.embedded.clock import ManualTimers
from copperrun.pauses import PauseDetector
from copperrun.platform.backends import HttpBackends
from copperrun.routing.servers import ServerTable

SUSPENSION_MS = 60_000
NOTICED_MS = 5


def test_the_clock_counts_the_time_of_a_suspension():
    boot_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
    assert_that(abs(SystemTimers().now_ms() - boot_ms), LessThan(1_000))


async def _suspend(monkeypatch) -> None:
    """Turn the clocks apart, as a suspension does, and let it be noticed."""
    clocks = {time.CLOCK_MONOTONIC: 0, time.CLOCK_BOOTTIME: SUSPENSION_MS * 1_000_000}

    def read(clock: int) -> int:
        return time.clock_gettime_ns(clock) + clocks[clock]

    fake = SimpleNamespace(
        clock_gettime_ns=read,
        time_ns=time.time_ns,
        monotonic_ns=lambda: read(time.CLOCK_MONOTONIC),
    )
    monkeypatch.setattr(system, "time", fake)
    await SystemTimers().sleep_ms(NOTICED_MS)


# A lease of a keeper ran on while its machine was suspended and others took over.
async def test_what_lasts_a_time_has_ended_after_a_suspension(monkeypatch):
    timers = SystemTimers()
    table = ServerTable(timers)
    table.set_records([server("a")])
    table.find("a").pause(SUSPENSION_MS // 2)
    began_ms = timers.now_ms()
    await _suspend(monkeypatch)
    assert_that(timers.now_ms() - began_ms >= SUSPENSION_MS, Equals(True))
    assert_that(table.find("a").pause_ms, Equals(0))


async def test_a_connection_that_its_server_closed_in_a_suspension_is_not_used(
    monkeypatch,
):
    backend = ScriptedServer()
    await backend.start()
    async with open_session() as session:
        backends = HttpBackends(session)
        await send(backends, backend, "r1")
        host, _, port = backend.address.rpartition(":")
        session.connector.record_idle_limit(host, int(port), SUSPENSION_MS // 2)
        await _suspend(monkeypatch)
        await send(backends, backend, "r2")
    await backend.close()
    assert_that(backend.connections, Equals(2))


async def test_a_suspension_is_a_pause():
    timers = ManualTimers()
    pauses = PauseDetector(timers)
    await pauses.pulse()
    began_ms = pauses.observe()
    timers.suspend(SUSPENSION_MS)
    assert_that(pauses.has_paused_since(began_ms), Equals(True))


async def test_no_timer_comes_nearer_in_a_suspension():
    timers = ManualTimers()
    called = []
    timers.call_later(100, lambda: called.append(timers.now_ms()))
    timers.suspend(SUSPENSION_MS)
    await timers.advance(99)
    assert_that(called, Equals([]))
    await timers.advance(1)
    assert_that(called, Equals([SUSPENSION_MS + 100]))
