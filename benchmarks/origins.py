"""Size and cost of what entries tell keepers about begun streams."""

from __future__ import annotations

import time
import tracemalloc

from copperrun.adapters import wire
from copperrun.adapters.origins import _encode_records
from copperrun.adapters.timers import SystemTimers
from copperrun.gen import ttypes
from copperrun.membership.keepers import KEEPERS_ASKED
from copperrun.membership.keepers import NEAR_COPIES
from copperrun.membership.keepers import REMOTE_COPIES
from copperrun.membership.keepers import OriginDirectory
from copperrun.ports.origins import Keeper
from copperrun.routing.origins import RETENTION_MS
from copperrun.routing.origins import OriginRecord
from copperrun.routing.origins import OriginTable
from copperrun.routing.origins import StreamOrigin
from copperrun.routing.origins import stream_key

RECORDS = 2_000


class _NoKeepers:
    """Keepers that are never called."""


def _records(count: int) -> list[OriginRecord]:
    return [
        OriginRecord(
            stream_key(f"{number:016x}"),
            StreamOrigin("assistant-models", "i-01d432f522/1785948901636", "v1.1"),
            0,
        )
        for number in range(count)
    ]


def _message_bytes(count: int) -> int:
    query = ttypes.OriginQuery(_encode_records(_records(count)), [])
    return len(wire.encode(query))


def _print_sizes() -> None:
    one, many = _message_bytes(1), _message_bytes(RECORDS)
    print(f"a message with one record: {one} B, each further one: {many // RECORDS} B")
    tracemalloc.start()
    table = OriginTable(SystemTimers())
    table.merge(_records(RECORDS))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"a record in a table: {used // RECORDS} B")
    print(f"retention: {RETENTION_MS} ms; copies: {NEAR_COPIES} + {REMOTE_COPIES}")


def _print_choice(hosts: int, regions: int) -> None:
    keepers = [Keeper(f"h{n}", f"r{n % regions}") for n in range(hosts)]
    directory = OriginDirectory(_NoKeepers(), "r0", SystemTimers())
    started = time.perf_counter()
    directory.set_keepers(keepers)
    built_ms = (time.perf_counter() - started) * 1000
    keys = [record.key for record in _records(RECORDS)]
    started = time.perf_counter()
    for key in keys:
        list(directory._choose_keepers(key))
    choice_us = (time.perf_counter() - started) * 1e6 / RECORDS
    print(
        f"{hosts} sides in {regions} regions: rings built in {built_ms:.1f} ms, "
        f"keepers chosen in {choice_us:.0f} us, "
        f"asked for one stream: {min(KEEPERS_ASKED * regions, hosts)}"
    )


if __name__ == "__main__":
    _print_sizes()
    for side_count, region_count in ((6, 3), (60, 3), (12_000, 5)):
        _print_choice(side_count, region_count)
