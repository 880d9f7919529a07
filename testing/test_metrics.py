"""Metrics of the platform's roles."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families
from testtools.assertions import assert_that
from testtools.matchers import Equals

from copperrun.platform.metrics import MetricsOnDemand


def _retries(text: bytes) -> float:
    samples = [
        sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
        if sample.labels.get("reason") == "metrics-test"
    ]
    return sum(samples)


def test_metrics_are_counted_from_the_first_time_they_are_read():
    metrics = MetricsOnDemand()
    metrics.record_retry("metrics-test")
    before, _ = metrics.render()
    metrics.record_retry("metrics-test")
    metrics.record_retry("metrics-test")
    after, content_type = metrics.render()
    assert_that((_retries(before), _retries(after)), Equals((0.0, 2.0)))
    assert_that(content_type.startswith("text/plain"), Equals(True))
