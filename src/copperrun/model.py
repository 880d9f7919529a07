"""Domain types shared by every layer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Ran(Enum):
    """Whether a request that got no answer was executed."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request got no answer; the value is the code that callers see."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    INVALID_KEY = "invalid_key"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_DEPLOYMENT = "unknown_deployment"
    UNKNOWN_ADAPTER = "unknown_adapter"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RATE_LIMITED = "rate_limited"
    DEADLINE_EXPIRED = "deadline_expired"
    QUEUE_FULL = "queue_full"
    NOT_RESIDENT = "not_resident"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong_incarnation"
    CANCELLED = "cancelled"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_SERVER = "no_server"
    CLASS_NOT_ADMITTED = "class_not_admitted"
    SERVER_FAILED = "server_failed"
    STREAM_CUT = "stream_cut"
    QUARANTINED = "quarantined"
    STREAM_UNKNOWN = "stream_unknown"
    MEMORY_FULL = "memory_full"


class Refusal(NamedTuple):
    """A request that got no answer; returned, not raised.

    Attributes:
        reason: The cause, for callers, metrics and ``match``.
        ran: ``NO`` only when the request was not run and will not be.
        detail: One line that names the input and the remedy.
        retry_after_ms: Delay before a retry, in milliseconds; 0 when an unchanged
            retry cannot succeed.
        redirect: Instance to try instead, or an empty string.
    """

    reason: RefusalReason
    ran: Ran
    detail: str
    retry_after_ms: int = 0
    redirect: str = ""


class AttemptId(NamedTuple):
    """Identity of one attempt of one request at one incarnation of a side."""

    request: str
    attempt: int
    incarnation: int

    def __str__(self) -> str:
        return f"{self.request}.{self.attempt}.{self.incarnation:x}"


class Attempt(NamedTuple):
    """One attempt of a request at one side.

    Attributes:
        id: Identity of the attempt.
        deployment: Name of the deployment in the configuration.
        adapter: Adapter name, or an empty string for the base model.
        tenant: Tenant of the caller.
        caller: Caller name.
        service_class: Class whose priority and targets apply.
        revision: Configuration offset that the entry acted on.
        remaining_ms: Time left until the caller's deadline, in milliseconds.
        stream: Whether the caller asked for a stream.
        method: HTTP method of a plain service call.
        path: Path below the deployment, or the path of the model call.
        content_type: Media type of ``body``.
        idempotency_key: Key of an unrepeatable call, or an empty string.
        body: Request body as the caller sent it.
        resume_chunks: Chunks that the caller already has from earlier attempts.
        resume_text: Text of those chunks.
        resume_weights: Weights that generated it; what other weights generate does not
            fit to it.
    """

    id: AttemptId
    deployment: str
    adapter: str
    tenant: str
    caller: str
    service_class: str
    revision: int
    remaining_ms: int
    stream: bool
    method: str
    path: str
    content_type: str
    idempotency_key: str
    body: bytes
    resume_chunks: int = 0
    resume_text: str = ""
    resume_weights: str = ""

    def log_fields(self) -> dict[str, str | int]:
        """Return the fields of an attempt for log lines; no key, prompt or body."""
        return {
            "request": self.id.request,
            "attempt": self.id.attempt,
            "caller": self.caller,
            "tenant": self.tenant,
            "revision": self.revision,
        }


class Load(NamedTuple):
    """Load of one side.

    Attributes:
        queued: Attempts waiting.
        running: Attempts at the backend server.
        queue_ms: Expected wait of a new attempt, in milliseconds.
    """

    queued: int = 0
    running: int = 0
    queue_ms: int = 0


class Answer(NamedTuple):
    """A complete answer.

    Attributes:
        status: HTTP status of the backend server.
        content_type: Media type of ``body``.
        body: Response body.
        recorded: Whether it is the recorded outcome of an earlier call.
    """

    status: int
    content_type: str
    body: bytes
    recorded: bool = False


class StreamStart(NamedTuple):
    """Precedes the chunks of a streamed answer.

    Attributes:
        weights: Object name of the weights that generate it.
    """

    weights: str


class Chunk(NamedTuple):
    """One event of a streamed answer.

    Attributes:
        sequence: Position in the attempt, from 0 without gaps.
        data: Payload of the event, one JSON text.
    """

    sequence: int
    data: str


class StreamEnd(NamedTuple):
    """End marker of a streamed answer.

    Attributes:
        chunks: Chunks sent before it.
        checksum: xxh64 over the payloads in order.
    """

    chunks: int
    checksum: int


class Role(Enum):
    """Kind of process that an instance runs."""

    ENTRY = "entry"
    SIDE = "side"


class Instance(NamedTuple):
    """One live or leaving instance of the platform's list.

    Attributes:
        id: Name given by the platform.
        address: ``host:port`` of the instance's internal listener.
        zone: Availability zone.
        region: Region of the zone.
        role: Entry or side.
        pool: Pool of the backend server beside a side; empty for an entry.
        leaving: Whether the platform is removing the instance.
    """

    id: str
    address: str
    zone: str
    region: str
    role: Role
    pool: str = ""
    leaving: bool = False


class LogRecord(NamedTuple):
    """One record of a log stream.

    Attributes:
        offset: Position in the stream, increasing without reuse.
        data: JSON text.
    """

    offset: int
    data: str
