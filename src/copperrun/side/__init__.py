"""Side role: the process through which entries reach one backend server."""

from __future__ import annotations
