"""Calls of an entry's API, with the expected answers."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import aiohttp

from copperrun.embedded.engine import expected_text
from copperrun.routing.dispatcher import chunk_text


class Reply(NamedTuple):
    """Outcome of one call.

    Attributes:
        status: HTTP status; 0 when the connection could not be opened.
        text: Generated text, or the body.
        error: Error object of a refusal, or one for a stream without an end.
        recorded: Whether the answer is the recorded one of an earlier call.
    """

    status: int
    text: str
    error: dict[str, Any] | None
    recorded: bool = False

    @property
    def answered(self) -> bool:
        return self.status == 200 and self.error is None


async def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    request: dict[str, Any],
    *,
    on_chunk: Callable[[int], None] = lambda _: None,
) -> Reply:
    """Send a streamed chat request; a stream without its end is an error."""
    headers = {"Authorization": f"Bearer {key}"}
    body = {**request, "stream": True}
    parts: list[str] = []
    try:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            if response.status != 200:
                return Reply(response.status, "", (await response.json())["error"])
            event = ""
            async for raw in response.content:
                line = raw.decode().rstrip("\n")
                if line.startswith("event: "):
                    event = line.removeprefix("event: ")
                if not line.startswith("data: "):
                    continue
                data = line.removeprefix("data: ")
                if event == "error":
                    return Reply(200, "".join(parts), json.loads(data)["error"])
                if data == "[DONE]":
                    return Reply(200, "".join(parts), None)
                parts.append(chunk_text(data))
                on_chunk(len(parts))
    except aiohttp.ClientConnectorError:
        return Reply(0, "", None)
    except aiohttp.ClientError as exc:
        return Reply(200, "".join(parts), {"code": f"stream without end: {exc!r}"})
    return Reply(200, "".join(parts), {"code": "stream without end"})


async def call_service(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    idempotency_key: str,
    body: dict[str, Any],
) -> Reply:
    """Send one unrepeatable call."""
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": idempotency_key}
    try:
        async with session.post(url, json=body, headers=headers) as response:
            text = await response.text()
            recorded = "X-Copperrun-Recorded" in response.headers
            if response.status == 200:
                return Reply(200, text, None, recorded)
            return Reply(response.status, "", json.loads(text)["error"])
    except aiohttp.ClientConnectorError:
        return Reply(0, "", None)


def whole_text(request: dict[str, Any], *, version: str = "1") -> str:
    """Return the text of the complete answer to a request."""
    model, _, adapter = request["model"].partition(":")
    adapter_object = f"adapter/{adapter}" if adapter else ""
    return expected_text(f"{model}@{version}", adapter_object, request)
