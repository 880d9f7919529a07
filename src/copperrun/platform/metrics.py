"""Metrics of a role, recorded from the first time that they are asked for."""

from __future__ import annotations

from importlib import import_module
from typing import Any


class MetricsOnDemand:
    """Passes records on to the metrics adapter once an operator reads them.

    Its libraries take memory that a role whose metrics nobody reads can do without.
    What was recorded before the first read is not counted.
    """

    def __init__(self) -> None:
        self._adapter: Any = None

    def render(self) -> tuple[bytes, str]:
        """Return all metrics as text, and its content type."""
        library = import_module("copperrun.adapters.metrics")
        if self._adapter is None:
            self._adapter = library.PrometheusMetrics()
        return self._adapter.render(), library.CONTENT_TYPE

    def __getattr__(self, name: str) -> Any:
        """Return a method of the port; without a reader it does nothing."""
        if not name.startswith("record_"):
            raise AttributeError(name)
        return _ignore if self._adapter is None else getattr(self._adapter, name)


def _ignore(*values: object, **options: object) -> None:
    """Record nothing."""
