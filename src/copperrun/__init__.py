"""Serves many models on fewer accelerators."""

from __future__ import annotations

from copperrun.configuration.schema import Configuration
from copperrun.model import Answer
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

__all__ = ["Answer", "Configuration", "Ran", "Refusal", "RefusalReason"]
