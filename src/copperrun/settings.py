"""Settings of one process, read from YAML."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

from pydantic import Field
from pydantic import TypeAdapter

from copperrun.configuration.document import Document
from copperrun.configuration.document import DocumentError
from copperrun.configuration.document import load_document
from copperrun.configuration.units import ByteCount
from copperrun.configuration.units import Milliseconds

Port = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+$")]
SharedKey = Annotated[str, Field(min_length=16)]
LogLevel = Literal["debug", "info", "warning", "error"]


class Listener(NamedTuple):
    """Address that a process listens on.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: Port


class Platform(NamedTuple):
    """Addresses of the platform's services."""

    log: Url
    instances: Url
    weights: Url


class Limits(NamedTuple):
    """Limits of a listener.

    Attributes:
        connections: Connections open at once.
        body: Largest request body, in bytes.
        body_timeout: Longest time for a body to arrive, in milliseconds.
        idle: Longest time without a complete request head, in milliseconds.
        write_timeout: Longest time for a caller to receive one chunk, in milliseconds.
    """

    connections: Annotated[int, Field(ge=1)] = 4096
    body: ByteCount = 4 * 2**20
    body_timeout: Milliseconds = 10_000
    idle: Milliseconds = 30_000
    write_timeout: Milliseconds = 30_000


class Backend(NamedTuple):
    """The backend server beside a side.

    Attributes:
        kind: Model engine or plain service.
        url: Its address.
        pool: Pool in the configuration that it belongs to.
    """

    kind: Literal["engine", "service"]
    url: Url
    pool: str


class EntrySettings(NamedTuple):
    """Settings of an entry.

    Attributes:
        instance: Name in the platform's instance list.
        public: Listener for callers.
        internal: Listener for operators and metrics.
        shared_keys: Keys of the system's own ports; the first one is sent.
        leave_delay: Time to keep accepting after the readiness probe begins to fail,
            until the load balancer has removed the instance, in milliseconds.
        default_deadline: Deadline of requests that set none, in milliseconds.
    """

    role: Literal["entry"]
    instance: str
    zone: str
    region: str
    public: Listener
    internal: Listener
    shared_keys: Annotated[tuple[SharedKey, ...], Field(min_length=1)]
    platform: Platform
    limits: Limits = Limits()
    leave_delay: Milliseconds = 3_000
    default_deadline: Milliseconds = 120_000
    log_level: LogLevel = "info"


class SideSettings(NamedTuple):
    """Settings of a side.

    Attributes:
        instance: Name in the platform's instance list.
        internal: Listener for entries and operators.
        backend: The backend server beside it.
        shared_keys: Keys of the system's own ports; the first one is sent.
        appends_per_second: Part of the log's append rate that this side may use.
    """

    role: Literal["side"]
    instance: str
    zone: str
    region: str
    internal: Listener
    backend: Backend
    shared_keys: Annotated[tuple[SharedKey, ...], Field(min_length=1)]
    platform: Platform
    appends_per_second: Annotated[float, Field(gt=0)] = 40.0
    log_level: LogLevel = "info"


class EmbeddedPool(NamedTuple):
    """A pool that the embedded role starts with stand-ins.

    Attributes:
        pool: Name in the configuration.
        kind: Model engines or plain services.
        servers: Backend servers, spread over ``zones`` in turn.
        memory: Accelerator memory of each engine, in bytes.
        kv_reserve: Part of ``memory`` kept for KV cache, in bytes.
        checks_orders: Whether the engines refuse orders with an outdated number.
    """

    pool: str
    kind: Literal["engine", "service"]
    servers: Annotated[int, Field(ge=1, le=64)]
    memory: ByteCount = 0
    kv_reserve: ByteCount = 0
    checks_orders: bool = True


class Zone(NamedTuple):
    """An availability zone."""

    name: str
    region: str


class EmbeddedSettings(NamedTuple):
    """Settings of the embedded role: everything in one process, with stand-ins.

    Attributes:
        public: Listener for callers of the first entry; further entries take the
            ports after it.
        platform: Listener of the platform's stand-ins.
        entries: Number of entries.
        loads_per_second: Model loads that the weight store starts each second.
        concurrent_loads: Model loads that the weight store serves at once.
        adapters_in_transit: Concurrent adapter loads up to which all run at full speed.
        token_step: Time between tokens at the engines, in milliseconds.
        load_time: Time of a model load, in milliseconds.
    """

    role: Literal["embedded"]
    public: Listener
    platform: Listener
    shared_keys: Annotated[tuple[SharedKey, ...], Field(min_length=1)]
    zones: Annotated[tuple[Zone, ...], Field(min_length=1)]
    pools: tuple[EmbeddedPool, ...]
    entries: Annotated[int, Field(ge=1, le=8)] = 1
    loads_per_second: Annotated[float, Field(gt=0)] = 2.0
    concurrent_loads: Annotated[int, Field(ge=1)] = 7
    adapters_in_transit: Annotated[int, Field(ge=1)] = 55
    token_step: Milliseconds = 20
    load_time: Milliseconds = 2_000
    limits: Limits = Limits()
    leave_delay: Milliseconds = 0
    log_level: LogLevel = "info"


class ToolSettings(NamedTuple):
    """Settings of ``copperrunctl``.

    Attributes:
        operator: Author of published changes.
        shared_keys: Keys of the system's own ports; the first one is sent.
    """

    operator: str
    shared_keys: Annotated[tuple[SharedKey, ...], Field(min_length=1)]
    platform: Platform


DaemonSettings = EntrySettings | SideSettings | EmbeddedSettings

_SCHEMAS_BY_ROLE: dict[str, TypeAdapter[Any]] = {
    "entry": TypeAdapter(EntrySettings),
    "side": TypeAdapter(SideSettings),
    "embedded": TypeAdapter(EmbeddedSettings),
}
_TOOL_SCHEMA = TypeAdapter(ToolSettings)


def load_daemon_settings(path: Path) -> DaemonSettings | DocumentError:
    """Read a daemon's settings."""
    role = _read_role(path)
    if isinstance(role, DocumentError):
        return role
    document = load_document(path, _SCHEMAS_BY_ROLE[role])
    if isinstance(document, DocumentError):
        return document
    value: DaemonSettings = document.value
    return value


def load_tool_settings(path: Path) -> ToolSettings | DocumentError:
    """Read the settings of ``copperrunctl``."""
    document = load_document(path, _TOOL_SCHEMA)
    return document.value if isinstance(document, Document) else document


def _read_role(path: Path) -> str | DocumentError:
    document = load_document(path, TypeAdapter(dict[str, Any]))
    if isinstance(document, DocumentError):
        return document
    role = document.raw.get("role")
    if isinstance(role, str) and role in _SCHEMAS_BY_ROLE:
        return role
    detail = f"expected one of {', '.join(_SCHEMAS_BY_ROLE)}; got {role!r}"
    return DocumentError((document.problem(("role",), detail),))
