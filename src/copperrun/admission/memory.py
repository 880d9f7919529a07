"""Memory that the requests of one engine hold and may grow to; no I/O.

An engine that must hold more than its memory crashes. Each granted request claims its
prompt and the output that it is likely to generate; a part of a prompt that requests of
one model share is claimed once. What the engine reports corrects the claims: it also
holds requests that this side never granted or has forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from copperrun.ports.admission import AdmissionRequest

# Output of a request that states no maximum and of whose kind nothing is learned.
UNSTATED_OUTPUT_TOKENS = 512
# Multiple of the likely output that is claimed: outputs of a kind may grow together.
OUTPUT_MARGIN = 2
# A claim that the engine's report does not list for this long is of a lost request.
CLAIM_TTL_MS = 3_000
SUM_TTL_MS = 100  # for which a sum is used again; the engine's report is as old


class MemoryNeed(NamedTuple):
    """What one request needs.

    Attributes:
        request: Id of the caller's attempt, by which the engine reports it.
        own_tokens: Prompt tokens that it shares with no other request.
        parts: Tokens of each shared part, by the parts up to it and its model.
        output_tokens: Tokens that it is likely to generate at most.
        output_limit: Most tokens that it may generate; 0 when not stated.
        body_bytes: Bytes that wait at the engine until it begins.
    """

    request: str
    own_tokens: int
    parts: Mapping[int, int]
    output_tokens: int
    output_limit: int
    body_bytes: int = 0

    @property
    def tokens(self) -> int:
        """Tokens that it needs in an empty engine."""
        return self.own_tokens + sum(self.parts.values()) + self.output_tokens

    @property
    def least_tokens(self) -> int:
        """Tokens without which it can't run: all of them if its output is bounded."""
        return (
            self.tokens if self.output_limit else self.tokens - self.output_tokens + 1
        )


class EngineRun(NamedTuple):
    """One running request as the engine reports it.

    Attributes:
        request: Id of the caller's attempt.
        tokens: Tokens of its prompt and output in memory.
        events: Events of its stream so far.
    """

    request: str
    tokens: int
    events: int


class MemoryReport(NamedTuple):
    """The engine's own count of its memory.

    Attributes:
        total: Tokens that fit; 0 when unknown.
        used: Tokens that cannot yield.
        reserved: Tokens kept for requests or copies to come, which ``used`` leaves out.
        runs: Running requests; None when the engine does not list them.
        running: Count of running requests.
    """

    total: int
    used: int
    reserved: int = 0
    runs: tuple[EngineRun, ...] | None = None
    running: int = 0


@dataclass
class _Claim:
    """A granted request that has not ended.

    Attributes:
        need: What it needs.
        granted_ms: When it was granted.
        has_begun: Whether its first event was reported.
    """

    need: MemoryNeed
    granted_ms: int
    has_begun: bool = False


def need_of(req: AdmissionRequest) -> MemoryNeed:
    """Return what a request needs."""
    most = req.output_tokens or UNSTATED_OUTPUT_TOKENS
    output = OUTPUT_MARGIN * req.likely_output or most
    if req.output_tokens:
        output = min(output, most)
    parts: dict[int, int] = {}
    shared = 0
    # The same part holds other tokens after another beginning.
    key = hash((req.model, req.adapter))
    for part in req.parts:
        key = hash((key, part.id))
        tokens = max(min(part.tokens, req.tokens - shared), 0)
        shared += tokens
        parts[key] = tokens
    own_tokens = max(req.tokens - shared, 0)
    return MemoryNeed(
        req.request, own_tokens, parts, output, req.output_tokens, req.body_bytes
    )


def can_ever_fit(prompt_tokens: int, output_tokens: int, capacity: int) -> bool:
    """Return whether an engine that runs nothing else can hold a request.

    Args:
        prompt_tokens: Tokens of its prompt.
        output_tokens: Most tokens that it may generate; 0 when not stated.
        capacity: Tokens that the engine holds; 0 when unknown.
    """
    return not capacity or prompt_tokens + max(output_tokens, 1) <= capacity


class MemoryShare:
    """An entry's own bound while an engine's side does not sum for all entries.

    Attributes:
        entries: Entries that share each engine.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries

    def fits(self, sent_tokens: int, tokens: int, capacity: int) -> bool:
        """Return whether a request may be sent to an engine without its side.

        Args:
            sent_tokens: Tokens of this entry's own requests at the engine.
            tokens: Tokens that the request needs.
            capacity: Tokens that the engine holds; 0 when unknown.
        """
        return not capacity or sent_tokens + tokens <= capacity / max(self.entries, 1)


class EngineMemory:
    """Counts the memory of one engine.

    Attributes:
        capacity: Tokens that the engine holds; 0 while unknown, when all fits.
        tokens_per_event: Tokens in one event of a stream.
        queue_bytes: Bytes of requests that may wait at the engine; 0 for no bound.
    """

    def __init__(self) -> None:
        self.capacity = 0
        self.tokens_per_event = 1
        self.queue_bytes = 0
        self._claims: dict[str, _Claim] = {}
        # Most tokens stated of each claimed part, and the count of its claims.
        self._parts: dict[int, tuple[int, int]] = {}
        self._claimed = 0
        self._queued_bytes = 0
        self._report: MemoryReport | None = None
        self._sum: tuple[int, int] | None = None  # tokens, and when they were summed
        self._largest_output = 0
        # Own tokens of requests that have ended since the report.
        self._released: dict[str, int] = {}

    @property
    def claimed(self) -> int:
        """Tokens that the granted requests may grow to, with their shared parts."""
        return self._claimed

    def free_tokens(self, now_ms: int) -> int | None:
        """Return the tokens for requests to come; None while nothing is known."""
        if not self.capacity:
            return None
        return max(self.capacity - self._committed(now_ms), 0)

    def used_share(self) -> float:
        """Return the share of the memory that cannot yield, from 0."""
        report = self._report
        if report is None or not self.capacity:
            return 0.0
        return report.used / self.capacity

    def committed_share(self, now_ms: int) -> float:
        """Return the share that is in use or claimed, from 0."""
        return self._committed(now_ms) / self.capacity if self.capacity else 0.0

    def apply_report(self, report: MemoryReport) -> None:
        """Apply a newer report of the engine."""
        self._report = report
        self._sum = None
        self._released = {}
        if report.total:
            self.capacity = report.total

    def forget(self) -> None:
        """Forget all requests: the engine has started anew."""
        self._claims = {}
        self._parts = {}
        self._claimed = 0
        self._queued_bytes = 0
        self._report = None
        self._sum = None
        self._released = {}

    def fits(self, need: MemoryNeed, now_ms: int) -> bool:
        """Return whether the engine can take a request now.

        One that fits the engine alone always does while nothing else is there.
        """
        if not self.capacity:
            return True
        if self._is_empty():
            return need.least_tokens <= self.capacity
        if not self._queue_has_room(need):
            return False
        return self._committed(now_ms) + self._added_tokens(need) <= self.capacity

    def claim(self, claim_id: str, need: MemoryNeed, now_ms: int) -> None:
        """Count a granted request."""
        self.release(claim_id)
        self._sum = None
        self._claims[claim_id] = _Claim(need, now_ms)
        self._claimed += self._added_tokens(need)
        self._queued_bytes += need.body_bytes
        for key, tokens in need.parts.items():
            most_tokens, count = self._parts.get(key, (0, 0))
            self._parts[key] = max(tokens, most_tokens), count + 1
        self._largest_output = max(self._largest_output, need.output_tokens)

    def record_begun(self, claim_id: str) -> None:
        """Record the first event of a request: its body no longer waits."""
        claim = self._claims.get(claim_id)
        if claim is not None and not claim.has_begun:
            claim.has_begun = True
            self._queued_bytes -= claim.need.body_bytes

    def release(self, claim_id: str) -> None:
        """Stop counting a request that has ended."""
        claim = self._claims.pop(claim_id, None)
        if claim is None:
            return
        self._sum = None
        need = claim.need
        for key in need.parts:
            tokens, count = self._parts.pop(key)
            if count > 1:
                self._parts[key] = tokens, count - 1
            else:
                self._claimed -= tokens
        self._claimed -= need.own_tokens + need.output_tokens
        if not claim.has_begun:
            self._queued_bytes -= need.body_bytes
        own_tokens = self._reported_own_tokens(need)
        if own_tokens:
            self._released[need.request] = own_tokens

    def _is_empty(self) -> bool:
        report = self._report
        return not self._claims and (
            report is None or not (report.runs or report.used or report.reserved)
        )

    def _queue_has_room(self, need: MemoryNeed) -> bool:
        if not self.queue_bytes or not self._queued_bytes:
            return True
        return self._queued_bytes + need.body_bytes <= self.queue_bytes

    def _added_tokens(self, need: MemoryNeed) -> int:
        """Return the tokens that a request adds to those of the claims."""
        # Callers may state other tokens of the same part; the most count.
        new_parts = sum(
            max(tokens - self._parts.get(key, (0, 0))[0], 0)
            for key, tokens in need.parts.items()
        )
        return need.own_tokens + new_parts + need.output_tokens

    def _committed(self, now_ms: int) -> int:
        """Return the tokens in use or claimed, by the claims or by the report."""
        if self._sum is None or now_ms - self._sum[1] >= SUM_TTL_MS:
            self._sum = self._sum_tokens(now_ms), now_ms
        return self._sum[0]

    def _sum_tokens(self, now_ms: int) -> int:
        report = self._report
        if report is None:
            return self._claimed
        if report.runs is None:
            return self._sum_without_runs(report)
        runs = {
            run.request: run for run in report.runs if run.request not in self._released
        }
        growth = 0
        lost = 0
        for claim in self._claims.values():
            need = claim.need
            run = runs.pop(need.request, None)
            if run is not None:
                growth += _expected_growth(need, self._generated(run))
            elif now_ms - claim.granted_ms > CLAIM_TTL_MS:
                lost += need.own_tokens + need.output_tokens
            else:
                growth += need.own_tokens + need.output_tokens
        # What is left was never granted here, or before this side started.
        unknown = 0
        for run in runs.values():
            rest = max(self._largest_output - self._generated(run), 0)
            growth += rest
            unknown += run.tokens + rest
        measured = max(report.used - sum(self._released.values()), 0) + growth
        return max(self._claimed - lost + unknown, measured) + report.reserved

    def _sum_without_runs(self, report: MemoryReport) -> int:
        """Return the tokens in use or claimed, by an engine's counts alone."""
        begun = sum(claim.has_begun for claim in self._claims.values())
        strangers = max(report.running - begun, 0)
        if not strangers:
            return max(self._claimed, report.used) + report.reserved
        growth = strangers * self._largest_output + sum(
            claim.need.output_tokens + (0 if claim.has_begun else claim.need.own_tokens)
            for claim in self._claims.values()
        )
        return max(self._claimed, report.used + growth) + report.reserved

    def _generated(self, run: EngineRun) -> int:
        return run.events * self.tokens_per_event

    def _reported_own_tokens(self, need: MemoryNeed) -> int:
        """Return what a request frees of the tokens of the latest report."""
        report = self._report
        if report is None or not report.runs:
            return 0
        for run in report.runs:
            if run.request == need.request:
                return max(run.tokens - sum(need.parts.values()), 0)
        return 0


def _expected_growth(need: MemoryNeed, generated: int) -> int:
    """Return the tokens that a request may still generate.

    One that outlived its estimate may go on to its limit, or for long without one.
    """
    if generated < need.output_tokens:
        return need.output_tokens - generated
    if not need.output_limit:
        return max(generated, UNSTATED_OUTPUT_TOKENS)
    return max(need.output_limit - generated, 0)
