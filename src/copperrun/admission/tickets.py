"""Requests that wait for an engine, and the order of their admission; no I/O."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from copperrun.admission.fairness import FairShares
from copperrun.admission.fairness import Share
from copperrun.admission.memory import MemoryNeed

STARVED_RANK = -1  # before all ranks


class Ticket(NamedTuple):
    """One request that waits for admission to the engine.

    Attributes:
        id: Identity of the attempt.
        model: Model that the request needs.
        priority: Rank, 0 first.
        tokens: Prompt tokens.
        gap_ms: Longest gap between events that its stream allows; 0 for no limit.
        target_ms: When the first event is due, on the timer service's clock.
        deadline_ms: Deadline of the caller, on the same clock.
        alternatives: Other engines that could take it in time.
        continues: Whether it continues a stream, which only few engines may do.
        need: Memory that it needs; None when memory is not counted.
        account: Client account of the caller; empty for none.
    """

    id: str
    model: str
    priority: int
    tokens: int
    gap_ms: int
    target_ms: int
    deadline_ms: int
    alternatives: int = 0
    continues: bool = False
    need: MemoryNeed | None = None
    account: str = ""

    @property
    def share(self) -> Share:
        """Place of its client account within its rank."""
        return Share(self.priority, self.account)


def order_tickets(
    tickets: Iterable[Ticket],
    shares: FairShares,
    starved: Collection[str],
    prefill_ms: Callable[[Ticket], float],
    now_ms: int,
) -> Iterator[Ticket]:
    """Yield the waiting requests in the order in which they will be admitted.

    By rank, then streams that go on only here, then the accounts by turns, then
    requests that can meet their target, the one with the least slack first.

    Args:
        tickets: The waiting requests.
        shares: What each account of a rank was served.
        starved: Accounts that go before all ranks.
        prefill_ms: Returns the prefill time of a request's prompt.
        now_ms: Now, on the timer service's clock.
    """
    groups: dict[tuple[int, bool], list[Ticket]] = {}
    for ticket in tickets:
        rank = STARVED_RANK if ticket.account in starved else ticket.priority
        groups.setdefault((rank, not ticket.continues), []).append(ticket)
    for key in sorted(groups):
        ordered = sorted(groups[key], key=lambda item: _urgency(item, now_ms))
        yield from _by_turns(ordered, shares, prefill_ms, now_ms)


def gives_way(ticket: Ticket, stream: Ticket) -> bool:
    """Return whether a request goes elsewhere if a stream needs its place."""
    return stream.continues and not ticket.continues and ticket.alternatives > 0


def _by_turns(
    tickets: list[Ticket],
    shares: FairShares,
    prefill_ms: Callable[[Ticket], float],
    now_ms: int,
) -> Iterator[Ticket]:
    """Yield requests of one rank so that all accounts are served the same time."""
    queues: dict[Share, deque[Ticket]] = {}
    for ticket in tickets:
        queues.setdefault(ticket.share, deque()).append(ticket)
    if len(queues) == 1:
        yield from tickets
        return
    # Lead of each account with the urgency of its first request.
    turns = [
        (shares.lead_ms(share), _urgency(queue[0], now_ms), share)
        for share, queue in queues.items()
    ]
    heapq.heapify(turns)
    while turns:
        lead_ms, _, share = heapq.heappop(turns)
        queue = queues[share]
        ticket = queue.popleft()
        if queue:
            lead_ms += prefill_ms(ticket)
            heapq.heappush(turns, (lead_ms, _urgency(queue[0], now_ms), share))
        yield ticket


def _urgency(ticket: Ticket, now_ms: int) -> tuple[bool, int]:
    return ticket.target_ms < now_ms, ticket.target_ms
