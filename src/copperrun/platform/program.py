"""Runs the role that the command line names."""

from __future__ import annotations

import asyncio
import sys
from typing import NoReturn

from copperrun.adapters.logs import configure_logs
from copperrun.adapters.timers import SystemTimers
from copperrun.garbage import tune_collector
from copperrun.platform.daemon import EntryRole
from copperrun.platform.daemon import SideRole
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import SettingsFile
from copperrun.platform.settings import load_settings
from copperrun.platform.settings import settings_path

EXIT_FAILED = 1
EXIT_USAGE = 2
LEARN_COSTS = "--learn-costs"
COMMANDS = (("entry",), ("entry", LEARN_COSTS), ("side",))
ROLES: dict[str, type[EntryRole | SideRole]] = {"entry": EntryRole, "side": SideRole}


def main(argv: list[str]) -> None:
    """Run the role named on the command line."""
    if tuple(argv[1:]) not in COMMANDS:
        _fail(f"usage: python -m copperrun.platform entry [{LEARN_COSTS}] | side")
    path = settings_path()
    if isinstance(path, SettingsError):
        _fail(f"copperrun: {path.detail}")
    cfg = load_settings(path)
    if isinstance(cfg, SettingsError):
        _fail(f"copperrun: {cfg.detail}")
    instance = cfg.place.instance
    writer = configure_logs("info", instance, sys.stdout.fileno(), SystemTimers())
    tune_collector()
    try:
        role = ROLES[argv[1]](SettingsFile(path, cfg), learns_costs=LEARN_COSTS in argv)
        asyncio.run(role.run())
    except OSError as exc:
        # The usual cause is a port in use; a traceback would not help.
        _fail(f"copperrun: {exc.strerror or exc}", EXIT_FAILED)
    finally:
        writer.flush()


def _fail(detail: str, code: int = EXIT_USAGE) -> NoReturn:
    print(detail, file=sys.stderr)
    sys.exit(code)
