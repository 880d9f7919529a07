"""Header names of the platform's requests and answers."""

from __future__ import annotations

from collections.abc import Iterable

from copperrun.ports.backends import HeaderList

REQUEST_ID = "Request-Id"
TIMEOUT = "Deadline-Ms"  # how long the client waits, not a point in time
MODEL = "Model"  # with an adapter after a slash
TOKEN_USAGE = "Token-Usage"  # prompt tokens and the most output tokens, by a comma
LAST_EVENT_ID = "Last-Event-Id"
EXPECTED_SERVER = "Expect-Instance"
SERVER_ID = "Instance-Id"  # in a runner's refusal: who it is
PRIORITY = "Request-Priority"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"

# Set by copperrun alone; a client's own are dropped.
RESERVED_HEADERS = frozenset(
    {
        "expect-instance",
        "expect-version",
        "hold",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "request-priority",
    }
)
# Concern one connection, or are written anew for the next one.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "http2-settings",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return the headers that are passed on, with their spelling and order."""
    pairs = [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
    ]
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [(name, value) for name, value in pairs if name.lower() not in dropped]
