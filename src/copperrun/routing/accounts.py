"""Client accounts of the operator's configuration; no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

MAX_STATED_TOKENS = 2**31 - 1  # a greater number is none


class AllotmentUnit(Enum):
    """What an allotment counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Allotment(NamedTuple):
    """Limit of a client account over all entries together.

    Attributes:
        rate_per_s: Units that become available each second.
        burst: Most units that may be saved up.
        unit: What is counted.
        plain_tokens: Tokens of a request that states none.
    """

    rate_per_s: float
    burst: float
    unit: AllotmentUnit = AllotmentUnit.REQUESTS
    plain_tokens: int = 1

    def cost_of(self, prompt_tokens: int, output_tokens: int) -> int:
        """Return the units of one request.

        Args:
            prompt_tokens: Tokens of its prompt; 0 when not stated.
            output_tokens: Most tokens that it may generate; 0 when not stated.
        """
        if self.unit is AllotmentUnit.REQUESTS:
            return 1
        tokens = prompt_tokens + output_tokens
        return tokens if 0 < tokens < MAX_STATED_TOKENS else self.plain_tokens


class ClientAccount(NamedTuple):
    """One client account.

    Attributes:
        name: Name given by the operator; backend servers are told it.
        key_digests: Digests of its keys.
        priority: Rank of its requests, before that of their routes; 0 is served first.
        allotment: Limit of its requests; None for no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int = 0
    allotment: Allotment | None = None


def digest_key(key: str) -> bytes:
    """Return what is kept of a key in place of the key itself."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


class AccountTable:
    """Client accounts by name and by key.

    Args:
        accounts: All accounts; a key that two of them have belongs to the first.

    Attributes:
        by_name: Accounts by name.
    """

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self.by_name: Mapping[str, ClientAccount] = {
            account.name: account for account in accounts
        }
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account in self.by_name.values():
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, account)

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that holds a key, or None."""
        return self._by_digest.get(digest_key(key))

    @property
    def key_digests(self) -> frozenset[bytes]:
        """Digests of all keys."""
        return frozenset(self._by_digest)
