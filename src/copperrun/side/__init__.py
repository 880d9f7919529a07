"""Side role: the only path from entries to one backend server."""

from __future__ import annotations
