"""Gateway of copperrun's own API: admits, dispatches and records requests."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import NamedTuple
from uuid import uuid4

from loguru import logger

from copperrun.admission.limits import CallerLimiter
from copperrun.admission.stock import Credit
from copperrun.configuration.follower import ConfigurationFollower
from copperrun.configuration.schema import Configuration
from copperrun.configuration.schema import ServiceClass
from copperrun.entry.attainment import StreamLatencies
from copperrun.entry.authentication import Identity
from copperrun.entry.authentication import authenticate
from copperrun.entry.authentication import authorize
from copperrun.entry.errors import is_caller_error
from copperrun.entry.requests import check_idempotency_key
from copperrun.entry.requests import check_model
from copperrun.entry.requests import parse_deadline
from copperrun.entry.requests import parse_model_request
from copperrun.model import Answer
from copperrun.model import Attempt
from copperrun.model import AttemptId
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.ports.metrics import Metrics
from copperrun.ports.timers import Timers
from copperrun.routing.dispatcher import Dispatcher
from copperrun.routing.dispatcher import DispatchRequest
from copperrun.routing.router import Target

NOT_READY_RETRY_AFTER_MS = 1_000
# Of a request's target, spent at most on asking for the limit of its caller.
LIMIT_WAIT_FRACTION = 0.5
NOT_ADMITTED_RETRY_AFTER_MS = 60_000


class CallerRequest(NamedTuple):
    """A request as received.

    Attributes:
        id: Request id.
        arrived_ms: Arrival by the monotonic clock, in milliseconds.
        authorization: ``Authorization`` header.
        deadline: ``X-Copperrun-Deadline-Ms`` header, or None.
        idempotency_key: ``Idempotency-Key`` header, or an empty string.
        method: HTTP method.
        path: Path; for a plain service, path and query below the service prefix.
        content_type: Media type of ``body``.
        body: Request body.
    """

    id: str
    arrived_ms: int
    authorization: str
    deadline: str | None
    idempotency_key: str
    method: str
    path: str
    content_type: str
    body: bytes


class AdmittedRequest(NamedTuple):
    """A request that may be dispatched.

    Attributes:
        arrived_ms: Arrival by the monotonic clock, in milliseconds.
        service_class: Class whose latency targets apply.
        dispatch_request: Request for the dispatcher.
        credit: What it uses of its caller's limit; None when no keeper granted it.
    """

    arrived_ms: int
    service_class: ServiceClass
    dispatch_request: DispatchRequest
    credit: Credit | None = None


class _RequestedDeployment(NamedTuple):
    """Deployment that a request names, with the request's options."""

    name: str
    adapter: str = ""
    stream: bool = False
    affinity: int = 0


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid4().hex


class Gateway:
    """Authenticates, checks, limits and dispatches requests."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        limiter: CallerLimiter,
        dispatcher: Dispatcher,
        timers: Timers,
        metrics: Metrics,
        default_deadline_ms: int,
    ) -> None:
        self._follower = follower
        self._limiter = limiter
        self._dispatcher = dispatcher
        self._timers = timers
        self._metrics = metrics
        self._default_deadline_ms = default_deadline_ms

    def authenticate(self, authorization: str) -> Identity | Refusal:
        """Authenticate a caller."""
        cfg = self._follower.configuration
        return _not_ready() if cfg is None else authenticate(cfg, authorization)

    def list_models(self, identity: Identity) -> list[str]:
        """Return the names of models and adapters that a caller may use."""
        cfg = self._follower.configuration
        if cfg is None:
            return []
        names = []
        for name in identity.tenant.uses:
            if name in cfg.deployments:
                adapters = cfg.deployments[name].adapters
                names += [name, *(f"{name}:{adapter}" for adapter in adapters)]
        return names

    async def admit_model(self, request: CallerRequest) -> AdmittedRequest | Refusal:
        """Authenticate and check a completion request."""
        cfg = self._follower.configuration
        if cfg is None:
            return _not_ready()
        identity = authenticate(cfg, request.authorization)
        if isinstance(identity, Refusal):
            return identity
        parsed = parse_model_request(request.path, request.body)
        if isinstance(parsed, Refusal):
            return parsed
        refusal = check_model(cfg, parsed.deployment, parsed.adapter)
        if refusal is not None:
            return refusal
        requested = _RequestedDeployment(*parsed)
        return await self._admit(cfg, identity, request, requested)

    async def admit_service(
        self, request: CallerRequest, service: str
    ) -> AdmittedRequest | Refusal:
        """Authenticate and check a call of a plain service."""
        cfg = self._follower.configuration
        if cfg is None:
            return _not_ready()
        identity = authenticate(cfg, request.authorization)
        if isinstance(identity, Refusal):
            return identity
        spec = cfg.services.get(service)
        if spec is None:
            detail = f"no service {service!r}"
            return Refusal(RefusalReason.UNKNOWN_DEPLOYMENT, Ran.NO, detail)
        if spec.is_unrepeatable(request.method, request.path):
            refusal = check_idempotency_key(request.idempotency_key)
            if refusal is not None:
                return refusal
        requested = _RequestedDeployment(service)
        return await self._admit(cfg, identity, request, requested)

    async def submit(self, admitted: AdmittedRequest) -> Answer | Refusal:
        """Dispatch a request; return its whole answer or a refusal."""
        outcome = await self._dispatcher.submit(admitted.dispatch_request)
        elapsed_ms = self._elapsed_ms(admitted)
        if isinstance(outcome, Refusal):
            self.record_refusal(admitted.dispatch_request.request_id, outcome, admitted)
            return outcome
        met_targets = elapsed_ms <= admitted.service_class.whole
        self._record_answer(admitted, elapsed_ms, met_targets)
        return outcome

    async def stream(
        self, admitted: AdmittedRequest
    ) -> AsyncGenerator[str | Refusal, None]:
        """Yield the payloads of a stream; a refusal ends an incomplete one."""
        template = admitted.dispatch_request.template
        latencies = StreamLatencies(admitted.service_class)
        items = self._dispatcher.stream(admitted.dispatch_request)
        try:
            async for item in items:
                if isinstance(item, Refusal):
                    self.record_refusal(
                        admitted.dispatch_request.request_id, item, admitted
                    )
                    yield item
                    return
                gap_ms = latencies.record_chunk(self._elapsed_ms(admitted))
                if gap_ms is None:
                    self._metrics.record_first_token(
                        template.tenant,
                        template.service_class,
                        latencies.first_chunk_ms,
                    )
                else:
                    self._metrics.record_token_gap(
                        template.tenant, template.service_class, gap_ms
                    )
                yield item
        finally:
            await items.aclose()
        self._record_answer(
            admitted, self._elapsed_ms(admitted), latencies.met_targets()
        )

    def record_refusal(
        self, request_id: str, refusal: Refusal, admitted: AdmittedRequest | None = None
    ) -> None:
        """Log and count a refusal; a request that has not run uses nothing."""
        tenant = service_class = caller = "-"
        revision = self._follower.revision
        if admitted is not None:
            template = admitted.dispatch_request.template
            tenant, service_class = template.tenant, template.service_class
            caller, revision = template.caller, template.revision
        self._metrics.record_refusal(tenant, service_class, refusal)
        if admitted is not None and admitted.credit and refusal.ran is Ran.NO:
            self._limiter.give_back(admitted.credit)
        if admitted is not None and not is_caller_error(refusal):
            self._metrics.record_missed(tenant, service_class)
        logger.info(
            "refused",
            request=request_id,
            caller=caller,
            tenant=tenant,
            revision=revision,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
        )

    async def _admit(
        self,
        cfg: Configuration,
        identity: Identity,
        request: CallerRequest,
        requested: _RequestedDeployment,
    ) -> AdmittedRequest | Refusal:
        caller = identity.caller
        remaining_ms = parse_deadline(request.deadline, self._default_deadline_ms)
        if isinstance(remaining_ms, Refusal):
            return remaining_ms
        refusal = authorize(identity, requested.name) or _check_preset(
            cfg, caller.service_class
        )
        if refusal is not None:
            return refusal
        service_class = cfg.classes[caller.service_class]
        target_ms = min(service_class.first_token, service_class.whole)
        credit = await self._limiter.admit(
            identity.name,
            caller,
            self._follower.revision,
            request.id,
            min(int(LIMIT_WAIT_FRACTION * target_ms), remaining_ms),
        )
        if isinstance(credit, Refusal):
            return credit
        dispatch_request = DispatchRequest(
            request_id=request.id,
            target=Target(requested.name, requested.affinity),
            template=self._build_template(identity, request, requested),
            deadline_ms=request.arrived_ms + remaining_ms,
        )
        return AdmittedRequest(
            request.arrived_ms, service_class, dispatch_request, credit
        )

    def _build_template(
        self,
        identity: Identity,
        request: CallerRequest,
        requested: _RequestedDeployment,
    ) -> Attempt:
        return Attempt(
            id=AttemptId(request.id, 0, 0),
            deployment=requested.name,
            adapter=requested.adapter,
            tenant=identity.caller.tenant,
            caller=identity.name,
            service_class=identity.caller.service_class,
            revision=self._follower.revision,
            remaining_ms=0,
            stream=requested.stream,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            idempotency_key=request.idempotency_key,
            body=request.body,
        )

    def _elapsed_ms(self, admitted: AdmittedRequest) -> int:
        return self._timers.now_ms() - admitted.arrived_ms

    def _record_answer(
        self, admitted: AdmittedRequest, elapsed_ms: int, met_targets: bool
    ) -> None:
        template = admitted.dispatch_request.template
        self._metrics.record_answer(
            template.tenant, template.service_class, elapsed_ms, met_targets=met_targets
        )
        logger.info(
            "answered",
            request=admitted.dispatch_request.request_id,
            caller=template.caller,
            tenant=template.tenant,
            revision=template.revision,
            elapsed_ms=elapsed_ms,
            met=met_targets,
        )


def _check_preset(cfg: Configuration, service_class: str) -> Refusal | None:
    admits = cfg.preset().admits
    if not admits or service_class in admits:
        return None
    return Refusal(
        RefusalReason.CLASS_NOT_ADMITTED,
        Ran.NO,
        f"preset {cfg.preset_in_force!r} does not admit class {service_class!r}",
        NOT_ADMITTED_RETRY_AFTER_MS,
    )


def _not_ready() -> Refusal:
    return Refusal(
        RefusalReason.NOT_READY,
        Ran.NO,
        "this entry has no configuration yet",
        NOT_READY_RETRY_AFTER_MS,
    )
