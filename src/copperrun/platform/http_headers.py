"""HTTP headers of the platform's requests and answers."""

from __future__ import annotations

from collections.abc import Iterable

from copperrun.ports.backends import HeaderLines
from copperrun.ports.backends import HeaderList

REQUEST_ID = "Request-Id"
TIMEOUT = "Deadline-Ms"  # a duration, not a point in time
MODEL = "Model"  # MODEL or MODEL/ADAPTER
TOKEN_USAGE = "Token-Usage"  # PROMPT,MAX_OUTPUT
PROMPT_PARTS = "Prompt-Prefix"  # ID:TOKENS for each part, separated by commas
OUTPUT_HINT = "Length-Hint"  # the caller's estimate of the output tokens
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"  # Token KEY
ACCOUNT = "Tenant"  # name of the client account, for servers
RESUMES = "Resumes"  # id of the attempt that brought a stream's first event
EXPECTED_SERVER = "Expect-Instance"
SERVER_ID = "Instance-Id"  # in refusals and health checks: the server that answers
PRIORITY = "Request-Priority"
NOT_RUN = "Not-Executed"
SIGNATURE = "Response-Signature"  # proof of the run, in the answers of servers
KEEP_ALIVE = "Keep-Alive"  # timeout=SECONDS, of an idle connection
RETRY_AFTER = "Retry-After"
SERVER_LEAVING = "Server-Leaving"  # "1" in all answers of a server that leaves
STORE_ERA = "Store-Era"  # rises by one each time the store falls back to a copy

# Read by an entry, beside those that frame a request.
READ_HEADERS = frozenset(
    {
        "Host",
        "Expect",
        REQUEST_ID,
        TIMEOUT,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PARTS,
        OUTPUT_HINT,
        LAST_EVENT_ID,
        AUTHORIZATION,
        RESUMES,
    }
)
# Set by copperrun only; dropped from callers' requests.
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
# Apply to one connection, or are set anew for the next one.
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

_IDENTITY_HEADERS = frozenset({"authorization", "tenant"})
# A shorter text may stand in a header by chance.
MIN_HIDDEN_CHARACTERS = 8


def without_identity(headers: HeaderLines) -> HeaderList:
    """Return the headers without a caller's key and account, whatever names them."""
    keys = [
        value.strip().rpartition(" ")[2]
        for name, value in headers
        if name.lower() == "authorization"
    ]
    hidden = [key for key in keys if len(key) >= MIN_HIDDEN_CHARACTERS]
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _IDENTITY_HEADERS
        and not any(key in value for key in hidden)
    ]


def _text(raw: bytes) -> str:
    """Decode a name or a value; the HTTP library encodes it as UTF-8 again."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return raw.decode("latin-1")


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return the headers to pass on, in their order and spelling."""
    pairs = [(_text(name), _text(value)) for name, value in headers]
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def to_forward(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return a caller's headers that a server gets."""
    return [
        (name, value)
        for name, value in end_to_end(headers)
        if name.lower() not in RESERVED_HEADERS
    ]
