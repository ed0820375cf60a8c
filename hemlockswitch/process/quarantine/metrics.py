"""Exports the counts of a guard as metrics; prometheus_client is imported at the first collection."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from hemlockswitch.process.quarantine.guard import GuardCounts

if TYPE_CHECKING:
    from prometheus_client.core import Metric


class GuardCollector:
    """Collector of a guard's counts for prometheus_client.

    Parameters
    ==========

    counts : the counts of the guard.
    """

    def __init__(self, counts: GuardCounts) -> None:
        self._counts = counts

    def collect(self) -> "Iterator[Metric]":
        """Yield the counts as metric families; called by prometheus_client."""
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
            "Contents and parts of prompts that are held back.",
            value=self._counts.held,
        )
