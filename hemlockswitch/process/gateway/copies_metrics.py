"""Metrics of the duty that orders copies; only the holder of the duties has values."""

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.process.gateway.copies_plan import (
    CopiesSituation,
    Expected,
    count_measured,
    count_needed,
)

if TYPE_CHECKING:
    from prometheus_client.core import Metric


class CopiesCollector:
    """Converts the inputs and results of the last plans to types of the metrics library.

    Parameters
    ==========

    situations : the inputs of the last plan of each service.
    orders : the number of orders by service, machine class and outcome.
    """

    def __init__(
        self,
        situations: Mapping[str, CopiesSituation],
        orders: Mapping[tuple[str, str, str], int],
    ) -> None:
        self._situations = situations
        self._orders = orders

    def collect(self) -> "Iterator[Metric]":
        """Yield the metrics."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        needed = GaugeMetricFamily(
            "hemlock_copies_needed",
            "Copies that a service needs, by the measured and by the expected demand.",
            labels=["service", "basis"],
        )
        demand = GaugeMetricFamily(
            "hemlock_copies_demand",
            "Prompt tokens per millisecond that the copies of a service are planned for.",
            labels=["service", "basis"],
        )
        ages = GaugeMetricFamily(
            "hemlock_copies_input_age_seconds",
            "Age of the oldest input of the last plan of a managed service.",
            labels=["service", "input"],
        )
        for service, situation in list(self._situations.items()):
            needed.add_metric([service, "measured"], count_measured(situation))
            needed.add_metric([service, "expected"], count_needed(situation))
            demand.add_metric([service, "sent"], situation.demand.prefill_tokens_per_ms)
            expected = situation.expected
            if expected is None:
                continue
            demand.add_metric([service, "requested"], expected.level)
            demand.add_metric([service, "expected"], expected.level + expected.growth)
            for name, age_ms in _list_ages(expected).items():
                ages.add_metric([service, name], age_ms / MS_PER_SECOND)
        yield needed
        yield demand
        yield ages
        orders = CounterMetricFamily(
            "hemlock_copy_orders",
            "Orders for copies that this gateway sent.",
            labels=["service", "machine_class", "outcome"],
        )
        for labels, count in list(self._orders.items()):
            orders.add_metric(list(labels), count)
        yield orders


def _list_ages(expected: Expected) -> dict[str, float]:
    ages = {
        "report": expected.report_age_ms,
        "pace": expected.pace_age_ms,
        "reclaim": expected.reclaim_age_ms,
    }
    return {name: age_ms for name, age_ms in ages.items() if age_ms is not None}
