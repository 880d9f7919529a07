"""Work that takes its turn."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.adapters.turns import Turns


async def test_one_callback_runs_in_each_round_in_the_order_of_asking() -> None:
    turns, rounds = Turns(), 0
    ran: list[tuple[str, int]] = []
    done = asyncio.Event()

    def record(name: str) -> Callable[[], None]:
        return lambda: ran.append((name, rounds))

    def ask_again() -> None:
        ran.append(("again", rounds))
        turns.wait(done.set)

    for name in ("a", "b"):
        turns.wait(record(name))
    turns.wait(ask_again)
    while not done.is_set():
        await asyncio.sleep(0)  # noqa: TID251
        rounds += 1
    assert_that([name for name, _ in ran], Equals(["a", "b", "again"]))
    assert_that(len({number for _, number in ran}), Equals(3))


async def test_a_callback_that_fails_does_not_stop_the_others() -> None:
    turns, done = Turns(), asyncio.Event()
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    turns.wait(lambda: 1 // 0)
    turns.wait(done.set)
    await done.wait()
