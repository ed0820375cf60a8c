"""Metrics of the cost of the copies: their number, their running time, and their price."""

from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge

from hemlockswitch.core.clock import MS_PER_HOUR, MS_PER_SECOND, Clock

MAX_CHARGED_GAP_MS = 30_000.0


@dataclass(frozen=True)
class LicensedCopy:
    """A copy that uses a licence, with the price of its VM."""

    machine_class: str
    price_per_hour: float


class CostMeter:
    """Sums the cost of a zone's copies while this process leads the zone.

    Explanation
    ===========

    Each pass of the leader records the current copies, and charges the time since the previous record at
    their price. After a gap longer than `MAX_CHARGED_GAP_MS`, for instance while another process led, nothing is
    charged, so that the sum over all controllers counts no hour twice.

    Parameters
    ==========

    registry : the registry of the metrics.
    clock : the process's clock.
    """

    def __init__(self, registry: CollectorRegistry, clock: Clock) -> None:
        self._clock = clock
        self._last_ms: dict[str, float] = {}
        self._copies = Gauge(
            "hemlock_copies", "copies that count as licence", ["target"], registry=registry
        )
        self._seconds = Counter(
            "hemlock_copy_seconds",
            "time that copies were held",
            ["target", "machine_class"],
            registry=registry,
        )
        self._cost = Counter(
            "hemlock_copy_cost",
            "price of the copies held, in the units of the VM list's price_per_hour",
            ["target", "machine_class"],
            registry=registry,
        )

    def record(self, target: str, copies: Iterable[LicensedCopy]) -> None:
        """Charge the time since the previous record of `target` for the current copies."""
        held = list(copies)
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._last_ms.get(target, now_ms)
        self._last_ms[target] = now_ms
        self._copies.labels(target).set(len(held))
        if elapsed_ms > MAX_CHARGED_GAP_MS:
            return
        for copy in held:
            labels = (target, copy.machine_class)
            self._seconds.labels(*labels).inc(elapsed_ms / MS_PER_SECOND)
            self._cost.labels(*labels).inc(copy.price_per_hour * elapsed_ms / MS_PER_HOUR)
