"""Homes of models, the memory ledger and orders."""

from __future__ import annotations
