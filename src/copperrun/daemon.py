"""``copperrund``: runs one role until it is asked to shut down."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from absl import app
from absl import flags

from copperrun.adapters.logs import configure_logs
from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.document import DocumentError
from copperrun.embedded.daemon import EmbeddedDaemon
from copperrun.entry.daemon import EntryDaemon
from copperrun.garbage import tune_collector
from copperrun.settings import DaemonSettings
from copperrun.settings import EmbeddedSettings
from copperrun.settings import EntrySettings
from copperrun.settings import SideSettings
from copperrun.settings import load_daemon_settings
from copperrun.side.daemon import SideDaemon

EXIT_FAILED = 1
EXIT_USAGE = 2

_SETTINGS = flags.DEFINE_string("settings", None, "YAML file with the settings.")

Daemon = EntryDaemon | SideDaemon | EmbeddedDaemon


def main() -> None:
    """Run the daemon named on the command line."""
    app.run(_main)


def _main(argv: list[str]) -> None:
    if _SETTINGS.value is None or len(argv) > 1:
        print("copperrund: give --settings=FILE and no other argument", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = load_daemon_settings(Path(_SETTINGS.value))
    if isinstance(settings, DocumentError):
        print(f"copperrund: {settings}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    writer = configure_logs(
        settings.log_level,
        _instance_name(settings),
        sys.stdout.fileno(),
        SystemTimers(),
    )
    try:
        asyncio.run(_run(settings))
    except OSError as exc:
        # The usual cause is a port in use; a traceback would not help.
        print(f"copperrund: {exc.strerror or exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    finally:
        writer.flush()


async def _run(settings: DaemonSettings) -> None:
    daemon = _build_daemon(settings)
    tune_collector()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, daemon.leave)
    await daemon.run()


def _build_daemon(settings: DaemonSettings) -> Daemon:
    timers = SystemTimers()
    metrics = PrometheusMetrics()
    match settings:
        case EntrySettings():
            return EntryDaemon(settings, timers, metrics)
        case SideSettings():
            return SideDaemon(settings, timers, metrics)
        case EmbeddedSettings():
            return EmbeddedDaemon(settings, timers, metrics)


def _instance_name(settings: DaemonSettings) -> str:
    match settings:
        case EmbeddedSettings():
            return "embedded"
        case _:
            return settings.instance
