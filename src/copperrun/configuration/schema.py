"""Schema of the published configuration, from models to callers and presets."""

from __future__ import annotations

import re
from collections.abc import Iterator
from collections.abc import Mapping
from posixpath import normpath
from typing import Annotated
from typing import Any
from typing import NamedTuple
from urllib.parse import unquote

from pydantic import AfterValidator
from pydantic import Field
from pydantic import TypeAdapter

from copperrun.configuration.units import ByteCount
from copperrun.configuration.units import Milliseconds

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def _check_name(name: str) -> str:
    if not _NAME.fullmatch(name):
        raise ValueError(
            "names have 1 to 63 of a-z, 0-9, '.', '_', '-' and start with a letter "
            f"or digit; got {name!r}"
        )
    return name


Name = Annotated[str, AfterValidator(_check_name)]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Version(NamedTuple):
    """One version of a model.

    Attributes:
        weights: Accelerator memory of its weights, in bytes.
    """

    weights: ByteCount


class Model(NamedTuple):
    """A base model.

    Attributes:
        versions: Its versions by name.
    """

    versions: Annotated[dict[Name, Version], Field(min_length=1)]


class Adapter(NamedTuple):
    """An adapter of a base model.

    Attributes:
        model: The base model.
        weights: Accelerator memory of the adapter, in bytes.
    """

    model: str
    weights: ByteCount


class Pool(NamedTuple):
    """Backend servers with the same properties.

    Attributes:
        accelerators: Accelerators of each server.
        memory: Accelerator memory of each server, in bytes.
        kv_reserve: Part of ``memory`` kept for KV cache, in bytes.
        adapter_reserve: Part of ``memory`` kept for adapters, in bytes.
        slots: Calls that each server runs at once.
        checks_orders: Whether the servers refuse orders with an outdated number.
    """

    accelerators: Annotated[int, Field(ge=0)] = 0
    memory: ByteCount = 0
    kv_reserve: ByteCount = 0
    adapter_reserve: ByteCount = 0
    slots: Annotated[int, Field(ge=1)] = 16
    checks_orders: bool = False


class Deployment(NamedTuple):
    """A model version offered to callers.

    Attributes:
        pool: Pool that serves it.
        model: The model.
        version: The version in force.
        adapters: Adapters that callers may name.
        copies: Number of backend servers that keep it resident.
    """

    pool: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    copies: Annotated[int, Field(ge=1)] = 1


class CallPattern(NamedTuple):
    """Calls of a plain service.

    Attributes:
        methods: HTTP methods.
        path: Path prefix, with a leading slash.
    """

    methods: Annotated[tuple[str, ...], Field(min_length=1)]
    path: Annotated[str, Field(pattern=r"^/")]

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call has one of the methods and a path under the prefix."""
        if method.upper() not in (item.upper() for item in self.methods):
            return False
        prefix = self.path.rstrip("/")
        # Normalized: another spelling of the path must not make the call repeatable.
        bare = normpath("/" + unquote(path.split("?", 1)[0]).lstrip("/"))
        return bare == prefix or bare.startswith(f"{prefix}/")


class Service(NamedTuple):
    """A plain service offered to callers.

    Attributes:
        pool: Pool that serves it.
        unrepeatable: Calls that run at most once.
        window: Age up to which an idempotency key is accepted, in milliseconds;
            shorter than the log's retention.
    """

    pool: str
    unrepeatable: tuple[CallPattern, ...] = ()
    window: Milliseconds = 12 * 3_600_000

    def is_unrepeatable(self, method: str, path: str) -> bool:
        """Return whether a call runs at most once."""
        return any(pattern.matches(method, path) for pattern in self.unrepeatable)


class Tenant(NamedTuple):
    """A group of callers that share rights.

    Attributes:
        uses: Deployments and services that its callers may use.
        weight: Share of a contended queue among tenants of one class.
    """

    uses: tuple[str, ...]
    weight: Annotated[int, Field(ge=1, le=100)] = 1


class ServiceClass(NamedTuple):
    """Priority and targets of requests.

    Attributes:
        priority: Lower is served first.
        first_token: Target for the first token, in milliseconds.
        between_tokens: Target between tokens, in milliseconds.
        whole: Target for a complete answer, in milliseconds.
        queue_bound: Longest expected wait at which a request is admitted, in
            milliseconds.
    """

    priority: Annotated[int, Field(ge=0, le=9)]
    first_token: Milliseconds
    between_tokens: Milliseconds
    whole: Milliseconds
    queue_bound: Milliseconds


class Caller(NamedTuple):
    """A client account that sends requests.

    Attributes:
        tenant: Its tenant.
        service_class: Class of its requests.
        key_hashes: SHA-256 of its keys, in hexadecimal; two during a rotation.
        requests_per_second: Rate limit over all entries.
        burst: Requests that may arrive at once.
    """

    tenant: str
    service_class: str
    key_hashes: tuple[KeyHash, ...] = ()
    requests_per_second: Annotated[float, Field(gt=0)] = 100.0
    burst: Annotated[int, Field(ge=1)] = 100


class Preset(NamedTuple):
    """Policy for one kind of day, such as a peak; exactly one is in force.

    Attributes:
        description: Text for operators.
        copies: Number of copies by deployment; overrides the deployment's own.
        admits: Classes that are admitted; all when empty.
    """

    description: str = ""
    copies: dict[str, Annotated[int, Field(ge=1)]] = {}
    admits: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """The published configuration; equal at every reader of the same offset.

    Attributes:
        preset_in_force: Name of the one preset in force.
    """

    pools: dict[Name, Pool]
    classes: dict[Name, ServiceClass]
    tenants: dict[Name, Tenant]
    presets: dict[Name, Preset]
    preset_in_force: str
    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    deployments: dict[Name, Deployment] = {}
    services: dict[Name, Service] = {}
    callers: dict[Name, Caller] = {}

    def preset(self) -> Preset:
        """Return the preset in force."""
        return self.presets[self.preset_in_force]

    def copies(self, deployment: str) -> int:
        """Return the copies of a deployment under the preset in force."""
        return self.preset().copies.get(deployment, self.deployments[deployment].copies)


class ReferenceProblem(NamedTuple):
    """An inconsistency between parts of a configuration.

    Attributes:
        location: Keys that lead to the inconsistent part.
        detail: What is wrong.
    """

    location: tuple[str | int, ...]
    detail: str


CONFIGURATION = TypeAdapter(Configuration)
SECTIONS: Mapping[str, TypeAdapter[Any]] = {
    "pools": TypeAdapter(Pool),
    "classes": TypeAdapter(ServiceClass),
    "tenants": TypeAdapter(Tenant),
    "presets": TypeAdapter(Preset),
    "models": TypeAdapter(Model),
    "adapters": TypeAdapter(Adapter),
    "deployments": TypeAdapter(Deployment),
    "services": TypeAdapter(Service),
    "callers": TypeAdapter(Caller),
}


def weights_name(model: str, version: str) -> str:
    """Return the object name of a model version in stores and engines."""
    return f"{model}@{version}"


def check_references(cfg: Configuration) -> list[ReferenceProblem]:
    """Return unresolved references, ambiguous names and reserves that do not fit."""
    return [
        *_check_pools(cfg),
        *_check_presets(cfg),
        *_check_deployments(cfg),
        *_check_services(cfg),
        *_check_tenants_and_callers(cfg),
    ]


def _check_pools(cfg: Configuration) -> Iterator[ReferenceProblem]:
    for name, pool in cfg.pools.items():
        if pool.kv_reserve + pool.adapter_reserve > pool.memory:
            yield ReferenceProblem(
                ("pools", name, "memory"), "the reserves are larger than the memory"
            )


def _check_presets(cfg: Configuration) -> Iterator[ReferenceProblem]:
    if cfg.preset_in_force not in cfg.presets:
        yield ReferenceProblem(
            ("preset_in_force",),
            f"no preset {cfg.preset_in_force!r}; presets: {', '.join(cfg.presets)}",
        )
    for name, preset in cfg.presets.items():
        for deployment in preset.copies:
            if deployment not in cfg.deployments:
                yield ReferenceProblem(
                    ("presets", name, "copies", deployment),
                    f"no deployment {deployment!r}",
                )
        for index, service_class in enumerate(preset.admits):
            if service_class not in cfg.classes:
                yield ReferenceProblem(
                    ("presets", name, "admits", index), f"no class {service_class!r}"
                )


def _check_deployments(cfg: Configuration) -> Iterator[ReferenceProblem]:
    for name, adapter in cfg.adapters.items():
        if adapter.model not in cfg.models:
            yield ReferenceProblem(
                ("adapters", name, "model"), f"no model {adapter.model!r}"
            )
    for name, deployment in cfg.deployments.items():
        where = ("deployments", name)
        if deployment.pool not in cfg.pools:
            yield ReferenceProblem((*where, "pool"), f"no pool {deployment.pool!r}")
        model = cfg.models.get(deployment.model)
        if model is None:
            yield ReferenceProblem((*where, "model"), f"no model {deployment.model!r}")
        elif deployment.version not in model.versions:
            yield ReferenceProblem(
                (*where, "version"),
                f"model {deployment.model!r} has no version {deployment.version!r}",
            )
        yield from _check_adapters(cfg, where, deployment)


def _check_adapters(
    cfg: Configuration, where: tuple[str, str], deployment: Deployment
) -> Iterator[ReferenceProblem]:
    for index, adapter_name in enumerate(deployment.adapters):
        adapter = cfg.adapters.get(adapter_name)
        location = (*where, "adapters", index)
        if adapter is None:
            yield ReferenceProblem(location, f"no adapter {adapter_name!r}")
        elif adapter.model != deployment.model:
            yield ReferenceProblem(
                location,
                f"adapter {adapter_name!r} belongs to model {adapter.model!r}",
            )


def _check_services(cfg: Configuration) -> Iterator[ReferenceProblem]:
    for name, service in cfg.services.items():
        if service.pool not in cfg.pools:
            yield ReferenceProblem(
                ("services", name, "pool"), f"no pool {service.pool!r}"
            )
        if name in cfg.deployments:
            yield ReferenceProblem(
                ("services", name), "the name is also that of a deployment"
            )


def _check_tenants_and_callers(cfg: Configuration) -> Iterator[ReferenceProblem]:
    for name, tenant in cfg.tenants.items():
        for index, used in enumerate(tenant.uses):
            if used not in cfg.deployments and used not in cfg.services:
                yield ReferenceProblem(
                    ("tenants", name, "uses", index),
                    f"no deployment or service {used!r}",
                )
    for name, caller in cfg.callers.items():
        if caller.tenant not in cfg.tenants:
            yield ReferenceProblem(
                ("callers", name, "tenant"), f"no tenant {caller.tenant!r}"
            )
        if caller.service_class not in cfg.classes:
            yield ReferenceProblem(
                ("callers", name, "service_class"),
                f"no class {caller.service_class!r}",
            )
