"""Configuration: schema, changes, and the state that results from the log."""

from __future__ import annotations
