"""A plain service over HTTP."""

from __future__ import annotations

from uuid import uuid4

from copperrun.adapters.bodies import MAX_ANSWER_BYTES
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.model import Answer
from copperrun.ports.service import ServiceCall
from copperrun.ports.service import ServiceError
from copperrun.ports.service import ServiceErrorReason


class HttpService:
    """Calls to one plain service, forwarded unchanged."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def call(self, call: ServiceCall) -> Answer | ServiceError:
        """Execute the call and return the complete answer."""
        headers = {}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        reply = await self._client.call(
            call.method,
            self._url + call.path,
            body=call.body or None,
            headers=headers,
            call_id=uuid4().hex,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, HttpFailure):
            return _service_error(reply)
        return Answer(reply.status, reply.content_type, reply.body)


def _service_error(failure: HttpFailure) -> ServiceError:
    match failure.reason:
        case HttpFailureReason.NOT_SENT:
            return ServiceError(ServiceErrorReason.UNREACHABLE, failure.detail)
        case HttpFailureReason.ANSWER_LOST:
            return ServiceError(ServiceErrorReason.ANSWER_LOST, failure.detail)
