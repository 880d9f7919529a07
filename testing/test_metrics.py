"""Metrics of the platform's roles equal those of copperrun's own processes."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Not

from copperrun.adapters.metrics import PrometheusMetrics
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
from copperrun.platform.metrics import TextMetrics
from copperrun.ports.metrics import Metrics

AWKWARD = 'quoted "name" \\ and\nline'


def _record_each(metrics: Metrics) -> None:
    refusal = Refusal(RefusalReason.NO_SERVER, Ran.NO, "none", 1)
    for elapsed_ms in (0, 2, 3, 33, 120_000, 130_000):
        metrics.record_first_token("metrics-test", "chat", elapsed_ms)
        metrics.record_token_gap("metrics-test", "chat", elapsed_ms)
        metrics.record_queue_time("metrics-test", AWKWARD, elapsed_ms)
        metrics.record_configuration_lag(elapsed_ms)
        metrics.record_answer("metrics-test", "chat", elapsed_ms, met_targets=True)
        metrics.record_answer("metrics-test", "chat", elapsed_ms, met_targets=False)
    metrics.record_refusal("metrics-test", "chat", refusal)
    metrics.record_missed("metrics-test", AWKWARD)
    metrics.record_retry("metrics-test")
    metrics.record_retry("metrics-test")
    metrics.record_move("metrics-test", "model")
    metrics.record_append("metrics-test")


def _samples(data: bytes) -> dict[tuple[str, frozenset[tuple[str, str]]], float]:
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(data.decode())
        for sample in family.samples
        if sample.name.startswith("copperrun_")
        and ("metrics-test" in sample.labels.values() or "_lag_" in sample.name)
    }


def test_each_sample_equals_that_of_the_library():
    ours, library = TextMetrics(), PrometheusMetrics()
    for metrics in (ours, library):
        _record_each(metrics)
    expected = _samples(library.render())
    assert_that(expected, Not(Equals({})))
    assert_that(_samples(ours.render()), Equals(expected))


def test_nothing_recorded_renders_nothing():
    assert_that(TextMetrics().render(), Equals(b""))
