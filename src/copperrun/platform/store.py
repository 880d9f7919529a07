"""Client of the platform's store: keyed topics over HTTP."""

from __future__ import annotations

import base64
import struct
from typing import Any
from typing import NamedTuple
from urllib.parse import quote

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.adapters.client import HttpReply
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import digits
from copperrun.decoding import whole_number
from copperrun.platform import http_headers
from copperrun.ports.topics import TopicError
from copperrun.ports.topics import TopicErrorReason
from copperrun.ports.topics import TopicPage
from copperrun.ports.topics import TopicPosition
from copperrun.ports.topics import TopicRecord
from copperrun.ports.topics import TopicSnapshot

CALL_TIMEOUT_MS = 1_500  # an answer takes 4 ms, or 60 times that when slow
POLL_MARGIN_MS = 600  # for the answer to a long poll, after the time that it waits

OPERATOR_TOPIC = "keyed.op"  # written by the operator
CATALOG_KEY = "config"
SERVERS_TOPIC = "keyed.servers"  # written by the backend servers
STATUS_TOPIC = "keyed.status"  # written by copperrun
CRASHES_TOPIC = "keyed.crashes"  # written by copperrun, created on first use
ORIGINS_TOPIC = "keyed.origins"  # likewise
PROVENANCE_TOPIC = "keyed.provenance"  # likewise
ALLOTMENTS_TOPIC = "keyed.allotments"  # likewise

_PAGE_HEADER = struct.Struct(">QQ")  # end offset, first retained offset
_RECORD_LENGTH = struct.Struct(">I")


class HttpTopicStore:
    """Keyed topics; each has one partition."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}"

    async def read_snapshot(self, topic: str) -> TopicSnapshot | TopicError:
        """Return the newest record of each key."""
        items: dict[str, bytes] = {}
        start: TopicPosition | None = None
        after = ""
        while True:
            url = f"{self._url}/log-newest?topic={topic}&part=0{after}"
            reply = await self._client.call("GET", url, timeout_ms=CALL_TIMEOUT_MS)
            if isinstance(reply, HttpFailure):
                return TopicError(TopicErrorReason.UNAVAILABLE, reply.detail)
            if reply.status != 200:
                return _unavailable("log-newest", reply)
            page = decode(reply.body, _decode_page)
            if isinstance(page, DecodeError):
                detail = f"log-newest: {page.detail}"
                return TopicError(TopicErrorReason.UNAVAILABLE, detail)
            # Records may change between pages; the end of the first page makes the
            # caller read such changes again.
            start = start or TopicPosition(_era(reply), page.end)
            if start.era != _era(reply):
                detail = "log-newest: the era changed between two pages"
                return TopicError(TopicErrorReason.UNAVAILABLE, detail)
            items |= page.items
            if not page.next_after:
                return TopicSnapshot(items, start.offset, start.era)
            after = f"&after={quote(page.next_after, safe='', errors='replace')}"

    async def read(
        self, topic: str, offset: int, *, wait_ms: int
    ) -> TopicPage | TopicError:
        """Read from ``offset``; wait up to ``wait_ms`` when there is nothing new."""
        url = f"{self._url}/log-read?topic={topic}&part=0&from={offset}"
        timeout_ms = CALL_TIMEOUT_MS
        if wait_ms:
            url += f"&wait-ms={wait_ms}"
            timeout_ms = wait_ms + POLL_MARGIN_MS
        reply = await self._client.call("GET", url, timeout_ms=timeout_ms)
        if isinstance(reply, HttpFailure):
            return TopicError(TopicErrorReason.UNAVAILABLE, reply.detail)
        if reply.status == 410:
            return TopicError(TopicErrorReason.TRIMMED, "offset trimmed")
        if reply.status != 200:
            return _unavailable("log-read", reply)
        records = _decode_records(reply.body)
        if records is None:
            return TopicError(TopicErrorReason.UNAVAILABLE, "log-read: malformed body")
        return TopicPage(records, offset + len(records), _era(reply))

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> TopicPosition | TopicError:
        """Write a record and return its position; only if that is ``at``."""
        condition = "" if at is None else f"&at={at}"
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        reply = await self._client.call(
            "POST",
            f"{self._url}/log-append?topic={topic}&part=0{condition}",
            body=_RECORD_LENGTH.pack(len(content)) + content,
            headers={"Content-Type": "application/octet-stream"},
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            lost = reply.reason is HttpFailureReason.ANSWER_LOST
            reason = (
                TopicErrorReason.ANSWER_LOST if lost else TopicErrorReason.UNAVAILABLE
            )
            return TopicError(reason, reply.detail)
        if reply.status == 412:
            return TopicError(TopicErrorReason.CONFLICT, "log-append: other end")
        if reply.status != 200:
            return _unavailable("log-append", reply)
        offset = decode(reply.body, lambda answer: whole_number(answer["offset"], 0))
        if isinstance(offset, DecodeError):
            # It may have been written.
            detail = f"log-append: {offset.detail}"
            return TopicError(TopicErrorReason.ANSWER_LOST, detail)
        return TopicPosition(_era(reply), offset)


def _era(reply: HttpReply) -> int:
    """Return the era of an answer; 0 for a store that states none."""
    text = reply.headers.get(http_headers.STORE_ERA, "")
    return digits(text) or 0


def _unavailable(operation: str, reply: HttpReply) -> TopicError:
    return TopicError(
        TopicErrorReason.UNAVAILABLE, f"{operation}: store answered {reply.status}"
    )


class _NewestPage(NamedTuple):
    """Newest records of some keys.

    Attributes:
        items: Value by key, without those that cannot be decoded.
        end: Offset after the topic's last record.
        next_after: Key after which the next page begins; empty when there is none.
    """

    items: dict[str, bytes]
    end: int
    next_after: str


def _decode_page(page: Any) -> _NewestPage:
    listed = [(item["key"], _decode_base64(item["value"])) for item in page["items"]]
    return _NewestPage(
        {str(key): value for key, value in listed if value is not None},
        whole_number(page["end"], 0),
        str(listed[-1][0]) if page.get("has-more") and listed else "",
    )


def _decode_base64(text: object) -> bytes | None:
    try:
        return base64.b64decode(text) if isinstance(text, str) and text else None
    except ValueError:  # no base64, or no ASCII
        return None


def _decode_records(body: bytes) -> list[TopicRecord] | None:
    """Return the records of a read; None when the body is truncated."""
    if len(body) < _PAGE_HEADER.size:
        return None
    records: list[TopicRecord] = []
    position = _PAGE_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        content = body[
            position + _RECORD_LENGTH.size : position + _RECORD_LENGTH.size + length
        ]
        position += _RECORD_LENGTH.size + length
        if len(content) < length:
            return None
        records.append(_decode_record(content))
    return records


def _decode_record(content: bytes) -> TopicRecord:
    """Decode a key and a value; an empty value is a tombstone.

    A record without a key gets the empty key, which names no object.
    """
    length = content[0] if content else 0
    key = content[1 : 1 + length].decode("utf-8", "replace")
    value = content[1 + length :]
    return TopicRecord(key, value or None)
