"""Translates between the users' platform and copperrun; it decides nothing."""

from __future__ import annotations
