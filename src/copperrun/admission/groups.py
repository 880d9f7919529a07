"""Groups of client accounts and the hosts that may keep their allotments; no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash

GROUPS = 16  # each has one keeper; bounds the claims in the store
CANDIDATES = 4  # hosts that may become the keeper of a group, one after the other


def group_of(account: str) -> int:
    """Return the group of an account."""
    return xxhash.xxh64_intdigest(account.encode()) % GROUPS


def keeper_order(hosts: Iterable[str], group: int) -> list[str]:
    """Return the hosts that may keep a group, the one to be asked first in front.

    Each host's place depends on the host and the group alone, so that a change of
    another host seldom changes the first one.
    """
    return heapq.nsmallest(
        CANDIDATES,
        hosts,
        lambda host: xxhash.xxh64_intdigest(f"{group}/{host}".encode()),
    )
