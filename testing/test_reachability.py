"""Every deployed model stays reachable while its copies move."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Any

import pytest
from installation import TestInstallation
from installation import small_configuration
from installation import start_small_installation
from testtools.assertions import assert_that
from testtools.matchers import AllMatch
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.model import Answer

BODY = json.dumps({"model": "allowances", "prompt": "?", "max_tokens": 2}).encode()
CHECK_MS = 50


def tight_configuration(models: int, weights: str) -> dict[str, Any]:
    raw = small_configuration()
    raw["models"] = {
        f"m{number}": {"versions": {"1": {"weights": weights}}}
        for number in range(models)
    }
    raw["adapters"] = {}
    raw["deployments"] = {
        name: {"pool": "assistant", "model": name, "version": "1"}
        for name in raw["models"]
    }
    raw["presets"] = {"ordinary": {}}
    raw["tenants"]["jadran"]["uses"] = [*raw["models"], "ledger"]
    return raw


def holders(installation: TestInstallation, name: str) -> list[str]:
    """Return the running sides whose engine reports an object as resident."""
    return [
        side
        for side, engine in installation.engines.items()
        if side in installation.sides.processes and name in engine.resident
    ]


def check_memory(installation: TestInstallation) -> None:
    for engine in installation.engines.values():
        assert_that(engine.memory_high_water, LessThan(engine.memory_bytes + 1))


def test_version_switch_is_answered_throughout_and_unloads_the_old_version() -> None:
    async def scenario() -> None:
        async with TestInstallation() as installation:
            await start_small_installation(installation)
            raw = small_configuration()
            raw["models"]["allowances"]["versions"]["2"] = {"weights": "30 GiB"}
            raw["deployments"]["allowances"]["version"] = "2"
            await installation.publish(raw, base=0)
            for _ in range(200):
                answer = await installation.wait(installation.complete(BODY))
                assert_that(answer, IsInstance(Answer))
                await installation.timers.advance(CHECK_MS)
            assert_that(len(holders(installation, "allowances@2")), Equals(2))
            assert_that(holders(installation, "allowances@1"), Equals([]))
            check_memory(installation)

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_instance_list_changes_never_unload_a_last_copy(
    seed: int,
) -> None:
    # Assignments change with the instance list, so engines fill up with spare copies
    # and must unload some to load the deployments assigned to them.
    async def scenario() -> None:
        random = Random(seed)
        async with TestInstallation(seed=seed) as installation:
            for number in range(4):
                installation.start_engine_side(f"assistant-{number}")
            installation.start_entry("entry-0")
            await installation.publish(tight_configuration(9, "75 GiB"))
            await installation.timers.advance(20_000)
            names = [f"m{number}@1" for number in range(9)]
            unloads = 0
            for _ in range(12):
                listed = {item.id: item for item in await installation.instances.list()}
                victim = f"assistant-{random.randrange(4)}"
                installation.instances.remove(victim)
                unloads += await _count_unloads(
                    installation, names, random.randrange(60, 200)
                )
                installation.instances.put(listed[victim])
                unloads += await _count_unloads(
                    installation, names, random.randrange(20, 100)
                )
            check_memory(installation)
            assert_that(unloads, GreaterThan(0))

    asyncio.run(scenario())


async def _count_unloads(
    installation: TestInstallation, names: list[str], checks: int
) -> int:
    """Check that each object has a holder; return how many copies were unloaded."""
    unloads = 0
    for _ in range(checks):
        before = sum(len(holders(installation, name)) for name in names)
        await installation.timers.advance(CHECK_MS)
        counts = [len(holders(installation, name)) for name in names]
        assert_that(counts, AllMatch(GreaterThan(0)))
        unloads += max(0, before - sum(counts))
    return unloads


def test_two_holders_never_unload_the_same_object_at_once() -> None:
    async def scenario() -> None:
        async with TestInstallation() as installation:
            await start_small_installation(installation)
            first, second = (
                installation.sides.processes[f"assistant-{number}"]
                for number in range(2)
            )
            assert_that(first.grant_pin("allowances@1"), Is(True))
            reconcilers = [process.reconciler for process in (first, second)]
            cfg = first.follower.configuration
            assert cfg is not None
            secured = await asyncio.gather(
                *(item.begin_unload(cfg, "allowances@1") for item in reconcilers)
            )
            assert_that(sum(secured), LessThan(2))

    asyncio.run(scenario())


def test_killed_holder_is_replaced_by_another_instance() -> None:
    async def scenario() -> None:
        async with TestInstallation() as installation:
            for number in range(3):
                installation.start_engine_side(f"assistant-{number}")
            installation.start_entry("entry-0")
            await installation.publish(tight_configuration(3, "70 GiB"))
            await installation.timers.advance(20_000)
            (holder,) = holders(installation, "m0@1")
            installation.stop_side(holder)
            installation.instances.remove(holder)
            await installation.timers.advance(20_000)
            for number in range(3):
                assert_that(len(holders(installation, f"m{number}@1")), Equals(1))
            check_memory(installation)

    asyncio.run(scenario())


def test_most_requested_deployment_is_loaded_first() -> None:
    async def scenario() -> None:
        async with TestInstallation() as installation:
            installation.start_engine_side("assistant-0")
            installation.start_entry("entry-0")
            installation.weights.faults.down = True
            await installation.publish(tight_configuration(3, "70 GiB"))
            await installation.timers.advance(5_000)
            body = json.dumps({"model": "m2", "prompt": "?"}).encode()
            for _ in range(3):
                await installation.wait(installation.complete(body))
            installation.weights.faults.down = False
            while not holders(installation, "m2@1"):
                await installation.timers.advance(10)
            assert_that(holders(installation, "m0@1"), Equals([]))
            assert_that(holders(installation, "m1@1"), Equals([]))

    asyncio.run(scenario())
