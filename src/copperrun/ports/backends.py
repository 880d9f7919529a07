"""Backend servers that an entry reaches directly."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.routing.servers import ServerRecord

HeaderList = Sequence[tuple[str, str]]


class BackendCall(NamedTuple):
    """One request of a caller, to be passed on unchanged.

    Attributes:
        id: Identity of the caller's attempt.
        method: HTTP method.
        host: Host that the caller names.
        target: Path with query, byte for byte.
        headers: Headers to pass on, with their spelling and order.
        body: Whole request body, or None when there is none.
        patience_ms: Time that the caller waits; None when it does not say.
        model: Model that it needs, or an empty string.
        adapter: Adapter of that model, or an empty string.
        prompt_tokens: Tokens of its prompt; 0 when it does not say.
        output_tokens: Most tokens that it may generate; 0 when it does not say.
        resume_after: Id of the last event that the caller has, or an empty string.
    """

    id: str
    method: str
    host: str
    target: str
    headers: HeaderList
    body: bytes | None
    timeout_ms: int | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class BackendErrorReason(Enum):
    """How far a failed call got."""

    NOT_SENT = "not_sent"
    LOST = "lost"


class BackendError(NamedTuple):
    """A call without a whole answer; returned, not raised.

    Attributes:
        reason: ``NOT_SENT`` when the server saw nothing of it, ``LOST`` when it may
            have run.
        detail: One line for the operator's log.
    """

    reason: BackendErrorReason
    detail: str


class Execution(Enum):
    """What an answer's head says of the execution.

    Attributes:
        RAN: The server worked on the request.
        NOT_RUN: It did not, because it is full or the time was over.
        WRONG_SERVER: It did not, because another server has the address or what
            the request needs is not loaded.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"


class AnswerHead(NamedTuple):
    """Start of a server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on.
        length: Length of the body, or None when it is not declared.
        execution: What the server says of the execution.
        retry_after_ms: When the server wants to be asked again; 0 when not said.
    """

    status: int
    headers: HeaderList
    length: int | None
    execution: Execution
    retry_after_ms: int = 0


class BackendAnswer(Protocol):
    """An answer whose body is still to be read."""

    head: AnswerHead

    def chunks(self) -> AsyncGenerator[bytes | BackendError, None]:
        """Yield the body as it arrives; an error ends a body that is not whole."""

    def close(self) -> None:
        """Drop the connection unless the whole body was read."""


class Backends(Protocol):
    """Calls of backend servers."""

    async def open(
        self,
        server: ServerRecord,
        call: BackendCall,
        *,
        remaining_ms: int,
        priority: int,
        resume_after: str,
    ) -> BackendAnswer | BackendError:
        """Send a call and return the head of its answer."""
