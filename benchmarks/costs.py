"""Measures memory and time of the learning of costs at many kinds of requests.

Usage: python benchmarks/costs.py
"""

from __future__ import annotations

import time
import tracemalloc
from random import Random

from copperrun.ports.costs import CostKind
from copperrun.routing.costs import LearnedCosts

ROUTES = 5
MODELS = 270
ADAPTERS = 1_000  # of each model; requests for all of them are of one kind
ACCOUNTS = 50
ANSWERS = 50_000
TIMED = 5_000
LIMIT_TOKENS = 1_000


def answer(random: Random) -> tuple[CostKind, int, int]:
    """Return the kind, hint and length of one answer."""
    kind = CostKind(
        f"route-{random.randrange(ROUTES)}",
        f"model-{random.randrange(MODELS):04}",
        f"account-{random.randrange(ACCOUNTS):03}",
    )
    generated = int(random.lognormvariate(5, 0.8)) + 1
    return kind, max(int(generated * random.lognormvariate(0, 0.7)), 1), generated


def main() -> None:
    """Print the memory held and the time of an estimate and of an answer."""
    random = Random(1)
    answers = [answer(random) for _ in range(ANSWERS)]
    tracemalloc.start()
    costs = LearnedCosts()
    for kind, hint, generated in answers:
        costs.record_output(kind, hint=hint, generated=generated)
    for kind, hint, _ in answers[:TIMED]:
        costs.estimate_output(kind, hint=hint, limit=LIMIT_TOKENS)
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.perf_counter()
    for kind, hint, _ in answers[:TIMED]:
        costs.estimate_output(kind, hint=hint, limit=LIMIT_TOKENS)
    estimate_us = (time.perf_counter() - started) / TIMED * 1e6
    started = time.perf_counter()
    for kind, hint, generated in answers[:TIMED]:
        costs.record_output(kind, hint=hint, generated=generated)
    record_us = (time.perf_counter() - started) / TIMED * 1e6
    kinds = ROUTES * MODELS * ACCOUNTS
    print(f"{kinds} kinds ({MODELS * ADAPTERS} adapters), {ANSWERS} answers")
    print(f"memory {size / 2**20:.1f} MiB, at most {peak / 2**20:.1f} MiB")
    print(f"an estimate {estimate_us:.0f} us, an answer learned {record_us:.0f} us")


if __name__ == "__main__":
    main()
