"""Access to the platform's services and the instances of an installation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import open_session
from copperrun.adapters.operations import DRAIN_PATH
from copperrun.adapters.operations import STATUS_PATH
from copperrun.adapters.operations import ProcessStatus
from copperrun.adapters.platform import HttpInstances
from copperrun.adapters.platform import HttpLog
from copperrun.adapters.sides import SHARED_KEY_HEADER
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.reader import read_to_end
from copperrun.configuration.state import ConfigurationState
from copperrun.ctl.errors import ToolError
from copperrun.ctl.errors import ToolErrorReason
from copperrun.model import Instance
from copperrun.ports.instances import InstancesError
from copperrun.ports.log import LogError
from copperrun.ports.timers import Timers
from copperrun.settings import ToolSettings

STATUS_TIMEOUT_MS = 2_000


class InstanceReport(NamedTuple):
    """Status of one listed instance.

    Attributes:
        instance: Record of the platform's instance list.
        status: Status as the instance reports it, or None when it did not answer.
    """

    instance: Instance
    status: ProcessStatus | None


class Installation:
    """Client of the platform's services and of every listed instance."""

    def __init__(
        self, settings: ToolSettings, platform: HttpClient, internal: HttpClient
    ) -> None:
        self.operator = settings.operator
        self.timers: Timers = SystemTimers()
        self.log = HttpLog(platform, settings.platform.log)
        self._instances = HttpInstances(platform, settings.platform.instances)
        self._internal = internal

    async def read_configuration(self) -> ConfigurationState | ToolError:
        """Read the configuration stream to its end."""
        state = ConfigurationState()
        error = await read_to_end(self.log, state)
        if isinstance(error, LogError):
            return ToolError(ToolErrorReason.PLATFORM, f"log: {error.detail}")
        return state

    async def fetch_reports(self) -> Sequence[InstanceReport] | ToolError:
        """Fetch the status of every listed instance."""
        listed = await self._instances.list()
        if isinstance(listed, InstancesError):
            return ToolError(
                ToolErrorReason.PLATFORM, f"instance list: {listed.detail}"
            )
        return await asyncio.gather(*(self._fetch_report(item) for item in listed))

    async def drain(self, instance: Instance) -> ToolError | None:
        """Ask an instance to drain."""
        reply = await self._internal.call_json(
            "POST",
            f"http://{instance.address}{DRAIN_PATH}",
            timeout_ms=STATUS_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure):
            return ToolError(ToolErrorReason.FAILED, reply.detail)
        if reply.status != 200:
            detail = f"{instance.id} answered {reply.status}; check the shared key"
            return ToolError(ToolErrorReason.FAILED, detail)
        return None

    async def _fetch_report(self, instance: Instance) -> InstanceReport:
        reply = await self._internal.call_json(
            "GET",
            f"http://{instance.address}{STATUS_PATH}",
            timeout_ms=STATUS_TIMEOUT_MS,
        )
        if isinstance(reply, HttpFailure) or reply.status != 200:
            return InstanceReport(instance, None)
        return InstanceReport(instance, reply.json())


@asynccontextmanager
async def connect(settings: ToolSettings) -> AsyncIterator[Installation]:
    """Open connections to an installation."""
    timers = SystemTimers()
    async with open_session() as session:
        headers = {SHARED_KEY_HEADER: settings.shared_keys[0]}
        yield Installation(
            settings,
            HttpClient(session, timers),
            HttpClient(session, timers, headers),
        )
