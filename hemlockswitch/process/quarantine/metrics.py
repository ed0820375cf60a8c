"""What a guard has counted, as metrics; prometheus_client is loaded when they are asked for."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from hemlockswitch.process.quarantine.guard import GuardCounts

if TYPE_CHECKING:
    from prometheus_client.core import Metric


class GuardCollector:
    """Gives a guard's counts to the library.

    Parameters
    ==========

    counts : what the guard has counted.
    """

    def __init__(self, counts: GuardCounts) -> None:
        self._counts = counts

    def collect(self) -> "Iterator[Metric]":
        """Yield the figures as the library's types (called by it)."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        yield CounterMetricFamily(
            "hemlock_requests_on_ended_servers",
            "Requests in progress on a backend server that ended.",
            value=self._counts.ends,
        )
        yield CounterMetricFamily(
            "hemlock_quarantine_trials",
            "Held-back requests sent as a trial.",
            value=self._counts.trials,
        )
        yield GaugeMetricFamily(
            "hemlock_quarantined_contents",
            "Contents that are held back.",
            value=self._counts.held,
        )
