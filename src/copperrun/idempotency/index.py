"""Key states of one partition stream; equal at every reader of the same records."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from copperrun.idempotency.records import Abandonment
from copperrun.idempotency.records import Intent
from copperrun.idempotency.records import Mark
from copperrun.idempotency.records import Outcome
from copperrun.idempotency.records import Record
from copperrun.model import Answer


class KeyState(NamedTuple):
    """State of one key.

    Attributes:
        digest: Digest of the request that holds the key.
        attempt: Attempt whose intent came first.
        at_ms: Time of that intent, Unix milliseconds.
        executed: Whether an outcome is recorded.
        answer: The recorded answer, or None when there is none.
    """

    digest: str
    attempt: str
    at_ms: int
    executed: bool = False
    answer: Answer | None = None


class KeyIndex:
    """Keys of one partition; the first intent in log order holds a key.

    Attributes:
        last_at_ms: Latest writer's time of the records applied, in Unix milliseconds.
    """

    def __init__(self) -> None:
        self.last_at_ms = 0
        self._keys: OrderedDict[str, KeyState] = OrderedDict()
        self._abandoned: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, key: str) -> KeyState | None:
        """Return the state of a key."""
        return self._keys.get(key)

    def apply(self, record: Record) -> None:
        """Apply the next record in log order."""
        self.last_at_ms = max(self.last_at_ms, record.at_ms)
        match record:
            case Intent(key, attempt, digest, at_ms):
                # An intent appended after its own abandonment does not hold the key.
                if key not in self._keys and attempt not in self._abandoned:
                    self._keys[key] = KeyState(digest, attempt, at_ms)
            case Outcome(key, attempt, _, answer):
                state = self._keys.get(key)
                if state is not None and state.attempt == attempt:
                    self._keys[key] = state._replace(executed=True, answer=answer)
            case Abandonment(key, attempt, at_ms):
                self._abandoned[attempt] = at_ms
                state = self._keys.get(key)
                holds = state is not None and state.attempt == attempt
                if state is not None and holds and not state.executed:
                    del self._keys[key]
            case Mark():
                pass

    def prune(self, before_ms: int) -> None:
        """Remove keys and abandonments older than ``before_ms``."""
        while self._keys:
            key, state = next(iter(self._keys.items()))
            if state.at_ms >= before_ms:
                break
            del self._keys[key]
        while self._abandoned:
            attempt, at_ms = next(iter(self._abandoned.items()))
            if at_ms >= before_ms:
                break
            del self._abandoned[attempt]
