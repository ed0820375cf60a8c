"""Calls of the platform, sent at most once, with limits on time and size and with back-off."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import gevent

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.backoff import Backoff
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.heads import Header, encode_head
from hemlockswitch.connection.pooled_exchange import PooledExchange
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError

WATCH_MARGIN_MS = 2_000
"""A watch may end this much later than requested, or later by its waiting time if that is shorter."""
MAX_ANSWER_BYTES = 16 * 1_048_576
MAX_IDLE_MS = 60_000.0
"""No restriction in practice: the pool itself limits the idle time of its connections."""


@dataclass(frozen=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()


class NotSentError(Exception):
    """The call was not sent because no connection could be opened."""


class AnswerLostError(Exception):
    """The call was sent and no complete answer was received."""


class PlatformCalls:
    """Calls of the platform on pooled connections.

    Parameters
    ==========

    address : ``ip:port`` of the platform.
    headers : sent with every call.
    timeout_ms : time-out of one call; for a watch, its waiting time is added.
    clock : the clock for idle times and for the starts of calls.
    is_refusal : returns whether an answer with status 500 or above is a refusal by a service that
        works, and therefore no failure.
    """

    def __init__(
        self,
        address: str,
        headers: dict[str, str],
        timeout_ms: float,
        clock: Clock,
        is_refusal: Callable[[Answer], bool] = lambda _: False,
    ) -> None:
        self._address = address
        self._headers = headers
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._is_refusal = is_refusal
        self._pool = BackendPool(clock)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close_idle(self._address)

    def call(
        self,
        backoff: Backoff,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        wait_ms: float = 0,
    ) -> Answer:
        """Send one call unless the back-off is active, and record its success or failure.

        Raises
        ======

        PlatformError : the service is unavailable or refused the call, which was not executed.
        AnswerLostError : the call was sent and may have been executed.
        """
        if backoff.get_pause_ms() > 0:
            raise make_unavailable("calls are paused after a failure of the platform", backoff)
        started_ms = self._clock.now_ms()
        try:
            answer = self._exchange(method, path, body, headers, wait_ms)
        except NotSentError as error:
            backoff.record_failure(started_ms)
            raise make_unavailable(f"cannot connect to the platform: {error}", backoff) from error
        except AnswerLostError:
            backoff.record_failure(started_ms)
            raise
        return self._record_outcome(answer, backoff, started_ms)

    def _record_outcome(self, answer: Answer, backoff: Backoff, started_ms: float) -> Answer:
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            backoff.record_failure(started_ms)
            raise make_unavailable("the platform's rate limit is exceeded", backoff)
        if answer.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformError(ErrorKind.BODY_TOO_LARGE, "the value is too large for the platform")
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR and not self._is_refusal(answer):
            backoff.record_failure(started_ms)
        else:
            backoff.record_success()
        return answer

    def _exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str], wait_ms: float
    ) -> Answer:
        exchange = self._open(method)
        limit_ms = self._timeout_ms + wait_ms + min(wait_ms, WATCH_MARGIN_MS)
        timer = gevent.Timeout(limit_ms / MS_PER_SECOND)
        timer.start()
        try:
            exchange.send(self._encode(method, path, body, headers))
            head = exchange.read_head()
            body = exchange.read_body(MAX_ANSWER_BYTES)
            return Answer(head.status, body, tuple(head.headers))
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise AnswerLostError(f"no complete answer within {limit_ms:.0f} ms") from error
        except ExchangeError as error:
            raise AnswerLostError(f"the connection failed: {error.detail}") from error
        finally:
            timer.close()
            self._pool.finish(exchange)

    def _open(self, method: str) -> PooledExchange:
        try:
            return self._pool.open(
                self._address,
                method,
                lambda _: True,
                max_idle_ms=MAX_IDLE_MS,
                timeout_ms=self._timeout_ms,
            )
        except ExchangeError as error:
            assert error.stage is Stage.BEFORE_SEND
            raise NotSentError(error.detail) from error

    def _encode(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        fields = {"Host": self._address, **self._headers, **headers}
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        return encode_head(f"{method} {path} HTTP/1.1", fields.items()) + body


def make_unavailable(detail: str, backoff: Backoff) -> PlatformError:
    """Return the error for an unavailable service, with the retry delay of `backoff`."""
    return PlatformError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        detail,
        retry_after_ms=max(int(backoff.get_pause_ms()), 1),
    )
