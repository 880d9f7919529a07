"""Tells the repeats of one request from other requests."""

from __future__ import annotations

import hashlib

from copperrun.ports.backends import BackendCall

# Ids of prompt parts are hexadecimal, so no caller can name a fingerprint as a part.
FINGERPRINT_PREFIX = "request-"
DIGEST_BYTES = 16


def fingerprint(call: BackendCall) -> str:
    """Return the same id for each repeat of a request, at any entry.

    It covers what a server sees of the request and its caller, not what differs from
    one attempt to the next.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    credentials = [
        value for name, value in call.headers if name.lower() == "authorization"
    ]
    texts = [call.method, call.host.lower(), call.target, *credentials]
    fields = [text.encode("utf-8", "surrogateescape") for text in texts]
    for field in (*fields, call.body or b""):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return FINGERPRINT_PREFIX + digest.hexdigest()


def is_fingerprint(suspect: str) -> bool:
    """Return whether an id names a whole request rather than a part of a prompt."""
    return suspect.startswith(FINGERPRINT_PREFIX)
