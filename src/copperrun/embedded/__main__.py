"""``python -m copperrun.embedded``: runs one stand-in as a process."""

from __future__ import annotations

import asyncio
import signal

from absl import app
from absl import flags
from aiohttp import web

from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import open_session
from copperrun.adapters.server import HttpServer
from copperrun.adapters.timers import SystemTimers
from copperrun.configuration.units import parse_size
from copperrun.embedded.daemon import STAND_IN_LIMITS
from copperrun.embedded.engine import EngineStandIn
from copperrun.embedded.engine import TokenTimes
from copperrun.embedded.http import HttpWeightSource
from copperrun.embedded.http import engine_application
from copperrun.embedded.http import platform_application
from copperrun.embedded.http import service_application
from copperrun.embedded.instances import InstancesStandIn
from copperrun.embedded.log import LogStandIn
from copperrun.embedded.service import ServiceStandIn
from copperrun.embedded.weights import PermissiveWeights
from copperrun.ports.timers import Timers

HOST = "127.0.0.1"

_KIND = flags.DEFINE_enum(
    "kind", None, ["platform", "engine", "service"], "Stand-in to run."
)
_PORT = flags.DEFINE_integer("port", 0, "Port to listen on.")
_STORE = flags.DEFINE_string("store", "", "URL of the weight store, for engines.")
_MEMORY = flags.DEFINE_string("memory", "320 GiB", "Accelerator memory of an engine.")
_KV_RESERVE = flags.DEFINE_string(
    "kv_reserve", "80 GiB", "Memory reserved for the KV cache."
)
_CHECKS_ORDERS = flags.DEFINE_bool(
    "checks_orders", True, "Refuse orders with stale numbers."
)
_STEP_MS = flags.DEFINE_float("step_ms", 10.0, "Time between tokens.")
_PREFILL_MS = flags.DEFINE_float("prefill_ms", 0.1, "Time per prompt token.")
_LOAD_MS = flags.DEFINE_integer("load_ms", 200, "Time of a model load.")


def _main(argv: list[str]) -> None:
    asyncio.run(_run())


async def _run() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    timers = SystemTimers()
    async with open_session() as session:
        application = _application(HttpClient(session, timers), timers)
        server = HttpServer(application, STAND_IN_LIMITS, timers)
        await server.start(HOST, _PORT.value or 0)
        await stop.wait()
        await server.close()


def _application(client: HttpClient, timers: Timers) -> web.Application:
    match _KIND.value:
        case "platform":
            weights = PermissiveWeights(
                timers, loads_per_second=20, load_ms=_LOAD_MS.value
            )
            return platform_application(
                LogStandIn(timers), InstancesStandIn(timers), weights
            )
        case "engine":
            engine = EngineStandIn(
                timers,
                HttpWeightSource(client, _STORE.value or ""),
                memory_bytes=parse_size(_MEMORY.value),
                kv_reserve_bytes=parse_size(_KV_RESERVE.value),
                checks_orders=_CHECKS_ORDERS.value,
                times=TokenTimes(_PREFILL_MS.value, _STEP_MS.value, 0.0),
            )
            return engine_application(engine)
        case _:
            return service_application(ServiceStandIn(timers))


if __name__ == "__main__":
    app.run(_main)
