"""Instances, backend servers, their claims and process lifecycles."""

from __future__ import annotations
