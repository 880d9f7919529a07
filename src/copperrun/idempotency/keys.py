"""Idempotency keys: UUIDs of version 7, whose time bounds how long they are kept."""

from __future__ import annotations

import os
from uuid import UUID

import xxhash

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

CLOCK_SKEW_MS = 300_000  # accepted error of a caller's clock


def create_idempotency_key(now_ms: int) -> str:
    """Return a new key for a Unix time in milliseconds."""
    number = now_ms << 80 | int.from_bytes(os.urandom(10))
    number = number & ~(0xF << 76) | 7 << 76
    return str(UUID(int=number & ~(3 << 62) | 2 << 62))


def key_time_ms(key: str) -> int | Refusal:
    """Return the Unix time in a key in milliseconds, or a refusal if it is invalid."""
    try:
        parsed = UUID(key)
    except ValueError:
        return _invalid(key)
    if parsed.version != 7 or str(parsed) != key.lower():
        return _invalid(key)
    return parsed.int >> 80


def check_window(key_ms: int, now_ms: int, window_ms: int) -> Refusal | None:
    """Refuse a key that is older than the window or from the future."""
    if key_ms > now_ms + CLOCK_SKEW_MS:
        return Refusal(
            RefusalReason.IDEMPOTENCY_KEY_INVALID,
            Ran.NO,
            "the time in the Idempotency-Key is in the future; correct the clock",
        )
    if key_ms >= now_ms - window_ms:
        return None
    # An earlier request with this key may have run and its record have expired.
    return Refusal(
        RefusalReason.IDEMPOTENCY_KEY_EXPIRED,
        Ran.UNKNOWN,
        f"the Idempotency-Key is older than {window_ms} ms; look up the call's outcome",
    )


def partition_of(key: str, partitions: int) -> int:
    """Return the partition of a tenant's key."""
    return int(xxhash.xxh64_intdigest(key.encode())) % partitions


def _invalid(key: str) -> Refusal:
    return Refusal(
        RefusalReason.IDEMPOTENCY_KEY_INVALID,
        Ran.NO,
        f"Idempotency-Key {key[:64]!r} is not a UUID version 7",
    )
