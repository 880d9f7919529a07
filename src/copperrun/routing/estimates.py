"""What a request is expected to cost, where that counts, and what it cost."""

from __future__ import annotations

from dataclasses import replace

from copperrun.ports.admission import AdmissionRequest
from copperrun.ports.admission import PromptPart
from copperrun.ports.costs import Costs
from copperrun.routing.requests import Progress
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.servers import Server


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


def with_needs(
    req: AdmissionRequest, request: RoutedRequest, *, counts_memory: bool
) -> AdmissionRequest:
    """Return the request for admission with its output, and with its memory if told."""
    call = request.call
    if counts_memory:
        req = req._replace(
            output_tokens=call.output_tokens,
            parts=tuple(map(PromptPart, call.prompt_parts, call.part_tokens)),
            body_bytes=len(call.body or b""),
        )
    if request.output is not None:
        req = req._replace(
            output_tokens=call.output_tokens,
            expected_output=request.output.expected,
            likely_output=request.output.likely,
        )
    return req


def lacks_memory(server: Server, request: RoutedRequest) -> bool:
    """Return whether a request does not fit into an engine's memory, as last told."""
    free_tokens = server.work.free_tokens
    if free_tokens is None or not server.has_fresh_report:
        return False
    return request.call.memory_tokens > free_tokens


def left_ms(server: Server, request: RoutedRequest) -> float | None:
    """Return the decode work left at an engine; None unless it is known."""
    if request.output is None or not server.has_fresh_report:
        return None
    return server.work.left_ms


def call_work_ms(server: Server, request: RoutedRequest) -> float | None:
    """Return the time that the plain calls at a server and this one need."""
    if not request.call_ms:
        return None
    return (server.work.own_ms + request.call_ms) * server.work.slowness
