"""Rate limits of client accounts over all daemons, enforced with reports of each daemon's spending.

Each daemon has a token bucket for each account, and deducts both its own requests and those that its
peers report, several times a second and at once when little is left. Daemons that are not connected
retain their share of the limit: in a network partition each side admits only its own share, so that
the sum stays within the limit.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.limit_division import MAX_DEBT_SHARE, LimitDivision
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.version.serving_table import ForwardedAccount

START_SLACK_SHARE = 1 / 6
"""Fraction of the tolerated excess with which the bucket of a new process starts, at most the burst.
When all daemons restart, each account gets this amount again, and once more before the daemons receive
each other's reports. With a sixth, a busy account stays within its limit over two restarts in one
window; with a third it does not (tests/test_gateway_accounts.py)."""
CONTENDED_SHARE = 0.75
"""Below this fraction of its capacity a bucket counts as contended: spending from it is reported to the
peers at once instead of with the next report, since each of them could spend the remaining amount
again."""
DIVIDED_SHARE = 0.5
"""Below this fraction of its capacity the limit is divided between the account's routes. An account that keeps to its
limit rarely falls below it; one that exceeds it leaves half a burst to the requests of its other routes."""
MIN_WAIT_MS = 100.0
MAX_WAIT_MS = 4_000.0
"""Limits of the retry delay sent to a refused caller."""


class AccountBucket:
    """Token bucket of one account, as estimated by one daemon.

    Parameters
    ==========

    start : level of the bucket at `now_ms`.

    Examples
    ========

    >>> bucket = AccountBucket(now_ms=0, rate_per_s=100, burst=50)
    >>> bucket.take(1_000, 80, share=1.0), bucket.take(1_000, 30, share=1.0)
    (None, 100.0)
    """

    def __init__(
        self,
        now_ms: float,
        rate_per_s: float,
        burst: float,
        start: float = 0.0,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(start, burst)
        self._updated_ms = now_ms

    def set_limit(self, now_ms: float, rate_per_s: float, burst: float, share: float) -> None:
        """Change the limit from `now_ms` on."""
        self._refill(now_ms, share)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, now_ms: float, amount: float, share: float) -> float | None:
        """Spend `amount` and return None, or return the ms to wait if the level is too low.

        Parameters
        ==========

        share : fraction of the limit that belongs to this daemon and its connected peers.
        """
        self._refill(now_ms, share)
        needed = min(amount, self._capacity(share))
        if self._level >= needed:
            self._level -= amount
            return None
        rate = max(self._rate_per_s * share, 1.0)
        wait_ms = (needed - self._level) / rate * MS_PER_SECOND
        return min(max(wait_ms, MIN_WAIT_MS), MAX_WAIT_MS)

    def overdraw(self, now_ms: float, amount: float, share: float) -> bool:
        """Spend `amount` unless the bucket is overdrawn by more than `MAX_DEBT_SHARE`; return whether it was spent."""
        self._refill(now_ms, share)
        if self._level < -MAX_DEBT_SHARE * self._capacity(share):
            return False
        self._level -= amount
        return True

    def find_level_share(self, now_ms: float, share: float) -> float:
        """Return the level as a fraction of the capacity; negative if the bucket is overdrawn."""
        self._refill(now_ms, share)
        return self._level / max(self._capacity(share), 1.0)

    def deduct(self, now_ms: float, amount: float, share: float) -> None:
        """Deduct an amount that another daemon has spent, whatever the level; a negative one is given back."""
        self._refill(now_ms, share)
        self._level = min(self._level - amount, self._capacity(share))

    def is_contended(self, share: float) -> bool:
        """Return whether the level is below the contended fraction of the capacity."""
        return self._level < CONTENDED_SHARE * self._capacity(share)

    def _capacity(self, share: float) -> float:
        return max(self._burst, self._rate_per_s) * share

    def _refill(self, now_ms: float, share: float) -> None:
        earned = self._rate_per_s * share * (now_ms - self._updated_ms) / MS_PER_SECOND
        self._updated_ms = now_ms
        self._level = min(self._level + earned, self._capacity(share))


class SharedLimits:
    """Limits of all accounts at this daemon.

    Parameters
    ==========

    clock : source of the current time.
    get_share : returns the fraction of the limits that belongs to this daemon and its connected peers.
    on_contended : called when a request has spent from a contended bucket, to report it to the peers.
    get_period : returns the maximum interval between reports.
    slack : by how much the use of an account may exceed its limit over all daemons.
    division : divides an account's limit between its routes while it requests more; None for first come, first
        served.
    """

    def __init__(
        self,
        clock: Clock,
        get_share: Callable[[], float],
        on_contended: Callable[[], None] = lambda: None,
        slack: float = 0.0,
        get_period: Callable[[], ReportPeriod] = lambda: ReportPeriod(),
        division: LimitDivision | None = None,
    ) -> None:
        self._division = division
        self.spent: dict[str, float] = defaultdict(float)
        self._clock = clock
        self._get_share = get_share
        self._on_contended = on_contended
        self._get_period = get_period
        self._unreported: set[str] = set()
        self._start_level = slack * START_SLACK_SHARE
        self._buckets: dict[str, AccountBucket] = {}
        self._limits: dict[str, tuple[float, float]] = {}
        self._spent_ms: dict[str, float] = {}
        self._returned: dict[str, float] = defaultdict(float)  # reported as spent, but given back
        self._started_ms = clock.now_ms()
        self._received: dict[tuple[str, str], float] = {}

    def take(self, account: ForwardedAccount, amount: float, route: str = "") -> float | None:
        """Spend `amount` of an account for a request on a route and return None, or return the ms to wait."""
        bucket = self._find_bucket(account)
        share = self._get_share()
        wait_ms = self._take_from(bucket, account, amount, route, share)
        if wait_ms is not None:
            return wait_ms
        reported = max(amount - self._returned[account.name], 0.0)
        self._returned[account.name] -= amount - reported
        self.spent[account.name] += reported
        self._spent_ms[account.name] = self._clock.now_ms()
        self._unreported.add(account.name)
        if bucket.is_contended(share):
            self._on_contended()
        return None

    def _take_from(
        self,
        bucket: AccountBucket,
        account: ForwardedAccount,
        amount: float,
        route: str,
        share: float,
    ) -> float | None:
        now_ms = self._clock.now_ms()
        division = self._division
        if division is None or not division.applies_to(account):
            return bucket.take(now_ms, amount, share)
        level_share = bucket.find_level_share(now_ms, share)
        division.record(account, route, amount, level_share)
        if level_share >= DIVIDED_SHARE:
            return bucket.take(now_ms, amount, share)
        if division.admits(account, route) and bucket.overdraw(now_ms, amount, share):
            return None
        return division.find_wait_ms(account, route, amount, MIN_WAIT_MS, MAX_WAIT_MS)

    def give_back(self, account: ForwardedAccount, amount: float) -> None:
        """Return what a request has spent that was refused afterwards and has not run.

        Reported sums never decrease, so that lost reports have no effect. The amount is left out of what the account
        spends here next.
        """
        bucket = self._find_bucket(account)
        bucket.deduct(self._clock.now_ms(), -amount, self._get_share())
        self._returned[account.name] += amount

    def describe_spent(self) -> dict[str, float]:
        """Return the sums spent here by the accounts in use, for the other daemons.

        Each sum is repeated in several reports, so that the loss of one report has no effect.
        """
        oldest_ms = self._clock.now_ms() - self._get_period().repeated_ms
        return {
            account: self.spent[account]
            for account, spent_ms in self._spent_ms.items()
            if spent_ms >= oldest_ms
        }

    def pop_unreported(self) -> dict[str, float]:
        """Return the sums of the accounts that have spent here since the last call."""
        changed = {account: self.spent[account] for account in self._unreported}
        self._unreported.clear()
        return changed

    def apply_report(self, daemon: str, spent: Mapping[str, float]) -> None:
        """Apply another daemon's sums; `daemon` differs for each start of a process.

        Sums arrive over several paths; one that is lower than the recorded sum is ignored.
        """
        if not spent:
            return
        share = self._get_share()
        for account, total in spent.items():
            before = self._received.get((daemon, account))
            self._received[daemon, account] = total if before is None else max(total, before)
            bucket = self._buckets.get(account)
            if before is not None and bucket is not None and total > before:
                bucket.deduct(self._clock.now_ms(), total - before, share)

    def _find_bucket(self, account: ForwardedAccount) -> AccountBucket:
        """Return the account's bucket; a new bucket has been filling since the process started."""
        limit = (account.rate_per_s, account.burst)
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = AccountBucket(
                self._started_ms, *limit, self._start_level
            )
        elif self._limits[account.name] != limit:
            bucket.set_limit(now_ms, *limit, self._get_share())
        self._limits[account.name] = limit
        return bucket
