"""``python -m copperrun.platform ROLE``: runs a role on the platform."""

from __future__ import annotations

import sys
from importlib import import_module

# Roles speak plain HTTP. asyncio, aiohttp and hashlib do without TLS and its library
# where they cannot be imported.
TLS_MODULES = ("ssl", "_hashlib")


def main() -> None:
    """Run a role without the TLS library, which takes memory and time at the start."""
    blocked: dict[str, None] = dict.fromkeys(TLS_MODULES)
    sys.modules.update(blocked)  # type: ignore[arg-type]
    import_module("copperrun.platform.program").main(sys.argv)


if __name__ == "__main__":
    main()
