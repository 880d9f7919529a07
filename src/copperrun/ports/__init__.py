"""What the system needs from outside, as protocols."""

from __future__ import annotations
