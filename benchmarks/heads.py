"""Measures what a request costs an entry in memory while its server works.

Starts an entry as a process and holds a number of equal requests at its server. Prints
the growth of the resident memory for each of them: for a usual head, and for one of
12,000 bytes in as many lines as fit.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "testing"))

from crowd import crowd
from crowd import head
from crowd import numbered_lines
from test_crowd import crowded_entry

REQUESTS = 100
MEMORY_MB = 2_000  # so that no bound is met
USUAL = b"".join(
    b"%b: %b\r\n" % (name, b"v" * size)
    for name, size in (
        (b"Accept", 30),
        (b"Content-Type", 16),
        (b"User-Agent", 80),
        (b"Deadline-Ms", 5),
        (b"Model", 12),
        (b"Token-Usage", 8),
        (b"Prompt-Prefix", 60),
        (b"X-Forwarded-For", 15),
        (b"Traceparent", 55),
    )
)
HEADS = {"usual": (600, USUAL), "many lines": (12_000, numbered_lines(12_000))}


async def measure(size: int, lines: bytes) -> float:
    """Return the bytes that each request adds to the process."""
    with tempfile.TemporaryDirectory() as folder:
        limits = {"memory-mb": MEMORY_MB}
        async with crowded_entry(Path(folder), **limits) as system:
            await system.ask("warm-up")
            await system.figures.settle()
            before = system.figures.resident_bytes
            async with crowd("127.0.0.1", system.entry.port, REQUESTS) as members:
                for number, member in enumerate(members):
                    member.send(head(size, lines, request_id=f"r{number}"))
                await system.figures.settle()
                return (system.figures.resident_bytes - before) / REQUESTS


def main() -> None:
    """Print a row for each kind of head."""
    for name, (size, lines) in HEADS.items():
        sent = head(size, lines)
        cost = asyncio.run(measure(size, lines))
        print(
            f"{name}: {len(sent)} bytes, {sent.count(b':')} lines, "
            f"{cost / 1_000:.0f} KB a request, {cost / len(sent):.0f} for each byte"
        )


if __name__ == "__main__":
    main()
