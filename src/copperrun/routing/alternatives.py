"""Where else a request could go, and who goes before it there; no I/O.

Load: after a release while all entries restart, many streams are taken up at the few
engines of their version, beside new requests that any engine could take.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from copperrun.routing.servers import Server

WAIT_SAFETY_FACTOR = 1.2  # on the expected wait at an engine


def count_alternatives(holders: Iterable[Server], chosen: Server, slack_ms: int) -> int:
    """Return how many engines beside the chosen one would begin a request in time.

    Args:
        holders: Engines that hold its model and may run it.
        chosen: Engine that it goes to.
        slack_ms: Time left until its first event is due.
    """
    return sum(
        server is not chosen and _is_free(server, slack_ms) for server in holders
    )


def leave_to_streams(holders: Sequence[Server], slack_ms: int) -> Sequence[Server]:
    """Return the engines for a new request.

    Engines where streams wait that go on nowhere else are left out if another one
    would begin the request in time.
    """
    if not any(server.waiting_streams for server in holders):
        return holders
    return [item for item in holders if _is_free(item, slack_ms)] or holders


def _is_free(server: Server, slack_ms: int) -> bool:
    """Return whether an engine would begin a new request in time."""
    return (
        not server.waiting_streams
        and not server.is_side_unresponsive
        and server.wait_ms * WAIT_SAFETY_FACTOR < slack_ms
    )
