"""Orders to model engines: what they report, and the state that the controller wants.

An order is absolute: it names the whole wanted state, so giving it twice, or giving it again
after a stale one, ends in the same state. It carries the lease's fencing number; engines that
check the number refuse an old one, others do as the last order says.
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
    """What an order can want of an engine."""

    SERVING = "serving"
    DRAINED = "drained"


@dataclass(frozen=True)
class WantedState:
    """The whole state that an engine is to be in."""

    models: tuple[str, ...]
    role: str = "mixed"
    state: EngineState = EngineState.SERVING


class ReportedLoad(BaseModel):
    """What a backend server says of itself, with a lag."""

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
        """Return whether the reported state is the wanted one."""
        if self.draining != (wanted.state == EngineState.DRAINED):
            return False
        return set(self.models) == set(wanted.models) and self.role == wanted.role


@dataclass(frozen=True)
class OrderDone:
    """The engine took the order."""


@dataclass(frozen=True)
class OrderStale:
    """The engine has seen a higher fencing number than the order's."""

    highest: int


class OrderNotPermittedError(OSError):
    """The permit was refused between connecting and writing; nothing was ordered.

    It is an `OSError` because the HTTP client then drops the connection by itself.
    """


class _OrderPool(ConnectionPool):
    """Connections on which the kernel too gives up after the order's time-out.

    Without this a frozen process's kernel would go on resending an order's bytes for minutes.
    """

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Set the options of a fresh connection."""
        timeout_ms = int(self.network_timeout * MS_PER_SECOND)
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


class _PermittedBody:
    """An order's bytes, given out only if the permit holds at that moment.

    The HTTP client reads its body after it has connected and written the headers. The permit is
    asked there, so that between the clock's reading and the write there are no waits at all.
    """

    mode = "rb"

    def __init__(self, content: bytes, permit: Callable[[], object]) -> None:
        self._left = content
        self._length = len(content)
        self._permit = permit

    def __len__(self) -> int:
        return self._length

    def read(self, size: int) -> bytes:
        """Return the next bytes of the body."""
        part, self._left = self._left[:size], self._left[size:]
        if part:
            self._permit()
        return part


class OrderClient:
    """Asks backend servers for their state and gives them orders.

    Parameters
    ==========

    timeout_ms : the whole time that one call may take; an order that took longer is unknown.
    """

    def __init__(self, timeout_ms: int = ORDER_TIMEOUT_MS) -> None:
        self._timeout_ms = timeout_ms

    def read_load(self, address: str) -> ReportedLoad:
        """Return what the backend server at `address` reports.

        Raises
        ======

        BackendError : it did not answer in time, or not with a load report.
        """
        status, body = self._call(address, "GET", "/v1/load", b"")
        if status != HTTPStatus.OK:
            raise BackendError(ErrorKind.NO_BACKEND, f"{address} answered {status} to a load call")
        try:
            return ReportedLoad.model_validate_json(body)
        except ValidationError as error:
            raise BackendError(ErrorKind.ANSWER_INVALID, f"load of {address}: {error}") from error

    def is_reachable(self, address: str) -> bool:
        """Return whether anything at `address` takes a connection."""
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
    ) -> OrderDone | OrderStale:
        """Order the engine at `address` into `wanted`.

        Parameters
        ==========

        fencing : the number under which the order is given.
        permit : called just before the order's bytes are written; raises to stop it.

        Raises
        ======

        BackendError : refused, failed, or not answered in time (the order may have been taken).
        OrderNotPermittedError : the permit raised; nothing was ordered.
        """
        content = _OrderBody(fencing=fencing, wanted=asdict(wanted)).model_dump_json().encode()
        body = _PermittedBody(content, _convert_refusal(permit))
        status, answer = self._call(address, "POST", "/v1/orders", body)
        if status == HTTPStatus.OK:
            return OrderDone()
        if status == HTTPStatus.CONFLICT:
            return OrderStale(_read_highest(answer))
        raise BackendError(ErrorKind.NO_BACKEND, f"{address} answered {status} to an order")

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
            raise BackendError(ErrorKind.NO_BACKEND, f"{address}: {error!r}") from error
        finally:
            client.close()


class _OrderBody(BaseModel):
    """An order as the engine reads it."""

    fencing: int
    wanted: dict[str, Any]


def _convert_refusal(permit: Callable[[], object]) -> Callable[[], None]:
    def ask() -> None:
        try:
            permit()
        except Exception as error:
            raise OrderNotPermittedError(str(error)) from error

    return ask


def _read_highest(answer: bytes) -> int:
    try:
        return _StaleAnswer.model_validate_json(answer).highest
    except ValidationError as error:
        raise BackendError(ErrorKind.ANSWER_INVALID, "a refusal without its number") from error


class _StaleAnswer(BaseModel):
    """An engine's refusal of an old fencing number."""

    highest: int
