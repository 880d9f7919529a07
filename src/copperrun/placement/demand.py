"""What callers ask for, by model: counted at entries, summed at sides."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager

from copperrun.ports.engines import Demand
from copperrun.ports.engines import PeerEngine
from copperrun.ports.timers import Timers

RATE_TIME_CONSTANT_MS = 4_000  # of the moving average of a model's arrivals
REPORT_LIFETIME_MS = 3_000  # three reporting periods, then an entry counts as gone


class DemandMeter:
    """Counts arrivals and waiting requests of one entry."""

    def __init__(self, entry: str, timers: Timers) -> None:
        self._entry = entry
        self._timers = timers
        self._arrivals: dict[str, Counter[str]] = {}
        self._waiting: defaultdict[str, Counter[str]] = defaultdict(Counter[str])
        self._listeners: list[Callable[[str], None]] = []

    def on_wait(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the pool when a model begins to be waited for."""
        self._listeners.append(listener)

    def note_arrival(self, pool: str, model: str) -> None:
        """Count a request for a model."""
        if model:
            self._arrivals.setdefault(pool, Counter())[model] += 1

    @contextmanager
    def waiting(self, pool: str, model: str) -> Iterator[None]:
        """Count a request as waiting for a model while the context is open."""
        counts = self._waiting[pool]
        counts[model] += 1
        if counts[model] == 1:
            for listener in self._listeners:
                listener(pool)
        try:
            yield
        finally:
            counts[model] -= 1

    def totals(self, pool: str) -> Counter[str]:
        """Return all arrivals so far, by model."""
        return Counter(self._arrivals.get(pool, {}))

    def waiting_now(self, pool: str) -> dict[str, int]:
        """Return how many requests wait for each model."""
        return {
            model: count for model, count in self._waiting[pool].items() if count > 0
        }


class DemandView:
    """Demand of all entries as one side knows it."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._rates: dict[str, float] = {}
        self._rates_ms = timers.now_ms()
        self._peers: dict[str, tuple[int, PeerEngine]] = {}
        self._waiting: dict[str, tuple[int, Mapping[str, int]]] = {}

    def take(self, demand: Demand) -> None:
        """Take the report of an entry."""
        now = self._timers.now_ms()
        self._decay(now)
        for model, count in demand.arrivals.items():
            if count > 0:
                gain = count * 1000 / RATE_TIME_CONSTANT_MS
                self._rates[model] = self._rates.get(model, 0.0) + gain
        self._waiting[demand.entry] = (now, demand.waiting)
        for server_id, peer in demand.engines.items():
            self._peers[server_id] = (now, peer)

    def rates(self) -> dict[str, float]:
        """Return requests per second by model."""
        self._decay(self._timers.now_ms())
        return dict(self._rates)

    def waiting(self) -> Counter[str]:
        """Return requests that wait for each model, over all entries."""
        oldest = self._timers.now_ms() - REPORT_LIFETIME_MS
        total: Counter[str] = Counter()
        for at_ms, counts in self._waiting.values():
            if at_ms >= oldest:
                total.update(counts)
        return total

    def entries(self) -> int:
        """Return how many entries have reported lately."""
        oldest = self._timers.now_ms() - REPORT_LIFETIME_MS
        return sum(at_ms >= oldest for at_ms, _ in self._waiting.values())

    def peers(self) -> dict[str, PeerEngine]:
        """Return the pool's other engines that entries have told of lately."""
        oldest = self._timers.now_ms() - REPORT_LIFETIME_MS
        return {
            server_id: peer
            for server_id, (at_ms, peer) in self._peers.items()
            if at_ms >= oldest
        }

    def _decay(self, now: int) -> None:
        # A rate is kept as an exponentially weighted sum of arrivals.
        factor = 2.718281828459045 ** (-(now - self._rates_ms) / RATE_TIME_CONSTANT_MS)
        self._rates_ms = now
        self._rates = {
            model: rate * factor
            for model, rate in self._rates.items()
            if rate * factor > 0.001
        }
