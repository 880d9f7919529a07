"""Decodes what other processes wrote, whatever that is."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TypeVar

MAX_INTEGER = 2**63 - 1  # the messages between processes have 64 bits
MAX_TEXT_CHARACTERS = 8_190  # a line of a head may have as many
MAX_DETAIL_CHARACTERS = 200
MAX_SHOWN_CHARACTERS = 40  # of a value in an error
MAX_DIGITS = 18  # so many always fit into 64 bits

# What reading a foreign value may raise, for code that catches it itself.
MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)

T = TypeVar("T")


class DecodeError(NamedTuple):
    """A text that is not what was expected; returned, not raised.

    Attributes:
        detail: One line for the operator's log.
    """

    detail: str


def parse_json(data: bytes | str) -> Any | DecodeError:
    """Parse a JSON text."""
    return decode(data, lambda value: value)


def decode(data: bytes | str, convert: Callable[[Any], T]) -> T | DecodeError:
    """Parse a JSON text and convert its value.

    Args:
        data: The text.
        convert: May raise any of ``MALFORMED``.
    """
    try:
        return convert(json.loads(data))
    except MALFORMED as exc:
        return DecodeError(describe(exc))


def describe(exc: Exception) -> str:
    """Return an error in one line, without the text that could not be decoded."""
    if isinstance(exc, json.JSONDecodeError | UnicodeError):
        # Their repr quotes the text, which may hold secrets.
        return f"{type(exc).__name__}: {exc}"[:MAX_DETAIL_CHARACTERS]
    return repr(exc)[:MAX_DETAIL_CHARACTERS]


def whole_number(value: Any, least: int = -MAX_INTEGER, most: int = MAX_INTEGER) -> int:
    """Return a number without its fraction; raise if it is none or out of range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {_shown(value)}")
    if not least <= value <= most:
        raise ValueError(f"expected a number from {least} to {most}")
    return int(value)


def finite_number(value: Any) -> float:
    """Return a number as a float; raise if it is none, infinite or NaN."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"expected a finite number, got {number}")
    return number


def printable_text(value: Any) -> str:
    """Return a text that can be logged, sent and put into a header; raise if not."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {_shown(value)}")
    if len(value) > MAX_TEXT_CHARACTERS or not value.isprintable():
        raise ValueError(
            f"expected at most {MAX_TEXT_CHARACTERS} printable characters, got"
            f" {_shown(value)}"
        )
    return value


def _shown(value: Any) -> str:
    return ascii(value)[:MAX_SHOWN_CHARACTERS]


def digits(text: str) -> int | None:
    """Return the number that a header states in digits; None for anything else."""
    text = text.strip()
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        return None
    return int(text)
