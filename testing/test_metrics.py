"""Metrics of the platform's roles."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from copperrun.adapters.metrics import MAX_ACCOUNT_LABELS
from copperrun.adapters.metrics import OTHER_ACCOUNTS
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason
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


def test_metrics_name_a_bounded_number_of_client_accounts():
    metrics = MetricsOnDemand()
    metrics.render()
    refusal = Refusal(RefusalReason.RATE_LIMITED, Ran.NO, "", 1)
    for number in range(MAX_ACCOUNT_LABELS + 50):
        metrics.record_account_use(f"account-{number}", 7)
        metrics.record_account_refusal(f"account-{number}", refusal)
        metrics.record_allotment(f"account-{number}", 0.5)
    text, _ = metrics.render()
    samples = [
        sample
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
        if "account" in sample.labels
    ]
    names = {sample.labels["account"] for sample in samples}
    others = {
        sample.name: sample.value
        for sample in samples
        if sample.labels["account"] == OTHER_ACCOUNTS
    }
    assert_that(names, HasLength(MAX_ACCOUNT_LABELS + 1))
    assert_that(others["copperrun_account_units_total"], Equals(50 * 7.0))
