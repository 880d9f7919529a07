"""Assignments, the memory ledger and orders to engines."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from installation import GIB
from network import NullMetrics
from testtools.assertions import assert_that
from testtools.matchers import AllMatch
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan

from copperrun.configuration.schema import Configuration
from copperrun.ctl.publishing import load_configuration
from copperrun.embedded.clock import ManualTimers
from copperrun.embedded.clock import run_until
from copperrun.embedded.engine import EngineStandIn
from copperrun.embedded.weights import PermissiveWeights
from copperrun.model import Instance
from copperrun.model import Role
from copperrun.placement.assignments import assign_deployments
from copperrun.placement.assignments import weights_object
from copperrun.placement.ledger import Ledger
from copperrun.placement.orders import ORDER_LIFETIME_MS
from copperrun.placement.orders import OrderErrorReason
from copperrun.placement.orders import OrderExecutor
from copperrun.placement.pins import PinClient
from copperrun.placement.reconciler import DeploymentReconciler
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine import OrderNumber

EXAMPLES = Path(__file__).parent.parent / "examples"


def example(name: str) -> Configuration:
    document = load_configuration(EXAMPLES / name / "configuration.yaml")
    cfg: Configuration = document.value  # type: ignore[union-attr]
    return cfg


def side_instances(count: int) -> list[Instance]:
    return [
        Instance(f"run-{n}", f"h:{n}", f"z{n % 3}", f"r{n % 3}", Role.SIDE, "assistant")
        for n in range(count)
    ]


@pytest.mark.parametrize(("name", "count"), [("turneja", 6), ("terrain", 9)])
def test_every_deployment_is_assigned_its_copies_within_memory(
    name: str, count: int
) -> None:
    cfg = example(name)
    assignments = assign_deployments(cfg, side_instances(count))
    used = dict.fromkeys((item.id for item in side_instances(count)), 0)
    for deployment, assigned in assignments.items():
        assert_that(len(set(assigned)), Equals(cfg.copies(deployment)))
        for instance_id in assigned:
            used[instance_id] += weights_object(cfg, deployment)[1]
    capacity_bytes = (320 - 80 - 16) * GIB
    assert_that(list(used.values()), AllMatch(LessThan(capacity_bytes + 1)))


def test_copies_of_one_deployment_are_in_different_zones() -> None:
    cfg = example("turneja")
    zones = {item.id: item.zone for item in side_instances(6)}
    for assigned in assign_deployments(cfg, side_instances(6)).values():
        assert_that(
            len({zones[instance_id] for instance_id in assigned}), Equals(len(assigned))
        )


def test_assignments_do_not_depend_on_the_order_of_instances() -> None:
    cfg = example("turneja")
    listed = side_instances(6)
    again = assign_deployments(cfg, listed[::-1])
    assert_that(again, Equals(assign_deployments(cfg, listed)))


def test_loss_of_one_instance_keeps_every_deployment_assigned_and_moves_few() -> None:
    cfg = example("terrain")
    before = assign_deployments(cfg, side_instances(9))
    for lost in range(9):
        remaining = [item for item in side_instances(9) if item.id != f"run-{lost}"]
        after = assign_deployments(cfg, remaining)
        assert_that([len(assigned) for assigned in after.values()], AllMatch(
            GreaterThan(0)
        ))  # fmt: skip
        moved = sum(len(set(after[name]) - set(before[name])) for name in before)
        affected = sum(f"run-{lost}" in assigned for assigned in before.values())
        assert_that(moved, LessThan(affected + 4), f"run-{lost}")


def test_deployment_that_fits_nowhere_is_not_assigned_and_others_are() -> None:
    cfg = example("turneja")
    assignments = assign_deployments(cfg, side_instances(1))
    assert_that(sum(not assigned for assigned in assignments.values()), GreaterThan(0))
    assert_that(
        sum(bool(assigned) for assigned in assignments.values()), GreaterThan(0)
    )


class Bench:
    """An order executor before an engine stand-in."""

    def __init__(self, *, checks_orders: bool = True) -> None:
        self.timers = ManualTimers()
        self.engine = EngineStandIn(
            self.timers,
            PermissiveWeights(self.timers, load_ms=100),
            memory_bytes=100 * GIB,
            kv_reserve_bytes=20 * GIB,
            checks_orders=checks_orders,
        )
        self.ledger = Ledger(80 * GIB)
        self.orders = OrderExecutor(self.engine, self.ledger, self.timers)
        self.orders.checks_orders = checks_orders

    async def load(self, name: str, size_gib: int, limit_ms: int = 300_000) -> object:
        work = self.orders.load(name, size_gib * GIB)
        return await self._run(work, limit_ms)

    async def unload(self, name: str) -> object:
        return await self._run(self.orders.unload(name), 300_000)

    async def take_over(self, epoch: int, *, had_earlier_side: bool = False) -> None:
        work = self.orders.take_over(epoch, had_earlier_side=had_earlier_side)
        await self._run(work, 300_000)

    async def _run(self, work: Awaitable[object], limit_ms: int) -> object:
        fut = asyncio.ensure_future(work)
        await run_until(self.timers, fut, limit_ms)
        return fut.result()

    def check(self) -> None:
        assert_that(self.engine.memory_high_water, LessThan(100 * GIB + 1))
        assert_that(self.ledger.used_bytes, LessThan(80 * GIB + 1))


Scenario = Callable[[Bench], Awaitable[None]]


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
def run_bench(request: pytest.FixtureRequest) -> Callable[[Scenario], None]:
    def run(scenario: Scenario) -> None:
        async def started() -> None:
            bench = Bench(checks_orders=request.param)
            await bench.take_over(7)
            await scenario(bench)
            bench.check()

        asyncio.run(started())

    return run


def test_load_without_room_is_refused_before_it_is_ordered(run_bench) -> None:  # type: ignore[no-untyped-def]
    async def scenario(bench: Bench) -> None:
        assert_that(await bench.load("a", 60), Is(None))
        error = await bench.load("b", 30)
        assert_that(error.reason, Is(OrderErrorReason.NO_ROOM))  # type: ignore[attr-defined]
        await bench.unload("a")
        assert_that(await bench.load("b", 30), Is(None))

    run_bench(scenario)


@pytest.mark.parametrize("fault", ["lose_order_answers", "drop_orders"])
def test_outcome_of_a_lost_order_is_read_from_the_engine(run_bench, fault: str) -> None:  # type: ignore[no-untyped-def]
    async def scenario(bench: Bench) -> None:
        setattr(bench.engine.faults, fault, 1)
        error = await bench.load("a", 60)
        dropped_for_good = fault == "drop_orders" and not bench.orders.checks_orders
        assert_that(error is None, Equals(not dropped_for_good))
        assert_that("a" in bench.ledger.resident(), Equals(not dropped_for_good))

    run_bench(scenario)


def test_order_of_unknown_outcome_keeps_its_reservation(run_bench) -> None:  # type: ignore[no-untyped-def]
    async def scenario(bench: Bench) -> None:
        bench.engine.faults.drop_orders = 1_000
        fut = asyncio.ensure_future(bench.orders.load("a", 60 * GIB))
        checks = bench.orders.checks_orders
        await bench.timers.advance(100_000 if checks else ORDER_LIFETIME_MS - 1_000)
        assert_that(fut.done(), Is(False))
        assert_that(bench.ledger.free_bytes, Equals(20 * GIB))
        fut.cancel()

    run_bench(scenario)


def test_order_of_an_earlier_side_is_refused_by_a_checking_engine() -> None:
    async def scenario() -> None:
        bench = Bench()
        old = OrderExecutor(bench.engine, Ledger(80 * GIB), bench.timers)
        old.checks_orders = True
        await old.take_over(3, had_earlier_side=False)
        # The new side has sent no order of its own yet.
        await bench.take_over(7)
        fut = asyncio.ensure_future(old.load("b", 60 * GIB))
        await run_until(bench.timers, fut, 10_000)
        error = fut.result()
        assert error is not None
        assert_that(error.reason, Is(OrderErrorReason.SUPERSEDED))
        assert_that(old.may_order, Is(False))
        assert_that(await bench.load("a", 60), Is(None))
        bench.check()

    asyncio.run(scenario())


def test_new_side_waits_for_late_orders_to_an_engine_that_ignores_numbers() -> None:
    async def scenario() -> None:
        bench = Bench(checks_orders=False)
        bench.engine.faults.late_orders = 1
        bench.engine.faults.late_ms = 20_000
        old = OrderExecutor(bench.engine, Ledger(80 * GIB), bench.timers)
        await old.take_over(3, had_earlier_side=False)
        late_order = asyncio.ensure_future(old.load("b", 60 * GIB))
        await bench.timers.advance(100)
        late_order.cancel()
        await bench.take_over(7, had_earlier_side=True)
        error = await bench.load("a", 60)
        assert_that(error.reason, Is(OrderErrorReason.NO_ROOM))  # type: ignore[attr-defined]
        assert_that(bench.ledger.resident(), Equals(("b",)))
        bench.check()

    asyncio.run(scenario())


def test_side_without_an_epoch_sends_no_orders() -> None:
    async def scenario() -> None:
        bench = Bench()
        orders = OrderExecutor(bench.engine, bench.ledger, bench.timers)
        error = await orders.load("a", GIB)
        assert error is not None
        assert_that(error.reason, Is(OrderErrorReason.NO_EPOCH))
        state = await bench.engine.state()
        assert_that(state.last_order, Equals(OrderNumber(0, 0)))

    asyncio.run(scenario())


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([OrderKind.LOAD, OrderKind.UNLOAD]),
            st.sampled_from("abcd"),
            st.sampled_from(["", "lose_order_answers", "drop_orders"]),
        ),
        max_size=8,
    ),
    st.booleans(),
)
def test_memory_is_never_overcommitted_whatever_is_lost(
    steps: list[tuple[OrderKind, str, str]], checks: bool
) -> None:
    async def scenario() -> None:
        bench = Bench(checks_orders=checks)
        await bench.take_over(7)
        sizes = {"a": 50, "b": 40, "c": 30, "d": 10}
        for kind, name, fault in steps:
            if fault:
                setattr(bench.engine.faults, fault, 1)
            if kind is OrderKind.LOAD:
                await bench.load(name, sizes[name])
            else:
                await bench.unload(name)
            bench.check()

    asyncio.run(scenario())


def test_idle_adapters_are_evicted_for_others_and_used_ones_are_not() -> None:
    async def scenario() -> None:
        bench = Bench()
        await bench.take_over(7)
        weights = PermissiveWeights(bench.timers)
        pins = PinClient(None, None)  # type: ignore[arg-type]  # not used for adapters
        reconciler = DeploymentReconciler(
            "a", "p", bench.orders, bench.ledger, weights, pins, bench.timers,
            NullMetrics(),
        )  # fmt: skip

        async def ensure(name: str) -> object:
            fut = asyncio.ensure_future(reconciler.ensure_adapter(name, 30 * GIB))
            await run_until(bench.timers, fut, 60_000)
            return fut.result()

        for name in ("x", "y"):
            assert_that(await ensure(name), Is(None))
        assert_that(reconciler.begin_use("adapter/x"), Is(True))
        assert_that(await ensure("z"), Is(None))
        assert_that(set(bench.ledger.resident()), Equals({"adapter/x", "adapter/z"}))
        assert_that(reconciler.begin_use("adapter/z"), Is(True))
        error = await ensure("y")
        assert_that(error.reason, Is(OrderErrorReason.NO_ROOM))  # type: ignore[attr-defined]
        bench.check()

    asyncio.run(scenario())
