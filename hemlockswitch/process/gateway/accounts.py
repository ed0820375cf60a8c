"""The limits of client accounts over all daemons, from what each daemon says it has spent.

Each daemon keeps a bucket for each account and takes from it both its own requests and those that
the other daemons report, several times a second, and at once when little is left. Daemons that are
not heard count as a part of the limit that is theirs: in a cut each side admits only its part, so the
sum stays in the limit.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.version.serving_table import ForwardedAccount

START_SLACK_SHARE = 1 / 6
"""Part of the tolerated excess that a new process's bucket begins with, at most the burst. When all
daemons restart, each account gets this much anew, and once more before the daemons hear of one
another. With a sixth, a hot account stays in its bound over two restarts in one window; with a
third it does not (tests/test_gateway_accounts.py)."""
CONTENDED_SHARE = 0.75
"""Below this part of its capacity a bucket counts as contended: what is spent of it is told to the
other daemons at once, not with the next report, since each of them could spend the rest again."""
SHORTEST_WAIT_MS = 100.0
LONGEST_WAIT_MS = 4_000.0
"""Bounds of the time to come back that a refused caller is told."""


class AccountBucket:
    """What one account may spend, as one daemon believes.

    Parameters
    ==========

    start : what it holds at `now_ms`.

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
        """Use another limit from now on."""
        self._refill(now_ms, share)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, now_ms: float, amount: float, share: float) -> float | None:
        """Spend `amount`; return None, or the ms to wait when there is not enough.

        Parameters
        ==========

        share : part of the limit that the daemons in touch with this one have together.
        """
        self._refill(now_ms, share)
        needed = min(amount, self._capacity(share))
        if self._level >= needed:
            self._level -= amount
            return None
        rate = max(self._rate_per_s * share, 1.0)
        wait_ms = (needed - self._level) / rate * MS_PER_SECOND
        return min(max(wait_ms, SHORTEST_WAIT_MS), LONGEST_WAIT_MS)

    def spend(self, now_ms: float, amount: float, share: float) -> None:
        """Take what another daemon has spent, whatever the level."""
        self._refill(now_ms, share)
        self._level -= amount

    def is_contended(self, share: float) -> bool:
        """Return whether little is left of what the bucket may hold."""
        return self._level < CONTENDED_SHARE * self._capacity(share)

    def _capacity(self, share: float) -> float:
        return max(self._burst, self._rate_per_s) * share

    def _refill(self, now_ms: float, share: float) -> None:
        earned = self._rate_per_s * share * (now_ms - self._updated_ms) / MS_PER_SECOND
        self._updated_ms = now_ms
        self._level = min(self._level + earned, self._capacity(share))


class SharedLimits:
    """All accounts' limits at this daemon.

    Parameters
    ==========

    clock : the time.
    get_share : returns the part of the limits that the daemons in touch have together.
    on_contended : called when some of a contended bucket was spent, to tell the others.
    get_period : returns the longest time between two reports.
    slack : by how much the use of an account may exceed its limit over all daemons.
    """

    def __init__(
        self,
        clock: Clock,
        get_share: Callable[[], float],
        on_contended: Callable[[], None] = lambda: None,
        slack: float = 0.0,
        get_period: Callable[[], ReportPeriod] = lambda: ReportPeriod(),
    ) -> None:
        self.spent: dict[str, float] = defaultdict(float)
        self._clock = clock
        self._get_share = get_share
        self._on_contended = on_contended
        self._get_period = get_period
        self._untold: set[str] = set()
        self._start = slack * START_SLACK_SHARE
        self._buckets: dict[str, AccountBucket] = {}
        self._limits: dict[str, tuple[float, float]] = {}
        self._spent_ms: dict[str, float] = {}
        self._begun_ms = clock.now_ms()
        self._seen: dict[tuple[str, str], float] = {}

    def take(self, account: ForwardedAccount, amount: float) -> float | None:
        """Spend `amount` of an account; return None, or how long to wait in ms."""
        bucket = self._find_bucket(account)
        share = self._get_share()
        wait_ms = bucket.take(self._clock.now_ms(), amount, share)
        if wait_ms is not None:
            return wait_ms
        self.spent[account.name] += amount
        self._spent_ms[account.name] = self._clock.now_ms()
        self._untold.add(account.name)
        if bucket.is_contended(share):
            self._on_contended()
        return None

    def describe_spent(self) -> dict[str, float]:
        """Return what the accounts in use have spent here, for the other daemons.

        Each sum is repeated by several reports, so that a lost one changes nothing.
        """
        oldest_ms = self._clock.now_ms() - self._get_period().repeated_ms
        return {
            account: self.spent[account]
            for account, spent_ms in self._spent_ms.items()
            if spent_ms >= oldest_ms
        }

    def pop_changed(self) -> dict[str, float]:
        """Return the sums of the accounts that have spent here since the last call."""
        changed = {account: self.spent[account] for account in self._untold}
        self._untold.clear()
        return changed

    def take_report(self, daemon: str, spent: Mapping[str, float]) -> None:
        """Take another daemon's sums; `daemon` differs for each start of a process.

        Sums come by several ways; one that is older than what is known changes nothing.
        """
        if not spent:
            return
        share = self._get_share()
        for account, total in spent.items():
            before = self._seen.get((daemon, account))
            self._seen[daemon, account] = total if before is None else max(total, before)
            bucket = self._buckets.get(account)
            if before is not None and bucket is not None and total > before:
                bucket.spend(self._clock.now_ms(), total - before, share)

    def _find_bucket(self, account: ForwardedAccount) -> AccountBucket:
        """Return the account's bucket; a new one has filled since the process began."""
        limit = (account.rate_per_s, account.burst)
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = AccountBucket(
                self._begun_ms, *limit, self._start
            )
        elif self._limits[account.name] != limit:
            bucket.set_limit(now_ms, *limit, self._get_share())
        self._limits[account.name] = limit
        return bucket
