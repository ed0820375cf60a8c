"""The cost of the copies is summed only while a process leads, so that no time is charged twice."""

from prometheus_client import CollectorRegistry

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.copies.cost import MAX_CHARGED_GAP_MS, CostMeter, LicensedCopy

LABELS = {"target": "assistant-llm", "machine_class": "reclaimable"}
COPIES = [LicensedCopy("reclaimable", 2.0), LicensedCopy("reclaimable", 4.0)]


def test_time_and_price_add_up_and_a_gap_is_not_charged():
    registry, clock = CollectorRegistry(), ManualClock()
    meter = CostMeter(registry, clock)
    meter.record("assistant-llm", COPIES)
    clock.advance(18_000)
    meter.record("assistant-llm", COPIES)
    clock.advance(MAX_CHARGED_GAP_MS + 1)
    meter.record("assistant-llm", COPIES[:1])
    assert registry.get_sample_value("hemlock_copies", {"target": "assistant-llm"}) == 1
    assert registry.get_sample_value("hemlock_copy_seconds_total", LABELS) == 36
    cost = registry.get_sample_value("hemlock_copy_cost_total", LABELS)
    assert abs(cost - 6.0 * 18 / 3_600) < 1e-9
