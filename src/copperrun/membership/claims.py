"""Claims on backend servers in the log; the offset of a claim gives its epoch."""

from __future__ import annotations

import json
from typing import NamedTuple

from loguru import logger

from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.ports.log import Log
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.timers import Timers
from copperrun.ports.topics import TopicPosition

STREAM = "claims"
RETRY_DELAY_MS = 1_000
FIRST_EPOCH = 1  # epoch of offset 0; must be greater than an engine's initial epoch
_OFFSET_BITS = 32  # of an epoch from a topic, below the store's era


class Claim(NamedTuple):
    """A claim in the log.

    Attributes:
        epoch: Fencing token of the claimant's orders.
        had_earlier_side: Whether the log still has an earlier claim of the server by
            another incarnation.
    """

    epoch: int
    had_earlier_side: bool


async def claim(log: Log, timers: Timers, instance: str, incarnation: int) -> Claim:
    """Append a claim, retrying for as long as the log is down.

    A claim whose answer was lost is appended again: the later offset counts, and no
    order was sent under the earlier one.
    """
    record = json.dumps(
        {
            "version": 1,
            "kind": "claim",
            "instance": instance,
            "incarnation": incarnation,
        }
    )
    while True:
        offset = await log.append(STREAM, [record])
        if isinstance(offset, LogError):
            logger.warning("server claim not appended; retrying", detail=offset.detail)
            await timers.sleep_ms(RETRY_DELAY_MS)
            continue
        epoch = offset + FIRST_EPOCH
        had_earlier = await _had_earlier_side(
            log, timers, offset, instance, incarnation
        )
        logger.info("server claimed", instance=instance, epoch=epoch)
        return Claim(epoch, had_earlier)


def topic_epoch(position: TopicPosition) -> int:
    """Return the epoch of a claim in a topic.

    Offsets are given out again after the store has come back from an older copy, so the
    era goes first: a later claim always has a higher epoch.
    """
    return (position.era << _OFFSET_BITS) + position.offset + FIRST_EPOCH


async def _had_earlier_side(
    log: Log, timers: Timers, own_offset: int, instance: str, incarnation: int
) -> bool:
    """Return whether another incarnation claimed the same server earlier."""
    offset = 0
    while offset < own_offset:
        page = await log.read(STREAM, offset)
        if isinstance(page, LogError):
            if page.reason is LogErrorReason.TRIMMED:
                offset = page.start
            else:
                await timers.sleep_ms(RETRY_DELAY_MS)
            continue
        for record in page.records:
            if record.offset < own_offset and _is_claim_of_other_incarnation(
                record.data, instance, incarnation
            ):
                return True
            offset = record.offset + 1
    return False


def _is_claim_of_other_incarnation(data: str, instance: str, incarnation: int) -> bool:
    claim = decode(data, lambda item: (item["instance"], item["incarnation"]))
    if isinstance(claim, DecodeError):
        # An unreadable record may be a claim of this server.
        return True
    return bool(claim[0] == instance and claim[1] != incarnation)
