"""Breaks each promise's mechanism in a scratch copy and checks that a test fails.

Prints a table; exits with 1 when a broken mechanism passed its test.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
TEST_TIMEOUT_S = 120


class Mutant(NamedTuple):
    """One change that breaks a mechanism.

    Attributes:
        promise: Promise that the mechanism keeps.
        file: Module below ``src/copperrun``.
        old: Text of the mechanism.
        new: Text that breaks it.
        test: Test that must fail.
    """

    promise: str
    file: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        "store's eras",
        "membership/journal.py",
        "health.subscribe(self._tell_all)",
        "pass",
        "test_journal.py::test_origins_are_written_again_after_a_drill",
    ),
    Mutant(
        "store's eras",
        "membership/journal.py",
        "untold.pop(key, None)",
        "self._untold.pop(key, None)",
        "test_journal.py::test_an_origin_acknowledged_in_the_earlier_era_is_written_again",
    ),
    Mutant(
        "store's eras",
        "membership/archive.py",
        "health.subscribe(self._write_again)",
        "pass",
        "test_archive.py::test_a_quarantine_outlasts_a_drill_and_the_loss_of_all_processes",
    ),
    Mutant(
        "provenance",
        "routing/servers.py",
        "            and not self._is_held_back(server)\n",
        "",
        "test_versions.py::test_no_stream_begins_at_a_version_that_the_store_has_not_recorded",
    ),
    Mutant(
        "provenance",
        "membership/provenance.py",
        "and record.era == self._reader.position.era",
        "",
        "test_provenance.py::test_a_record_of_an_earlier_era_is_not_believed",
    ),
    Mutant(
        "provenance",
        "membership/provenance.py",
        "if len(versions | listed) == 1 and not is_settled:",
        "if False:",
        "test_provenance.py::test_the_only_version_is_vouched_for_again_after_a_drill",
    ),
    Mutant(
        "provenance",
        "membership/provenance.py",
        "self._topic, pool, record.encode(), at=at.offset",
        "self._topic, pool, record.encode()",
        "test_provenance.py::test_entries_that_see_other_versions_keep_each_others",
    ),
    Mutant(
        "provenance",
        "membership/provenance.py",
        "record.routes & self._routes.steady(pool)\n",
        "record.routes\n",
        "test_provenance.py::test_a_route_that_leaves_and_comes_back_has_to_settle_again",
    ),
    Mutant(
        "origins in the store",
        "membership/reader.py",
        "if self._last_read < wanted_read:",
        "if self.position is None:",
        "test_journal.py::test_a_stream_is_known_to_an_entry_that_has_just_started",
    ),
    Mutant(
        "origins in the store",
        "membership/journal.py",
        "if origin.pool in self._pools:",
        "if True:",
        "test_journal.py::test_nothing_is_written_or_read_while_there_is_one_version",
    ),
    Mutant(
        "origins in the store",
        "entry/continuations.py",
        "if self._journal is None or not self._journal.is_active:",
        "if True:",
        "test_journal.py::test_a_stream_whose_keepers_ended_goes_on_by_the_store",
    ),
    Mutant(
        "answers of servers in trouble",
        "adapters/connector.py",
        "protocol.is_idle = True",
        "protocol.is_idle = False",
        "test_connector.py::test_a_connection_that_received_bytes_while_idle_is_not_used_again",
    ),
    Mutant(
        "answers of servers in trouble",
        "adapters/connector.py",
        "if request_id and id_hash in self._id_hashes:",
        "if False:",
        "test_connector.py::test_an_id_is_sent_once_on_a_connection",
    ),
    Mutant(
        "answers of servers in trouble",
        "adapters/connector.py",
        "return not self.is_reused",
        "return True",
        "test_connector.py::test_a_refusal_written_twice_refuses_no_other_request",
    ),
    Mutant(
        "answers of servers in trouble",
        "platform/backends.py",
        "with exchanging(Exchange(is_separate=True)):",
        "with exchanging(Exchange()):",
        "test_connector.py::test_a_status_check_shares_no_connection_with_requests",
    ),
    Mutant(
        "answers of servers in trouble",
        "decoding.py",
        "    RecursionError,\n",
        "",
        "test_decoding.py::test_what_is_nested_deep_is_malformed_wherever_it_is_read",
    ),
    Mutant(
        "answers of servers in trouble",
        "adapters/bodies.py",
        "if size > max_bytes:",
        "if False:",
        "test_bodies.py::test_an_answer_without_end_is_given_up",
    ),
    Mutant(
        "registry entries of other writers",
        "routing/attempt.py",
        "self.server.mark_replaced()",
        "pass",
        "test_relay.py::test_a_server_at_whose_address_another_one_answers_is_not_tried_again",
    ),
    Mutant(
        "registry entries of other writers",
        "platform/records.py",
        'whole_number(fields["slots"], 1, MAX_SLOTS)',
        '_number(fields["slots"])',
        "test_platform_records.py::test_an_entry_with_values_out_of_range_names_no_server",
    ),
    Mutant(
        "order at an entry out of step",
        "entry/continuations.py",
        "if isinstance(found, UnknownOrigin) and not missing_replies:",
        "if isinstance(found, UnknownOrigin):",
        "test_continuations.py::test_a_stream_is_not_guessed_while_a_keeper_does_not_reply",
    ),
    Mutant(
        "order at an entry out of step",
        "membership/view.py",
        "partial(self.software.restart, LAPSE_GRACE_MS)",
        "partial(int, LAPSE_GRACE_MS)",
        "test_continuations.py::test_an_outage_of_the_store_ends_what_is_known_of_versions",
    ),
    Mutant(
        "order at an entry out of step",
        "pauses.py",
        "return self._pause_end_ms > at_ms",
        "return False",
        "test_pauses.py::test_an_answer_after_a_pause_counts_only_if_its_start_still_runs",
    ),
    Mutant(
        "learned costs",
        "routing/scoring.py",
        "min(max(work / mean_ms, count / max_weight), count * max_weight)",
        "work / mean_ms",
        "test_costs.py::test_a_choice_by_wrong_work_is_never_worse_than_its_bound",
    ),
    Mutant(
        "learned costs",
        "routing/costs.py",
        "return with_hints < without",
        "return True",
        "test_costs.py::test_hints_that_lie_at_random_by_ten_are_not_used",
    ),
    Mutant(
        "learned costs",
        "routing/costs.py",
        "2 ** (idle / IDLE_HALF_LIFE) / SAMPLE_DECAY",
        "1.0",
        "test_costs.py::test_a_route_whose_cost_jumps_tenfold_is_known_after_60_answers",
    ),
    Mutant(
        "engine memory",
        "admission/memory.py",
        "return self._committed(now_ms) + self._added_tokens(need) <= self.capacity",
        "return True",
        "test_memory.py::test_a_grant_waits_until_the_request_fits_the_memory",
    ),
    Mutant(
        "fall-back",
        "membership/claims.py",
        "(position.era << _OFFSET_BITS) + position.offset",
        "position.offset",
        "test_claims.py",
    ),
    Mutant(
        "fall-back",
        "membership/topic.py",
        "if page.era > self.era:",
        "if False:",
        "test_view.py::test_an_offset_that_is_valid_again_after_a_fall_back_is_not_"
        "read_on_from",
    ),
    Mutant(
        "fall-back",
        "membership/registry.py",
        "if server_id in distrusted and",
        "if False and",
        "test_view.py::test_a_server_that_left_is_not_used_because_an_older_copy_"
        "lists_it",
    ),
    Mutant(
        "fall-back",
        "configuration/catalog.py",
        "catalog.version <= self.catalog.version",
        "catalog.version == self.catalog.version",
        "test_view.py::test_a_configuration_never_reverts_when_the_store_falls_back",
    ),
    Mutant(
        "memory",
        "placement/ledger.py",
        "if size_bytes > self.free_bytes:",
        "if size_bytes > self.capacity_bytes:",
        "test_placement.py::test_load_without_room_is_refused_before_it_is_ordered",
    ),
    Mutant(
        "memory",
        "placement/orders.py",
        "if _took_effect(order, state) or (expired and not state.busy):",
        "if not state.busy:",
        "test_placement.py::test_order_of_unknown_outcome_keeps_its_reservation",
    ),
    Mutant(
        "memory",
        "placement/orders.py",
        "                not self.checks_orders\n                and ",
        "                True\n                and ",
        "test_placement.py::test_order_of_unknown_outcome_keeps_its_reservation",
    ),
    Mutant(
        "memory",
        "placement/orders.py",
        "                if had_earlier_side:",
        "                if False:",
        "test_placement.py::test_new_side_waits_for_late_orders_to_an_engine_that_"
        "ignores_numbers",
    ),
    Mutant(
        "memory",
        "placement/orders.py",
        "                state = await self._raise_fence(epoch)",
        "                state = await self._wait_until_idle()",
        "test_placement.py::test_order_of_an_earlier_side_is_refused_by_a_checking_"
        "engine",
    ),
    Mutant(
        "reachable",
        "placement/reconciler.py",
        "return self._ledger.is_resident(name) and name not in self._unloading",
        "return self._ledger.is_resident(name)",
        "test_reachability.py::test_two_holders_never_unload_the_same_object_at_once",
    ),
    Mutant(
        "reachable",
        "placement/reconciler.py",
        "        versions = resident_versions(resident, "
        "cfg.deployments[deployment].model)",
        "        versions: list[str] = []",
        "test_reachability.py::test_version_switch_is_answered_throughout_and_unloads_"
        "the_old_version",
    ),
    Mutant(
        "reachable",
        "placement/reconciler.py",
        "return await self._pins.obtain(current, self._other_assigned(deployment))",
        "return True",
        "test_reachability.py::test_instance_list_changes_never_unload_a_last_copy",
    ),
    Mutant(
        "reachable",
        "placement/assignments.py",
        "    for index in range(max(copies.values(), default=0)):\n"
        "        for name in by_size:\n",
        "    for name in reversed(by_size):\n"
        "        for index in range(max(copies.values()) * 5):\n"
        "            copies[name] = 6\n",
        "test_placement.py::test_every_deployment_is_assigned_its_copies_within_memory",
    ),
    Mutant(
        "reachable",
        "routing/router.py",
        "            [side for side in pool if side.instance.id in assigned],\n",
        "",
        "test_routing.py::test_assigned_side_is_tried_after_sides_that_report_the_"
        "model",
    ),
    Mutant(
        "whole answer",
        "adapters/sides.py",
        "if not event.id.startswith(prefix):",
        "if False:",
        "test_sides.py::test_chunks_of_another_attempt_never_reach_the_caller",
    ),
    Mutant(
        "whole answer",
        "routing/dispatcher.py",
        "            resume_chunks=len(texts),",
        "            resume_chunks=0,",
        "test_installation.py::test_stream_cut_midway_is_resumed_whole_on_another_side",
    ),
    Mutant(
        "not run",
        "admission/attempts.py",
        "            self._add(attempt_id, _Entry(AttemptState.CANCELLED))\n",
        "",
        "test_installation.py::test_late_copy_of_a_cancelled_attempt_does_not_run",
    ),
    Mutant(
        "not run",
        "routing/dispatcher.py",
        "ran = Ran.NO if started is False else Ran.UNKNOWN",
        "ran = Ran.NO",
        "test_installation.py::test_unrepeatable_call_whose_answer_is_lost_is_"
        "not_executed_again",
    ),
    Mutant(
        "at most once",
        "idempotency/index.py",
        "if key not in self._keys and attempt not in self._abandoned:",
        "if attempt not in self._abandoned:",
        "test_installation.py::test_unrepeatable_call_sent_at_once_through_both_sides_"
        "runs_once",
    ),
    Mutant(
        "at most once",
        "idempotency/journal.py",
        "        if state is None or state.attempt != permit.attempt:",
        "        if state is None:",
        "test_installation.py::test_unrepeatable_call_sent_at_once_through_both_sides_"
        "runs_once",
    ),
    Mutant(
        "at most once",
        "idempotency/index.py",
        "if key not in self._keys and attempt not in self._abandoned:",
        "if key not in self._keys:",
        "test_installation.py::test_intent_appended_after_its_sender_timed_out_"
        "never_runs",
    ),
    Mutant(
        "at most once",
        "idempotency/partition.py",
        "self.covered_from_ms = 0 if start == 0 else self._timers.wall_ms()",
        "self.covered_from_ms = 0",
        "test_installation.py::test_new_side_after_an_early_log_trim_refuses_"
        "keys_of_the_gap",
    ),
    Mutant(
        "leaving",
        "side/process.py",
        "            self.agent.lifecycle.leave()",
        "            pass",
        "test_installation.py::test_side_marked_leaving_in_the_list_refuses_work_"
        "within_three_seconds",
    ),
    Mutant(
        "shutdown",
        "entry/daemon.py",
        "            if public.busy_connections:",
        "            if False:",
        "test_acceptance.py",
    ),
    Mutant(
        "configuration",
        "configuration/state.py",
        "        if record.offset < self.next_offset:\n",
        "        if False:\n",
        "test_configuration_state.py::test_record_applied_twice_changes_nothing",
    ),
    Mutant(
        "configuration",
        "configuration/state.py",
        "and entry.offset > change.base",
        "and entry.offset > change.base + 10",
        "test_configuration_state.py::test_first_of_two_concurrent_changes_of_o"
        "ne_object_wins",
    ),
    Mutant(
        "failover",
        "routing/failover.py",
        "                found = await search\n                if found is not None:",
        "                found = await search\n                if found is None:\n"
        "                    return Found(attempt, AttemptOutcome.MAYBE_RAN)\n"
        "                if found is not None:",
        "test_failover.py::test_a_silent_stream_is_kept_without_a_retry_left",
    ),
    Mutant(
        "failover",
        "routing/failover.py",
        "if not _has_failed(own.result()):",
        "if False:",
        "test_failover.py::test_a_silent_stream_goes_on_when_its_server_answers_before_"
        "the_other_one",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "return MIN_CRASHES + min(self._recent_answers(part), most)",
        "return 9 * MIN_CRASHES",
        "test_quarantine.py::test_a_part_is_blocked_after_several_crashes_and_n"
        "ot_before",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "for key, at in found.items() if key not in explained}",
        "for key, at in found.items()}",
        "test_quarantine.py::test_a_part_that_was_only_near_by_is_explained_away",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "return MIN_CRASHES + min(self._recent_answers(part), most)",
        "return MIN_CRASHES",
        "test_quarantine.py::test_parts_with_recent_answers_need_more_crashes",
    ),
    Mutant(
        "quarantine",
        "routing/detection.py",
        "        if not await self._has_ended(request.pool, server):",
        "        if False:",
        "test_relay.py::test_answers_lost_by_servers_that_run_on_blame_no_part",
    ),
    Mutant(
        "quarantine",
        "routing/relay.py",
        "            if self._blocked_ms(request):\n                scope",
        "            if False:\n                scope",
        "test_relay.py::test_waiting_requests_are_refused_at_once_when_their_part_"
        "is_quarantined",
    ),
    Mutant(
        "quarantine",
        "membership/exchange.py",
        "                    self._log.merge(records)",
        "                    pass",
        "test_exchange.py::test_crashes_seen_by_different_entries_block_the_part_"
        "at_all_of_them",
    ),
    Mutant(
        "quarantine",
        "membership/archive.py",
        'value = b"" if record is None else self._encode(record)',
        'value = b""',
        "test_archive.py::test_a_quarantine_outlasts_the_loss_of_all_processes",
    ),
    Mutant(
        "quarantine",
        "routing/requests.py",
        "return (*self.call.prompt_parts, self.fingerprint)",
        "return self.call.prompt_parts",
        "test_relay.py::test_a_plain_request_lost_with_ended_servers_is_refused"
        "_at_once",
    ),
    Mutant(
        "quarantine",
        "routing/fingerprints.py",
        '        digest.update(b"%d:" % len(field))\n',
        "",
        "test_fingerprints.py::test_fields_cannot_run_into_each_other",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "    if len(requests) > 1:",
        "    if False:",
        "test_quarantine.py::test_requests_carried_on_together_are_tried_one_after_the_"
        "other",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "_Turn(number, len(requests), latest_ms),",
        "None,",
        "test_quarantine.py::test_a_sound_request_lost_in_each_crash_is_not_put_into_"
        "quarantine",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "if is_fingerprint(part) and self._recent_answers(part) < CONCURRENT_ANSWERS:",
        "if False:",
        "test_quarantine.py::test_a_request_is_blocked_by_servers_that_end_with_it_one_"
        "after_the_other",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "if is_fingerprint(part) and self._recent_answers(part) < CONCURRENT_ANSWERS:",
        "if is_fingerprint(part):",
        "test_quarantine.py::test_a_request_that_many_send_is_not_blocked_by_servers_"
        "that_end_together",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "    if requests and is_sure:",
        "    if False:",
        "test_quarantine.py::test_a_part_that_is_always_near_by_does_not_hide_a_bad_"
        "request",
    ),
    Mutant(
        "quarantine",
        "routing/quarantine.py",
        "return self._request_answers if is_fingerprint(part) else self._part_answers",
        "return self._part_answers",
        "test_quarantine.py::test_answers_on_requests_do_not_push_out_those_on_parts",
    ),
    Mutant(
        "quarantine",
        "routing/crashes.py",
        'xxhash.xxh64_intdigest(f"{crash} {part}".encode())',
        "0",
        "test_crashes.py::test_no_suspect_is_dropped_from_every_crash_for_its_id",
    ),
    Mutant(
        "quarantine",
        "routing/detection.py",
        "await asyncio.shield(record)",
        "await record",
        "test_relay.py::test_a_crash_is_recorded_though_the_caller_leaves_during_the_"
        "check",
    ),
    Mutant(
        "quarantine",
        "routing/attempt.py",
        "            self._request.pool.name, [self._request.fingerprint]\n",
        "            self._request.pool.name, []\n",
        "test_relay.py::test_an_answer_of_a_server_clears_the_request_whatever_"
        "its_status",
    ),
    Mutant(
        "quarantine",
        "platform/backends.py",
        'return answered_by not in ("", server.id)',
        "return answered_by != server.id",
        "test_platform_http.py::test_a_plain_server_has_ended_if_another_one_answers_"
        "its_health_check",
    ),
    Mutant(
        "quarantine",
        "platform/backends.py",
        "                    if health_path:\n",
        "                    if False:\n",
        "test_platform_http.py::test_a_plain_server_has_ended_if_another_one_answers_"
        "its_health_check",
    ),
    Mutant(
        "oracle: memory",
        "placement/ledger.py",
        "                self._allocations[name] = _Allocation(\n"
        "                    size_bytes, AllocationState.RESIDENT\n"
        "                )\n"
        "        reported",
        "                pass\n        reported",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: reachable",
        "placement/reconciler.py",
        "        for deployment in self._missing_deployments(cfg):",
        "        for deployment in self._missing_deployments(cfg)[1:]:",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: whole",
        "routing/dispatcher.py",
        '            resume_text="".join(texts),',
        '            resume_text="".join(texts[1:]),',
        "test_matrix.py",
    ),
    Mutant(
        "oracle: whole",
        "routing/dispatcher.py",
        "            resume_chunks=len(texts),",
        "            resume_chunks=0,",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: not run",
        "routing/dispatcher.py",
        "ran = Ran.NO if started is False else Ran.UNKNOWN",
        "ran = Ran.NO",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: once",
        "idempotency/journal.py",
        "        if state is None or state.attempt != permit.attempt:",
        "        if state is None:",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: leaving",
        "side/agent.py",
        "            case State.SERVING:",
        "            case State.SERVING | State.LEAVING:",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: shutdown",
        "side/agent.py",
        "        while self._in_flight:",
        "        while False:",
        "test_matrix.py",
    ),
    Mutant(
        "oracle: config",
        "configuration/state.py",
        "and entry.offset > change.base",
        "and entry.offset > change.base + self.revision % 2",
        "test_matrix.py",
    ),
    Mutant(
        "answer: read",
        "platform/connections.py",
        "            self.awaits_request\n            and self._head_since_ms is None",
        "            self._head_since_ms is None",
        "test_answers.py::test_a_request_that_was_read_but_not_yet_handled_is_answered"
        "_on_a_leave",
    ),
    Mutant(
        "answer: head",
        "platform/connections.py",
        "            and self._head_since_ms is None\n",
        "",
        "test_answers.py::test_a_request_is_answered_while_the_entry_leaves",
    ),
    Mutant(
        "answer: socket",
        "platform/connections.py",
        "            and not self._has_unread_bytes\n",
        "",
        "test_answers.py::test_a_request_in_the_receive_buffer_is_answered_on_a_leave",
    ),
    Mutant(
        "answer: unsent",
        "platform/connections.py",
        "            and not self._has_unsent_bytes\n",
        "",
        "test_answers.py::test_a_stream_that_ends_late_is_sent_to_its_end_befor"
        "e_the_exit",
    ),
    Mutant(
        "answer: queued",
        "platform/ingress.py",
        "and conn.has_queued_requests",
        "and False",
        "test_answers.py::test_pipelined_requests_are_all_answered",
    ),
    Mutant(
        "answer: idle",
        "platform/connections.py",
        "max(self._idle_timeout_ms, idle_timeout_ms)",
        "self._idle_timeout_ms or idle_timeout_ms",
        "test_answers.py::test_a_raised_idle_timeout_applies_to_new_and_open"
        "_connections",
    ),
    Mutant(
        "fair: turns",
        "admission/tickets.py",
        "            lead_ms += prefill_ms(ticket)\n",
        "",
        "test_fairness.py::test_the_expected_wait_of_a_newcomer_leaves_out_most_of_a_l"
        "ong_queue",
    ),
    Mutant(
        "fair: lead",
        "admission/fairness.py",
        "starts_ms[share] += prefill_ms",
        "pass",
        "test_fairness.py::test_an_account_that_was_served_longer_has_a_lead_while_others"
        "_wait",
    ),
    Mutant(
        "fair: saved up",
        "admission/fairness.py",
        "return max(self._starts_ms.get(share, 0.0), least_ms)",
        "return self._starts_ms.get(share, 0.0)",
        "test_fairness.py::test_an_account_saves_nothing_up_while_it_sends_nothing",
    ),
    Mutant(
        "fair: starved",
        "admission/tickets.py",
        "STARVED_RANK if ticket.account in starved else ticket.priority",
        "ticket.priority",
        "test_fairness.py::test_no_account_is_served_less_than_a_quarter_as_often_as_all",
    ),
    Mutant(
        "place: order",
        "admission/tickets.py",
        "groups.setdefault((rank, not ticket.continues), [])",
        "groups.setdefault((rank, False), [])",
        "test_yielding.py::test_a_stream_that_goes_on_only_here_is_first_of_its_rank",
    ),
    Mutant(
        "place: wait",
        "admission/prefill.py",
        "                if not gives_way(other, ticket)\n",
        "",
        "test_yielding.py::test_requests_with_other_places_do_not_count_as_ahead_of_a_str"
        "eam",
    ),
    Mutant(
        "place: yield",
        "admission/prefill.py",
        "streams = [item for item in self._waiting.values() if item.continues]",
        "streams: list[Ticket] = []",
        "test_yielding.py::test_only_as_many_give_way_as_the_stream_needs_and_the_last_on"
        "es_first",
    ),
    Mutant(
        "place: leave",
        "routing/selector.py",
        "holders = list(leave_to_streams(holders, self._slack_ms(request)))",
        "pass",
        "test_yielding.py::test_new_requests_leave_engines_where_streams_wait",
    ),
    Mutant(
        "origin: attempt",
        "routing/selector.py",
        "if self._is_allowed(server, progress)",
        "if self._servers.is_usable(server)",
        "test_versions.py::test_a_stream_does_not_go_on_at_another_software_version",
    ),
    Mutant(
        "origin: unknown",
        "routing/servers.py",
        "return bool(version) and record.software_version == version",
        "return record.software_version == version",
        "test_versions.py::test_servers_without_a_version_are_of_no_common_version",
    ),
    Mutant(
        "origin: start",
        "routing/selector.py",
        "server.record_start(born_ms, server_id)",
        "pass",
        "test_versions.py::test_a_stream_does_not_go_on_at_a_start_that_only_th"
        "e_side_knows",
    ),
    Mutant(
        "origin: start",
        "routing/servers.py",
        '                software_version="",\n',
        "",
        "test_versions.py::test_a_stream_does_not_go_on_at_a_start_that_only_the_"
        "side_knows",
    ),
    Mutant(
        "origin: confirm",
        "routing/selector.py",
        "if await self._starts.is_running(record):",
        "if True:",
        "test_versions.py::test_a_stream_does_not_go_on_at_a_start_that_nobody_confirms",
    ),
    Mutant(
        "origin: confirm",
        "routing/relay.py",
        "if attempt.is_start_sure:",
        "if True:",
        "test_versions.py::test_a_stream_begun_without_a_side_goes_on_once_its_"
        "start_is_confirmed",
    ),
    Mutant(
        "origin: record",
        "routing/relay.py",
        "            self._record_origin(request.call.id, attempt.origin)\n    "
        "        return\n",
        "            return\n",
        "test_versions.py::test_a_stream_taken_up_goes_on_at_the_service_that_began_it",
    ),
    Mutant(
        "origin: pool",
        "entry/proxy.py",
        "origin.pool if origin else route.pool_for(call.id)",
        "route.pool_for(call.id)",
        "test_versions.py::test_a_stream_taken_up_goes_on_at_the_service_that_began_it",
    ),
    Mutant(
        "origin: moved",
        "entry/continuations.py",
        "if not route.leads_to(origin.pool):",
        "if False:",
        "test_versions.py::test_a_stream_whose_route_moved_does_not_go_on_at_an"
        "other_service",
    ),
    Mutant(
        "origin: guess",
        "membership/software.py",
        'return versions[0] if len(versions) == 1 else ""',
        'return versions[0] if versions else ""',
        "test_software.py::test_a_version_is_not_the_only_one_until_the_other_h"
        "as_left_for_the_time",
    ),
    Mutant(
        "origin: guess",
        "entry/continuations.py",
        "if not await self._view.confirm_servers(min(limit_ms, CONFIRM_TIMEOUT_MS)):",
        "if False:",
        "test_versions.py::test_a_stream_that_is_not_known_is_refused_once_anot"
        "her_version_came",
    ),
    Mutant(
        "origin: keepers",
        "membership/keepers.py",
        "self._channel(host).tell(record.key)",
        "pass",
        "test_keepers.py::test_an_entry_that_just_started_knows_a_stream_of_one"
        "_that_ended",
    ),
    Mutant(
        "origin: keepers",
        "membership/keepers.py",
        "self._untold[record.key] = None\n        self._start = start",
        "pass\n        self._start = start",
        "test_keepers.py::test_all_keepers_that_start_again_in_series_are_told_anew",
    ),
    Mutant(
        "origin: keepers",
        "membership/keepers.py",
        "            self.record(request_id, found.record.origin)\n",
        "            pass\n",
        "test_keepers.py::test_entries_that_end_one_after_the_other_hand_a_stream_on",
    ),
    Mutant(
        "origin: id",
        "routing/origins.py",
        "    if first == second:\n        return first\n",
        "    if True:\n        return first\n",
        "test_keepers.py::test_an_id_that_two_streams_share_names_neither",
    ),
    Mutant(
        "origin: room",
        "placement/controller.py",
        "if continuing and own is not None and own.software_version:",
        "if False:",
        "test_controller.py::test_a_model_is_loaded_for_streams_that_only_this_"
        "version_may_continue",
    ),
    Mutant(
        "origin: weights",
        "routing/router.py",
        'model = "" if begun_with else',
        "model =",
        "test_routing.py::test_a_begun_answer_is_not_continued_by_another_versi"
        "on_of_the_weights",
    ),
    Mutant(
        "origin: weights",
        "side/model_server.py",
        "weights: str | None = attempt.resume_weights",
        "weights: str | None = None",
        "test_installation.py::test_a_side_refuses_to_continue_an_answer_of_wei"
        "ghts_that_it_does_not_hold",
    ),
    Mutant(
        "readers",
        "admission/buffers.py",
        "self._answer_bytes > self.bounds.answers * NEAR_FRACTION",
        "False",
        "test_readers.py::test_thousands_of_stalled_readers_cost_a_bounded_sum_and_no_"
        "neighbour",
    ),
    Mutant(
        "readers",
        "admission/buffers.py",
        "if taken > unread.taken:",
        "if False:",
        "test_buffers.py::test_a_caller_that_reads_slowly_is_not_taken_for_one_that_"
        "stalls",
    ),
    Mutant(
        "readers",
        "platform/connections.py",
        "self.transport.set_write_buffer_limits(high=bound, low=bound // 2)",
        "pass",
        "test_readers.py::test_a_server_is_read_on_while_the_caller_stalls",
    ),
    Mutant(
        "readers",
        "platform/readers.py",
        'self._cut(budget.unread_too_long(unread_limit_ms, now_ms), "unread")',
        "pass",
        "test_readers.py::test_an_answer_at_its_bound_that_nobody_reads_ends_and_is_"
        "not_resumed",
    ),
    Mutant(
        "uploads",
        "platform/readers.py",
        "async with self.timers.timeout_ms(limit_ms) as scope:",
        "async with self.timers.timeout_ms(60_000) as scope:",
        "test_readers.py::test_an_upload_that_trickles_past_its_time_gets_408",
    ),
    Mutant(
        "uploads",
        "platform/readers.py",
        "self._end_slow_uploads(size) and self._budget.fits_upload(size)",
        "False",
        "test_readers.py::test_thousands_of_trickling_uploads_leave_room_for_others",
    ),
    Mutant(
        "uploads",
        "platform/readers.py",
        "self._budget.release_upload(upload.size)\n\n    @asynccontextmanager",
        "pass\n\n    @asynccontextmanager",
        "test_readers.py::test_bodies_count_until_their_requests_end",
    ),
    Mutant(
        "quota",
        "membership/tenures.py",
        "<= LEASE_MS",
        "<= 100 * LEASE_MS",
        "test_allotments.py::test_a_keeper_without_the_store_stops_before_anoth"
        "er_one_begins",
    ),
    Mutant(
        "quota",
        "membership/tenures.py",
        "is_full=is_first",
        "is_full=True",
        "test_allotments.py::test_another_keeper_goes_on_with_the_units_left_or"
        "_with_none",
    ),
    Mutant(
        "quota",
        "membership/tenures.py",
        "self._timers.now_ms() + LEASE_MS + LEASE_MARGIN_MS",
        "self._timers.now_ms()",
        "test_allotments.py::test_a_keeper_without_the_store_stops_before_anoth"
        "er_one_begins",
    ),
    Mutant(
        "quota",
        "membership/claim_log.py",
        "at=at.offset",
        "at=None",
        "test_allotments.py::test_of_claims_written_at_once_one_counts_and_a_lat"
        "er_one_names_it",
    ),
    Mutant(
        "quota",
        "admission/uses.py",
        "return int(self.overage * self.window_ms)",
        "return self.window_ms",
        "test_allotments.py::test_no_fault_makes_the_use_in_a_window_pass_the_limit",
    ),
    Mutant(
        "quota",
        "admission/stock.py",
        "self._lots[0].expires_ms <= now_ms",
        "False",
        "test_allotments.py::test_units_in_stock_lapse_also_when_they_were_given_back",
    ),
    Mutant(
        "quota",
        "entry/proxy.py",
        "credit = await self._gate.admit(request, catalog.version)",
        "credit = None",
        "test_allotments_http.py::test_a_request_over_the_allotment_gets_429_an"
        "d_reaches_no_server",
    ),
    Mutant(
        "keys",
        "platform/http_headers.py",
        "if name.lower() not in _IDENTITY_HEADERS",
        "if True",
        "test_accounts.py::test_a_public_route_needs_no_key_and_names_no_account",
    ),
    Mutant(
        "keys",
        "platform/http_headers.py",
        "and not any(key in value for key in hidden)",
        "",
        "test_accounts.py::test_a_server_is_told_the_account_and_never_the_key",
    ),
    Mutant(
        "keys",
        "routing/accounts.py",
        "return self._by_digest.get(digest_key(key))",
        "return next(iter(self.by_name.values()))",
        "test_accounts.py::test_a_request_without_a_known_key_gets_401_and_reac"
        "hes_no_server",
    ),
    Mutant(
        "keys",
        "configuration/catalog.py",
        "catalog.version <= self.catalog.version",
        "True",
        "test_accounts.py::test_keys_are_added_and_withdrawn_with_a_new_configuration",
    ),
    Mutant(
        "starved",
        "admission/buckets.py",
        "self.level += elapsed_ms / 1000 * self.rate_per_s",
        "self.level += elapsed_ms / 5000 * self.rate_per_s",
        "test_allotments.py::test_the_limit_holds_and_is_served_without_faults",
    ),
    Mutant(
        "config check",
        "configuration/comparison.py",
        "if any(word in field for word in secrets):",
        "if False:",
        "test_check.py::test_differences_are_told_without_keys",
    ),
    Mutant(
        "config check",
        "ctl/publishing.py",
        "return DocumentError(tuple(errors)) if errors else document",
        "return document",
        "test_check.py::test_the_same_checks_run_when_a_configuration_is_published",
    ),
    Mutant(
        "crowd",
        "adapters/listener.py",
        "            elif not self.awaits_request:\n                break\n",
        "",
        "test_listener.py::test_the_next_request_is_not_parsed_before_the_answer",
    ),
    Mutant(
        "crowd",
        "adapters/listener.py",
        "return max(first, size - first) > self._max_head_bytes",
        "return False",
        "test_listener.py::test_a_head_has_a_limit",
    ),
    Mutant(
        "crowd",
        "adapters/listener.py",
        "            if _is_no_head(self._held):",
        "            if False:",
        "test_listener.py::test_what_is_no_request_is_rejected_at_once",
    ),
    Mutant(
        "crowd",
        "adapters/listener.py",
        "        if joined.is_malformed:\n            self._reject_body()\n",
        "",
        "test_listener.py::test_a_body_that_is_not_in_chunks_is_rejected_at_once",
    ),
    Mutant(
        "crowd",
        "adapters/listener.py",
        "        if has_turn or self._held",
        "        if True or self._held",
        "test_listener.py::test_bodies_of_many_chunks_are_read_one_after_the_other",
    ),
    Mutant(
        "crowd",
        "adapters/turns.py",
        "        if len(self._waiting) == 1:\n"
        "            asyncio.get_running_loop().call_soon(self._run_next)",
        "        self._waiting.pop()()",
        "test_turns.py::test_one_callback_runs_in_each_round_in_the_order_of_asking",
    ),
    Mutant(
        "crowd",
        "adapters/chunks.py",
        "if not _LINE_END.endswith(data[body_end:end]):",
        "if False:",
        "test_chunks.py::test_what_is_no_chunk_is_rejected",
    ),
    Mutant(
        "crowd",
        "adapters/chunks.py",
        "too_long = self._trailer_bytes > self._max_line_bytes",
        "too_long = False",
        "test_chunks.py::test_what_is_no_chunk_is_rejected",
    ),
    Mutant(
        "crowd",
        "platform/connections.py",
        "        if lines > MAX_PARSED_LINES:",
        "        if False:",
        "test_crowd.py::test_heads_of_many_lines_of_distinct_names",
    ),
    Mutant(
        "crowd",
        "platform/connections.py",
        "        self._release_head()\n        super().request_awaited()",
        "        super().request_awaited()",
        "test_readers.py::test_heads_beyond_the_bound_are_refused_and_leave_room_for_small_ones",
    ),
    Mutant(
        "crowd",
        "adapters/connector.py",
        "            self.headers.clear()\n",
        "",
        "test_connector.py::test_headers_to_forward_are_held_only_while_the_head_is_wr"
        "itten",
    ),
    Mutant(
        "crowd",
        "admission/buffers.py",
        "        share = 1.0 if is_small else NEAR_FRACTION",
        "        share = 1.0",
        "test_buffers.py::test_heads_have_a_bound_and_near_it_only_small_ones_fit",
    ),
    Mutant(
        "crowd",
        "admission/buffers.py",
        "            and self.total_bytes + cost <= self.bounds.total\n",
        "",
        "test_buffers.py::test_the_sum_of_heads_uploads_and_answers_has_a_bound",
    ),
    Mutant(
        "crowd",
        "routing/attempt.py",
        "        self._take_buffered()\n        self.server.end_request",
        "        self.server.end_request",
        "test_relay.py::test_memory_for_an_answer_is_returned_however_the_attempt_ends",
    ),
    Mutant(
        "crowd",
        "platform/connections.py",
        "        if not self._make_room(handler, 0):",
        "        if False:",
        "test_readers.py::test_a_head_that_does_not_end_gives_way_and_then_the_newest_caller",
    ),
    Mutant(
        "crowd",
        "platform/connections.py",
        "        if not self._caller_server.may_begin(self):",
        "        if False:",
        "test_readers.py::test_a_request_without_a_socket_for_its_server_is_refused",
    ),
    Mutant(
        "crowd",
        "platform/backends.py",
        "max_field_size=max(self._max_head_bytes(), MIN_FIELD_BYTES)",
        "max_field_size=MIN_FIELD_BYTES",
        "test_crowd.py::test_a_long_id_is_echoed_to_its_caller",
    ),
    Mutant(
        "crowd",
        "adapters/logs.py",
        "        if len(text) <= MAX_LINE_BYTES:",
        "        if True:",
        "test_logs.py::test_a_line_has_a_bound_whatever_callers_send",
    ),
    Mutant(
        "answers",
        "adapters/framing.py",
        "([1-5][0-9][0-9])",
        "([0-9][0-9][0-9])",
        "test_framing.py::test_a_malformed_head_reaches_no_caller",
    ),
    Mutant(
        "answers",
        "adapters/framing.py",
        "if self._interim_answers > MAX_INTERIM_ANSWERS:",
        "if False:",
        "test_framing.py::test_an_answer_has_few_interim_answers",
    ),
    Mutant(
        "answers",
        "adapters/framing.py",
        "if not size or data[end : end + len(_LINE_END)] != _LINE_END:",
        "if not size:",
        "test_framing.py::test_a_body_in_malformed_chunks_reaches_no_caller",
    ),
    Mutant(
        "answers",
        "adapters/connector.py",
        "        if self._framer.has_excess:\n            self.force_close()\n",
        "",
        "test_connector.py::test_bytes_behind_an_answer_without_body_end_its_connection",
    ),
    Mutant(
        "answers",
        "platform/backends.py",
        'if 200 <= response.status < 300 and (len(proofs) != 1 or "" in proofs):',
        "if False:",
        "test_backends.py::test_what_may_be_no_answer_to_a_request_is_not_believed",
    ),
    Mutant(
        "answers",
        "platform/backends.py",
        "exchange.request_id and not _is_unreadable(response)",
        "False",
        "test_backends.py::test_a_request_that_may_have_run_once_is_told_so",
    ),
    Mutant(
        "streams",
        "routing/attempt.py",
        "and head.media_type == first.media_type",
        "",
        "test_events.py::test_what_does_not_continue_a_stream_is_not_joined_to_it",
    ),
    Mutant(
        "streams",
        "routing/events.py",
        "        if not event.is_well_formed:\n            return False\n",
        "",
        "test_events.py::test_what_does_not_continue_a_stream_is_not_joined_to_it",
    ),
    Mutant(
        "streams",
        "routing/events.py",
        "            return not self.last_id\n",
        "            return True\n",
        "test_events.py::test_what_does_not_continue_a_stream_is_not_joined_to_it",
    ),
    Mutant(
        "streams",
        "routing/relay.py",
        "return request.route.streaming and not progress.has_unnumbered",
        "return request.route.streaming",
        "test_events.py::test_a_stream_without_ids_is_passed_on_but_not_continued",
    ),
    Mutant(
        "stops",
        "platform/ingress.py",
        "if self.is_refusing and not isinstance(body, Refusal):",
        "if False:",
        "test_answers.py::test_a_request_whose_body_ends_late_in_the_grace_is_not_run",
    ),
    Mutant(
        "stops",
        "platform/daemon.py",
        "        process.stop()\n",
        "",
        "test_answers.py::test_a_request_that_outlasts_the_grace_is_told_that_it_may_have_run",
    ),
    Mutant(
        "answers",
        "routing/attempt.py",
        "            if not self._hold_partial():",
        "            if False:",
        "test_relay.py::test_a_large_event_that_does_not_end_is_counted",
    ),
)


def is_detected(mutant: Mutant) -> bool:
    """Return whether the test fails on the broken copy."""
    with tempfile.TemporaryDirectory() as folder:
        scratch = Path(folder)
        for name in ("src", "testing", "examples", "pyproject.toml"):
            source = ROOT / name
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, scratch / name)
        path = scratch / "src" / "copperrun" / mutant.file
        text = path.read_text(encoding="utf-8")
        if mutant.old not in text:
            raise SystemExit(f"{mutant.file} does not contain the text to replace")
        path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        command = [sys.executable, "-m", "pytest", "-x", f"testing/{mutant.test}"]
        result = subprocess.run(
            command,
            cwd=scratch,
            env={**os.environ, "PYTHONPATH": str(scratch / "src")},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    # 1 means that a test failed; 0 that all passed; other codes that none ran.
    return result.returncode == 1


def main() -> int:
    """Check all mutants, or those of the promises named as arguments."""
    promises = sys.argv[1:]
    chosen = [item for item in MUTANTS if not promises or item.promise in promises]
    survived = 0
    for mutant in chosen:
        detected = is_detected(mutant)
        survived += not detected
        outcome = "detected" if detected else "SURVIVED"
        print(f"{outcome:9} {mutant.promise:14} {mutant.file:24} {mutant.test}")
    print(f"{len(chosen) - survived} detected, {survived} survived")
    return min(survived, 1)


if __name__ == "__main__":
    sys.exit(main())
