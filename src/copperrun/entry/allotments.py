"""Holds the requests of an entry to the allotments of their client accounts."""

from __future__ import annotations

from collections.abc import Iterable

from copperrun.admission.credits import Credits
from copperrun.admission.stock import Credit
from copperrun.admission.uses import AccountUse
from copperrun.model import Refusal
from copperrun.ports.metrics import Metrics
from copperrun.routing.requests import RoutedRequest
from copperrun.routing.servers import ServerRecord

# Of a request's target, spent at most on asking for units of its account.
WAIT_FRACTION = 0.5


class AllotmentGate:
    """Lets a request pass when its account has the units for it.

    Args:
        credits: Units of all accounts at this entry.
        metrics: Instruments.

    Attributes:
        has_sides: Whether the side of any engine answers.
    """

    def __init__(self, credits: Credits, metrics: Metrics) -> None:
        self._credits = credits
        self._metrics = metrics
        self.has_sides = False

    def set_engines(self, engines: Iterable[ServerRecord]) -> None:
        """Set the engines whose sides answer; without any, entries keep allotments."""
        hosts = engine_hosts(engines)
        self.has_sides = bool(hosts)
        self._credits.set_hosts(hosts)

    async def admit(
        self, request: RoutedRequest, version: int
    ) -> Credit | Refusal | None:
        """Return the units of a request, or why it has none; None without a limit.

        Args:
            request: The request.
            version: Version of the configuration that names the limit.
        """
        account = request.account
        if account is None:
            return None
        if account.allotment is None:
            self._metrics.record_account_use(account.name, 0)
            return None
        call = request.call
        cost = account.allotment.cost_of(0, 0)
        if call.states_tokens:
            cost = account.allotment.cost_of(call.prompt_tokens, call.output_tokens)
        use = AccountUse(account, account.allotment, version, cost, call.id)
        wait_ms = int(WAIT_FRACTION * request.route.target_ms)
        limit_ms = request.deadline_ms - request.started_ms
        credit = await self._credits.acquire(use, min(wait_ms, limit_ms))
        if isinstance(credit, Refusal):
            self._metrics.record_account_refusal(account.name, credit)
        else:
            self._metrics.record_account_use(account.name, cost)
        self._metrics.record_allotment(
            account.name, self._credits.used_share(account.name)
        )
        return credit

    def give_back(self, credit: Credit | None) -> None:
        """Take back the units of a request that no server has run or will run."""
        if credit is not None:
            self._credits.give_back(credit)

    def close(self) -> None:
        """End all questions."""
        self._credits.close()


def engine_hosts(engines: Iterable[ServerRecord]) -> frozenset[str]:
    """Return the hosts of engines, each of which has a side beside it."""
    return frozenset(engine.address.rpartition(":")[0] for engine in engines)
