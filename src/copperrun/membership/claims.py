"""Claims of backend servers in the log; the offset of a claim is its epoch."""

from __future__ import annotations

import json
from uuid import uuid4

from loguru import logger

from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.timers import Timers

STREAM = "claims"
RETRY_MS = 1_000
FIRST_EPOCH = 1  # offset 0 must be greater than an engine's initial epoch


async def claim(log: Log, timers: Timers, instance: str, incarnation: int) -> int:
    """Append a claim, however long the log is down, and return its epoch.

    A claim whose answer was lost is repeated: the later offset counts, and no order
    was given under the earlier one.
    """
    record = json.dumps(
        {
            "version": 1,
            "kind": "claim",
            "id": uuid4().hex,
            "instance": instance,
            "incarnation": incarnation,
        }
    )
    while True:
        offset = await log.append(STREAM, [record])
        if not isinstance(offset, LogError):
            logger.info("claimed", instance=instance, epoch=offset + FIRST_EPOCH)
            return offset + FIRST_EPOCH
        logger.warning("claim not appended", detail=offset.detail)
        await timers.sleep_ms(RETRY_MS)
