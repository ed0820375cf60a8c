"""The issuer of permits for limited backend servers: one gateway for each server.

The issuer of a server is the first gateway, in rendezvous order, of those that are running in the server's
zone: these exchange reports most often, and reach the server whenever any gateway does. Gateways may
disagree on it for a while; a gateway that does not consider itself the issuer issues nothing.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import read_boot_ms
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.request.permits import Decision, PermitBucket, Verdict

MIN_TAKEOVER_MS = 500.0
"""Minimum time for which a new issuer of a server's permits waits, so that an earlier one has received its
report and stopped. In a larger fleet it waits for a report period of its zone."""
PARTITION_FACTOR = 1.25
"""In a partition the issuer of each side issues this multiple of its side's fraction of the limit, at most
the limit. The bound on what a server gets is 1.5 times its limit; with this factor, the loss of a fifth
of the fleet costs no permits."""
SUSPENDED_MS = 1_000.0
"""A process that did not run for this long may have been replaced as the issuer."""
CHECK_INTERVAL_MS = 250.0


class IssuerRanking:
    """The gateways that may issue the permits of a server, in order of preference.

    Parameters
    ==========

    fleet : the other gateways.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def rank(self, incarnation: str, zone: str) -> list[str]:
        """Return the names of the running gateways, this one included, the issuer first."""
        fleet = self._fleet
        names = [peer.name for peer in fleet.list_running(zone)]
        if fleet.zone == zone:
            names.append(fleet.name)
        if not names:
            names = [peer.name for peer in fleet.list_running(None)] + [fleet.name]
        return rank_rendezvous(incarnation, names)

    def is_issuer(self, incarnation: str, zone: str) -> bool:
        """Return whether this gateway issues the permits of a server.

        A gateway that has not listed the other gateways yet cannot tell.
        """
        return self._fleet.is_listed and self.rank(incarnation, zone)[0] == self._fleet.name


class PermitIssuer:
    """Issues the permits of the servers whose issuer this gateway is.

    Parameters
    ==========

    ranking : tells whose permits this gateway issues.
    fleet : the other gateways.
    limits : the limits that the servers state.
    clock : the time.
    read_boot : returns milliseconds of a clock that also runs while the machine is suspended.
    """

    def __init__(
        self,
        ranking: IssuerRanking,
        fleet: Fleet,
        limits: ServerLimits,
        clock: Clock,
        read_boot: Callable[[], float] = read_boot_ms,
    ) -> None:
        self._ranking = ranking
        self._fleet = fleet
        self._limits = limits
        self._clock = clock
        self._read_boot = read_boot
        self._running_boot_ms = read_boot()
        self._buckets: dict[str, PermitBucket] = {}
        self._zones: dict[str, str] = {}

    def decide(self, incarnation: str, zone: str, urgency: int) -> Decision:
        """Decide on a request for a permit.

        Parameters
        ==========

        zone : the server's availability zone.
        urgency : of the request to be sent; 0 is the most urgent.
        """
        self._discard_after_suspension()
        if not self._ranking.is_issuer(incarnation, zone):
            self._discard(incarnation)
            return Decision(Verdict.NOT_ISSUER)
        statement = self._limits.get(incarnation)
        if not statement.is_limited:
            self._discard(incarnation)
            return Decision(Verdict.UNLIMITED)
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = PermitBucket(now_ms + self._find_takeover_ms())
            self._zones[incarnation] = zone
        return bucket.take(now_ms, statement.limit_per_s * self._find_share(), urgency)

    def run(self) -> None:
        """Discard the buckets of servers that others issue permits for, until the task is killed."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Discard the buckets of servers that are not limited, or whose issuer is another gateway."""
        self._discard_after_suspension()
        for incarnation, zone in list(self._zones.items()):
            is_limited = self._limits.is_limited(incarnation)
            if not is_limited or not self._ranking.is_issuer(incarnation, zone):
                self._discard(incarnation)

    def list_servers(self) -> list[str]:
        """Return the incarnations of the servers for which this gateway has issued permits lately."""
        return sorted(self._buckets)

    def _discard(self, incarnation: str) -> None:
        self._buckets.pop(incarnation, None)
        self._zones.pop(incarnation, None)

    def _discard_after_suspension(self) -> None:
        """Discard all buckets if this process did not run for a while."""
        boot_ms = self._read_boot()
        if boot_ms - self._running_boot_ms > SUSPENDED_MS:
            self._buckets.clear()
            self._zones.clear()
        self._running_boot_ms = boot_ms

    def _find_takeover_ms(self) -> float:
        return max(MIN_TAKEOVER_MS, self._fleet.get_near_period().ms)

    def _find_share(self) -> float:
        return min(PARTITION_FACTOR * self._fleet.get_connected_fraction(), 1.0)
