"""Admission control: decides whether a request may start here, before anything is sent."""

import random
from collections.abc import Callable
from types import TracebackType

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.allowances import Allowance, Allowances, Credit, Shortage
from hemlockswitch.request.capacity import CapacityQueue
from hemlockswitch.request.ledger import MIN_WAIT_MS, AccountLedger, LimitRefusal

JITTER_RATIO = 0.5
MAX_RETRY_DELAY_MS = 30_000.0
SEEK_WAIT_MS = 150.0
MAX_SEEKS = 6
MAX_WAITING = 16
WAIT_MARGIN_MS = 1.0


class Permit:
    """Permission to run one admitted request; closing it settles the client account's charges.

    Explanation
    ===========

    Use it as a context manager, or call `close` when the request has ended. Closing it again has no
    effect. For a request that is refused after admission but before it is sent, call `cancel`, which
    refunds all charges.
    """

    def __init__(
        self, ledger: AccountLedger, leave: Callable[[], None], tokens_charged: int
    ) -> None:
        self._ledger = ledger
        self._leave = leave
        self._tokens_charged = tokens_charged
        self._tokens_used = 0
        self._open = True

    def record_tokens(self, count: int) -> None:
        """Add `count` to the number of tokens that the request has used."""
        self._tokens_used += count

    def close(self) -> None:
        """End the request: settle its tokens and release its place."""
        self._end(refund_request=False)

    def cancel(self) -> None:
        """Refund all charges of a request that was not sent."""
        self._tokens_used = 0
        self._end(refund_request=True)

    def _end(self, refund_request: bool) -> None:
        if not self._open:
            return
        self._open = False
        self._ledger.settle(self._tokens_charged - self._tokens_used, refund_request)
        self._leave()

    def __enter__(self) -> "Permit":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


class Admission:
    """Admits requests within each client account's allowance and the daemon's own capacity.

    Explanation
    ===========

    A request that exceeds the allowance may wait up to `seek_wait_ms` while more allowance is requested
    from the peers or the buckets refill; all other refusals are immediate. A refusal has an
    `ErrorKind`, and the request was not sent (``ran: no``). Its retry time is when the bucket will be
    sufficiently full, with upward jitter so that callers do not retry simultaneously.

    Parameters
    ==========

    allowances : source of the daemon's allowance for an account.
    clock : the process's clock.
    capacity : the daemon's limit on requests in progress.
    seek_wait_ms : how long a request may wait for its account's allowance to grow.
    starts_full : whether an account's buckets are initially full; False if another daemon may have
        used the allowance immediately before.
    """

    def __init__(
        self,
        allowances: Allowances,
        clock: Clock,
        capacity: CapacityQueue,
        seek_wait_ms: float = SEEK_WAIT_MS,
        *,
        starts_full: bool = True,
    ) -> None:
        self._allowances = allowances
        self._clock = clock
        self._capacity = capacity
        self._seek_wait_ms = seek_wait_ms
        self._ledgers: dict[str, AccountLedger] = {}
        self._starts_full = starts_full
        self._random = random.Random()

    def admit(
        self,
        account: str,
        tokens_wanted: int,
        priority: int = 1,
        deadline_ms: float | None = None,
    ) -> Permit:
        """Admit a request or refuse it.

        Parameters
        ==========

        account : name of the client account.
        tokens_wanted : the tokens to charge until the request ends: its prompt and the maximum
            that it may generate.
        priority : order in the queue when the daemon is at its capacity; 0 is first.
        deadline_ms : clock time at which the caller gives up.

        Raises
        ======

        RequestError : a limit is reached, the daemon is ``overloaded``, or the deadline has passed;
            nothing was sent.
        """
        ledger = self._charge(account, tokens_wanted, deadline_ms)
        try:
            self._capacity.enter(priority, deadline_ms)
        except BaseException:
            ledger.settle(tokens_wanted, refund_request=True)
            raise
        return Permit(ledger, self._capacity.leave, tokens_wanted)

    def readmit(self, account: str, tokens_charged: int) -> Permit:
        """Admit unconditionally a request that another daemon had admitted.

        Explanation
        ===========

        The request counts as in progress and may exceed the allowance until it ends, so that new
        requests wait for it. When it ends, the tokens used beyond `tokens_charged` are charged here.
        """
        ledger = self._find_ledger(account)
        ledger.start()
        return Permit(ledger, lambda: None, tokens_charged)

    def refresh(self, account: str) -> None:
        """Apply a change of the allowance of `account`."""
        if self._allowances.find_allowance(account) is not None:
            self._find_ledger(account)

    def measure_demand(self, account: str) -> Allowance:
        """Return the recent request and token rates, including refusals, and the requests in progress."""
        ledger = self._ledgers.get(account)
        return Allowance(0, 0, 0) if ledger is None else ledger.measure_demand()

    def take_credit(self, account: str, most: Credit) -> Credit:
        """Remove at most `most` from the account's buckets and return the amount removed."""
        ledger = self._ledgers.get(account)
        return Credit() if ledger is None else ledger.take_credit(most)

    def add_credit(self, account: str, credit: Credit) -> None:
        """Add `credit` to the account's buckets."""
        self._find_ledger(account).add_credit(credit)

    def count_running(self, account: str) -> int:
        """Return the account's requests in progress here."""
        ledger = self._ledgers.get(account)
        return 0 if ledger is None else ledger.running

    def _charge(self, account: str, tokens: int, deadline_ms: float | None) -> AccountLedger:
        ledger = self._find_ledger(account)
        ledger.record_demand(tokens)
        end_ms = self._clock.now_ms() + self._seek_wait_ms
        if deadline_ms is not None:
            end_ms = min(end_ms, deadline_ms)
        # A request may lack each resource in turn, and another request may consume what was granted
        # for this one.
        seeks = 0
        while (refusal := ledger.charge(tokens, deadline_ms)) is not None:
            seeks += 1
            sought = seeks <= MAX_SEEKS and self._seek(account, refusal.shortage, end_ms)
            if not sought and not self._wait(ledger, refusal, end_ms):
                break
            ledger = self._find_ledger(account)
        if refusal is None:
            return ledger
        raise refusal.build_error(self._jitter(refusal.wait_ms))

    def _wait(self, ledger: AccountLedger, refusal: LimitRefusal, end_ms: float) -> bool:
        """Wait until the buckets suffice, if that is before `end_ms`; return whether it waited."""
        now_ms = self._clock.now_ms()
        by_slots = refusal.kind is ErrorKind.CONCURRENCY_LIMIT
        if by_slots or now_ms + refusal.wait_ms > end_ms or ledger.waiting >= MAX_WAITING:
            return False
        ledger.waiting += 1
        try:
            self._clock.sleep_ms(refusal.wait_ms + WAIT_MARGIN_MS)
        finally:
            ledger.waiting -= 1
        return True

    def _seek(self, account: str, shortage: Shortage, end_ms: float) -> bool:
        wait_ms = end_ms - self._clock.now_ms()
        return wait_ms > 0 and self._allowances.seek_more(account, shortage, wait_ms)

    def _find_ledger(self, account: str) -> AccountLedger:
        allowance = self._allowances.find_allowance(account)
        if allowance is None:
            raise RequestError(ErrorKind.UNAUTHORIZED, "unknown client account")
        ledger = self._ledgers.get(account)
        if ledger is None:
            ledger = AccountLedger(self._clock, allowance, self._starts_full)
            self._ledgers[account] = ledger
        ledger.set_allowance(allowance)
        return ledger

    def _jitter(self, wait_ms: float) -> int:
        spread_ms = max(wait_ms * JITTER_RATIO, MIN_WAIT_MS)
        return int(min(wait_ms, MAX_RETRY_DELAY_MS) + self._random.uniform(1, spread_ms))
