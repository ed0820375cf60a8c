"""What each client account requests of the managed services, over all gateways, and its fair part.

Answers the load of one account that requests many times as much as others while the engines of a service cannot
process everything. An account within its part is not refused because of another account's surplus.
"""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.messages import RequestedFields
from hemlockswitch.process.gateway.meters import DemandMeter
from hemlockswitch.request.fair_shares import AccountDemand, divide_capacity

MIN_TIME_CONSTANT_MS = 1_000.0
"""An account that requests many times its usual amount is recognised within a second; a shorter time would count
single large prompts as surplus."""
HEADROOM = 1.1
"""What an account is expected to request at most, relative to the measured rate. The rate of an account with 20
requests per second varies by a tenth; without headroom, what it requests less for a moment is given away."""
LIFETIME_SHARE = 0.5
"""The time constant as a fraction of the lifetime of a report, if that is longer: the gateways of a large fleet report
seldom, and a rate over a time much shorter than a report period would be that of a few requests."""
DIVISION_LIFETIME_MS = 100.0
"""How long a division of the capacity is used: reports arrive about as often."""
MAX_REPORTED_PAIRS = 32
"""Pairs of service and account in one report of a fleet of up to `REFERENCE_GATEWAYS`."""
MIN_REPORTED_PAIRS = 2
REFERENCE_GATEWAYS = 100
"""In a larger fleet a report has fewer pairs, so that the bytes that a gateway receives do not grow with it."""
MIN_REPORTED_RATE = 0.001
"""Work per millisecond below which a pair is left out of reports."""
MAX_DEBT = 4.0
"""Requests beyond the credit of an account, admitted beside free room or as booked returns, that are charged at most;
more would refuse the account's new requests for long."""
MAX_CREDIT = 8.0
"""Requests of an account beyond its part that may be admitted in a row, after a pause."""
NO_ACCOUNT = ""


@dataclass(frozen=True)
class _Reported:
    received_ms: float
    requested: RequestedFields


@dataclass
class _Sum:
    """What an account requests of a service, summed over the reports that name it."""

    rate: float = 0.0
    count: int = 0
    weight: float = 1.0


@dataclass(frozen=True)
class _Division:
    """The parts of the accounts of a service, and what they request.

    Parameters
    ==========

    own_fractions : for each account, the fraction of what it requests that it requests at this gateway.
    """

    made_ms: float
    capacity: float
    parts: Mapping[str, float]
    demands: Mapping[str, AccountDemand]
    own_fractions: Mapping[str, float]


class AccountDemands:
    """Measures the requested work, exchanges it with the other gateways, and divides the capacity.

    Parameters
    ==========

    clock : the time.
    find_capacity : returns the work per millisecond that the servers of a service can process for the gateways
        connected to this one.
    get_lifetime_ms : returns how long another gateway's report counts.
    count_gateways : returns the number of gateways of the fleet.

    Attributes
    ==========

    decisions : number of decisions on new requests by (action, standing of the request).
    """

    def __init__(
        self,
        clock: Clock,
        find_capacity: Callable[[str], float],
        get_lifetime_ms: Callable[[], float],
        count_gateways: Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._random = random.Random()
        self._started_ms = clock.now_ms()
        self._find_capacity = find_capacity
        self._get_lifetime_ms = get_lifetime_ms
        self._count_gateways = count_gateways
        self.decisions: Counter[tuple[str, str]] = Counter()
        self._meters: dict[str, dict[str, DemandMeter]] = defaultdict(dict)
        self._weights: dict[str, float] = {}
        self._reported: dict[str, _Reported] = {}
        self._sums: dict[str, dict[str, _Sum]] = defaultdict(dict)
        self._divisions: dict[str, _Division] = {}
        self._credits: dict[tuple[str, str], float] = {}

    def record(self, service: str, account: str, weight: float, work: float) -> None:
        """Record work that is newly requested, whether it will be admitted or refused.

        Parameters
        ==========

        account : empty for requests without an account, which count as those of one account.
        weight : relative part of the capacity that the account is entitled to.
        """
        self._weights[account] = weight
        meters = self._meters[service]
        time_constant_ms = max(MIN_TIME_CONSTANT_MS, LIFETIME_SHARE * self._get_lifetime_ms())
        if account not in meters:
            meters[account] = DemandMeter(time_constant_ms)
        meters[account].time_constant_ms = time_constant_ms
        meters[account].add(self._clock.now_ms(), work)

    def is_within_part(self, service: str, account: str) -> bool:
        """Return whether an account requests no more than its fair part."""
        return self._find_fraction(service, account) >= 1.0

    def has_credit(self, service: str, account: str, gain: float = 1.0) -> bool:
        """Earn credit for one request of an account beyond its part; return whether it suffices for the request.

        The credit for each request is the part of the account divided by what it requests, times `gain`.
        """
        fraction = self._find_fraction(service, account) * gain
        credit = min(self._get_credit(service, account) + fraction, MAX_CREDIT)
        self._credits[service, account] = credit
        return credit >= 1.0

    def use_credit(self, service: str, account: str) -> None:
        """Charge a request of an account beyond its part that is admitted, for whatever reason."""
        credit = self._get_credit(service, account) - 1.0
        self._credits[service, account] = max(credit, -MAX_DEBT)

    def _get_credit(self, service: str, account: str) -> float:
        """Return the credit of an account; the first one is random.

        Many gateways would otherwise reach a whole credit at the same time, again and again.
        """
        return self._credits.setdefault((service, account), self._random.random())

    def find_own_part(self, service: str, account: str) -> float:
        """Return the work per millisecond of an account's part that its requests at this gateway may use."""
        division = self._divide(service)
        return division.parts.get(account, 0.0) * division.own_fractions.get(account, 1.0)

    def find_surplus(self, service: str) -> float:
        """Return how much more is requested of a service than it can process, as a fraction of that."""
        division = self._divide(service)
        capacity = division.capacity
        if capacity <= 0:
            return 0.0
        offered = sum(demand.offered for demand in division.demands.values())
        return max(offered / capacity - 1.0, 0.0)

    def _find_fraction(self, service: str, account: str) -> float:
        """Return the part of an account divided by what it requests."""
        division = self._divide(service)
        demand = division.demands.get(account)
        if demand is None or demand.offered <= 0:
            return 1.0
        return division.parts[account] / demand.offered

    def describe_own(self) -> RequestedFields:
        """Return what is requested at this gateway, for the other gateways; only the largest pairs."""
        now_ms = self._clock.now_ms()
        pairs = [
            (rate, service, account)
            for service, meters in self._meters.items()
            for account, meter in meters.items()
            if (rate := self._measure(meter, now_ms)) >= MIN_REPORTED_RATE
        ]
        most = MAX_REPORTED_PAIRS * REFERENCE_GATEWAYS // max(self._count_gateways(), 1)
        most = min(max(most, MIN_REPORTED_PAIRS), MAX_REPORTED_PAIRS)
        requested: RequestedFields = defaultdict(dict)
        for rate, service, account in sorted(pairs, reverse=True)[:most]:
            requested[service][account] = (round(rate, 3), self._weights[account])
        return dict(requested)

    def apply_report(self, gateway: str, requested: RequestedFields) -> None:
        """Apply what is requested at another gateway."""
        self._discard(gateway)
        if requested:
            self._reported[gateway] = _Reported(self._clock.now_ms(), requested)
            self._add(requested, 1)

    def describe(self) -> dict[str, Any]:
        """Return what each account requests and its part, by service, for the status page."""
        return {
            service: {
                account: {
                    "requested_per_ms": round(demand.offered, 2),
                    "part_per_ms": round(division.parts[account], 2),
                }
                for account, demand in sorted(division.demands.items())
            }
            for service in sorted(self._meters)
            for division in (self._divide(service),)
        }

    def _measure(self, meter: DemandMeter, now_ms: float) -> float:
        """Return the rate of a meter, which has measured for less than its time constant after a start."""
        age_ms = max(now_ms - self._started_ms, MIN_TIME_CONSTANT_MS)
        return meter.get(now_ms) / (1.0 - math.exp(-age_ms / meter.time_constant_ms))

    def _discard(self, gateway: str) -> None:
        reported = self._reported.pop(gateway, None)
        if reported is not None:
            self._add(reported.requested, -1)

    def _add(self, requested: RequestedFields, sign: int) -> None:
        """Add a report to the sums over all reports, or subtract it.

        A division in a large fleet would otherwise read thousands of reports, ten times a second.
        """
        for service, rates in requested.items():
            sums = self._sums[service]
            for account, (rate, weight) in rates.items():
                total = sums.setdefault(account, _Sum())
                total.rate += sign * rate
                total.count += sign
                total.weight = weight
                if not total.count:
                    del sums[account]

    def _divide(self, service: str) -> _Division:
        now_ms = self._clock.now_ms()
        division = self._divisions.get(service)
        if division is None or now_ms - division.made_ms >= DIVISION_LIFETIME_MS:
            division = self._divisions[service] = self._make_division(service, now_ms)
        return division

    def _make_division(self, service: str, now_ms: float) -> _Division:
        rates: dict[str, float] = defaultdict(float)
        weights: dict[str, float] = {}
        for account, meter in self._meters.get(service, {}).items():
            rates[account] = self._measure(meter, now_ms)
            weights[account] = self._weights[account]
        own = dict(rates)
        oldest_ms = now_ms - self._get_lifetime_ms()
        expired = [one for one, report in self._reported.items() if report.received_ms < oldest_ms]
        for gateway in expired:
            self._discard(gateway)
        for account, total in self._sums[service].items():
            rates[account] += total.rate
            weights.setdefault(account, total.weight)
        demands = {
            account: AccountDemand(rate, weights[account]) for account, rate in rates.items()
        }
        own_fractions = {
            account: own[account] / rate for account, rate in rates.items() if own.get(account)
        }
        capacity = self._find_capacity(service)
        expected = {
            account: AccountDemand(demand.offered * HEADROOM, demand.weight)
            for account, demand in demands.items()
        }
        parts = divide_capacity(capacity, expected)
        return _Division(now_ms, capacity, parts, demands, own_fractions)
