"""Accounting of one client account on this daemon: its buckets, demand and requests in progress."""

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.allowances import Allowance, Credit, Shortage
from hemlockswitch.request.buckets import BURST_MS, Bucket, Meter

DEFAULT_DURATION_MS = 1_000.0
DURATION_WEIGHT = 0.1
MIN_WAIT_MS = 20.0


class LimitRefusal:
    """Reason for a refusal, and what is missing for the request to be admitted.

    Parameters
    ==========

    kind : which of the account's limits was reached.
    wait_ms : time until the request could be admitted; None if its bucket never fills, in which case
        `DEFAULT_DURATION_MS` is assumed.
    shortage : the amounts missing from the account's allowance.
    """

    def __init__(self, kind: ErrorKind, wait_ms: float | None, shortage: Shortage) -> None:
        self.kind = kind
        self.wait_ms = DEFAULT_DURATION_MS if wait_ms is None else wait_ms
        self.shortage = shortage

    def build_error(self, retry_after_ms: int) -> RequestError:
        """Return the error for the caller."""
        detail = "the client account's limit has been reached"
        return RequestError(self.kind, detail, retry_after_ms=retry_after_ms)


class AccountLedger:
    """One client account's buckets and requests in progress on this daemon.

    Parameters
    ==========

    clock : the process's clock.
    allowance : the account's initial limits on this daemon; see `set_allowance`.
    starts_full : whether the buckets are initially full.
    """

    def __init__(self, clock: Clock, allowance: Allowance, starts_full: bool) -> None:
        now_ms = clock.now_ms()
        self.running = 0
        self.waiting = 0
        self._clock = clock
        self._allowance = allowance
        requests_rate = allowance.requests_per_second
        self._requests = Bucket(now_ms, requests_rate, smallest=1, full=starts_full)
        self._tokens = Bucket(now_ms, allowance.tokens_per_second, full=starts_full)
        self._request_demand = Meter(now_ms)
        self._token_demand = Meter(now_ms)
        self._started_ms: list[float] = []
        self._duration_ms = DEFAULT_DURATION_MS

    def set_allowance(self, allowance: Allowance) -> None:
        """Use `allowance` from now on."""
        if allowance == self._allowance:
            return
        now_ms = self._clock.now_ms()
        self._allowance = allowance
        self._requests.set_rate(now_ms, allowance.requests_per_second)
        self._tokens.set_rate(now_ms, allowance.tokens_per_second)

    def measure_demand(self) -> Allowance:
        """Return the recent request and token rates, including refusals, and the requests in progress."""
        now_ms = self._clock.now_ms()
        return Allowance(
            self._request_demand.measure(now_ms), self._token_demand.measure(now_ms), self.running
        )

    def take_credit(self, most: Credit) -> Credit:
        """Remove at most `most` from the buckets and return the amount removed."""
        now_ms = self._clock.now_ms()
        requests = self._requests.drain(now_ms, most.requests)
        return Credit(requests, self._tokens.drain(now_ms, most.tokens))

    def add_credit(self, credit: Credit) -> None:
        """Add `credit` to the buckets."""
        now_ms = self._clock.now_ms()
        self._requests.give_back(now_ms, credit.requests)
        self._tokens.give_back(now_ms, credit.tokens)

    def record_demand(self, tokens: int) -> None:
        """Count one request in the demand, whether it is admitted or refused."""
        now_ms = self._clock.now_ms()
        self._request_demand.add(now_ms, 1)
        self._token_demand.add(now_ms, tokens)

    def charge(self, tokens: int, deadline_ms: float | None) -> LimitRefusal | None:
        """Charge one request and its `tokens`, or return why it is refused, charging nothing."""
        now_ms = self._clock.now_ms()
        if self.running >= self._allowance.concurrent_requests:
            shortage = Shortage(concurrent_requests=1, deadline_ms=deadline_ms)
            return LimitRefusal(
                ErrorKind.CONCURRENCY_LIMIT, self._estimate_free_ms(now_ms), shortage
            )
        if not self._requests.take(now_ms, 1):
            wait_ms = self._requests.measure_wait_ms(now_ms, 1)
            return LimitRefusal(ErrorKind.REQUEST_LIMIT, wait_ms, Shortage(requests_per_second=1))
        if not self._tokens.take(now_ms, tokens):
            self._requests.give_back(now_ms, 1)
            wait_ms = self._tokens.measure_wait_ms(now_ms, tokens)
            missing = (tokens - self._tokens.level) * MS_PER_SECOND / BURST_MS
            return LimitRefusal(ErrorKind.TOKEN_LIMIT, wait_ms, Shortage(tokens_per_second=missing))
        self.start()
        return None

    def start(self) -> None:
        """Count one request as in progress."""
        self.running += 1
        self._started_ms.append(self._clock.now_ms())

    def settle(self, tokens_unused: int, refund_request: bool) -> None:
        """End one request and refund its unused tokens."""
        now_ms = self._clock.now_ms()
        self.running -= 1
        started_ms = self._started_ms.pop(0)
        self._tokens.give_back(now_ms, tokens_unused)
        if refund_request:
            self._requests.give_back(now_ms, 1)
            return
        taken_ms = now_ms - started_ms
        self._duration_ms += DURATION_WEIGHT * (taken_ms - self._duration_ms)

    def _estimate_free_ms(self, now_ms: float) -> float:
        if not self._started_ms:
            return self._duration_ms
        return max(self._started_ms[0] + self._duration_ms - now_ms, MIN_WAIT_MS)
