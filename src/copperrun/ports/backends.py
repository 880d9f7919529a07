"""Backend servers that an entry calls directly."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple
from typing import Protocol

from copperrun.routing.servers import ServerRecord

HeaderList = Sequence[tuple[str, str]]
HeaderLines = Iterable[tuple[str, str]]  # may be decoded anew each time


class BackendCall(NamedTuple):
    """One request of a caller, forwarded unchanged.

    Attributes:
        id: Id of the caller's attempt.
        method: HTTP method.
        host: Host header of the caller.
        target: Path with query, byte for byte.
        headers: Headers to forward, with their spelling and order.
        body: Complete request body, or None when there is none.
        timeout_ms: Time that the caller waits; None when not stated.
        model: Model that it needs, or an empty string.
        adapter: Adapter of that model, or an empty string.
        prompt_tokens: Tokens of its prompt; 0 when not stated.
        output_tokens: Maximum tokens to generate; 0 when not stated.
        resume_after: Id of the last event received by the caller, or an empty string.
        resumes: Id of the caller's attempt that brought the first event of the stream
            to continue, as the caller states it, or an empty string.
        prompt_parts: Ids of the parts that the prompt may share with others, in order;
            the last part, which is the request's or its session's own, is left out.
        credentials: Values of the headers that prove who the caller is.
        account: Client account to name to the server in place of the caller's
            credentials; empty for none, and None when there are no accounts, so that
            all headers are forwarded.
        part_tokens: Tokens of each part in ``prompt_parts``; 0 when not stated.
        output_hint: Tokens that the caller expects to be generated; 0 for no estimate.
        states_tokens: Whether the caller states both counts of tokens as whole numbers.
    """

    id: str
    method: str
    host: str
    target: str
    headers: HeaderLines
    body: bytes | None
    timeout_ms: int | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str = ""
    prompt_parts: tuple[str, ...] = ()
    resumes: str = ""
    credentials: tuple[str, ...] = ()
    account: str | None = None
    part_tokens: tuple[int, ...] = ()
    output_hint: int = 0
    states_tokens: bool = False

    @property
    def continues_stream(self) -> bool:
        """Whether the caller has events of the stream already."""
        return bool(self.resume_after)

    @property
    def expects_body(self) -> bool:
        """Whether its answer may have a body."""
        return self.method != "HEAD"

    @property
    def memory_tokens(self) -> int:
        """Tokens that it may need at an engine, if it shares none."""
        return self.prompt_tokens + self.output_tokens

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class BackendErrorReason(Enum):
    """How far a failed call got."""

    NOT_SENT = "not_sent"
    LOST = "lost"


class BackendError(NamedTuple):
    """A call without a complete answer; returned, not raised.

    Attributes:
        reason: ``NOT_SENT`` when the server received nothing, ``LOST`` when the
            request may have run.
        detail: One line for the operator's log.
        is_garbled: Whether the server sent bytes that are no answer, so it runs.
    """

    reason: BackendErrorReason
    detail: str
    is_garbled: bool = False


class Execution(Enum):
    """Whether the server ran the request, according to its answer's head.

    Attributes:
        RAN: The server ran the request.
        NOT_RUN: It did not, because it is full or the deadline had passed.
        WRONG_SERVER: It did not, because another server now has the address or
            the model or adapter is not loaded.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"


class AnswerHead(NamedTuple):
    """Status and headers of a server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to forward.
        length: Length of the body, or None when it is not declared.
        execution: Whether the server ran the request.
        retry_after_ms: Delay before a retry that the server asks for; 0 when none.
        leaving: Whether the server says that it is leaving.
        ends_with_connection: Whether the body has neither a length nor chunks.
        answered_by: Id of the server that answered, where it says so.
        media_type: Media type of the body in lower case, or an empty string.
    """

    status: int
    headers: HeaderList
    length: int | None
    execution: Execution
    retry_after_ms: int = 0
    leaving: bool = False
    ends_with_connection: bool = False
    answered_by: str = ""
    media_type: str = ""


class BackendAnswer(Protocol):
    """An answer whose body has not been read yet."""

    head: AnswerHead

    async def read(self) -> bytes | BackendError | None:
        """Return the next bytes of the body, None at its end.

        An error ends an incomplete body. A call that is cancelled loses no bytes.
        """

    def close(self) -> None:
        """Close the connection unless the body was read to its end."""


class Backends(Protocol):
    """Calls to backend servers."""

    async def open(
        self,
        server: ServerRecord,
        call: BackendCall,
        *,
        remaining_ms: int,
        priority: int,
        resume_after: str,
    ) -> BackendAnswer | BackendError:
        """Send a call and return the head of its answer.

        An answer that is not surely the server's to this call is a ``LOST`` error.
        """

    async def has_ended(
        self, server: ServerRecord, *, health_path: str, timeout_ms: int
    ) -> bool:
        """Return whether a start of a server has surely ended.

        Args:
            server: Record of that start.
            health_path: Health check of a plain service; empty for an engine, which
                reports its start.
            timeout_ms: Time for each try.

        Returns:
            False when it runs or when that cannot be told in time.
        """

    async def is_running(self, server: ServerRecord, *, timeout_ms: int) -> bool:
        """Return whether a start of an engine surely runs.

        Args:
            server: Record of that start.
            timeout_ms: Time for the question.

        Returns:
            False when another start runs or when that cannot be told in time.
        """
