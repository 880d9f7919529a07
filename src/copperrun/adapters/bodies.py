"""Reads bodies of answers that may have no end."""

from __future__ import annotations

import aiohttp

MIB = 1 << 20
MAX_REPLY_BYTES = 4 * MIB  # of the store and of other processes
MAX_REPORT_BYTES = MIB  # of a server about itself
MAX_VIEW_BYTES = 32 * MIB  # the registry and the configuration of the largest fleet
MAX_ANSWER_BYTES = 64 * MIB  # for callers of copperrun's own interface


class OversizedBody(aiohttp.ClientPayloadError):
    """A body that is longer than its reader takes."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read a whole body and release its connection.

    Raises:
        OversizedBody: It has more than ``max_bytes``; no more are read.
        aiohttp.ClientError: It ended too early.
    """
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            response.close()
            raise OversizedBody(f"more than {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)
