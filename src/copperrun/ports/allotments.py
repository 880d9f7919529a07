"""Keepers of the allotments of client accounts.

The accounts form groups. One process, the keeper of a group, grants units of its
accounts to entries; a claim in the store's log names it.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from copperrun.ports.sides import SideError
from copperrun.ports.topics import TopicPosition


class CreditRequest(NamedTuple):
    """Units of one account that an entry asks for.

    Attributes:
        account: Name of the account.
        rate_per_s: Rate of its allotment, in units a second.
        burst: Most units that may be saved up.
        needed: Units of each request that waits, in their order.
        ahead: Units of requests that are expected before the next question; granted
            only while there is plenty.
    """

    account: str
    rate_per_s: float
    burst: float
    needed: Sequence[int]
    ahead: int


class CreditGrant(NamedTuple):
    """Units that an entry may use.

    They lapse a fixed time after the entry asked, so that what is used in any window
    stays within the limit and its stated overage.

    Attributes:
        account: Name of the account.
        units: Units granted: those of the first requests that wait, and those ahead.
        retry_after_ms: Time until there are the units of the first request that was
            not granted; 0 when all were.
        used: Units that the account lacks of its full burst, for the operator's log.
    """

    account: str
    units: int
    retry_after_ms: int
    used: int


class NotKeeper(NamedTuple):
    """The process grants nothing of the group.

    Attributes:
        keeper: Host of the process that may; empty when unknown.
    """

    keeper: str


class EndedTenure(NamedTuple):
    """A process that grants nothing of a group any more.

    Attributes:
        levels: Units left of each account; empty when they are not known.
    """

    levels: Mapping[str, float]


class AllotmentKeepers(Protocol):
    """Calls to the processes that keep allotments."""

    async def request_credits(
        self,
        host: str,
        group: int,
        version: int,
        requests: Sequence[CreditRequest],
        silent: str,
        timeout_ms: int,
    ) -> Sequence[CreditGrant] | NotKeeper | SideError:
        """Ask the keeper of a group for units.

        Args:
            host: Host of the keeper.
            group: Number of the group.
            version: Version of the configuration that names the limits.
            requests: At most one for each account; without any it is only asked
                whether it is the keeper.
            silent: Host of a keeper that did not answer; empty when there is none.
            timeout_ms: Time for the reply, in milliseconds.
        """

    async def end_tenure(
        self, host: str, group: int, claimed: TopicPosition, timeout_ms: int
    ) -> EndedTenure | SideError:
        """Tell a former keeper that a group has been claimed by another one.

        Args:
            host: Host of the former keeper.
            group: Number of the group.
            claimed: Position of the later claim, which stands in the log.
            timeout_ms: Time for the reply, in milliseconds.

        Returns:
            That its tenure has ended, also when the host refuses the connection: the
            process that made the earlier claim is gone then. Any other failure does
            not show that it has ended.
        """
