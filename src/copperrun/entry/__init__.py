"""Entry role: receives callers' requests and forwards them to backend servers."""

from __future__ import annotations
