"""Requests that use units of a client account's allotment."""

from __future__ import annotations

from typing import NamedTuple

from loguru import logger

from copperrun.admission.groups import group_of
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.routing.accounts import Allotment
from copperrun.routing.accounts import ClientAccount

NO_KEEPER_RETRY_AFTER_MS = 200  # a caller's retry reaches another entry


class AccountUse(NamedTuple):
    """A request that needs units.

    Attributes:
        account: Its client account.
        allotment: Limit of the account.
        version: Version of the configuration that names it.
        cost: Units that the request needs.
        request_id: Id for the operator's log.
    """

    account: ClientAccount
    allotment: Allotment
    version: int
    cost: int
    request_id: str


class QuotaBounds(NamedTuple):
    """How closely limits hold.

    Attributes:
        overage: Part of a limit that may be passed in a window.
        window_ms: Time over which use is summed.
    """

    overage: float = 0.1
    window_ms: int = 8_000

    @property
    def lapse_ms(self) -> int:
        """Time from a question until what it granted lapses.

        What is used in a window was granted in it or at most this long before.
        """
        return int(self.overage * self.window_ms)

    def largest_cost(self, allotment: Allotment) -> float:
        """Return the units that one request may need: those of a whole window."""
        return allotment.burst + allotment.rate_per_s * self.window_ms / 1_000


def too_large(use: AccountUse) -> Refusal:
    """Return the refusal of a request that its account's limit never allows."""
    logger.info(
        "request larger than the allotment",
        request=use.request_id,
        account=use.account.name,
        cost=use.cost,
        rate_per_s=use.allotment.rate_per_s,
        burst=use.allotment.burst,
    )
    detail = (
        f"the request needs {use.cost} {use.allotment.unit.value}, more than client "
        f"account {use.account.name!r} may ever use at once"
    )
    return Refusal(RefusalReason.RATE_LIMITED, Ran.NO, detail)


def no_keeper(use: AccountUse) -> Refusal:
    """Return the refusal while no keeper of an account's allotment answers."""
    logger.info(
        "no keeper of the allotment",
        request=use.request_id,
        account=use.account.name,
        group=group_of(use.account.name),
    )
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        f"the allotment of client account {use.account.name!r} can't be read now",
        NO_KEEPER_RETRY_AFTER_MS,
    )
