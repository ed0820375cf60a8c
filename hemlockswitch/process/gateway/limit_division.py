"""Division of an account's limit between its kinds of requests while it requests more than its limit.

Answers the load of an account that requests several times its limit, most of it in long prompts. A token bucket
alone refuses short requests as often as long ones, although they hardly use the limit, and all gateways spend what
one refill adds before they receive one another's reports. The rate is therefore divided between the account's routes
by max-min fairness, and each gateway admits the fraction of a route's requests that its part is of what it requests.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.account_demand import AccountDemands
from hemlockswitch.process.gateway.messages import RequestedFields
from hemlockswitch.request.permits import ReturnSchedule
from hemlockswitch.version.serving_table import ForwardedAccount

WEIGHT = 1.0
FULL_RATE_SHARE = 0.75
MIN_RATE_SHARE = 0.5
"""The rate that is divided falls with the level of the bucket, from the whole limit at a quarter of the capacity down
to `MIN_RATE_SHARE` of it. A bucket that was overdrawn before the reports of a burst arrived fills again."""
CHANGE_INTERVAL_MS = 300.0
"""A large fleet reports its accounts completely only every few seconds, in which a burst is half over."""
CONTENDED_MS = 2_000.0
"""How long an account is reported after it had little of its limit left."""
MAX_DEBT_SHARE = 0.25
"""Fraction of a bucket's capacity by which requests within their parts may overdraw it: they are admitted at a rate
that keeps to the limit on average. Limits tolerate a tenth of what a window of several seconds allows."""


class LimitDivision:
    """Divides the limits of accounts between their routes.

    Parameters
    ==========

    is_enabled : whether limits are divided; only those that count tokens are, as other requests cost the same.
    clock : the time.
    get_lifetime_ms : returns how long another gateway's report counts.
    count_gateways : returns the number of gateways of the fleet.
    """

    def __init__(
        self,
        is_enabled: bool,
        clock: Clock,
        get_lifetime_ms: Callable[[], float],
        count_gateways: Callable[[], int] = lambda: 1,
    ) -> None:
        self._is_enabled = is_enabled
        self._clock = clock
        self._rates: dict[str, float] = {}  # per ms, by account
        self._demands = AccountDemands(
            clock, lambda account: self._rates.get(account, 0.0), get_lifetime_ms, count_gateways
        )
        self._described_ms = float("-inf")
        self._contended_ms: dict[str, float] = {}  # when an account last had little left
        self._returns: dict[tuple[str, str], ReturnSchedule] = {}

    def applies_to(self, account: ForwardedAccount) -> bool:
        """Return whether the limit of an account is divided."""
        return self._is_enabled and account.counts_tokens

    def record(
        self, account: ForwardedAccount, route: str, amount: float, level_share: float
    ) -> None:
        """Record what an account requests on a route, whether it will be admitted or refused.

        Parameters
        ==========

        level_share : level of the account's bucket as a fraction of its capacity.
        """
        usable = min(max(FULL_RATE_SHARE + level_share, MIN_RATE_SHARE), 1.0)
        self._rates[account.name] = usable * account.rate_per_s / MS_PER_SECOND
        self._demands.record(account.name, route, WEIGHT, amount)

    def admits(self, account: ForwardedAccount, route: str) -> bool:
        """Return whether one more request of a contended account is within the part of its route.

        Of a route that requests more than its part, the fraction is admitted that the part is of what is requested.
        """
        self._contended_ms[account.name] = self._clock.now_ms()
        if self._demands.is_within_part(account.name, route):
            return True
        if not self._demands.has_credit(account.name, route):
            return False
        self._demands.use_credit(account.name, route)
        return True

    def find_wait_ms(
        self, account: ForwardedAccount, route: str, amount: float, least_ms: float, most_ms: float
    ) -> float:
        """Return in how many ms the caller of a refused request should return.

        Refused callers return one after the other, at the rate of the route's part at this gateway.
        """
        now_ms = self._clock.now_ms()
        part = self._demands.find_own_part(account.name, route)
        gap_ms = amount / part if part > 0 else most_ms
        schedule = self._returns.setdefault((account.name, route), ReturnSchedule())
        return schedule.reserve(now_ms + least_ms, now_ms + most_ms, gap_ms, 0) - now_ms

    def describe_own(self) -> RequestedFields:
        """Return what the contended accounts request at this gateway, by account and route, for the other gateways."""
        oldest_ms = self._clock.now_ms() - CONTENDED_MS
        contended = {name for name, at_ms in self._contended_ms.items() if at_ms >= oldest_ms}
        if not contended:
            return {}
        requested = self._demands.describe_own()
        return {account: routes for account, routes in requested.items() if account in contended}

    def describe_changed(self) -> RequestedFields:
        """Return the same for a report of changes, at most once in `CHANGE_INTERVAL_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._described_ms < CHANGE_INTERVAL_MS:
            return {}
        requested = self.describe_own()
        if requested:
            self._described_ms = now_ms
        return requested

    def apply_report(self, gateway: str, requested: RequestedFields) -> None:
        """Apply what the accounts request at another gateway."""
        self._demands.apply_report(gateway, requested)
