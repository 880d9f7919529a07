"""Garbage collection of long-running processes."""

from __future__ import annotations

import gc

GC_THRESHOLD = 20_000  # allocations between collections of the youngest generation


def tune_collector() -> None:
    """Exclude objects created at startup from collections, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
