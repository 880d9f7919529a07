"""Demand by model: counted at entries, summed at sides."""

from __future__ import annotations

import math
from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager

from copperrun.placement.moves import ModelDemand
from copperrun.ports.admission import DemandReport
from copperrun.ports.admission import PeerEngine
from copperrun.ports.timers import Timers

RATE_TIME_CONSTANT_MS = 4_000
STEADY_RATE_TIME_CONSTANT_MS = 40_000
# Direct reports of peers are preferred for one reporting interval, in which entries may
# relay older ones.
DIRECT_REPORT_TTL_MS = 1_000
MIN_COVERED_MS = 1_000  # rates over a shorter time say little
NEGLIGIBLE_ARRIVALS = 0.01  # models with fewer decayed arrivals are removed
# Over two of the longest reporting intervals; then an entry counts as gone.
REPORT_TTL_MS = 6_000


class DemandMeter:
    """Counts arrivals, waiting and queued requests of one entry."""

    def __init__(self) -> None:
        self._arrivals: dict[str, Counter[str]] = {}
        self._waiting: defaultdict[str, Counter[str]] = defaultdict(Counter[str])
        self._queued: defaultdict[str, Counter[str]] = defaultdict(Counter[str])
        # By pool and software version.
        self._continuing: defaultdict[tuple[str, str], Counter[str]] = defaultdict(
            Counter[str]
        )
        self._listeners: list[Callable[[str], None]] = []

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the pool when requests begin to wait for a model."""
        self._listeners.append(listener)

    def record_arrival(self, pool: str, model: str) -> None:
        """Count a request for a model; requests without a model are ignored."""
        if model:
            self._arrivals.setdefault(pool, Counter())[model] += 1

    @contextmanager
    def count_waiting(self, pool: str, model: str) -> Iterator[None]:
        """Count a request as waiting for a model while the context is open."""
        with self._count(self._waiting[pool], pool, model):
            yield

    @contextmanager
    def count_continuing(self, pool: str, version: str, model: str) -> Iterator[None]:
        """Count a begun stream as waiting for a model at servers of one version."""
        with self._count(self._continuing[pool, version], pool, model):
            yield

    @contextmanager
    def _count(self, counts: Counter[str], pool: str, model: str) -> Iterator[None]:
        counts[model] += 1
        if counts[model] == 1:
            for listener in self._listeners:
                listener(pool)
        try:
            yield
        finally:
            counts[model] -= 1

    @contextmanager
    def count_queued(self, pool: str, model: str) -> Iterator[None]:
        """Count a request as queued at an engine while the context is open."""
        self._queued[pool][model] += 1
        try:
            yield
        finally:
            self._queued[pool][model] -= 1

    def queued_counts(self, pool: str) -> dict[str, int]:
        """Return the number of requests queued at engines, by model."""
        return {
            model: count for model, count in self._queued[pool].items() if count > 0
        }

    def arrival_totals(self, pool: str) -> Counter[str]:
        """Return all arrivals so far, by model."""
        return Counter(self._arrivals.get(pool, {}))

    def waiting_counts(self, pool: str) -> dict[str, int]:
        """Return the number of requests that wait for each model."""
        return {
            model: count for model, count in self._waiting[pool].items() if count > 0
        }

    def continuing_counts(self, pool: str, version: str) -> dict[str, int]:
        """Return the number of begun streams of a version that wait for each model."""
        counts = self._continuing.get((pool, version), Counter[str]())
        return {model: count for model, count in counts.items() if count > 0}


class _ArrivalRates:
    """Exponential moving averages of arrivals by model, unbiased from the start."""

    def __init__(self, time_constant_ms: int, now_ms: int) -> None:
        self._time_constant_ms = time_constant_ms
        self._sums: dict[str, float] = {}
        self._coverage = 0.0
        self._updated_ms = now_ms

    def add(self, arrivals: Mapping[str, float], now_ms: int) -> None:
        """Count arrivals by model."""
        self._decay(now_ms)
        for model, count in arrivals.items():
            if count > 0:
                self._sums[model] = self._sums.get(model, 0.0) + count

    def per_second(self, now_ms: int) -> dict[str, float]:
        """Return the arrival rate of each model."""
        self._decay(now_ms)
        # Time since the start that the sums cover, with the same decay.
        covered_ms = max(self._coverage * self._time_constant_ms, MIN_COVERED_MS)
        return {model: total * 1000 / covered_ms for model, total in self._sums.items()}

    def _decay(self, now_ms: int) -> None:
        factor = math.exp(-(now_ms - self._updated_ms) / self._time_constant_ms)
        self._updated_ms = now_ms
        self._coverage = 1 - (1 - self._coverage) * factor
        self._sums = {
            model: total * factor
            for model, total in self._sums.items()
            if total * factor > NEGLIGIBLE_ARRIVALS
        }


class DemandView:
    """Demand of all entries and state of peer engines, as reported to one side."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        now = timers.now_ms()
        self._recent = _ArrivalRates(RATE_TIME_CONSTANT_MS, now)
        self._steady = _ArrivalRates(STEADY_RATE_TIME_CONSTANT_MS, now)
        self._peers: dict[str, tuple[int, PeerEngine]] = {}
        self._direct_report_ms: dict[str, int] = {}
        self._waiting: dict[str, tuple[int, Mapping[str, int]]] = {}
        self._queued: dict[str, tuple[int, Mapping[str, int]]] = {}
        self._continuing: dict[str, tuple[int, Mapping[str, int]]] = {}
        self._missing_since_ms: dict[str, int] = {}

    def update_held(self, held: Collection[str]) -> None:
        """Update since when each requested model is missing from the pool's engines.

        Args:
            held: Models that an engine of the pool holds or is about to hold.
        """
        now = self._timers.now_ms()
        requested = self._recent.per_second(now).keys() | self.waiting().keys()
        self._missing_since_ms = {
            model: self._missing_since_ms.get(model, now)
            for model in requested
            if model not in held
        }

    def apply_report(self, demand: DemandReport) -> None:
        """Apply a report of an entry."""
        now = self._timers.now_ms()
        self._recent.add(demand.arrivals, now)
        self._steady.add(demand.arrivals, now)
        self._waiting[demand.entry] = (now, demand.waiting)
        self._queued[demand.entry] = (now, demand.queued)
        self._continuing[demand.entry] = (now, demand.continuing)
        for address, peer in demand.engines.items():
            # A direct report is newer than one relayed by an entry.
            direct_report_ms = self._direct_report_ms.get(
                address, -DIRECT_REPORT_TTL_MS
            )
            if now - direct_report_ms >= DIRECT_REPORT_TTL_MS:
                self._peers[address] = (now, peer)

    def apply_peer_report(self, address: str, peer: PeerEngine) -> None:
        """Apply a direct report by the side of another engine."""
        now = self._timers.now_ms()
        self._direct_report_ms[address] = now
        self._peers[address] = (now, peer)

    @property
    def has_demand(self) -> bool:
        """Whether entries have recently reported requests."""
        return bool(self._recent.per_second(self._timers.now_ms())) or bool(
            self.waiting()
        )

    def demand(self) -> dict[str, ModelDemand]:
        """Return the demand of each model."""
        now = self._timers.now_ms()
        recent, steady = self._recent.per_second(now), self._steady.per_second(now)
        waiting, queued = self.waiting(), self._sum_fresh(self._queued)
        return {
            model: ModelDemand(
                recent.get(model, 0.0),
                steady.get(model, 0.0),
                waiting[model],
                queued[model],
                (now - self._missing_since_ms.get(model, now)) / 1000,
            )
            for model in recent.keys() | steady.keys() | waiting.keys()
        }

    def waiting(self) -> Counter[str]:
        """Return the number of requests that wait for each model at all entries."""
        return self._sum_fresh(self._waiting)

    def continuing(self) -> Counter[str]:
        """Return the number of streams that this engine's version must continue."""
        return self._sum_fresh(self._continuing)

    def _sum_fresh(
        self, reports: Mapping[str, tuple[int, Mapping[str, int]]]
    ) -> Counter[str]:
        """Sum the recent reports of all entries."""
        oldest = self._timers.now_ms() - REPORT_TTL_MS
        total: Counter[str] = Counter()
        for at_ms, counts in reports.values():
            if at_ms >= oldest:
                total.update(counts)
        return total

    def entry_count(self) -> int:
        """Return the number of entries that reported recently."""
        oldest = self._timers.now_ms() - REPORT_TTL_MS
        return sum(at_ms >= oldest for at_ms, _ in self._waiting.values())

    def peers(self) -> dict[str, PeerEngine]:
        """Return the recently reported peer engines by address."""
        oldest = self._timers.now_ms() - REPORT_TTL_MS
        return {
            address: peer
            for address, (at_ms, peer) in self._peers.items()
            if at_ms >= oldest
        }
