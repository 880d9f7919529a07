"""Durations and sizes with units in YAML."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import BeforeValidator

_DURATION_MS = {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
_SIZE_BYTES = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "TiB": 2**40}
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")


def parse_duration(value: object) -> int:
    """Parse a duration such as ``840 ms`` into milliseconds.

    Raises:
        ValueError: The value is not a number with a known unit of time.
    """
    return _parse(value, _DURATION_MS, "a duration such as '840 ms'")


def parse_size(value: object) -> int:
    """Parse a size such as ``16 GiB`` into bytes.

    Raises:
        ValueError: The value is not a number with a known unit of size.
    """
    return _parse(value, _SIZE_BYTES, "a size such as '16 GiB'")


def _parse(value: object, units: dict[str, int], expected: str) -> int:
    match = _QUANTITY.fullmatch(value.strip()) if isinstance(value, str) else None
    if match is None or match[2] not in units:
        raise ValueError(
            f"expected {expected}; units: {', '.join(units)}; got {value!r}"
        )
    return round(float(match[1]) * units[match[2]])


Milliseconds = Annotated[int, BeforeValidator(parse_duration)]
ByteCount = Annotated[int, BeforeValidator(parse_size)]
