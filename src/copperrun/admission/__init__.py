"""Limits and queues."""

from __future__ import annotations
