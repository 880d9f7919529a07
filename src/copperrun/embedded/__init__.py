"""Stand-ins for the platform and back ends."""

from __future__ import annotations
