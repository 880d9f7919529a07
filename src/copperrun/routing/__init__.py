"""Choice of a side for each attempt, and retries."""

from __future__ import annotations
