"""HTTP responses for refusals."""

from __future__ import annotations

import json

from aiohttp import web

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

_STATUS_CODES = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalReason.IDEMPOTENCY_KEY_INVALID: 400,
    RefusalReason.IDEMPOTENCY_KEY_EXPIRED: 400,
    RefusalReason.INVALID_KEY: 401,
    RefusalReason.NOT_ALLOWED: 403,
    RefusalReason.UNKNOWN_DEPLOYMENT: 404,
    RefusalReason.UNKNOWN_ADAPTER: 404,
    RefusalReason.BODY_TIMEOUT: 408,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 409,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.RATE_LIMITED: 429,
}
_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    408: "invalid_request_error",
    409: "idempotency_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
    502: "server_error",
    503: "server_error",
}


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    known = _STATUS_CODES.get(refusal.reason)
    if known is not None:
        return known
    return 502 if refusal.ran is Ran.UNKNOWN else 503


def is_caller_error(refusal: Refusal) -> bool:
    """Return whether the caller caused a refusal; such ones do not count as missed."""
    return http_status(refusal) in (400, 401, 403, 404, 408, 409, 413)


def error_body(refusal: Refusal) -> str:
    """Return the JSON error object of a refusal."""
    error = {
        "type": _ERROR_TYPES[http_status(refusal)],
        "code": refusal.reason.value,
        "message": refusal.detail,
        "ran": refusal.ran.value,
        "retry_after_ms": refusal.retry_after_ms,
    }
    return json.dumps({"error": error})


def error_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_ms:
        headers["Retry-After"] = str(-(-refusal.retry_after_ms // 1000))
    return web.Response(
        body=error_body(refusal).encode(),
        status=http_status(refusal),
        headers=headers,
        content_type="application/json",
    )
