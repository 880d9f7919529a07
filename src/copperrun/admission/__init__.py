"""Rate limits and admission queues."""

from __future__ import annotations
