"""The platform's services over HTTP and JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from pydantic import TypeAdapter
from pydantic import ValidationError

from copperrun.adapters.bodies import MAX_ANSWER_BYTES
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import whole_number
from copperrun.model import Instance
from copperrun.model import LogRecord
from copperrun.ports.instances import InstancesError
from copperrun.ports.log import LogError
from copperrun.ports.log import LogErrorReason
from copperrun.ports.log import LogPage
from copperrun.ports.weights import WeightObject
from copperrun.ports.weights import WeightsError

APPEND_TIMEOUT_MS = 2_000
READ_TIMEOUT_MS = 2_000
LIST_TIMEOUT_MS = 2_000

_INSTANCES = TypeAdapter(list[Instance])


class HttpLog:
    """Log service: ``POST`` and ``GET`` on ``/streams/{name}``."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def append(self, stream: str, records: Sequence[str]) -> int | LogError:
        """Append ``records`` together and return the offset of the first."""
        reply = await self._client.call_json(
            "POST",
            self._stream_url(stream),
            {"records": list(records)},
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            return _log_error(reply)
        if reply.status == 503:
            return LogError(LogErrorReason.UNAVAILABLE, "log answered 503")
        if reply.status != 200:
            detail = f"log answered {reply.status} to an append"
            return LogError(LogErrorReason.ANSWER_LOST, detail)
        offset = decode(reply.body, lambda value: whole_number(value["offset"], 0))
        if isinstance(offset, DecodeError):
            return LogError(LogErrorReason.ANSWER_LOST, f"append: {offset.detail}")
        return offset

    async def read(
        self, stream: str, offset: int, *, wait_ms: int = 0
    ) -> LogPage | LogError:
        """Read from ``offset``; wait up to ``wait_ms`` for new records."""
        reply = await self._client.call_json(
            "GET",
            f"{self._stream_url(stream)}?from={offset}&wait_ms={wait_ms}",
            timeout_ms=READ_TIMEOUT_MS + wait_ms,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, HttpFailure):
            return LogError(LogErrorReason.UNAVAILABLE, reply.detail)
        if reply.status not in (200, 410):
            detail = f"log answered {reply.status} to a read"
            return LogError(LogErrorReason.UNAVAILABLE, detail)
        page = decode(reply.body, _page if reply.status == 200 else _trimmed)
        if isinstance(page, DecodeError):
            return LogError(LogErrorReason.UNAVAILABLE, f"read: {page.detail}")
        return page

    def _stream_url(self, stream: str) -> str:
        return f"{self._url}/streams/{quote(stream)}"


class HttpInstances:
    """Instance list: ``GET /instances``."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def list(self) -> Sequence[Instance] | InstancesError:
        """Return the instances that the platform lists."""
        reply = await self._client.call_json(
            "GET", f"{self._url}/instances", timeout_ms=LIST_TIMEOUT_MS
        )
        if isinstance(reply, HttpFailure):
            return InstancesError(reply.detail)
        if reply.status != 200:
            return InstancesError(f"instance list answered {reply.status}")
        try:
            return _INSTANCES.validate_json(reply.body)
        except ValidationError as exc:
            return InstancesError(
                f"malformed instance list: {exc.error_count()} errors"
            )


class HttpWeights:
    """Weight store: ``GET /weights/{name}``."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def describe(self, name: str) -> WeightObject | WeightsError:
        """Return the size of an object without loading it."""
        reply = await self._client.call_json(
            "GET", f"{self._url}/weights/{quote(name)}", timeout_ms=READ_TIMEOUT_MS
        )
        if isinstance(reply, HttpFailure):
            return WeightsError(False, reply.detail)
        if reply.status == 404:
            return WeightsError(True, f"no object {name!r} in the weight store")
        if reply.status != 200:
            return WeightsError(False, f"weight store answered {reply.status}")
        size = decode(reply.body, lambda value: whole_number(value["size_bytes"], 0))
        if isinstance(size, DecodeError):
            return WeightsError(False, f"weight store: {size.detail}")
        return WeightObject(name, size)


def _page(value: dict[str, Any]) -> LogPage | LogError:
    records = [
        LogRecord(whole_number(number, 0), str(data))
        for number, data in value["records"]
    ]
    return LogPage(
        records, whole_number(value["start"], 0), whole_number(value["end"], 0)
    )


def _trimmed(value: dict[str, Any]) -> LogPage | LogError:
    start = whole_number(value["start"], 0)
    return LogError(LogErrorReason.TRIMMED, "offset trimmed", start)


def _log_error(failure: HttpFailure) -> LogError:
    match failure.reason:
        case HttpFailureReason.NOT_SENT:
            return LogError(LogErrorReason.UNAVAILABLE, failure.detail)
        case HttpFailureReason.ANSWER_LOST:
            return LogError(LogErrorReason.ANSWER_LOST, failure.detail)
