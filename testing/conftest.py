"""Settings shared by all tests."""

from __future__ import annotations

from hypothesis import settings

# The same examples on every run, so that a run's verdict can be repeated.
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")
