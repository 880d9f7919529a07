"""Attainment of latency targets by streamed answers."""

from __future__ import annotations

from copperrun.configuration.schema import ServiceClass

MIN_TIMELY_GAP_SHARE = 0.95  # share of gaps between chunks that must meet the target


class StreamLatencies:
    """Chunk latencies of one stream."""

    def __init__(self, service_class: ServiceClass) -> None:
        self.first_chunk_ms = 0
        self._class = service_class
        self._last_chunk_ms: int | None = None
        self._gap_count = 0
        self._late_gap_count = 0

    def record_chunk(self, elapsed_ms: int) -> int | None:
        """Record a chunk; return the gap to the previous one, None for the first."""
        last_ms = self._last_chunk_ms
        self._last_chunk_ms = elapsed_ms
        if last_ms is None:
            self.first_chunk_ms = elapsed_ms
            return None
        gap_ms = elapsed_ms - last_ms
        self._gap_count += 1
        self._late_gap_count += gap_ms > self._class.between_tokens
        return gap_ms

    def met_targets(self) -> bool:
        """Return whether the stream met its class's targets."""
        if self.first_chunk_ms > self._class.first_token:
            return False
        return self._late_gap_count <= (1 - MIN_TIMELY_GAP_SHARE) * self._gap_count
