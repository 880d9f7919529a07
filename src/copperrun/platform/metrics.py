"""Metrics of a role in the Prometheus text format, counted by hand.

The names, labels and buckets are those of ``adapters/metrics.py``. Its libraries take
some 4 MB and load the TLS library, which a role on the platform does not need.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

from copperrun.model import Refusal

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.15, 0.25, 0.4, 0.6,
    0.84, 1.2, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0,
)  # fmt: skip
MS_PER_S = 1000
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class _Counter:
    """Counts by the values of the labels."""

    def __init__(self, name: str, *labels: str) -> None:
        self._name = f"copperrun_{name}_total"
        self._labels = labels
        self._counts: dict[tuple[str, ...], int] = {}

    def add(self, *values: str) -> None:
        self._counts[values] = self._counts.get(values, 0) + 1

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text format; none before the first count."""
        if self._counts:
            yield f"# TYPE {self._name} counter"
        for values, count in self._counts.items():
            yield f"{self._name}{_format_labels(self._labels, values)} {count}"


class _Histogram:
    """Times by the values of the labels, in buckets."""

    def __init__(self, name: str, *labels: str) -> None:
        self._name = f"copperrun_{name}_seconds"
        self._labels = labels
        self._buckets: dict[tuple[str, ...], list[int]] = {}
        self._sums_s: dict[tuple[str, ...], float] = {}

    def record(self, elapsed_ms: float, *values: str) -> None:
        elapsed_s = elapsed_ms / MS_PER_S
        buckets = self._buckets.get(values)
        if buckets is None:
            buckets = self._buckets[values] = [0] * (len(BUCKETS_S) + 1)
            self._sums_s[values] = 0.0
        buckets[bisect_left(BUCKETS_S, elapsed_s)] += 1
        self._sums_s[values] += elapsed_s

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text format; none before the first time."""
        if self._buckets:
            yield f"# TYPE {self._name} histogram"
        for values, buckets in self._buckets.items():
            total = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
                total += count
                labels = _format_labels((*self._labels, "le"), (*values, str(bound)))
                yield f"{self._name}_bucket{labels} {total}"
            labels = _format_labels(self._labels, values)
            yield f"{self._name}_count{labels} {total}"
            yield f"{self._name}_sum{labels} {self._sums_s[values]}"


class TextMetrics:
    """Instruments of one process; times are in milliseconds."""

    def __init__(self) -> None:
        self._first_token = _Histogram("first_token", "tenant", "class")
        self._token_gap = _Histogram("between_tokens", "tenant", "class")
        self._request = _Histogram("request", "tenant", "class", "met")
        self._queue = _Histogram("queue", "tenant", "class")
        self._lag = _Histogram("configuration_lag")
        self._refusals = _Counter("refusals", "tenant", "class", "reason", "ran")
        self._missed = _Counter("missed", "tenant", "class")
        self._retries = _Counter("retries", "reason")
        self._moves = _Counter("moves", "kind", "object")
        self._appends = _Counter("log_appends", "stream")

    def record_first_token(
        self, tenant: str, service_class: str, elapsed_ms: float
    ) -> None:
        """Record the time from arrival to the first chunk."""
        self._first_token.record(elapsed_ms, tenant, service_class)

    def record_token_gap(self, tenant: str, service_class: str, gap_ms: float) -> None:
        """Record the time between two chunks."""
        self._token_gap.record(gap_ms, tenant, service_class)

    def record_answer(
        self, tenant: str, service_class: str, elapsed_ms: float, *, met_targets: bool
    ) -> None:
        """Record a complete answer and whether it met its targets."""
        met = "yes" if met_targets else "no"
        self._request.record(elapsed_ms, tenant, service_class, met)

    def record_refusal(self, tenant: str, service_class: str, refusal: Refusal) -> None:
        """Record a refusal."""
        self._refusals.add(
            tenant, service_class, refusal.reason.value, refusal.ran.value
        )

    def record_missed(self, tenant: str, service_class: str) -> None:
        """Record a valid request that got no complete answer in time."""
        self._missed.add(tenant, service_class)

    def record_queue_time(
        self, tenant: str, service_class: str, queued_ms: float
    ) -> None:
        """Record the time that an attempt waited at a side."""
        self._queue.record(queued_ms, tenant, service_class)

    def record_retry(self, reason: str) -> None:
        """Record a retry and why the attempt before it ended."""
        self._retries.add(reason)

    def record_move(self, operation: str, object_kind: str) -> None:
        """Record a load or unload of a model or adapter."""
        self._moves.add(operation, object_kind)

    def record_append(self, stream: str) -> None:
        """Record an append to the platform's log."""
        self._appends.add(stream)

    def record_configuration_lag(self, lag_ms: float) -> None:
        """Record the time from a change's creation until it took effect here."""
        self._lag.record(lag_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        instruments = (
            self._first_token,
            self._token_gap,
            self._request,
            self._queue,
            self._lag,
            self._refusals,
            self._missed,
            self._retries,
            self._moves,
            self._appends,
        )
        lines = [line for instrument in instruments for line in instrument.lines()]
        return "".join(f"{line}\n" for line in lines).encode()


def _format_labels(names: tuple[str, ...], values: tuple[str, ...]) -> str:
    if not names:
        return ""
    pairs = [
        f'{name}="{value.translate(_LABEL_ESCAPES)}"'
        for name, value in zip(names, values, strict=True)
    ]
    return "{" + ",".join(pairs) + "}"
