"""Decode work that the requests of one engine still have to do; no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from copperrun.admission.memory import EngineRun
from copperrun.ports.admission import AdmissionRequest

INITIAL_STEP_MS = 12.0  # one decode step of a half-full batch
MIN_STEP_MS = 1.0
MAX_STEP_MS = 1_000.0
STEP_TIME_CONSTANT_MS = 1_000  # in which an older step time counts for little
# Within it, whole events alone make a step time too coarse.
MIN_SPAN_MS = 150


@dataclass
class _Request:
    """A granted request.

    Attributes:
        expected: Tokens that it is expected to generate.
        limit: Most tokens that it may generate.
    """

    expected: int
    limit: int


def expected_rest(expected: int, limit: int, generated: int) -> float:
    """Return the tokens that a request is expected to generate still.

    One that outlived its estimate is expected to go on for half as long again.
    """
    rest = expected - generated
    if rest <= generated / 2:
        rest = max(rest, generated // 2, 1)
    return min(rest, max(limit - generated, 0)) if limit else rest


class EngineWork:
    """Counts the decode work at one engine and the time of its steps.

    Attributes:
        tokens_per_event: Tokens in one event of a stream.
        step_ms: Time of one decode step as it is now.
    """

    def __init__(self) -> None:
        self.tokens_per_event = 1
        self.step_ms = INITIAL_STEP_MS
        self._requests: dict[str, _Request] = {}
        self._generated: dict[str, int] = {}
        self._span_events: dict[str, int] = {}
        self._span_ms = 0

    def begin(self, req: AdmissionRequest) -> None:
        """Count a granted request."""
        if req.expected_output:
            self._requests[req.request] = _Request(
                req.expected_output, req.output_tokens
            )

    def end(self, request: str) -> None:
        """Stop counting a request."""
        self._requests.pop(request, None)

    def apply_report(self, runs: Sequence[EngineRun], now_ms: int) -> None:
        """Update what has been generated, and the time of a step."""
        events = {run.request: run.events for run in runs}
        self._generated = {
            request: count * self.tokens_per_event for request, count in events.items()
        }
        elapsed_ms = now_ms - self._span_ms
        if elapsed_ms < MIN_SPAN_MS:
            return
        # Each run that was listed at both ends made one token a step.
        made = [
            count - self._span_events[request]
            for request, count in events.items()
            if self._span_events.get(request, 0) and count > self._span_events[request]
        ]
        self._span_events, self._span_ms = events, now_ms
        if not made:
            return
        steps = sum(made) / len(made) * self.tokens_per_event
        step_ms = min(max(elapsed_ms / steps, MIN_STEP_MS), MAX_STEP_MS)
        weight = min(elapsed_ms / STEP_TIME_CONSTANT_MS, 1.0)
        self.step_ms += weight * (step_ms - self.step_ms)

    def left_ms(self) -> float:
        """Return the decode time that the requests need, one after the other."""
        tokens = sum(
            expected_rest(item.expected, item.limit, self._generated.get(request, 0))
            for request, item in self._requests.items()
        )
        return tokens * self.step_ms
