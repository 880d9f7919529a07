"""Logs as JSON lines on standard error."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


class _LibraryRecords(logging.Handler):
    """Passes the libraries' own records on as JSON lines too."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record of the standard library's logging."""
        logger.opt(exception=record.exc_info).log(
            record.levelname, "library record", library=record.name, detail=record.msg
        )


def configure_logs(level: str, instance: str) -> None:
    """Write records of at least ``level`` as JSON lines."""

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
        sys.stderr.write(json.dumps(line, default=str) + "\n")

    logger.remove()
    logger.add(
        write,
        level=level.upper(),
        format="{message}",
        backtrace=False,
        # Local variables may hold keys and prompts.
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LibraryRecords()], level=logging.WARNING, force=True)
