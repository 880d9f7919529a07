"""Fair shares of client accounts in the queue of one engine; no I/O.

Load: one client account sends many times its usual. Within a rank each account is
served the same prefill time, so such an account waits behind itself (start-time fair
queueing). Without accounts all requests have one share and their order is unchanged.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

# An account that was served less than this multiple of the share of requests that all
# together were served goes before all ranks.
STARVED_FRACTION = 0.5
MIN_ASKED = 2.0  # decayed requests before the fraction says something
SERVED_TIME_CONSTANT_MS = 20_000.0
NEGLIGIBLE_ASKED = 0.01  # accounts with fewer decayed requests are forgotten


class Share(NamedTuple):
    """Place of one client account among those of its rank.

    Attributes:
        rank: Rank of the requests; 0 is served first.
        account: Name of the client account; empty for none.
    """

    rank: int
    account: str


class FairShares:
    """Prefill time that each client account was served, by rank."""

    def __init__(self) -> None:
        # Served time at which the next request of each account begins, and that of the
        # account of the rank that was served least.
        self._starts_ms: dict[Share, float] = {}
        self._least_ms: dict[int, float] = {}

    def charge(self, share: Share, prefill_ms: float, waiting: Iterable[Share]) -> None:
        """Count served prefill time; an account that did not wait saves nothing up.

        Args:
            share: Account that is served.
            prefill_ms: Prefill time of its prompt.
            waiting: Accounts of which requests wait, with the one that is served.
        """
        rank = share.rank
        rivals = {item for item in waiting if item.rank == rank} | {share}
        starts_ms = {item: self._start_ms(item) for item in rivals}
        least_ms = self._least_ms[rank] = min(starts_ms.values())
        starts_ms[share] += prefill_ms
        self._starts_ms.update(starts_ms)
        self._starts_ms = {
            item: start_ms
            for item, start_ms in self._starts_ms.items()
            if item.rank != rank or start_ms > least_ms
        }

    def lead_ms(self, share: Share) -> float:
        """Return how much longer an account was served than the least one."""
        return self._start_ms(share) - self._least_ms.get(share.rank, 0.0)

    def _start_ms(self, share: Share) -> float:
        least_ms = self._least_ms.get(share.rank, 0.0)
        return max(self._starts_ms.get(share, 0.0), least_ms)


class _Served(NamedTuple):
    asked: float = 0.0
    served: float = 0.0


class ServedFractions:
    """Fraction of its requests that each client account was served lately."""

    def __init__(self) -> None:
        self._by_account: dict[str, _Served] = {}
        self._updated_ms = 0

    def record_asked(self, account: str, now_ms: int) -> None:
        """Count a request, served or not."""
        self._decay(now_ms)
        asked, served = self._by_account.get(account, _Served())
        self._by_account[account] = _Served(asked + 1, served)

    def record_served(self, account: str) -> None:
        """Count a request that was sent to the engine."""
        asked, served = self._by_account.get(account, _Served())
        self._by_account[account] = _Served(asked, served + 1)

    def starved(self) -> Collection[str]:
        """Return the accounts that are served far less often than all together."""
        asked = sum(item.asked for item in self._by_account.values())
        served = sum(item.served for item in self._by_account.values())
        return {
            account
            for account, own in self._by_account.items()
            if own.asked >= MIN_ASKED
            and own.served * asked < STARVED_FRACTION * served * own.asked
        }

    def _decay(self, now_ms: int) -> None:
        factor = math.exp(-(now_ms - self._updated_ms) / SERVED_TIME_CONSTANT_MS)
        self._updated_ms = now_ms
        self._by_account = {
            account: _Served(asked * factor, served * factor)
            for account, (asked, served) in self._by_account.items()
            if asked * factor > NEGLIGIBLE_ASKED
        }
