"""Placement of models and adapters on engines, and orders to the engines."""

from __future__ import annotations
