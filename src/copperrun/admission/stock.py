"""Units of one client account that an entry may use; no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Uses within a lapse time from which on an entry expects more of them; fewer would
# leave most of the units asked ahead to lapse.
MIN_USES = 4
# Part of what is used in a lapse time that an entry has in stock. The rest of that
# time is left for the next question.
STOCK_FRACTION = 0.5


class Credit(NamedTuple):
    """Units that one request uses.

    Attributes:
        account: Name of the account.
        units: Number of units.
        expires_ms: When they lapse, in monotonic milliseconds.
    """

    account: str
    units: int
    expires_ms: int


class CreditStock:
    """Units of an account, each used before it lapses or not at all.

    Args:
        account: Name of the account.
        lapse_ms: Time from the question until what it granted lapses.
    """

    def __init__(self, account: str, lapse_ms: int) -> None:
        self._account = account
        self._lapse_ms = lapse_ms
        self._lots: deque[Credit] = deque()
        self._uses: deque[tuple[int, int]] = deque()

    def add(self, units: int, expires_ms: int, now_ms: int) -> None:
        """Add units unless they have lapsed."""
        if units > 0 and expires_ms > now_ms:
            lots = [*self._lots, Credit(self._account, units, expires_ms)]
            self._lots = deque(sorted(lots, key=lambda lot: lot.expires_ms))

    def take(self, units: int, now_ms: int) -> Credit | None:
        """Take the units of a request, those first that lapse first."""
        if self.available(now_ms) < units:
            return None
        expires_ms = self._lots[0].expires_ms if units else now_ms
        missing = units
        while missing:
            lot = self._lots.popleft()
            rest = lot.units - missing
            if rest > 0:
                self._lots.appendleft(lot._replace(units=rest))
            missing -= min(missing, lot.units)
        self._uses.append((now_ms, units))
        return Credit(self._account, units, expires_ms)

    def give_back(self, credit: Credit, now_ms: int) -> None:
        """Take back the units of a request that has not run; they lapse as before."""
        self.add(credit.units, credit.expires_ms, now_ms)

    def available(self, now_ms: int) -> int:
        """Return the units that have not lapsed."""
        while self._lots and self._lots[0].expires_ms <= now_ms:
            self._lots.popleft()
        return sum(lot.units for lot in self._lots)

    def missing_ahead(self, now_ms: int) -> int:
        """Return the units to ask for ahead of the requests that will use them."""
        return max(self._expected(now_ms) - self.available(now_ms), 0)

    def is_low(self, now_ms: int) -> bool:
        """Whether to ask before a request has to wait."""
        return 2 * self.available(now_ms) < self._expected(now_ms)

    def _expected(self, now_ms: int) -> int:
        while self._uses and self._uses[0][0] <= now_ms - self._lapse_ms:
            self._uses.popleft()
        if len(self._uses) < MIN_USES:
            return 0
        return int(STOCK_FRACTION * sum(units for _, units in self._uses))
