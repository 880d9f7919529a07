"""At-most-once execution of unrepeatable calls by idempotency keys."""

from __future__ import annotations
