"""Refusals and errors that a proxy entry returns."""

from __future__ import annotations

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.backends import AnswerHead
from copperrun.routing.requests import RoutedRequest

NO_SERVER_RETRY_AFTER_MS = 1_000  # interval at which entries read the registry
QUEUE_FULL_RETRY_AFTER_MS = 500
LEAVING_RETRY_AFTER_MS = 100  # a new connection reaches another entry


def refused_by_server(head: AnswerHead) -> Refusal:
    """Return the refusal for a request that a server did not run."""
    return Refusal(
        RefusalReason.QUEUE_FULL,
        Ran.NO,
        "the backend server refused the request",
        head.retry_after_ms or QUEUE_FULL_RETRY_AFTER_MS,
    )


def no_server() -> Refusal:
    """Return the refusal when no usable server is left."""
    return Refusal(
        RefusalReason.NO_SERVER,
        Ran.NO,
        "no backend server can take the request now",
        NO_SERVER_RETRY_AFTER_MS,
    )


def paused(retry_after_ms: int) -> Refusal:
    """Return the refusal while every server asks to be sent nothing for a time."""
    return Refusal(
        RefusalReason.QUEUE_FULL,
        Ran.NO,
        "all backend servers ask for a pause",
        retry_after_ms,
    )


def larger_than_engine(request: RoutedRequest, capacity: int) -> Refusal:
    """Return the refusal for a request that no engine of the pool can hold."""
    return Refusal(
        RefusalReason.BODY_TOO_LARGE,
        Ran.NO,
        f"the prompt and its output may take {request.call.memory_tokens} tokens, an"
        f" engine holds {capacity}; shorten the prompt or lower the maximum output",
    )


def not_loaded(request: RoutedRequest, retry_after_ms: int) -> Refusal:
    """Return the refusal for a model or adapter that is not loaded."""
    name = "/".join(filter(None, (request.call.model, request.call.adapter)))
    return Refusal(
        RefusalReason.NOT_RESIDENT, Ran.NO, f"{name} is not loaded", retry_after_ms
    )


def overloaded(retry_after_ms: int) -> Refusal:
    """Return the refusal when the queueing time would exceed the deadline."""
    return Refusal(
        RefusalReason.QUEUE_FULL,
        Ran.NO,
        "the expected wait exceeds the request's remaining time",
        retry_after_ms,
    )


def unknown_model(request: RoutedRequest) -> Refusal:
    """Return the refusal for a model that the pool does not list."""
    return Refusal(
        RefusalReason.UNKNOWN_DEPLOYMENT, Ran.NO, f"no model {request.call.model!r}"
    )


def quarantined(retry_after_ms: int) -> Refusal:
    """Return the refusal for a request that, or a part of which, crashes servers."""
    return Refusal(
        RefusalReason.QUARANTINED,
        Ran.NO,
        "the request or a part of its prompt may crash the backend servers; change it",
        retry_after_ms,
    )


def origin_unknown(retry_after_ms: int) -> Refusal:
    """Return the refusal to continue a stream whose beginning no process knows."""
    return Refusal(
        RefusalReason.STREAM_UNKNOWN,
        Ran.NO,
        "what began this stream is not known; name its first attempt, or start anew",
        retry_after_ms,
    )


def moved(pool: str) -> Refusal:
    """Return the refusal to continue a stream of a pool that the route left."""
    return Refusal(
        RefusalReason.STREAM_UNKNOWN,
        Ran.NO,
        f"the route no longer leads to {pool}, which began this stream; start anew",
    )


def leaving() -> Refusal:
    """Return the refusal while this entry shuts down."""
    return Refusal(
        RefusalReason.LEAVING, Ran.NO, "this entry is leaving", LEAVING_RETRY_AFTER_MS
    )


def stopped() -> Refusal:
    """Return the refusal at the end of the time that this entry has to shut down."""
    return Refusal(
        RefusalReason.LEAVING,
        Ran.NO,
        "this entry stopped before the backend server had answered",
        LEAVING_RETRY_AFTER_MS,
    )


def deadline_expired(request: RoutedRequest) -> Refusal:
    """Return the refusal after the request's deadline."""
    return Refusal(
        RefusalReason.DEADLINE_EXPIRED,
        Ran.NO,
        f"no answer within {request.deadline_ms - request.started_ms} ms",
        QUEUE_FULL_RETRY_AFTER_MS,
    )


def server_failed() -> Refusal:
    """Return the error when no server gave a complete answer; the log has the cause."""
    return Refusal(
        RefusalReason.SERVER_FAILED,
        Ran.NO,
        "the backend servers failed to give a complete answer",
        NO_SERVER_RETRY_AFTER_MS,
    )
