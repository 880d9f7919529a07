"""Entry role: callers' HTTP, admission, routing and whole answers."""

from __future__ import annotations
