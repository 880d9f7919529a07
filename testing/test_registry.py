"""Entries of other writers among those of the backend servers."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from platform_entry import PausingServer
from platform_entry import running_entry_role
from platform_entry import until
from platform_standins import ReceivedRequest
from platform_standins import answer_head
from test_answers import get
from test_answers import outcome
from test_answers import post
from test_platform_http import Client
from test_platform_records import server_entry
from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.platform.store import SERVERS_TOPIC

REQUESTS = 12
IN_RANGE = {"slots": 65_535}
REFUSED = (503, True)
NESTED = 100_000


class NamedServer(PausingServer):
    """Runs a request only if it is meant for this server."""

    async def _serve_events(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if request.headers["expect-instance"] == self.id:
            return await super()._serve_events(request, writer)
        head = {"Content_Length": "0", "Not_Executed": "1"}
        writer.write(answer_head(request, "421 Misdirected Request", **head))
        return True


# Processes that read an odd entry ended, stopped following or sent requests to it.
@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**300},
        IN_RANGE,
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:²"},
        {"address": "127.0.0.1:80/x"},
        {"zone": "\ud800"},
        {"born": 10**30},
        {"sequence": 10**40},
        {"models": [[]]},
        {"state": ["ready"]},
        None,
        "[" * NESTED,
        '{"state":' * NESTED,
        "9" * 5_000,
    ],
    ids=lambda change: ascii(change)[:24],
)
async def test_an_odd_entry_leaves_the_others_in_use(
    tmp_path: Path, change: dict[str, Any] | str | None
):
    server = NamedServer()
    async with running_entry_role(tmp_path, server) as entry:
        fields = server_entry(address=server.address, models=[])
        value = change
        if not isinstance(change, str):
            value = json.dumps(fields | change if change else change)
        for number in range(2):
            entry.store.put(SERVERS_TOPIC, f"odd-{number}", value.encode())
        # Entries are read in their order.
        sound = NamedServer("i-2")
        await sound.start()
        entry.put_server(sound)
        await until(lambda: entry.role._process.servers.find("i-2"))
        client = await Client.open(entry.port)
        outcomes = []
        for number in range(REQUESTS):
            client.send(get("safe", f"r{number}"))
            outcomes.append(await outcome(client))
        for number in range(REQUESTS):
            client.send(post("unsafe", f"u{number}"), b"abcd")
            outcomes.append(await outcome(client))
        client.close()
        await sound.close()
    if change == IN_RANGE and outcomes[0] == REFUSED:
        # One request may find out that the address is another server's.
        del outcomes[0]
    assert_that(set(outcomes), Equals({(200, True)}))
