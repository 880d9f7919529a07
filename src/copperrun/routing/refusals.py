"""Refusals and failures of a forwarding entry."""

from __future__ import annotations

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.runners import AnswerHead
from copperrun.routing.work import Work

NO_SERVER_RETRY_AFTER_MS = 1_000  # period of the registry's readers
FULL_RETRY_AFTER_MS = 500
LEAVING_RETRY_AFTER_MS = 100  # other entries take the next connection


def refused(head: AnswerHead) -> Refusal:
    """Return the refusal that a server gave."""
    return Refusal(
        RefusalReason.QUEUE_FULL,
        Ran.NO,
        "the server did not take the request",
        head.retry_after_ms or FULL_RETRY_AFTER_MS,
    )


def no_server() -> Refusal:
    """Return the refusal when no server is left to try."""
    return Refusal(
        RefusalReason.NO_SERVER,
        Ran.NO,
        "no backend server can take the request now",
        NO_SERVER_RETRY_AFTER_MS,
    )


def not_loaded(work: Work, retry_after_ms: int) -> Refusal:
    """Return the refusal for a model or adapter that is not loaded."""
    name = "/".join(filter(None, (work.call.model, work.call.adapter)))
    return Refusal(
        RefusalReason.NOT_RESIDENT, Ran.NO, f"{name} is not loaded", retry_after_ms
    )


def overloaded(retry_after_ms: int) -> Refusal:
    """Return the refusal when the turn would come too late."""
    return Refusal(
        RefusalReason.QUEUE_FULL,
        Ran.NO,
        "the wait would be longer than the request can wait",
        retry_after_ms,
    )


def unknown_model(work: Work) -> Refusal:
    """Return the refusal for a model that no pool has."""
    return Refusal(
        RefusalReason.UNKNOWN_DEPLOYMENT, Ran.NO, f"no model {work.call.model!r}"
    )


def leaving() -> Refusal:
    """Return the refusal of an entry that is leaving."""
    return Refusal(
        RefusalReason.LEAVING, Ran.NO, "this entry is leaving", LEAVING_RETRY_AFTER_MS
    )


def expired(work: Work) -> Refusal:
    """Return the refusal when the time is over."""
    return Refusal(
        RefusalReason.DEADLINE_EXPIRED,
        Ran.NO,
        f"no answer within {work.deadline_ms - work.started_ms} ms",
        FULL_RETRY_AFTER_MS,
    )


def server_failed(detail: str) -> Refusal:
    """Return the failure of a server that gave no answer."""
    return Refusal(
        RefusalReason.SERVER_FAILED, Ran.NO, detail, NO_SERVER_RETRY_AFTER_MS
    )
