"""Metrics of the peer network, the membership and gossip."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from hemlockswitch.connection.links import Traffic
from hemlockswitch.process.cluster_state import ClusterState


class PeerCollector(Collector):
    """Exports the counters of the peer network, membership and gossip when scraped.

    Parameters
    ==========

    cluster_state : the daemon's view of the cluster.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    @classmethod
    def register(cls, cluster_state: ClusterState, registry: CollectorRegistry) -> None:
        """Add the metrics to `registry`."""
        registry.register(cls(cluster_state))

    def describe(self) -> list[Metric]:
        """Return no metrics, since they exist only once the daemon is running."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        yield self._collect_members()
        yield from _collect_traffic(self._cluster_state.network.traffic)
        streams = len(self._cluster_state.network.list_streams())
        yield GaugeMetricFamily("hemlock_peer_streams", "Open peer streams.", streams)
        repairs = self._cluster_state.gossip.repairs
        yield CounterMetricFamily("hemlock_news_repairs", "Comparisons of boards.", repairs)

    def _collect_members(self) -> Metric:
        family = GaugeMetricFamily(
            "hemlock_members",
            "Daemons that this one knows, by zone and state.",
            labels=("zone", "state"),
        )
        membership = self._cluster_state.membership
        members = membership.list_members() if membership is not None else []
        counts = Counter((member.zone, member.state.name.lower()) for member in members)
        for labels, count in sorted(counts.items()):
            family.add_metric(labels, count)
        return family


def _collect_traffic(traffic: Traffic) -> Iterator[Metric]:
    messages = CounterMetricFamily(
        "hemlock_peer_messages", "Messages between daemons.", labels=("direction",)
    )
    sizes = CounterMetricFamily(
        "hemlock_peer_bytes", "Bytes of messages between daemons.", labels=("direction",)
    )
    for direction in ("in", "out"):
        messages.add_metric((direction,), getattr(traffic, f"messages_{direction}"))
        sizes.add_metric((direction,), getattr(traffic, f"bytes_{direction}"))
    yield messages
    yield sizes
    yield CounterMetricFamily(
        "hemlock_peer_dropped", "Messages dropped at a full or closed stream.", traffic.dropped
    )
