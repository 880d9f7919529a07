"""Protocols of the services and processes that copperrun calls."""

from __future__ import annotations
