"""Authentication of callers by key, and authorization by tenant."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import NamedTuple

from copperrun.configuration.schema import Caller
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import Tenant
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

KEY_PREFIX = "cr"
SECRET_BYTES = 32
_PLACEHOLDER_HASH = "0" * 64


class Identity(NamedTuple):
    """An authenticated caller.

    Attributes:
        name: Caller name.
        caller: Configuration of the caller.
        tenant: Configuration of its tenant.
    """

    name: str
    caller: Caller
    tenant: Tenant


def create_key(caller: str) -> str:
    """Return a new random key for a caller."""
    return f"{KEY_PREFIX}.{caller}.{secrets.token_urlsafe(SECRET_BYTES)}"


def hash_key(key: str) -> str:
    """Return the hash under which the configuration stores a key.

    Plain SHA-256 suffices: 256 random bits are out of reach of a brute-force search.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(cfg: Configuration, authorization: str) -> Identity | Refusal:
    """Return the caller that an ``Authorization`` header identifies."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return _invalid_key("send 'Authorization: Bearer' with the caller key")
    name = _caller_name(key.strip())
    caller = cfg.callers.get(name)
    key_hash = hash_key(key.strip())
    # Unknown callers are compared too, so that timing does not reveal who exists.
    hashes = caller.key_hashes if caller else (_PLACEHOLDER_HASH,)
    matches = [hmac.compare_digest(key_hash, known) for known in hashes]
    if caller is None or not any(matches):
        return _invalid_key("the caller key is not valid")
    return Identity(name, caller, cfg.tenants[caller.tenant])


def authorize(identity: Identity, deployment: str) -> Refusal | None:
    """Refuse a deployment that the caller's tenant may not use."""
    if deployment in identity.tenant.uses:
        return None
    return Refusal(
        RefusalReason.NOT_ALLOWED,
        Ran.NO,
        f"tenant {identity.caller.tenant!r} may not use {deployment!r}; "
        "ask the operator to add it to the tenant's 'uses'",
    )


def _caller_name(key: str) -> str:
    parts = key.rsplit(".", 1)[0].split(".", 1)
    return parts[1] if len(parts) == 2 and parts[0] == KEY_PREFIX else ""


def _invalid_key(detail: str) -> Refusal:
    return Refusal(RefusalReason.INVALID_KEY, Ran.NO, detail)
