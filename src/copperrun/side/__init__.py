"""Side role: the only way to one backend server."""

from __future__ import annotations
