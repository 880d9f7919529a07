"""A model runner with streams as long as those of the sheet, which may crash."""

from __future__ import annotations

from aiohttp import web
from deployment import TIMERS
from platform_engine import PlatformEngine

EVENTS = 86  # of a stream
EVENT_INTERVAL_MS = 25
COMMENT_INTERVAL_MS = 100  # after which a comment follows the next event, if wanted
COMMENT = b": keep-alive\n\n"


class StreamRunner(PlatformEngine):
    """A model runner that streams, and may crash.

    Args:
        server_id: Its id.
        sends_comments: Whether it keeps its streams alive with comments.

    Attributes:
        firsts: Each request that it ran, with the first event that it sent.
    """

    def __init__(self, server_id: str, *, sends_comments: bool = False) -> None:
        super().__init__(server_id, max_models=5)
        self.held = {"m0": set()}
        self.software_version = "v1"
        self.firsts: list[tuple[str, int]] = []
        self._sends_comments = sends_comments
        self._streams: list[web.Request] = []

    @property
    def stream_count(self) -> int:
        """Number of its streams that are in progress."""
        return len(self._streams)

    async def crash(self) -> int:
        """End as a killed process does; return how many streams that breaks off."""
        broken = list(self._streams)
        for request in broken:
            if request.transport is not None:
                request.transport.abort()
        await self.close()
        return len(broken)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers["Request-Id"]
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return self._reject(request_id)
        if request.headers.get("Model") not in self.held:
            return self._reject(request_id)
        await request.read()
        self.runs[request_id] += 1
        headers = {"Request-Id": request_id, "Response-Signature": f"sig.{request_id}"}
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        self._streams.append(request)
        try:
            await self._send_events(request, response)
        finally:
            self._streams.remove(request)
        await response.write_eof()
        return response

    async def _send_events(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        request_id = request.headers["Request-Id"]
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        self.firsts.append((request_id, first))
        comment_ms = TIMERS.now_ms()
        for number in range(first, EVENTS + 1):
            await TIMERS.sleep_ms(EVENT_INTERVAL_MS)
            data = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            is_due = TIMERS.now_ms() - comment_ms >= COMMENT_INTERVAL_MS
            if self._sends_comments and is_due:
                comment_ms = TIMERS.now_ms()
                data += COMMENT
            await response.write(data)
