"""Instances, incarnations and lifecycles."""

from __future__ import annotations
