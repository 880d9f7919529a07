"""Command of the platform's roles: ``python -m copperrun.platform entry|side``."""

from __future__ import annotations

import sys
from importlib import import_module

# Roles speak plain HTTP. asyncio, aiohttp and hashlib do without these where they
# cannot be imported, which saves memory and time at the start.
TLS_MODULES = ("ssl", "_hashlib")


def main() -> None:
    """Run a role whose libraries have been imported without TLS."""
    blocked = [name for name in TLS_MODULES if name not in sys.modules]
    for name in blocked:
        sys.modules[name] = None  # type: ignore[assignment]
    program = import_module("copperrun.platform.program")
    # Metrics libraries, which are imported when somebody reads them, need TLS.
    for name in blocked:
        del sys.modules[name]
    program.main(sys.argv)


if __name__ == "__main__":
    main()
