"""Routing of requests to sides and backend servers, with retries."""

from __future__ import annotations
