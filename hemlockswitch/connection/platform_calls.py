"""One call of the platform: bounded in time and size, sent once, and left alone while it fails."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import gevent
from geventhttpclient.response import HTTPParseError
from pydantic import ValidationError

from hemlockswitch.connection.backoff import Backoff
from hemlockswitch.connection.http import NotSentError, SingleSendClient
from hemlockswitch.connection.platform_models import RefusalBody
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError

WATCH_MARGIN_MS = 2_000
MAX_ANSWER_BYTES = 16 * 1_048_576
CONNECTIONS = 16
WATCH_CONNECTIONS = 8
NO_TIMEOUT: Any = None  # each call has one timer of its own instead


@dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes


class AnswerLostError(Exception):
    """A call was sent and no whole answer came."""


class PlatformCalls:
    """Connections to the platform, and the calls on them.

    Parameters
    ==========

    address : ``ip:port`` of the platform.
    headers : sent with every call.
    timeout_ms : bound of one call; a watch gets its waiting time on top.
    clock : the time.
    """

    def __init__(
        self, address: str, headers: dict[str, str], timeout_ms: float, clock: Clock
    ) -> None:
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._calls = _make_client(address, headers, CONNECTIONS)
        self._watches = _make_client(address, headers, WATCH_CONNECTIONS)

    def close(self) -> None:
        """Close the kept connections."""
        self._calls.close()
        self._watches.close()

    def call(
        self,
        backoff: Backoff,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        wait_ms: float = 0,
    ) -> Answer:
        """Send one call unless the service is being left alone, and judge its health."""
        if backoff.get_pause_ms() > 0:
            raise make_unavailable("the platform failed shortly before", backoff)
        began_ms = self._clock.now_ms()
        try:
            answer = self._exchange(method, path, body, headers, wait_ms)
        except NotSentError as error:
            backoff.record_failure(began_ms)
            raise make_unavailable(f"no connection: {error}", backoff) from error
        except AnswerLostError:
            backoff.record_failure(began_ms)
            raise
        return self._judge(answer, backoff, began_ms)

    def _judge(self, answer: Answer, backoff: Backoff, began_ms: float) -> Answer:
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            backoff.record_failure(began_ms)
            raise make_unavailable("over the platform's rate", backoff)
        if answer.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformError(ErrorKind.BODY_TOO_LARGE, "the value is too large")
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR and find_refusal(answer) is None:
            backoff.record_failure(began_ms)
        else:
            backoff.record_success()
        return answer

    def _exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str], wait_ms: float
    ) -> Answer:
        client = self._watches if wait_ms > 0 else self._calls
        connection = self._open(client)
        limit_ms = self._timeout_ms + wait_ms + (WATCH_MARGIN_MS if wait_ms > 0 else 0)
        timer = gevent.Timeout(limit_ms / MS_PER_SECOND)
        timer.start()
        try:
            response = client.exchange(connection, method, path, body, headers)
            return Answer(response.status_code, _read_bounded(response))
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise AnswerLostError(f"no answer in {limit_ms:.0f} ms") from error
        except (OSError, HTTPParseError) as error:
            raise AnswerLostError(f"the connection broke: {error}") from error
        finally:
            timer.close()

    def _open(self, client: SingleSendClient) -> Any:
        timer = gevent.Timeout(self._timeout_ms / MS_PER_SECOND)
        timer.start()
        try:
            return client.open()
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise NotSentError(f"no connection in {self._timeout_ms:.0f} ms") from error
        finally:
            timer.close()


def _make_client(address: str, headers: dict[str, str], size: int) -> SingleSendClient:
    host, _, port = address.rpartition(":")
    return SingleSendClient(
        host,
        int(port),
        headers=headers,
        concurrency=size,
        connection_timeout=NO_TIMEOUT,
        network_timeout=NO_TIMEOUT,
    )


def _read_bounded(response: Any) -> bytes:
    """Return the body of an answer, closing the connection of one that is too long."""
    body = response.read(MAX_ANSWER_BYTES + 1) if response.content_length is None else None
    if body is None and response.content_length <= MAX_ANSWER_BYTES:
        body = response.read()
    if body is None or len(body) > MAX_ANSWER_BYTES:
        response.release()
        raise AnswerLostError("an answer over the bound")
    return body


def find_refusal(answer: Answer) -> RefusalBody | None:
    """Return the cloud API's refusal of a start, if the answer is one."""
    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    try:
        refusal = RefusalBody.model_validate_json(answer.body)
    except ValidationError:
        return None
    return refusal if refusal.error == "no_capacity" else None


def make_unavailable(detail: str, backoff: Backoff) -> PlatformError:
    """Return the error of a service that cannot be used now, with the time to come back."""
    return PlatformError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        detail,
        retry_after_ms=max(int(backoff.get_pause_ms()), 1),
    )
