"""OpenTelemetry metrics in the Prometheus text format."""

from __future__ import annotations

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View
from prometheus_client import REGISTRY
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from copperrun.model import Refusal

CONTENT_TYPE = CONTENT_TYPE_LATEST
BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.15, 0.25, 0.4, 0.6,
    0.84, 1.2, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0,
)  # fmt: skip
MS_PER_S = 1000
MAX_ACCOUNT_LABELS = 200
OTHER_ACCOUNTS = "(others)"


class PrometheusMetrics:
    """Instruments of one process; times are in milliseconds."""

    def __init__(self) -> None:
        view = View(
            instrument_name="copperrun.*.seconds",
            aggregation=ExplicitBucketHistogramAggregation(BUCKETS_S),
        )
        provider = MeterProvider(
            [PrometheusMetricReader(scope_info_enabled=False)],
            exemplar_filter=AlwaysOffExemplarFilter(),
            views=[view],
        )
        meter = provider.get_meter("copperrun")
        self._first_token = meter.create_histogram("copperrun.first_token.seconds")
        self._token_gap = meter.create_histogram("copperrun.between_tokens.seconds")
        self._request = meter.create_histogram("copperrun.request.seconds")
        self._queue = meter.create_histogram("copperrun.queue.seconds")
        self._lag = meter.create_histogram("copperrun.configuration_lag.seconds")
        self._refusals = meter.create_counter("copperrun.refusals")
        self._account_requests = meter.create_counter("copperrun.account.requests")
        self._account_units = meter.create_counter("copperrun.account.units")
        self._account_refusals = meter.create_counter("copperrun.account.refusals")
        self._allotment = meter.create_gauge("copperrun.account.allotment_used.share")
        self._accounts: set[str] = set()
        self._missed = meter.create_counter("copperrun.missed")
        self._retries = meter.create_counter("copperrun.retries")
        self._moves = meter.create_counter("copperrun.moves")
        self._appends = meter.create_counter("copperrun.log_appends")
        self._held = meter.create_gauge("copperrun.held_bytes")
        self._cut_callers = meter.create_counter("copperrun.cut_callers")
        self._refused_uploads = meter.create_counter("copperrun.refused_uploads")
        self._refused_heads = meter.create_counter("copperrun.refused_uploads")
        self._engine_memory = meter.create_gauge("copperrun.engine_memory.share")
        self._attributes: dict[tuple[str, str], dict[str, str]] = {}
        self._answer_attributes: dict[tuple[str, str, bool], dict[str, str]] = {}

    def record_first_token(
        self, tenant: str, service_class: str, elapsed_ms: float
    ) -> None:
        """Record the time from arrival to the first chunk."""
        self._first_token.record(
            elapsed_ms / MS_PER_S, self._attributes_for(tenant, service_class)
        )

    def record_token_gap(self, tenant: str, service_class: str, gap_ms: float) -> None:
        """Record the time between two chunks."""
        self._token_gap.record(
            gap_ms / MS_PER_S, self._attributes_for(tenant, service_class)
        )

    def record_answer(
        self, tenant: str, service_class: str, elapsed_ms: float, *, met_targets: bool
    ) -> None:
        """Record a complete answer and whether it met its targets."""
        key = (tenant, service_class, met_targets)
        attributes = self._answer_attributes.get(key)
        if attributes is None:
            attributes = {
                **self._attributes_for(tenant, service_class),
                "met": "yes" if met_targets else "no",
            }
            self._answer_attributes[key] = attributes
        self._request.record(elapsed_ms / MS_PER_S, attributes)

    def record_refusal(self, tenant: str, service_class: str, refusal: Refusal) -> None:
        """Record a refusal."""
        attributes = self._attributes_for(tenant, service_class)
        self._refusals.add(
            1,
            {**attributes, "reason": refusal.reason.value, "ran": refusal.ran.value},
        )

    def record_account_use(self, account: str, units: int) -> None:
        """Record a request of a client account, with its units of the allotment."""
        labels = {"account": self._account_label(account)}
        self._account_requests.add(1, labels)
        self._account_units.add(units, labels)

    def record_account_refusal(self, account: str, refusal: Refusal) -> None:
        """Record a request of a client account refused for its allotment."""
        label = self._account_label(account)
        self._account_refusals.add(
            1, {"account": label, "reason": refusal.reason.value}
        )

    def record_allotment(self, account: str, used_share: float) -> None:
        """Record the share of an account's burst that is used up, as last known."""
        label = self._account_label(account)
        if label == account:
            self._allotment.set(used_share, {"account": label})

    def _account_label(self, account: str) -> str:
        """Return the account's name; one name for all beyond a bound."""
        if account not in self._accounts and len(self._accounts) >= MAX_ACCOUNT_LABELS:
            return OTHER_ACCOUNTS
        self._accounts.add(account)
        return account

    def record_missed(self, tenant: str, service_class: str) -> None:
        """Record a valid request that got no complete answer in time."""
        self._missed.add(1, self._attributes_for(tenant, service_class))

    def record_queue_time(
        self, tenant: str, service_class: str, queued_ms: float
    ) -> None:
        """Record the time that an attempt waited at a side."""
        self._queue.record(
            queued_ms / MS_PER_S, self._attributes_for(tenant, service_class)
        )

    def record_retry(self, reason: str) -> None:
        """Record a retry and why the attempt before it ended."""
        self._retries.add(1, {"reason": reason})

    def record_engine_memory(self, used_share: float, committed_share: float) -> None:
        """Record the share of an engine's memory in use, and with what may be added."""
        self._engine_memory.set(used_share, {"kind": "used"})
        self._engine_memory.set(committed_share, {"kind": "committed"})

    def record_move(self, operation: str, object_kind: str) -> None:
        """Record a load or unload of a model or adapter."""
        self._moves.add(1, {"kind": operation, "object": object_kind})

    def record_append(self, stream: str) -> None:
        """Record an append to the platform's log."""
        self._appends.add(1, {"stream": stream})

    def record_held(
        self, answer_bytes: int, upload_bytes: int, head_bytes: int = 0
    ) -> None:
        """Record the bytes that are held for callers."""
        self._held.set(head_bytes, {"object": "heads"})
        self._held.set(answer_bytes, {"object": "answers"})
        self._held.set(upload_bytes, {"object": "uploads"})

    def record_cut_caller(self, reason: str) -> None:
        """Record an answer that was ended because its caller reads too slowly."""
        self._cut_callers.add(1, {"reason": reason})

    def record_refused_upload(self, reason: str) -> None:
        """Record a request body that was not taken."""
        self._refused_uploads.add(1, {"reason": reason})

    def record_refused_head(self) -> None:
        """Record a request that was refused before its head was parsed."""
        self._refused_heads.add(1)

    def record_configuration_lag(self, lag_ms: float) -> None:
        """Record the time from a change's creation until it took effect here."""
        self._lag.record(lag_ms / MS_PER_S)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _attributes_for(self, tenant: str, service_class: str) -> dict[str, str]:
        key = (tenant, service_class)
        attributes = self._attributes.get(key)
        if attributes is None:
            attributes = self._attributes[key] = {
                "tenant": tenant,
                "class": service_class,
            }
        return attributes
