"""Whether a streamed answer met its class's targets."""

from __future__ import annotations

from copperrun.configuration.schema import ServiceClass

MIN_TIMELY_GAP_SHARE = 0.95  # of the gaps between tokens that must meet the target


class StreamLatencies:
    """Times of one stream's chunks."""

    def __init__(self, service_class: ServiceClass) -> None:
        self.first_chunk_ms = 0
        self._class = service_class
        self._last_chunk_ms: int | None = None
        self._gap_count = 0
        self._late_gap_count = 0

    def record_chunk(self, elapsed_ms: int) -> int | None:
        """Note a chunk; return the gap to the one before, None for the first."""
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
        """Return whether the targets were met."""
        if self.first_chunk_ms > self._class.first_token:
            return False
        return self._late_gap_count <= (1 - MIN_TIMELY_GAP_SHARE) * self._gap_count
