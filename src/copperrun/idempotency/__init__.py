"""At-most-once execution of unrepeatable calls."""

from __future__ import annotations
