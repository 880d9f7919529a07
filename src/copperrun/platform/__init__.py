"""Adapts the users' platform to copperrun; makes no decisions of its own."""

from __future__ import annotations
