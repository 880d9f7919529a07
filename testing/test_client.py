"""The HTTP client that the adapters share."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from contextlib import suppress

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.adapters.client import open_session
from copperrun.adapters.timers import SystemTimers

TIMERS = SystemTimers()


async def test_a_connection_that_is_not_made_in_time_ends_a_call_before_its_own_limit():
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # Nobody accepts: once the queue is full, the system drops further attempts, as
        # it does with those to a machine that is down.
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(listener.getsockname())
        port = listener.getsockname()[1]
        async with open_session() as session:
            client = HttpClient(session, TIMERS)
            started_ms = TIMERS.now_ms()
            reply = await client.call(
                "GET", f"http://127.0.0.1:{port}/", timeout_ms=3_000, connect_ms=100
            )
            assert_that(TIMERS.now_ms() - started_ms, LessThan(1_000))
    assert_that(reply, IsInstance(HttpFailure))
    assert isinstance(reply, HttpFailure)
    assert_that(reply.reason, Equals(HttpFailureReason.NOT_SENT))
