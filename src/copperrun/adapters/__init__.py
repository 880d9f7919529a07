"""Adapters that implement the ports with libraries."""

from __future__ import annotations
