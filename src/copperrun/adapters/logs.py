"""Non-blocking JSON-lines logging with a bounded volume."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Any

import xxhash
from loguru import logger

from copperrun.ports.timers import Timers

if TYPE_CHECKING:
    from loguru import Message

FLUSH_DELAY_S = 0.02  # lines logged within this time are flushed together
MAX_PENDING_BYTES = 256 * 1024  # buffered while the reader is slow
LINES_PER_S = 400.0  # limit below warning level; a request logs about two lines
BURST_LINES = 2_000.0
MAX_LINE_BYTES = 4_096  # written to a pipe in one piece
# Of a value, and of the end of a traceback, which names the error; the later ones are
# for lines that would be too long otherwise.
VALUE_LIMITS = ((256, 2_000), (48, 1_000), (48, 250))


_KEPT_FIELDS = ("time", "level", "instance", "message", "request")


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record."""
        logger.opt(exception=record.exc_info).log(
            record.levelname, "library record", library=record.name, detail=record.msg
        )


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Attributes:
        dropped_unreported: Lines dropped since the last line that reported drops.
        dropped_total: Lines dropped since the start.
    """

    def __init__(self, fd: int, timers: Timers) -> None:
        self.dropped_unreported = 0
        self.dropped_total = 0
        self._fd = fd
        self._timers = timers
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._available_lines = BURST_LINES
        self._refilled_at_ms = timers.now_ms()
        self._flush_handle: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, line: str, *, is_urgent: bool) -> None:
        """Buffer a line; drop and count it when a limit is exceeded."""
        if not self._try_reserve(is_urgent):
            self.dropped_unreported += 1
            self.dropped_total += 1
            return
        data = line.encode()
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._flush_handle = None
        while self._pending:
            data = self._pending.popleft()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                self._pending.appendleft(data)
                self._schedule_flush()
                return
            except OSError:
                # The reader is gone, so this failure cannot be logged either.
                written = len(data)
            self._pending_bytes -= written
            if written < len(data):
                self._pending.appendleft(data[written:])

    def _try_reserve(self, is_urgent: bool) -> bool:
        if self._pending_bytes > MAX_PENDING_BYTES:
            return False
        if is_urgent:
            return True
        now = self._timers.now_ms()
        refill = (now - self._refilled_at_ms) / 1000 * LINES_PER_S
        self._available_lines = min(self._available_lines + refill, BURST_LINES)
        self._refilled_at_ms = now
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True

    def _schedule_flush(self) -> None:
        if self._flush_handle is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The event loop has not started yet or has ended.
            if self._pending:
                self._flush_without_loop()
            return
        self._flush_handle = loop.call_later(FLUSH_DELAY_S, self.flush)

    def _flush_without_loop(self) -> None:
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        try:
            os.write(self._fd, data)
        except OSError:
            self.dropped_total += 1


def _encode(line: Mapping[str, Any]) -> str:
    """Return a line of a bounded size; callers choose much of what stands in it."""
    text = ""
    exception = line.get("exception", "")
    for limit, exception_limit in VALUE_LIMITS:
        bounded = {name: _shorten(value, limit) for name, value in line.items()}
        if exception:
            bounded["exception"] = exception[-exception_limit:]
        text = json.dumps(bounded, default=str) + "\n"
        if len(text) <= MAX_LINE_BYTES:
            return text
    kept = {name: bounded[name] for name in _KEPT_FIELDS if name in bounded}
    return json.dumps({**kept, "cut_bytes": len(text)}, default=str) + "\n"


def logged_forms(text: str) -> tuple[str, ...]:
    """Return what may stand for a text in a line."""
    return (text, *(_shorten(text, limit) for limit, _ in VALUE_LIMITS))


def _shorten(value: Any, limit: int) -> Any:
    """Return a value, or the begin of its text with its size and a digest.

    The same text gets the same digest, so that lines about one request are found.
    """
    if value is None or isinstance(value, int | float):
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) <= limit:
        return value
    digest = xxhash.xxh64_hexdigest(text.encode("utf-8", "surrogateescape"))
    return f"{text[:limit]}... ({len(text)} characters, {digest})"


def configure_logs(level: str, instance: str, fd: int, timers: Timers) -> LineWriter:
    """Write records of at least ``level`` as JSON lines to a file descriptor."""
    writer = LineWriter(fd, timers)
    warning_level_no = logger.level("WARNING").no

    def write(message: Message) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name.lower(),
            "instance": instance,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message).split("\n", 1)[-1]
        if writer.dropped_unreported:
            line["dropped_before"] = writer.dropped_unreported
            writer.dropped_unreported = 0
        writer.write(_encode(line), is_urgent=record["level"].no >= warning_level_no)

    logger.remove()
    logger.add(
        write,
        level=level.upper(),
        format="{message}",
        backtrace=False,
        # Tracebacks must not show local variables: they may hold keys and prompts.
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    return writer
