"""Stand-ins for the platform's store and backend servers, per its protocol."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web


class StoreStandIn:
    """Keyed topics with one partition each; tests set compaction and outages.

    Attributes:
        era: Stated in all answers once it is not 0; rises with each fall-back.
        newest_page: Called with the last key of the page before, if any.
        refuses_writes: Whether it turns writes away.
    """

    def __init__(self) -> None:
        self.era = 0
        self.records: dict[str, list[tuple[str, bytes]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.is_down = False
        self.refuses_writes = False
        self.address = ""
        self.newest_page: Callable[[str], None] = lambda after: None
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    def put(self, topic: str, key: str, value: Any) -> int:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.records.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(self.records[topic]) - 1

    def fall_back(self, ends: dict[str, int]) -> None:
        """Come back from a copy that has the first records of each topic only."""
        self.era += 1
        for topic, end in ends.items():
            del self.records[topic][end:]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _state_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    async def start(self) -> None:
        app = web.Application()
        app.on_response_prepare.append(self._state_era)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        app.router.add_post("/log-append", self._append)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def _read(self, request: web.Request) -> web.Response:
        topic, offset = request.query["topic"], int(request.query["from"])
        wait_ms = int(request.query.get("wait-ms", 0))
        if self.is_down:
            return web.Response(status=503)
        if offset > len(self.records.get(topic, [])):
            return web.json_response({"first": 0}, status=410)
        if offset < self.first_offsets.get(topic, 0):
            return web.json_response({"first": self.first_offsets[topic]}, status=410)
        if wait_ms and len(self.records.get(topic, [])) <= offset:
            changed = self._changed
            await asyncio.wait(
                {asyncio.create_task(changed.wait())}, timeout=wait_ms / 1000
            )
        records = self.records.get(topic, [])
        body = struct.pack(">QQ", len(records), self.first_offsets.get(topic, 0))
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        if self.is_down:
            return web.Response(status=503)
        records = self.records.get(request.query["topic"], [])
        newest = {key: (value, at) for at, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (value, at) in sorted(newest.items())
            if value
        ]
        after = request.query.get("after", "")
        self.newest_page(after)
        page = [item for item in items if str(item["key"]) > after]
        return web.json_response(
            {"items": page[:2], "has-more": len(page) > 2, "end": len(records)}
        )

    async def _append(self, request: web.Request) -> web.Response:
        if self.is_down or self.refuses_writes:
            return web.Response(status=503)
        body = await request.read()
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        key = content[1 : 1 + content[0]].decode()
        end = len(self.records.get(request.query["topic"], []))
        if int(request.query.get("at", end)) != end:
            return web.json_response({"end": end}, status=412)
        offset = self.put(request.query["topic"], key, content[1 + content[0] :])
        return web.json_response({"offset": offset, "end": offset + 1})


class ReceivedRequest:
    """A request as a server received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ")
        pairs = [line.partition(": ") for line in lines if line]
        self.header_names = [name.lower() for name, _, _ in pairs]
        self.headers = {name.lower(): value for name, _, value in pairs}
        self.body = body

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


AnswerScript = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[bool]]


class _ClosableReader(asyncio.StreamReader):
    """A stream reader whose end of connection can be awaited."""

    def __init__(self) -> None:
        super().__init__()
        self._ended = asyncio.Event()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._ended.set()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self._ended.set()

    async def wait_closed(self) -> None:
        await self._ended.wait()


class _ReaderProtocol(asyncio.StreamReaderProtocol):
    """Uses a ``_ClosableReader`` for each connection."""

    def __init__(self, serve: Callable[..., Awaitable[None]]) -> None:
        super().__init__(_ClosableReader(), serve)


class ScriptedServer:
    """A server whose script writes raw answers and returns whether to keep alive."""

    def __init__(self, server_id: str = "i-1", host: str = "127.0.0.1") -> None:
        self.id = server_id
        self.host = host
        self.address = ""
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.script: AnswerScript = send_answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ReaderProtocol(self._serve), self.host, port
        )
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def end(self) -> None:
        """End as a crashed process does, with all its connections."""
        await self.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                self.requests.append(request)
                script = asyncio.create_task(self.script(request, writer))
                disconnected = asyncio.create_task(_wait_disconnected(reader))
                await asyncio.wait(
                    {script, disconnected}, return_when=asyncio.FIRST_COMPLETED
                )
                disconnected.cancel()
                if not script.done():
                    script.cancel()
                    break
                if not script.result():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            self._writers.discard(writer)
            writer.close()


async def _wait_disconnected(reader: _ClosableReader) -> None:
    """Wait until the peer closes, without reading its next request."""
    try:
        await reader.wait_closed()
    except ConnectionError:
        return


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    request = ReceivedRequest(head[:-4], b"")
    length = int(request.headers.get("content-length", 0))
    request.body = await reader.readexactly(length)
    return request


def answer_head(
    request: ReceivedRequest, status: str = "200 OK", **headers: str | None
) -> bytes:
    """Return the head of an answer with its proof; None leaves a header out."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.id}"]
    for name, value in ({"Response_Signature": "sig"} | headers).items():
        if value is not None:
            lines.append(f"{name.replace('_', '-')}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send_answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    body = f"answer to {request.id}".encode()
    writer.write(answer_head(request, Content_Length=str(len(body))) + body)
    return True
