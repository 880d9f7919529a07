"""Tells which client account a caller of the users' platform belongs to."""

from __future__ import annotations

from loguru import logger

from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.backends import BackendCall
from copperrun.routing.accounts import AccountTable
from copperrun.routing.accounts import ClientAccount
from copperrun.routing.catalog import Route

SCHEME = "token"
MAX_KEY_CHARACTERS = 256
OUTDATED_RETRY_AFTER_MS = 1_000


def authenticate(
    call: BackendCall, route: Route, accounts: AccountTable, *, is_recent: bool
) -> ClientAccount | Refusal | None:
    """Return the client account of a caller.

    Args:
        call: The caller's request.
        route: Its route.
        accounts: Client accounts in force.
        is_recent: Whether the store has confirmed them lately. If not, a key that is
            not known may be a new one.

    Returns:
        None on a route that needs no key.
    """
    if route.public:
        return None
    key = _parse_key(call.credentials)
    if isinstance(key, Refusal):
        return key
    account = accounts.find(key)
    if account is not None:
        return account
    logger.info("unknown key", request=call.id, route=route.name, is_recent=is_recent)
    return _invalid_key("the key is not valid") if is_recent else outdated_keys()


def _parse_key(credentials: tuple[str, ...]) -> str | Refusal:
    if len(credentials) != 1:
        return _invalid_key("send one 'Authorization: Token' header with the key")
    scheme, _, key = credentials[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return _invalid_key("send 'Authorization: Token' with the key")
    if len(key) > MAX_KEY_CHARACTERS:
        return _invalid_key(f"the key is longer than {MAX_KEY_CHARACTERS} characters")
    return key


def _invalid_key(detail: str) -> Refusal:
    return Refusal(RefusalReason.INVALID_KEY, Ran.NO, detail)


def outdated_keys() -> Refusal:
    """Return the refusal while the keys in force may be out of date."""
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        "the keys that this entry knows may be out of date; retry",
        OUTDATED_RETRY_AFTER_MS,
    )
