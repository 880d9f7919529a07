"""A short seeded run of the fault soak, with real entries and sides."""

from __future__ import annotations

import asyncio

import soak_accounts
import soak_answers
import soak_versions
from soak import run_seed
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

CI_SEED = 4  # kills, pauses, link faults and a store outage within seconds
CI_SECONDS = 4.0


def test_every_promise_is_kept_in_a_short_soak() -> None:
    violations, outcomes = asyncio.run(run_seed(CI_SEED, CI_SECONDS))
    assert_that(violations, Equals([]))
    assert_that(outcomes.get("answered", 0), GreaterThan(50))


def test_epochs_and_configurations_hold_while_the_store_falls_back() -> None:
    violations, _ = asyncio.run(run_seed(CI_SEED, CI_SECONDS, fall_backs=True))
    assert_that(violations, Equals([]))


def test_few_engines_end_by_a_bad_prompt_part_among_other_faults() -> None:
    violations, outcomes = asyncio.run(run_seed(CI_SEED, CI_SECONDS, bad_part=True))
    assert_that(violations, Equals([]))
    assert_that(outcomes.get("answered", 0), GreaterThan(50))


def test_streams_hold_events_of_one_software_version_in_a_short_soak() -> None:
    violations, outcomes = asyncio.run(soak_versions.run_seed(CI_SEED, CI_SECONDS))
    assert_that(violations, Equals([]))
    assert_that(outcomes["went on"], GreaterThan(5))


def test_keys_and_allotments_hold_in_a_short_soak() -> None:
    violations, outcomes = asyncio.run(soak_accounts.run_seed(CI_SEED, CI_SECONDS))
    assert_that(violations, Equals([]))
    assert_that(outcomes["busy runs"], GreaterThan(20))


def test_spoiled_answers_and_odd_entries_break_no_promise_in_a_short_soak() -> None:
    violations, outcomes = asyncio.run(soak_answers.run_seed(CI_SEED, CI_SECONDS))
    assert_that(violations, Equals([]))
    assert_that(outcomes["answered"], GreaterThan(50))
    spoiled = sum(n for name, n in outcomes.items() if name.startswith("answers "))
    assert_that(spoiled, GreaterThan(5))
