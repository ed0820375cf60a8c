"""Orders that set the state of model engines, and the state that engines report.

An order is absolute: it contains the complete wanted state, so that sending it twice, or again
after a stale one, has the same result. It carries the fencing number of the lease; engines that
check the number refuse an older one, and all other engines follow the most recent order.
"""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum
from http import HTTPStatus
from socket import IPPROTO_TCP, TCP_NODELAY, TCP_USER_TIMEOUT
from typing import Any

import gevent
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError
from pydantic import BaseModel, ConfigDict, ValidationError

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import BackendError, ErrorKind

ANSWER_MAX_BYTES = 65_536
ORDER_TIMEOUT_MS = 1_000


class EngineState(StrEnum):
    """The states that an order can request of an engine."""

    SERVING = "serving"
    DRAINED = "drained"


@dataclass(frozen=True)
class WantedState:
    """The complete state that is requested of an engine."""

    models: tuple[str, ...]
    role: str = "mixed"
    state: EngineState = EngineState.SERVING


class ReportedLoad(BaseModel):
    """The load and state that a backend server reports, which may be outdated."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    running: int
    waiting: int = 0
    slots: int = 0
    prefill_tokens_per_s: float = 0
    age_ms: float = 0
    models: tuple[str, ...] = ()
    role: str = "mixed"
    draining: bool = False

    def is_in(self, wanted: WantedState) -> bool:
        """Return whether the reported state equals the wanted state."""
        if self.draining != (wanted.state == EngineState.DRAINED):
            return False
        return set(self.models) == set(wanted.models) and self.role == wanted.role


@dataclass(frozen=True)
class OrderAccepted:
    """The engine accepted the order."""


@dataclass(frozen=True)
class OrderStale:
    """The engine refused the order, having received a higher fencing number."""

    highest: int


class OrderNotPermittedError(OSError):
    """The permit was refused between connecting and writing; no order was sent.

    It is an `OSError` because the HTTP client then drops the connection on its own.
    """


class _OrderPool(ConnectionPool):
    """Connections on which the kernel also gives up after the order's time-out.

    Otherwise the kernel would retransmit an order's bytes to a frozen process for minutes.
    """

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Set the options of a new connection."""
        timeout_ms = int(self.network_timeout * MS_PER_SECOND)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


class _PermittedBody:
    """An order's bytes, which can be read only while the permit is valid.

    The HTTP client reads the body after it has connected and written the headers. The permit is
    checked at that point, so that nothing waits between the reading of the clock and the write.
    """

    mode = "rb"

    def __init__(self, content: bytes, permit: Callable[[], object]) -> None:
        self._remaining = content
        self._length = len(content)
        self._permit = permit

    def __len__(self) -> int:
        return self._length

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body, after checking the permit."""
        part, self._remaining = self._remaining[:size], self._remaining[size:]
        if part:
            self._permit()
        return part


class OrderClient:
    """Reads the state of backend servers and sends them orders.

    Parameters
    ==========

    timeout_ms : time-out of a complete call; the outcome of an order that took longer is unknown.
    """

    def __init__(self, timeout_ms: int = ORDER_TIMEOUT_MS) -> None:
        self._timeout_ms = timeout_ms

    def read_load(self, address: str) -> ReportedLoad:
        """Return the load and state that the backend server at `address` reports.

        Raises
        ======

        BackendError : the server did not answer in time, or its answer is not a load report.
        """
        status, body = self._call(address, "GET", "/v1/load", b"")
        if status != HTTPStatus.OK:
            raise BackendError(
                ErrorKind.NO_BACKEND, f"{address} answered a load request with status {status}"
            )
        try:
            return ReportedLoad.model_validate_json(body)
        except ValidationError as error:
            raise BackendError(
                ErrorKind.ANSWER_INVALID, f"invalid load report of {address}: {error}"
            ) from error

    def is_reachable(self, address: str) -> bool:
        """Return whether a connection to `address` can be opened."""
        host, port = address.rsplit(":", 1)
        try:
            gevent.socket.create_connection(
                (host, int(port)), timeout=self._timeout_ms / MS_PER_SECOND
            ).close()
        except OSError:
            return False
        return True

    def send_order(
        self, address: str, fencing: int, wanted: WantedState, permit: Callable[[], object]
    ) -> OrderAccepted | OrderStale:
        """Order the engine at `address` to enter the state `wanted`.

        Parameters
        ==========

        fencing : the fencing number of the order.
        permit : called just before the order's bytes are written; raises to prevent the order.

        Raises
        ======

        BackendError : refused, failed, or not answered in time; the order may have taken effect.
        OrderNotPermittedError : the permit raised; no order was sent.
        """
        content = _OrderBody(fencing=fencing, wanted=asdict(wanted)).model_dump_json().encode()
        body = _PermittedBody(content, _convert_refusal(permit))
        status, answer = self._call(address, "POST", "/v1/orders", body)
        if status == HTTPStatus.OK:
            return OrderAccepted()
        if status == HTTPStatus.CONFLICT:
            return OrderStale(_read_highest(answer))
        raise BackendError(
            ErrorKind.NO_BACKEND, f"{address} answered an order with status {status}"
        )

    def _call(self, address: str, method: str, path: str, body: Any) -> tuple[int, bytes]:
        host, port = address.rsplit(":", 1)
        seconds = self._timeout_ms / MS_PER_SECOND
        client = HTTPClient(host, int(port), connection_timeout=seconds, network_timeout=seconds)
        client._connection_pool = _OrderPool(
            host, int(port), host, int(port), 1, connection_timeout=seconds, network_timeout=seconds
        )
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            with gevent.Timeout(seconds):
                response = client.request(method, path, body, headers)
                return response.status_code, bytes(response.read(ANSWER_MAX_BYTES))
        except OrderNotPermittedError:
            raise
        except (OSError, HTTPParseError, gevent.Timeout) as error:
            raise BackendError(
                ErrorKind.NO_BACKEND, f"call of {address} failed: {error!r}"
            ) from error
        finally:
            client.close()


class _OrderBody(BaseModel):
    """The body of an order."""

    fencing: int
    wanted: dict[str, Any]


def _convert_refusal(permit: Callable[[], object]) -> Callable[[], None]:
    def check_permit() -> None:
        try:
            permit()
        except Exception as error:
            raise OrderNotPermittedError(str(error)) from error

    return check_permit


def _read_highest(answer: bytes) -> int:
    try:
        return _StaleAnswer.model_validate_json(answer).highest
    except ValidationError as error:
        raise BackendError(
            ErrorKind.ANSWER_INVALID, "the refusal of a stale order has no fencing number"
        ) from error


class _StaleAnswer(BaseModel):
    """The body of an engine's refusal of a stale fencing number."""

    highest: int
