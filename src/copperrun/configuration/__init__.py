"""Configuration: schema, changes, and the fold over the log."""

from __future__ import annotations
