"""Epochs of claims in a topic of the store, also after it fell back to a copy."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from factories import model
from factories import pool
from factories import route
from factories import server
from factories import spec
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan

from copperrun.admission.prefill import pause_prefill_ms
from copperrun.embedded.clock import ManualTimers
from copperrun.membership.claims import FIRST_EPOCH
from copperrun.membership.claims import topic_epoch
from copperrun.membership.health import StoreHealth
from copperrun.ports.topics import TopicPosition
from copperrun.routing.catalog import CallerLimits
from copperrun.routing.catalog import Catalog
from copperrun.routing.catalog import PoolShare
from copperrun.side.placement import PlacementProcess

POSITIONS = st.builds(
    TopicPosition, st.integers(0, 1_000), st.integers(0, 2**32 - FIRST_EPOCH - 1)
)


@given(POSITIONS, POSITIONS)
def test_epochs_are_ordered_like_positions_and_never_repeat(
    first: TopicPosition, second: TopicPosition
) -> None:
    earlier, later = sorted((first, second))
    if earlier != later:
        assert_that(topic_epoch(earlier), LessThan(topic_epoch(later)))


class Claims:
    """A topic of claims; a fall-back forgets the last ones."""

    def __init__(self) -> None:
        self.era = 1
        self.claimants: list[str] = []

    async def put(self, topic: str, key: str, value: bytes) -> TopicPosition:
        self.claimants.append(key)
        return TopicPosition(self.era, len(self.claimants) - 1)


class View:
    """A view that only has the health of the store."""

    def __init__(self, timers: ManualTimers) -> None:
        self.health = StoreHealth(timers)

    def subscribe(self, listener: object) -> None:
        pass

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def wait_until_loaded(self) -> None:
        pass


def _side(name: str, claims: Claims, timers: ManualTimers) -> SimpleNamespace:
    """Return a started side: its view, its controller and its task."""

    async def run() -> None:
        await asyncio.Event().wait()

    view = View(timers)
    view.health.record_era(claims.era)
    controller = SimpleNamespace(epoch=None, run=run, on_change=None)
    process = PlacementProcess(
        name, "10.0.0.1:80", "p", view, claims, "status", controller, None, timers
    )
    task = asyncio.create_task(process.run())
    return SimpleNamespace(view=view, controller=controller, task=task)


async def test_a_claim_after_a_fall_back_gets_a_higher_epoch_than_all_before():
    timers = ManualTimers()
    claims = Claims()
    sides = [_side(f"side-{number}", claims, timers) for number in range(4)]
    await timers.advance(100)
    del claims.claimants[1:]
    claims.era = 2
    sides.append(_side("side-3", claims, timers))
    await timers.advance(100)
    epochs = [side.controller.epoch for side in sides]
    assert_that(epochs, Equals(sorted(set(epochs))))
    for side in sides:
        side.task.cancel()


async def test_a_claim_that_the_store_lost_is_written_again_under_its_epoch():
    timers = ManualTimers()
    claims = Claims()
    side = _side("side-0", claims, timers)
    await timers.advance(100)
    epoch = side.controller.epoch
    claims.claimants.clear()
    claims.era = 2
    side.view.health.record_era(2)
    await timers.advance(2_000)
    assert_that(claims.claimants, Equals(["side-0"]))
    assert_that(side.controller.epoch, Equals(epoch))
    side.task.cancel()


# An entry of another writer at an engine's address took its side off its pool.
@pytest.mark.parametrize(
    ("odd", "status_ms"),
    [
        ({"pool": "other", "born_ms": 2}, 1),
        ({"born_ms": 2}, 1),
        ({"pool": "other", "born_ms": 2}, None),
    ],
)
def test_a_side_follows_the_record_of_the_engine_that_runs(odd, status_ms):
    timers = ManualTimers()
    view = View(timers)
    engine = spec(model("m"))
    pools = {"p": pool("p", engine), "other": pool("other")}
    view.catalog = SimpleNamespace(catalog=Catalog(1, [], pools, CallerLimits()))
    listed = []
    controller = SimpleNamespace(
        spec=None,
        pause_ms=None,
        status=status_ms and SimpleNamespace(born_ms=status_ms),
        set_servers=lambda *servers: listed.append(servers[1]),
    )
    process = PlacementProcess(
        "side-0", "10.0.0.1:80", "p", view, Claims(), "s", controller, None, timers
    )
    own = server("i-1", address="10.0.0.1:80", pool="p", born_ms=1)
    process._update_servers([own, own._replace(id="x", **odd)])
    assert_that(listed, Equals([own]))
    assert_that(controller.spec, Equals(engine))


def test_a_side_takes_the_allowed_pause_from_the_routes_to_its_pool():
    # The side of an idle engine has no requests to learn it from, and must plan the
    # same moves as the others.
    timers = ManualTimers()
    view = View(timers)
    engine = spec(model("m"))
    stream = route(
        streaming=True,
        target_gap_ms=300,
        caller_timeout_ms=engine.models["m"].store_load_ms - 1,
        shares=(PoolShare("p", 1.0),),
    )
    routes = [stream]
    pools = {"p": pool("p", engine)}
    view.catalog = SimpleNamespace(catalog=Catalog(1, routes, pools, CallerLimits()))
    controller = SimpleNamespace(spec=None, pause_ms=None, set_servers=lambda *_: None)
    process = PlacementProcess(
        "side-0", "10.0.0.1:80", "p", view, Claims(), "s", controller, None, timers
    )
    process._update_servers([])
    expected = pause_prefill_ms(300, engine.tokens_per_event)
    assert_that(controller.pause_ms, Equals(expected))
    # Callers who wait for a load get one; moves are then as without a limit.
    patient = stream._replace(caller_timeout_ms=engine.models["m"].store_load_ms)
    for others in ([], [patient], [stream._replace(caller_timeout_ms=0)]):
        view.catalog.catalog = Catalog(2, others, pools, CallerLimits())
        process._update_servers([])
        assert_that(controller.pause_ms, Is(None))
