"""Estimates of a request's cost before it is sent, and their correction afterwards."""

from __future__ import annotations

from dataclasses import replace

from copperrun.ports.costs import Costs
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest


def with_estimate(request: RoutedRequest, costs: Costs) -> RoutedRequest:
    """Return the request with what it is expected to cost."""
    call = request.call
    if request.pool.engine is None or not call.model:
        return replace(request, call_ms=costs.estimate_call_ms(request.cost_kind))
    output = costs.estimate_output(
        request.cost_kind, hint=call.output_hint, limit=call.output_tokens
    )
    return replace(request, output=output)


def record_cost(
    request: RoutedRequest, progress: Progress, costs: Costs, now_ms: int
) -> None:
    """Learn from a whole answer, whose last attempt is the latest one."""
    call, engine = request.call, request.pool.engine
    if engine is None or not call.model:
        elapsed_ms = now_ms - progress.sent_ms
        if progress.server is not None and request.call_ms:
            progress.server.work.record_call(elapsed_ms, request.call_ms)
        costs.record_call(request.cost_kind, elapsed_ms)
    elif request.route.streaming and not call.continues_stream:
        costs.record_output(
            request.cost_kind,
            hint=call.output_hint,
            generated=progress.events * engine.tokens_per_event,
        )
