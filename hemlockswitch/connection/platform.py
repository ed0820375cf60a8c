"""The client of the platform: object service, VM list and cloud API."""

import json
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

import gevent
from geventhttpclient.response import HTTPParseError
from pydantic import BaseModel, ValidationError

from hemlockswitch.connection.backoff import Backoff
from hemlockswitch.connection.http import NotSentError, SingleSendClient
from hemlockswitch.connection.platform_models import (
    Conflict,
    ListedVm,
    NoticePage,
    NoticePageBody,
    ObjectBody,
    ObjectPage,
    PageBody,
    RefusalBody,
    StoredObject,
    Unknown,
    VersionBody,
    VmBody,
    VmList,
    VmListBody,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PlatformError

TIMEOUT_MS = 2_000
WATCH_MARGIN_MS = 2_000
MAX_VALUE_BYTES = 1_048_576
MAX_ANSWER_BYTES = 16 * 1_048_576
CONNECTIONS = 16
WATCH_CONNECTIONS = 8
RATE_RETRY_MS = 1_000
NO_TIMEOUT: Any = None  # each call has one timer of its own instead
CONFLICT_STATUS = 412
TOO_LARGE_STATUS = 413
OVER_RATE_STATUS = 429
FIRST_SERVER_ERROR = 500

Body = TypeVar("Body", bound=BaseModel)


class PlatformUser(Protocol):
    """The settings of a process that uses the platform."""

    name: str
    platform: str


@dataclass(frozen=True)
class _Answer:
    """A whole answer."""

    status: int
    body: bytes


class _AnswerLostError(Exception):
    """A call was sent and no whole answer came."""


class PlatformClient:
    """Calls of the platform, each with a time-out, a role and a bounded answer.

    Explanation
    ===========

    Reads raise `PlatformError` of kind ``platform_unavailable`` when the service does not give a
    usable answer. Writes return `Written`, `Conflict` or `Unknown` and raise only when they
    certainly took no effect. No call is repeated here. While a service fails, its calls are
    refused at once until a jittered pause is over; the object service and the cloud API are
    judged apart.

    Parameters
    ==========

    address : ``ip:port`` of the platform.
    role, daemon : sent with every call; the platform counts by them.
    timeout_ms : bound of one call; a watch gets its waiting time on top.
    clock : the time.
    """

    def __init__(
        self,
        address: str,
        role: str,
        daemon: str,
        *,
        timeout_ms: float = TIMEOUT_MS,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._timeout_ms = timeout_ms
        self._calls = self._make_client(address, role, daemon, CONNECTIONS)
        self._watches = self._make_client(address, role, daemon, WATCH_CONNECTIONS)
        self._object_backoff = Backoff(self._clock)
        self._cloud_backoff = Backoff(self._clock)

    @classmethod
    def from_settings(cls, settings: PlatformUser, role: str) -> "PlatformClient":
        """Return the client of a process with these settings."""
        return cls(settings.platform, role, settings.name)

    @staticmethod
    def _make_client(address: str, role: str, daemon: str, size: int) -> SingleSendClient:
        host, _, port = address.rpartition(":")
        return SingleSendClient(
            host,
            int(port),
            headers={"X-Role": role, "X-Daemon": daemon},
            concurrency=size,
            connection_timeout=NO_TIMEOUT,
            network_timeout=NO_TIMEOUT,
        )

    def close(self) -> None:
        """Close the kept connections."""
        self._calls.close()
        self._watches.close()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None where there is none."""
        answer = self._read(f"/objects/{quote(kind)}/{quote(name)}")
        return None if answer is None else _parse(ObjectBody, answer).to_object()

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return the objects of a kind whose names start with `prefix`."""
        answer = self._read(f"/objects/{quote(kind)}?{urlencode({'prefix': prefix})}")
        return _parse(PageBody, _require(answer)).to_page()

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return what changed after version `since`, waiting up to `wait_ms` for the first."""
        query = urlencode({"since": since, "wait_ms": wait_ms, "prefix": prefix})
        answer = self._read(f"/watch/{quote(kind)}?{query}", wait_ms)
        return _parse(PageBody, _require(answer)).to_page()

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Write an object that must not exist yet; `value` is JSON-ready or bytes of JSON."""
        return self._write("PUT", kind, name, _encode(value), {"If-None-Match": "*"})

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Write an object whose version must be `version`; `value` as for `create`."""
        return self._write("PUT", kind, name, _encode(value), {"If-Match": str(version)})

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object whose version must be `version`; deleting an absent one conflicts."""
        return self._write("DELETE", kind, name, b"", {"If-Match": str(version)})

    def list_vms(self, zone: str = "") -> VmList:
        """Return the VM list of a zone, or of all zones; it lags."""
        answer = self._read_cloud(f"/vms?{urlencode({'zone': zone})}")
        return _parse(VmListBody, answer).to_list()

    def watch_notices(self, zone: str, since: int, wait_ms: int) -> NoticePage:
        """Return the zone's reclaim notices after number `since`, waiting for the first."""
        query = urlencode({"zone": zone, "since": since, "wait_ms": wait_ms})
        answer = self._read_cloud(f"/cloud/notices?{query}", wait_ms)
        return _parse(NoticePageBody, answer).to_page()

    def start_vm(self, zone: str, serves: str, machine_class: str, token: str) -> ListedVm:
        """Start a VM; the same token never starts a second one.

        Raises
        ======

        PlatformError : refused for want of capacity (``overloaded``, with the time to come
            back), or no usable answer (``platform_unavailable``): ask again with the same token.
        """
        wanted = {"zone": zone, "serves": serves, "machine_class": machine_class, "token": token}
        answer = self._call_cloud("POST", "/cloud/vms", _encode(wanted))
        refusal = _find_refusal(answer)
        if refusal is not None:
            detail = f"no capacity for {machine_class} in {zone}"
            raise PlatformError(ErrorKind.OVERLOADED, detail, retry_after_ms=refusal.retry_after_ms)
        return _parse(VmBody, answer).to_vm()

    def stop_vm(self, name: str) -> bool:
        """Stop a VM; returns whether the platform knew it. Stopping twice is one stop."""
        answer = self._call_cloud("DELETE", f"/cloud/vms/{quote(name)}", b"")
        return answer.status != 404

    def _read(self, path: str, wait_ms: float = 0) -> _Answer | None:
        answer = self._call_safely(self._object_backoff, "GET", path, b"", wait_ms)
        return None if answer.status == 404 else answer

    def _read_cloud(self, path: str, wait_ms: float = 0) -> _Answer:
        return self._call_safely(self._cloud_backoff, "GET", path, b"", wait_ms)

    def _call_cloud(self, method: str, path: str, body: bytes) -> _Answer:
        return self._call_safely(self._cloud_backoff, method, path, body)

    def _call_safely(
        self, backoff: Backoff, method: str, path: str, body: bytes, wait_ms: float = 0
    ) -> _Answer:
        """Make a call that may be repeated by whoever asked: a lost answer is just a failure."""
        try:
            return self._call(backoff, method, path, body, {}, wait_ms)
        except _AnswerLostError as error:
            raise _unavailable(str(error), backoff) from error

    def _write(
        self, method: str, kind: str, name: str, body: bytes, condition: dict[str, str]
    ) -> WriteOutcome:
        if len(body) > MAX_VALUE_BYTES:
            raise PlatformError(ErrorKind.BODY_TOO_LARGE, f"{kind}/{name}: {len(body)} bytes")
        path = f"/objects/{quote(kind)}/{quote(name)}"
        try:
            answer = self._call(self._object_backoff, method, path, body, condition)
        except _AnswerLostError as error:
            return Unknown(str(error))
        if answer.status == 404:
            return Conflict(0)
        if answer.status == CONFLICT_STATUS:
            return Conflict(_parse(VersionBody, answer).version)
        if answer.status >= FIRST_SERVER_ERROR:
            return Unknown(f"status {answer.status}")
        return _parse_written(answer)

    def _call(
        self,
        backoff: Backoff,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        wait_ms: float = 0,
    ) -> _Answer:
        """Send one call unless the service is being left alone, and judge its health."""
        if backoff.get_pause_ms() > 0:
            raise _unavailable("the platform failed shortly before", backoff)
        began_ms = self._clock.now_ms()
        try:
            answer = self._exchange(method, path, body, headers, wait_ms)
        except NotSentError as error:
            backoff.record_failure(began_ms)
            raise _unavailable(f"no connection: {error}", backoff) from error
        except _AnswerLostError:
            backoff.record_failure(began_ms)
            raise
        return self._judge(answer, backoff, began_ms)

    def _judge(self, answer: _Answer, backoff: Backoff, began_ms: float) -> _Answer:
        if answer.status == OVER_RATE_STATUS:
            backoff.record_failure(began_ms)
            raise PlatformError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                "over the platform's rate",
                retry_after_ms=RATE_RETRY_MS,
            )
        if answer.status == TOO_LARGE_STATUS:
            raise PlatformError(ErrorKind.BODY_TOO_LARGE, "the value is too large")
        if answer.status >= FIRST_SERVER_ERROR and _find_refusal(answer) is None:
            backoff.record_failure(began_ms)
        else:
            backoff.record_success()
        return answer

    def _exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str], wait_ms: float
    ) -> _Answer:
        client = self._watches if wait_ms > 0 else self._calls
        connection = self._open(client)
        limit_ms = self._timeout_ms + wait_ms + (WATCH_MARGIN_MS if wait_ms > 0 else 0)
        timer = gevent.Timeout(limit_ms / MS_PER_SECOND)
        timer.start()
        try:
            response = client.exchange(connection, method, path, body, headers)
            return _Answer(response.status_code, _read_bounded(response))
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise _AnswerLostError(f"no answer in {limit_ms:.0f} ms") from error
        except (OSError, HTTPParseError) as error:
            raise _AnswerLostError(f"the connection broke: {error}") from error
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


def _encode(value: Any) -> bytes:
    """Return a value's JSON text; bytes are JSON text already."""
    if isinstance(value, bytes):
        return value
    return json.dumps(value, separators=(",", ":")).encode()


def _read_bounded(response: Any) -> bytes:
    """Return the body of an answer, closing the connection of one that is too long."""
    body = response.read(MAX_ANSWER_BYTES + 1) if response.content_length is None else None
    if body is None and response.content_length <= MAX_ANSWER_BYTES:
        body = response.read()
    if body is None or len(body) > MAX_ANSWER_BYTES:
        response.release()
        raise _AnswerLostError("an answer over the bound")
    return body


def _parse(body_type: type[Body], answer: _Answer) -> Body:
    """Return the validated body of a good answer."""
    if answer.status >= 400 and answer.status != CONFLICT_STATUS:
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"status {answer.status}")
    try:
        return body_type.model_validate_json(answer.body)
    except ValidationError as error:
        detail = f"an answer that does not fit: {error.error_count()} mistakes"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error


def _parse_written(answer: _Answer) -> WriteOutcome:
    if answer.status >= 400:
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"status {answer.status}")
    try:
        return Written(VersionBody.model_validate_json(answer.body).version)
    except ValidationError:
        return Unknown("an answer that does not fit")


def _require(answer: _Answer | None) -> _Answer:
    if answer is None:
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the service is not there")
    return answer


def _find_refusal(answer: _Answer) -> RefusalBody | None:
    """Return the cloud API's refusal of a start, if the answer is one."""
    if answer.status != 503:
        return None
    try:
        refusal = RefusalBody.model_validate_json(answer.body)
    except ValidationError:
        return None
    return refusal if refusal.error == "no_capacity" else None


def _unavailable(detail: str, backoff: Backoff) -> PlatformError:
    return PlatformError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        detail,
        retry_after_ms=max(int(backoff.get_pause_ms()), 1),
    )
