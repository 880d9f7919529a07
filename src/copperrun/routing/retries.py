"""Budget of retries, so that failures do not multiply the load."""

from __future__ import annotations

RETRY_SHARE = 0.2  # retries for each success
MAX_TOKENS = 50.0


class RetryBudget:
    """Tokens earned by answers and spent by retries."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Note an answer."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take a retry; False when the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
