"""Output of results as text or JSON."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any


class Output:
    """Standard output of one command."""

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json

    def emit(self, value: Any, lines: Sequence[str]) -> None:
        """Print ``value`` as JSON, or ``lines`` as text."""
        if self._as_json:
            print(json.dumps(value, sort_keys=True))
            return
        for line in lines:
            print(line)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return lines with aligned columns."""
    table = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[index]) for row in table) for index in range(len(header))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]
