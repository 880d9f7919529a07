"""Costs of requests, learned from those that have ended; no I/O.

Each kind of request and each wider group of kinds has a small histogram over
logarithmic buckets in which earlier samples fade. An estimate starts from the widest
group and goes to the narrowest; each corrects the one before by as much as it has seen.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Sequence
from itertools import pairwise
from typing import NamedTuple

from copperrun.ports.costs import CostKind
from copperrun.ports.costs import OutputEstimate

BUCKETS_PER_DOUBLING = 2
BUCKETS = 32  # from 1 to 2**16 tokens or ms
RATIO_CENTER = BUCKETS // 2  # bucket of answers as long as their hints
SAMPLE_DECAY = 0.98  # weight of earlier samples at each new one
# Samples of the wider group that count like this many of the group itself.
WIDER_SAMPLES = 8.0
PRIOR_SAMPLES = 0.5  # of any length, in the widest group
# A group that sees nothing fades by half with this many samples of all kinds.
IDLE_HALF_LIFE = 2_000
MAX_GROUPS = 4_096  # the least recently used ones yield
MAX_ESTIMATES = 256  # kept for use again
REUSED_SAMPLES = 16  # new samples of any kind before an estimate is worked out anew
LIKELY_QUANTILE = 0.98
DEFAULT_LIMIT_TOKENS = 4_096  # of requests that state none
DEFAULT_CALL_MS = 50.0
MIN_HINT_SAMPLES = 16.0  # before hints may be dropped
MAX_WEIGHT = 1e12
MAX_IDLE = 20 * IDLE_HALF_LIFE  # after which hardly anything is left
MIN_SHARE = 1e-9

_BOUNDS = tuple(2 ** (index / BUCKETS_PER_DOUBLING) for index in range(BUCKETS + 1))
_MIDDLES = tuple(math.sqrt(low * high) for low, high in pairwise(_BOUNDS))


class Histogram:
    """Counts samples by bucket; the latest weigh most.

    Attributes:
        last_sample: Count of all samples, of any group, at the latest one here.
    """

    __slots__ = ("_counts", "_total", "_weight", "last_sample")

    def __init__(self) -> None:
        self.last_sample = 0
        self._counts = array("f", bytes(4 * BUCKETS))
        self._total = 0.0
        self._weight = 1.0

    def add(self, bucket: int, sample: int) -> None:
        """Count one sample, the ``sample``-th of any group."""
        idle = min(sample - self.last_sample, MAX_IDLE)
        # Later samples weigh more, which is to say that earlier ones fade.
        self._weight *= 2 ** (idle / IDLE_HALF_LIFE) / SAMPLE_DECAY
        self._counts[bucket] += self._weight
        self._total += self._weight
        self.last_sample = sample
        if self._weight > MAX_WEIGHT:
            self._rescale()

    def samples(self, sample: int) -> float:
        """Return how many undecayed samples the faded ones are worth."""
        faded = 0.5 ** ((sample - self.last_sample) / IDLE_HALF_LIFE)
        return self._total / self._weight * faded

    def blend(self, wider: Sequence[float], samples: float) -> list[float]:
        """Return the shares of the buckets, corrected from those of a wider group."""
        scale = samples / (samples + WIDER_SAMPLES) / self._total
        rest = WIDER_SAMPLES / (samples + WIDER_SAMPLES)
        return [
            count * scale + share * rest
            for count, share in zip(self._counts, wider, strict=True)
        ]

    def _rescale(self) -> None:
        for index, count in enumerate(self._counts):
            self._counts[index] = count / self._weight
        self._total /= self._weight
        self._weight = 1.0


class Distribution(NamedTuple):
    """What a kind of request may cost.

    Attributes:
        shares: Share of each bucket.
        sample: Count of all samples when it was worked out.
    """

    shares: Sequence[float]
    sample: int


_NOTHING = (0.0,) * BUCKETS  # nothing is known
# Callers' hints are right at the median: half of the answers are expected within a
# factor of 1.4, nine of ten within four.
_AROUND_HINT = (0.02, 0.05, 0.10, 0.15, 0.34, 0.15, 0.10, 0.05, 0.02)
_FIRST_RATIOS = tuple(
    _AROUND_HINT[bucket - RATIO_CENTER + 4] if abs(bucket - RATIO_CENTER) <= 4 else 0.0
    for bucket in range(BUCKETS)
)


class Learner:
    """Distributions by kind, from the widest group to the narrowest.

    Args:
        prior: Share of each bucket before there are samples.
        prior_samples: Samples that it counts like.
    """

    def __init__(
        self,
        prior: Sequence[float] = _NOTHING,
        prior_samples: float = PRIOR_SAMPLES,
    ) -> None:
        self.sample = 0
        self._prior = prior
        self._prior_samples = prior_samples
        self._groups: dict[tuple[str, str, str], Histogram] = {}
        self._estimates: dict[CostKind, Distribution] = {}

    def __len__(self) -> int:
        return len(self._groups)

    def add(self, kind: CostKind, bucket: int) -> None:
        """Count a sample for the kind and for each wider group."""
        self.sample += 1
        for key in _groups_of(kind):
            group = self._groups.pop(key, None)
            if group is None:
                group = Histogram()
                group.last_sample = self.sample
            # Put last, so that the first is the least recently used.
            self._groups[key] = group
            group.add(bucket, self.sample)
        while len(self._groups) > MAX_GROUPS:
            del self._groups[next(iter(self._groups))]

    def samples(self, kind: CostKind) -> float:
        """Return how much is known of the kind's route."""
        group = self._groups.get((kind.route, "", ""))
        return group.samples(self.sample) if group is not None else 0.0

    def shares(self, kind: CostKind) -> Sequence[float]:
        """Return the share of each bucket for a kind."""
        known = self._estimates.get(kind)
        if known is not None and self.sample - known.sample < REUSED_SAMPLES:
            return known.shares
        if len(self._estimates) >= MAX_ESTIMATES:
            self._estimates.clear()
        shares = self._prior
        for key in _groups_of(kind):
            group = self._groups.get(key)
            if group is None:
                continue
            samples = group.samples(self.sample)
            if key == _ALL:
                samples *= WIDER_SAMPLES / self._prior_samples
            shares = group.blend(shares, samples)
        self._estimates[kind] = Distribution(shares, self.sample)
        return shares


_ALL = ("", "", "")


def _groups_of(kind: CostKind) -> list[tuple[str, str, str]]:
    """Return the keys of a kind's groups, the widest first."""
    route, model, account = kind
    groups = [_ALL, (route, "", "")]
    if model:
        groups.append((route, model, ""))
    if account:
        groups.append((route, "", account))
    if model and account:
        groups.append((route, model, account))
    return groups


class LearnedCosts:
    """Estimates of what requests cost, with memory bounded at any count of kinds."""

    def __init__(self) -> None:
        self._outputs = Learner()
        self._ratios = Learner(_FIRST_RATIOS, WIDER_SAMPLES)
        self._calls = Learner()
        # Mean error of estimates by route, in doublings: without and with hints.
        self._errors: dict[str, tuple[float, float]] = {}

    def estimate_output(
        self, kind: CostKind, *, hint: int, limit: int, generated: int = 0
    ) -> OutputEstimate:
        """Return the tokens that a request will generate in all.

        Args:
            kind: Kind of the request.
            hint: The caller's estimate; 0 for none.
            limit: Most tokens that it may generate; 0 when not stated.
            generated: Tokens that it has generated so far.
        """
        most = limit or max(DEFAULT_LIMIT_TOKENS, 2 * generated)
        scale = 1.0
        shares = self._outputs.shares(kind)
        if hint and self._trusts_hints(kind):
            shares = self._ratios.shares(kind)
            scale = hint / _MIDDLES[RATIO_CENTER]
        return _conditional(shares, scale, generated, most)

    def estimate_call_ms(self, kind: CostKind) -> float:
        """Return the time of a plain request at a server with nothing else to do."""
        if not self._calls.samples(kind):
            return DEFAULT_CALL_MS
        return _MIDDLES[_quantile(self._calls.shares(kind), 0.5)]

    def record_output(self, kind: CostKind, *, hint: int, generated: int) -> None:
        """Record the tokens of a complete answer."""
        if hint > 0:
            self._compare_hint(kind, hint, generated)
            ratio = max(generated, 1) / hint * _MIDDLES[RATIO_CENTER]
            self._ratios.add(kind, _bucket(ratio))
        self._outputs.add(kind, _bucket(generated))

    def record_call(self, kind: CostKind, elapsed_ms: float) -> None:
        """Record the time of a complete answer to a plain request."""
        self._calls.add(kind, _bucket(elapsed_ms))

    def _trusts_hints(self, kind: CostKind) -> bool:
        if self._ratios.samples(kind) < MIN_HINT_SAMPLES:
            return True
        without, with_hints = self._errors.get(kind.route, (0.0, 0.0))
        return with_hints < without

    def _compare_hint(self, kind: CostKind, hint: int, generated: int) -> None:
        """Update how far estimates of the route were off, without and with hints."""
        actual = max(generated, 1)
        plain = _MIDDLES[_quantile(self._outputs.shares(kind), 0.5)]
        ratio = _MIDDLES[_quantile(self._ratios.shares(kind), 0.5)]
        hinted = hint * ratio / _MIDDLES[RATIO_CENTER]
        without, with_hints = self._errors.get(kind.route, (0.0, 0.0))
        if kind.route not in self._errors and len(self._errors) >= MAX_GROUPS:
            self._errors.clear()
        weight = 1 - SAMPLE_DECAY
        self._errors[kind.route] = (
            without + weight * (abs(math.log2(plain / actual)) - without),
            with_hints + weight * (abs(math.log2(hinted / actual)) - with_hints),
        )


def _bucket(value: float) -> int:
    if value <= 1:
        return 0
    return min(int(math.log2(value) * BUCKETS_PER_DOUBLING), BUCKETS - 1)


def _quantile(shares: Sequence[float], quantile: float) -> int:
    """Return the bucket in which a share of what is known is reached."""
    rest = quantile * sum(shares)
    for bucket, share in enumerate(shares):
        rest -= share
        if rest <= 0:
            return bucket
    return len(shares) - 1


def _conditional(
    shares: Sequence[float], scale: float, generated: int, most: int
) -> OutputEstimate:
    """Return the estimate for a request that has generated some tokens already.

    What the shares lack of 1 is not known: any order of magnitude up to ``most``.

    Args:
        shares: Share of each bucket.
        scale: Tokens of a bucket's unit.
        generated: Tokens so far.
        most: Most tokens that it may generate.
    """
    if generated >= most:
        return OutputEstimate(generated, generated)
    known = 0.0
    mean = 0.0
    longer: list[tuple[float, float]] = []
    for bucket, whole_share in enumerate(shares):
        low, high = _BOUNDS[bucket] * scale, _BOUNDS[bucket + 1] * scale
        if high <= generated:
            continue
        # Only the part of a bucket above what it has generated.
        begin = max(low, generated)
        share = whole_share * (high - begin) / (high - low)
        low, high = min(begin, most), min(high, most)
        known += share
        mean += share * (low + high) / 2
        longer.append((share, high))
    start = max(generated, 1)
    span = math.log(most / start)
    unknown = max(1 - sum(shares), 0.0) * span / max(math.log(most), 1.0)
    unknown_mean = (most - start) / span if span else most
    expected = (mean + unknown * unknown_mean) / max(known + unknown, MIN_SHARE)
    likely = float(most)
    if known > unknown:
        rest = LIKELY_QUANTILE * known
        for share, high in longer:
            rest -= share
            if rest <= 0:
                likely = high
                break
    whole = min(max(math.ceil(expected), generated + 1), most)
    return OutputEstimate(whole, max(math.ceil(likely), whole))
