"""The fault matrix: every fault at every step, and pairs of faults.

Each cell runs one step and injects its faults after a given number of clock events. The
faults are then cleared, time passes, and the oracle checks the promises.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from itertools import combinations
from multiprocessing import Pool
from typing import NamedTuple

from installation import TestInstallation
from loguru import logger
from scenarios import Scenario

FAULT_DURATION_MS = 4_000
PROCESSES = 4
# Numbers of clock events after which the faults begin.
QUICK_POINTS = (1, 9)
ALL_POINTS = (0, 1, 2, 3, 5, 8, 12, 17, 25, 40)
PAIR_POINTS = (2, 8)

FAULTY_SIDES = ("assistant-0", "ledger-0")
Fault = Callable[[Scenario], None]
Step = Callable[[Scenario], Awaitable[None]]


def _link_fault(kind: str, value: int) -> Fault:
    def apply(scenario: Scenario) -> None:
        for faults in scenario.installation.sides.faults.values():
            setattr(faults, kind, value)

    return apply


def _engine_fault(**faults: int | bool) -> Fault:
    def apply(scenario: Scenario) -> None:
        for engine in scenario.installation.engines.values():
            for kind, value in faults.items():
                setattr(engine.faults, kind, value)

    return apply


def _stand_in_fault(stand_in: str, **faults: int | bool | str) -> Fault:
    def apply(scenario: Scenario) -> None:
        target = getattr(scenario.installation, stand_in).faults
        for kind, value in faults.items():
            setattr(target, kind, value)

    return apply


def _kill(scenario: Scenario) -> None:
    for name in FAULTY_SIDES:
        if name in scenario.installation.sides.processes:
            scenario.kill(name)


def _restart(scenario: Scenario) -> None:
    for name in FAULTY_SIDES:
        if name in scenario.installation.sides.processes:
            scenario.restart(name)


def _pause(scenario: Scenario) -> None:
    for name in FAULTY_SIDES:
        scenario.pause(name)


def _clock_fault(offset_ms: int) -> Fault:
    def apply(scenario: Scenario) -> None:
        scenario.installation.timers.wall_offset_ms = offset_ms

    return apply


def _trim(scenario: Scenario) -> None:
    for stream in ("once/ledger", "claims"):
        scenario.log(("log_trims", stream))


FAULTS: dict[str, Fault] = {
    "message lost": _link_fault("lose_requests", 1),
    "message delayed": _link_fault("delay_ms", 2_000),
    "message duplicated": _link_fault("double_requests", 2),
    "answer lost": _link_fault("lose_answers", 1),
    "stream broken": _link_fault("cut_streams_after", 4),
    "link cut": _link_fault("cut", True),
    "side killed": _kill,
    "side restarted": _restart,
    "side paused": _pause,
    "log down": _stand_in_fault("log", down=True),
    "log slow": _stand_in_fault("log", delay_ms=900),
    "log answer lost": _stand_in_fault("log", lose_answers=2),
    "append late": _stand_in_fault("log", late_appends=3, late_ms=5_000),
    "log trimmed": _trim,
    "store down": _stand_in_fault("weights", down=True),
    "store slow": _stand_in_fault("weights", slowdown=20.0),
    "list lagging": _stand_in_fault("instances", lag_ms=3_000),
    "list down": _stand_in_fault("instances", down=True),
    "order lost": _engine_fault(drop_orders=2),
    "order late": _engine_fault(late_orders=2, late_ms=6_000),
    "order answer lost": _engine_fault(lose_order_answers=2),
    "engine down": _engine_fault(down=True),
    "service down": _stand_in_fault("service", down=True),
    "service answer lost": _stand_in_fault("service", lose_answers=1),
    "clock ahead": _clock_fault(3_600_000),
    "clock behind": _clock_fault(-3_600_000),
}


async def _repeatable(scenario: Scenario) -> None:
    await scenario.stream("q", ("tokens", 30), ("meanwhile", ()))
    await scenario.ask("r", ("adapter", "jadran"), ("through", "entry-1"))
    await scenario.finish("q")


async def _unrepeatable(scenario: Scenario) -> None:
    scenario.installation.service.faults.delay_ms = 50
    await scenario.pay("a", ("meanwhile", ()))
    await scenario.pay("b", ("same_key", "a"), ("through", "entry-1"))
    await scenario.finish("a")
    await scenario.wait(1_000)
    await scenario.pay("c", ("same_key", "a"))


async def _order(scenario: Scenario) -> None:
    await scenario.publish(("version", 2))
    await scenario.ask("q")


async def _change(scenario: Scenario) -> None:
    base = scenario.revision
    await scenario.publish(("use_preset", "peak"))
    # Another operator's change of the same object, based on the earlier revision.
    await scenario.publish(("use_preset", "ordinary"), ("at_base", base))


async def _leave(scenario: Scenario) -> None:
    for name in ("q", "r", "s"):
        await scenario.stream(name, ("tokens", 40), ("meanwhile", ()))
    await scenario.wait(20)
    busy = [
        name
        for name, process in scenario.installation.sides.processes.items()
        if process.agent.load().running
    ]
    if busy:
        scenario.drain(busy[0])
    # The entries have not learned of the drain yet.
    for name in ("t", "u", "v", "w"):
        await scenario.ask(name, ("tokens", 1))
    for name in ("q", "r", "s"):
        await scenario.finish(name)


async def _start(scenario: Scenario) -> None:
    for name in ("assistant-2", "ledger-1"):
        scenario.restart(name)
    await scenario.wait(4_000)
    await scenario.pay("a")
    await scenario.ask("q")


STEPS: dict[str, Step] = {
    "repeatable": _repeatable,
    "unrepeatable": _unrepeatable,
    "order": _order,
    "change": _change,
    "leaving": _leave,
    "start": _start,
}


class Cell(NamedTuple):
    """One run of a step with its faults.

    Attributes:
        faults: Keys of ``FAULTS``, injected together.
        step: Key of ``STEPS``.
        point: Number of clock events before the faults; also the seed.
        ignoring: Whether the engines ignore order numbers.
    """

    faults: tuple[str, ...]
    step: str
    point: int
    ignoring: bool = False

    def __str__(self) -> str:
        engines = ", engines ignore order numbers" if self.ignoring else ""
        return f"{' + '.join(self.faults)} at {self.step}, event {self.point}{engines}"


def run_cell(cell: Cell) -> list[str]:
    """Run one cell and return the violated promises."""
    return asyncio.run(_run_cell(cell))


async def _run_cell(cell: Cell) -> list[str]:
    async with TestInstallation(seed=cell.point) as installation:
        scenario = Scenario(installation)
        # One engine has no room for both versions at once.
        versions = scenario.raw["models"]["allowances"]["versions"]
        versions |= {"1": {"weights": "130 GiB"}, "2": {"weights": "120 GiB"}}
        await scenario.runners(3, "ignoring" if cell.ignoring else "")
        scenario.ledgers(2)
        scenario.entries(2)
        await scenario.publish()
        await scenario.wait(4_000)
        cleared = asyncio.get_running_loop().create_future()

        def clear_faults() -> None:
            scenario.clear_faults()
            cleared.set_result(None)

        def inject() -> None:
            for fault in cell.faults:
                FAULTS[fault](scenario)
            installation.timers.call_later(FAULT_DURATION_MS, clear_faults)

        installation.timers.call_after_events(cell.point, inject)
        await STEPS[cell.step](scenario)
        await installation.wait(cleared, limit_ms=60_000)
        for name in FAULTY_SIDES:
            if name not in installation.sides.processes:
                scenario.restart(name)
        return await scenario.settle()


def quick_cells() -> list[Cell]:
    """Return the cells that every test run checks."""
    return [
        Cell((fault,), step, point, ignoring)
        for fault in FAULTS
        for step in STEPS
        for point, ignoring in zip(QUICK_POINTS, (False, True), strict=True)
    ]


def all_cells() -> list[Cell]:
    """Return cells for every fault, step and point, and for all pairs of faults."""
    singles = [
        Cell((fault,), step, point, ignoring)
        for fault in FAULTS
        for step in STEPS
        for point in ALL_POINTS
        for ignoring in (False, True)
    ]
    pairs = [
        Cell(pair, step, point)
        for pair in combinations(FAULTS, 2)
        for step in STEPS
        for point in PAIR_POINTS
    ]
    return singles + pairs


def main() -> int:
    """Run all cells and print a table of cells passed and run."""
    failures: list[str] = []
    passed: dict[tuple[str, str], int] = {}
    total: dict[tuple[str, str], int] = {}
    cells = all_cells()
    with Pool(PROCESSES, initializer=logger.remove) as pool:
        results = pool.map(run_cell, cells, chunksize=20)
    for cell, violations in zip(cells, results, strict=True):
        for fault in cell.faults:
            key = (fault, cell.step)
            total[key] = total.get(key, 0) + 1
            passed[key] = passed.get(key, 0) + (not violations)
        if violations:
            failures.append(f"{cell}: {'; '.join(violations)}")
    print(" " * 20 + "".join(f"{step:>14}" for step in STEPS))
    for fault in FAULTS:
        row = (f"{passed[fault, step]}/{total[fault, step]}" for step in STEPS)
        print(f"{fault:20}" + "".join(f"{item:>14}" for item in row))
    for line in failures:
        print(f"FAILED {line}")
    print(
        f"{len(cells)} cells run, {len(cells) - len(failures)} passed, "
        f"{len(failures)} failed"
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
