"""Order and pace in which requests are admitted to one engine; no I/O.

An engine prefills all pending prompts between two decode steps of its running
requests, so prompts that arrive together stall every stream. Requests wait here
instead, the most urgent first. They are admitted at the engine's prefill rate, and
never more at once than it can prefill within the gap that streams allow between events.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import takewhile

from copperrun.admission.fairness import FairShares
from copperrun.admission.fairness import ServedFractions
from copperrun.admission.memory import EngineMemory
from copperrun.admission.tickets import Ticket
from copperrun.admission.tickets import gives_way
from copperrun.admission.tickets import order_tickets

# Share of the allowed gap for the engine; the rest covers delivery to the caller.
GAP_BUDGET_FRACTION = 0.9
DECODE_STEP_MS = 12.0  # one decode step of a half-full batch
# A grant without a first event expires after this time: its entry is presumed dead.
GRANT_TTL_MS = 3_000
DEFAULT_TOKENS_PER_MS = 15.0  # prefill rate of a large model
INITIAL_PREFILL_MS = 80.0  # average prefill time before there are samples
PREFILL_TIME_WEIGHT = 0.02  # of the newest prompt in the moving average
UTILIZATION_DECAY_MS = 2_000  # time constant of the exponential average
MIN_POLL_INTERVAL_MS = 5  # between two checks of the queue
MEMORY_POLL_INTERVAL_MS = 100  # while memory is full; the engine's report is as old
WAIT_SAFETY_FACTOR = 1.2  # on the expected wait, before a request is refused for it
# An engine is slow when a first event takes longer than this multiple of the expected
# prefill time of its prompt and all prompts that may have been prefilled before it.
SLOW_FACTOR = 1.5


@dataclass
class _Grant:
    """A granted prompt without a first event, and the tokens granted around it.

    Attributes:
        ticket: The granted request.
        prefill_ms: Expected prefill time.
        granted_ms: When it was granted.
        tokens_before: Tokens of the prompts that were outstanding at its grant.
        tokens_after: Tokens of the prompts that were granted after it.
    """

    ticket: Ticket
    prefill_ms: float
    granted_ms: int
    tokens_before: int
    tokens_after: int = 0


class PrefillSpeed:
    """Estimates the prefill rate and fixed delay of a model by linear regression.

    A sample is a prompt's length and the time until its first event. Prompts that
    overlap with others are not sampled, because it is not known how much of the others
    was prefilled first. Old samples decay, so that a slowdown is detected.
    """

    DECAY = 0.98  # weight of earlier samples at each new one
    INITIAL_DELAY_MS = 100.0
    PRIOR_TOKENS = (500.0, 4_000.0)  # prompt lengths that define the initial line
    MIN_TOKENS_PER_MS = 1.0
    MAX_TOKENS_PER_MS = 100.0

    def __init__(self, initial_tokens_per_ms: float) -> None:
        self.tokens_per_ms = initial_tokens_per_ms
        self.delay_ms = self.INITIAL_DELAY_MS
        self._weight = 0.0
        self._sums = (0.0, 0.0, 0.0, 0.0)  # x, y, xx, xy
        for tokens in self.PRIOR_TOKENS:
            self._accumulate(
                tokens, self.INITIAL_DELAY_MS + tokens / initial_tokens_per_ms
            )

    def add_sample(self, tokens: int, elapsed_ms: int) -> None:
        """Add a prompt length and the time from its grant to its first event."""
        self._accumulate(float(tokens), float(elapsed_ms))
        x, y, xx, xy = self._sums
        spread = self._weight * xx - x * x
        if spread <= 0:
            return
        slope = (self._weight * xy - x * y) / spread
        slope = min(max(slope, 1 / self.MAX_TOKENS_PER_MS), 1 / self.MIN_TOKENS_PER_MS)
        self.tokens_per_ms = 1 / slope
        self.delay_ms = max((y - slope * x) / self._weight, 0.0)

    def _accumulate(self, tokens: float, elapsed_ms: float) -> None:
        x, y, xx, xy = (self.DECAY * item for item in self._sums)
        self._weight = self.DECAY * self._weight + 1
        self._sums = (
            x + tokens,
            y + elapsed_ms,
            xx + tokens * tokens,
            xy + tokens * elapsed_ms,
        )


class PrefillQueue:
    """Waiting requests and granted prompts of one engine.

    Work is counted as prefill time in ms. Two limits apply to grants: a leaky bucket
    that drains at the engine's prefill rate, and the prefill time of grants without a
    first event. While there is no grant, any request is granted. Memory, if counted,
    bounds all grants.

    Attributes:
        tokens_per_event: Tokens in one event of a stream.
        initial_tokens_per_ms: Prefill rate of each model before there are samples.
        mean_prefill_ms: Moving average of the prefill time of a prompt.
        memory: Memory that the requests hold; None when it is not counted.
    """

    def __init__(self) -> None:
        self.tokens_per_event = 1
        self.initial_tokens_per_ms: Mapping[str, float] = {}
        self.mean_prefill_ms = INITIAL_PREFILL_MS
        self.memory: EngineMemory | None = None
        self._speeds: dict[str, PrefillSpeed] = {}
        self._waiting: dict[str, Ticket] = {}
        # Prefill time before each waiting request, and when that was so.
        self._ahead_ms: dict[str, float] = {}
        self._ahead_at_ms = -1
        self._shares = FairShares()
        self._fractions = ServedFractions()
        self._grants: dict[str, _Grant] = {}
        self._outstanding_ms = 0.0
        self._level_ms = 0.0
        self._level_updated_ms = 0
        self._busy_ms = 0.0
        self._busy_updated_ms = 0

    def utilization(self, now_ms: int) -> float:
        """Return the share of time that the engine spends on prefill."""
        self._decay_busy_time(now_ms)
        return self._busy_ms / UTILIZATION_DECAY_MS

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a grant."""
        return len(self._waiting)

    def speed(self, model: str) -> PrefillSpeed:
        """Return the estimated prefill speed of a model."""
        speed = self._speeds.get(model)
        if speed is None:
            initial = self.initial_tokens_per_ms.get(model, DEFAULT_TOKENS_PER_MS)
            speed = self._speeds[model] = PrefillSpeed(initial)
        return speed

    def backlog_ms(self) -> int:
        """Return the prefill time of all granted and waiting prompts."""
        waiting_ms = sum(self._prefill_ms(item) for item in self._waiting.values())
        return int(self._outstanding_ms + waiting_ms)

    def expected_wait_ms(self, ticket: Ticket, now_ms: int) -> int:
        """Return the expected time until the first event of a request."""
        if ticket.continues:
            ahead_ms = sum(
                self._prefill_ms(other)
                for other in self._before(ticket, now_ms)
                if not gives_way(other, ticket)
            )
        elif ticket.id in self._waiting:
            ahead_ms = self._waiting_ahead_ms(now_ms)[ticket.id]
        else:
            ahead_ms = sum(map(self._prefill_ms, self._before(ticket, now_ms)))
        own_ms = self.speed(ticket.model).delay_ms + self._prefill_ms(ticket)
        return int(self._outstanding_ms + ahead_ms + own_ms)

    def can_meet_deadline(self, ticket: Ticket, now_ms: int) -> bool:
        """Return whether the first event is expected before the deadline."""
        wait_ms = self.expected_wait_ms(ticket, now_ms) * WAIT_SAFETY_FACTOR
        return now_ms + wait_ms < ticket.deadline_ms

    def enqueue(self, ticket: Ticket) -> None:
        """Add a request to the queue."""
        self._waiting[ticket.id] = ticket
        self._ahead_at_ms = -1

    def record_asked(self, ticket: Ticket, now_ms: int) -> None:
        """Count a request that asks for admission, admitted or not."""
        if ticket.account:
            self._fractions.record_asked(ticket.account, now_ms)

    def yield_places(self, now_ms: int) -> Iterator[Ticket]:
        """Remove and yield requests that give way to streams that go on only here.

        A stream needs that if it would begin too late behind requests with other
        places to go; the least urgent of them go first, and no more than it needs.
        """
        streams = [item for item in self._waiting.values() if item.continues]
        for stream in streams:
            before = self._before(stream, now_ms)
            ahead = [other for other in before if gives_way(other, stream)]
            ahead_ms = sum(self._prefill_ms(other) for other in ahead)
            wait_ms = self.expected_wait_ms(stream, now_ms) + ahead_ms
            while ahead and now_ms + wait_ms * WAIT_SAFETY_FACTOR > stream.target_ms:
                other = ahead.pop()
                wait_ms -= self._prefill_ms(other)
                self._remove_waiting(other)
                yield other

    def remove(self, ticket_id: str) -> None:
        """Remove a waiting request, or release its grant."""
        ticket = self._waiting.get(ticket_id)
        if ticket is not None:
            self._remove_waiting(ticket)
        self._release_grant(ticket_id)
        if self.memory is not None:
            self.memory.release(ticket_id)

    def issue_grants(self, now_ms: int) -> Iterator[Ticket]:
        """Grant and yield the requests that may be sent to the engine now."""
        self._expire_grants(now_ms)
        self._update_level(now_ms)
        while (ticket := self._most_urgent(now_ms)) is not None:
            if self._grants and not self._fits(ticket):
                return
            if not self._has_memory_for(ticket, now_ms):
                return
            self._charge(ticket)
            self._remove_waiting(ticket)
            if self.memory is not None and ticket.need is not None:
                self.memory.claim(ticket.id, ticket.need, now_ms)
            prefill_ms = self._prefill_ms(ticket)
            tokens_before = sum(grant.ticket.tokens for grant in self._grants.values())
            for grant in self._grants.values():
                grant.tokens_after += ticket.tokens
            self._grants[ticket.id] = _Grant(ticket, prefill_ms, now_ms, tokens_before)
            self._outstanding_ms += prefill_ms
            self._level_ms += prefill_ms
            self._decay_busy_time(now_ms)
            self._busy_ms += prefill_ms
            self.mean_prefill_ms += PREFILL_TIME_WEIGHT * (
                prefill_ms - self.mean_prefill_ms
            )
            yield ticket

    def next_grant_ms(self, now_ms: int) -> int:
        """Return the time until the next request may fit if no grant is released."""
        ticket = self._most_urgent(now_ms)
        if ticket is None:
            return GRANT_TTL_MS
        if not self._has_memory_for(ticket, now_ms):
            return MEMORY_POLL_INTERVAL_MS
        excess_ms = self._level_ms + self._prefill_ms(ticket) - self._burst_ms(ticket)
        return max(int(excess_ms), MIN_POLL_INTERVAL_MS)

    def record_first_event(self, ticket_id: str, now_ms: int) -> None:
        """Release the grant of a request after its first event and update the speed."""
        if self.memory is not None:
            self.memory.record_begun(ticket_id)
        grant = self._release_grant(ticket_id)
        if grant is None:
            return
        ticket, elapsed_ms = grant.ticket, now_ms - grant.granted_ms
        speed = self.speed(ticket.model)
        other_tokens = grant.tokens_before + grant.tokens_after
        if not other_tokens:
            speed.add_sample(ticket.tokens, elapsed_ms)
            return
        tokens = ticket.tokens + other_tokens
        if elapsed_ms > SLOW_FACTOR * (speed.delay_ms + tokens / speed.tokens_per_ms):
            # On a slow engine prompts always overlap; without this it goes undetected.
            speed.add_sample(tokens, elapsed_ms)

    def _most_urgent(self, now_ms: int) -> Ticket | None:
        return next(self._ordered(self._waiting.values(), now_ms), None)

    def _ordered(self, tickets: Iterable[Ticket], now_ms: int) -> Iterator[Ticket]:
        starved = self._fractions.starved()
        return order_tickets(tickets, self._shares, starved, self._prefill_ms, now_ms)

    def _before(self, ticket: Ticket, now_ms: int) -> list[Ticket]:
        """Return the waiting requests that go before one that may wait, too."""
        ordered = self._ordered({**self._waiting, ticket.id: ticket}.values(), now_ms)
        return list(takewhile(lambda other: other.id != ticket.id, ordered))

    def _waiting_ahead_ms(self, now_ms: int) -> Mapping[str, float]:
        """Return the prefill time before each waiting request."""
        if self._ahead_at_ms != now_ms:
            total_ms, self._ahead_ms = 0.0, {}
            for ticket in self._ordered(self._waiting.values(), now_ms):
                self._ahead_ms[ticket.id] = total_ms
                total_ms += self._prefill_ms(ticket)
            self._ahead_at_ms = now_ms
        return self._ahead_ms

    def _remove_waiting(self, ticket: Ticket) -> None:
        del self._waiting[ticket.id]
        self._ahead_at_ms = -1

    def _charge(self, ticket: Ticket) -> None:
        """Count a grant for the client account of a waiting request."""
        waiting = {other.share for other in self._waiting.values()}
        self._shares.charge(ticket.share, self._prefill_ms(ticket), waiting)
        if ticket.account:
            self._fractions.record_served(ticket.account)

    def _has_memory_for(self, ticket: Ticket, now_ms: int) -> bool:
        if self.memory is None or ticket.need is None:
            return True
        return self.memory.fits(ticket.need, now_ms)

    def _prefill_ms(self, ticket: Ticket) -> float:
        return ticket.tokens / self.speed(ticket.model).tokens_per_ms

    def _release_grant(self, ticket_id: str) -> _Grant | None:
        grant = self._grants.pop(ticket_id, None)
        if grant is not None:
            self._outstanding_ms = max(self._outstanding_ms - grant.prefill_ms, 0.0)
        return grant

    def _expire_grants(self, now_ms: int) -> None:
        oldest = now_ms - GRANT_TTL_MS
        for ticket_id, grant in list(self._grants.items()):
            if grant.granted_ms < oldest:
                self._release_grant(ticket_id)

    def _update_level(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._level_updated_ms
        self._level_ms = max(self._level_ms - elapsed_ms, 0.0)
        self._level_updated_ms = now_ms

    def _decay_busy_time(self, now_ms: int) -> None:
        self._busy_ms *= math.exp(
            -(now_ms - self._busy_updated_ms) / UTILIZATION_DECAY_MS
        )
        self._busy_updated_ms = now_ms

    def _fits(self, ticket: Ticket) -> bool:
        """Return whether a prompt keeps the gaps of running streams within bounds."""
        prefill_ms = self._prefill_ms(ticket)
        burst_ms = self._burst_ms(ticket)
        delay_ms = self.speed(ticket.model).delay_ms
        return (
            self._level_ms + prefill_ms <= burst_ms
            and self._outstanding_ms + prefill_ms <= burst_ms + delay_ms
        )

    def _burst_ms(self, ticket: Ticket) -> float:
        """Return the prefill time of the prompts that may be admitted at once."""
        if not ticket.gap_ms:
            return float("inf")
        budget_ms = pause_prefill_ms(ticket.gap_ms, self.tokens_per_event)
        return max(budget_ms / 2, DECODE_STEP_MS)


def pause_prefill_ms(gap_ms: int, tokens_per_event: int) -> float:
    """Return the time for prefill between two events whose longest gap is given."""
    return max(GAP_BUDGET_FRACTION * gap_ms - tokens_per_event * DECODE_STEP_MS, 0.0)
