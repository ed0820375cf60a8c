"""Client of the platform: object service, VM list and cloud API."""

from http import HTTPStatus
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

from pydantic import BaseModel, ValidationError

from hemlockswitch.connection.backoff import Backoff, Outage
from hemlockswitch.connection.platform_calls import (
    Answer,
    AnswerLostError,
    PlatformCalls,
    make_unavailable,
)
from hemlockswitch.connection.platform_models import (
    ListedVm,
    NoticePage,
    NoticePageBody,
    ObjectBody,
    PageBody,
    RefusalBody,
    VersionBody,
    VmBody,
    VmList,
    VmListBody,
)
from hemlockswitch.connection.store_order import StoreEra
from hemlockswitch.connection.stored_objects import (
    Conflict,
    ObjectPage,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
    encode_value,
)
from hemlockswitch.core.clock import Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PlatformError

TIMEOUT_MS = 2_000
MAX_VALUE_BYTES = 1_048_576

Body = TypeVar("Body", bound=BaseModel)


class PlatformUser(Protocol):
    """The settings of a process that uses the platform."""

    name: str
    platform: str


class PlatformClient:
    """Client of the platform's services, with limits on the duration and the size of each answer.

    Explanation
    ===========

    Reads raise `PlatformError` of kind ``platform_unavailable`` if the service gives no usable
    answer. Writes return `Written`, `Conflict` or `Unknown` and raise only if they certainly had no
    effect. No call is repeated here. After a failure of a service its calls are refused immediately
    until a pause with jitter has passed; the object service and the cloud API have separate pauses.

    Parameters
    ==========

    address : ``ip:port`` of the platform.
    role, daemon : sent with every call; the platform counts calls by them.
    timeout_ms : time-out of one call; for a watch, its waiting time is added.
    clock : the clock of the back-offs and of the calls.
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
        headers = {"X-Role": role, "X-Daemon": daemon}
        self._calls = PlatformCalls(
            address,
            headers,
            timeout_ms,
            self._clock,
            lambda answer: _find_refusal(answer) is not None,
        )
        self._object_backoff = Backoff(self._clock)
        self._cloud_backoff = Backoff(self._clock)

    @classmethod
    def from_settings(cls, settings: PlatformUser, role: str) -> "PlatformClient":
        """Return the client for a process with these settings."""
        return cls(settings.platform, role, settings.name)

    @property
    def last_outage(self) -> Outage | None:
        """The most recent outage of the object service that has ended."""
        return self._object_backoff.last_outage

    def get_era(self) -> StoreEra:
        """Return the only era: this object service does not come back from copies."""
        return StoreEra()

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        answer = self._read(f"/objects/{quote(kind)}/{quote(name)}")
        return None if answer is None else _parse(ObjectBody, answer).to_object()

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return the objects of a kind whose names start with `prefix`."""
        answer = self._read(f"/objects/{quote(kind)}?{urlencode({'prefix': prefix})}")
        return _parse(PageBody, _require_found(answer)).to_page()

    def list_stale(self, kind: str) -> ObjectPage:
        """Return the objects of a kind; this service offers no cheaper stale read."""
        return self.list(kind)

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return the changes after version `since`, waiting up to `wait_ms` for the first."""
        query = urlencode({"since": since, "wait_ms": wait_ms, "prefix": prefix})
        answer = self._read(f"/watch/{quote(kind)}?{query}", wait_ms)
        return _parse(PageBody, _require_found(answer)).to_page()

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Create an object that must not exist; `value` is JSON-serializable or encoded JSON."""
        return self._write("PUT", kind, name, encode_value(value), {"If-None-Match": "*"})

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Replace an object if its version is `version`; `value` as for `create`."""
        return self._write("PUT", kind, name, encode_value(value), {"If-Match": str(version)})

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object if its version is `version`; deleting an absent one is a conflict."""
        return self._write("DELETE", kind, name, b"", {"If-Match": str(version)})

    def list_vms(self, zone: str = "") -> VmList:
        """Return the VM list of a zone, or of all zones; the list may be outdated."""
        answer = self._read_cloud(f"/vms?{urlencode({'zone': zone})}")
        return _parse(VmListBody, answer).to_list()

    def watch_notices(self, zone: str, since: int, wait_ms: int) -> NoticePage:
        """Return the zone's reclaim notices after number `since`, waiting up to `wait_ms` for one."""
        query = urlencode({"zone": zone, "since": since, "wait_ms": wait_ms})
        answer = self._read_cloud(f"/cloud/notices?{query}", wait_ms)
        return _parse(NoticePageBody, answer).to_page()

    def start_vm(self, zone: str, serves: str, machine_class: str, token: str) -> ListedVm:
        """Start a VM; a token starts at most one VM.

        Raises
        ======

        PlatformError : refused for lack of capacity (``overloaded``, with a retry delay), or no
            usable answer (``platform_unavailable``), after which the call may be repeated with the
            same token.
        """
        wanted = {"zone": zone, "serves": serves, "machine_class": machine_class, "token": token}
        answer = self._call_cloud("POST", "/cloud/vms", encode_value(wanted))
        refusal = _find_refusal(answer)
        if refusal is not None:
            detail = f"no capacity for {machine_class} in {zone}"
            raise PlatformError(ErrorKind.OVERLOADED, detail, retry_after_ms=refusal.retry_after_ms)
        return _parse(VmBody, answer).to_vm()

    def stop_vm(self, name: str) -> bool:
        """Stop a VM and return whether it exists; stopping is idempotent."""
        answer = self._call_cloud("DELETE", f"/cloud/vms/{quote(name)}", b"")
        return answer.status != HTTPStatus.NOT_FOUND

    def _read(self, path: str, wait_ms: float = 0) -> Answer | None:
        answer = self._call_idempotent(self._object_backoff, "GET", path, b"", wait_ms)
        return None if answer.status == HTTPStatus.NOT_FOUND else answer

    def _read_cloud(self, path: str, wait_ms: float = 0) -> Answer:
        return self._call_idempotent(self._cloud_backoff, "GET", path, b"", wait_ms)

    def _call_cloud(self, method: str, path: str, body: bytes) -> Answer:
        return self._call_idempotent(self._cloud_backoff, method, path, body)

    def _call_idempotent(
        self, backoff: Backoff, method: str, path: str, body: bytes, wait_ms: float = 0
    ) -> Answer:
        """Make an idempotent call; a lost answer is raised as an ordinary failure."""
        try:
            return self._calls.call(backoff, method, path, body, {}, wait_ms)
        except AnswerLostError as error:
            raise make_unavailable(str(error), backoff) from error

    def _write(
        self, method: str, kind: str, name: str, body: bytes, condition: dict[str, str]
    ) -> WriteOutcome:
        if len(body) > MAX_VALUE_BYTES:
            raise PlatformError(
                ErrorKind.BODY_TOO_LARGE,
                f"value of object {kind}/{name} is too large: {len(body)} bytes",
            )
        path = f"/objects/{quote(kind)}/{quote(name)}"
        try:
            answer = self._calls.call(self._object_backoff, method, path, body, condition)
        except AnswerLostError as error:
            return Unknown(str(error))
        if answer.status == HTTPStatus.NOT_FOUND:
            return Conflict(0)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return Conflict(_parse(VersionBody, answer).version)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Unknown(f"the object service answered with status {answer.status}")
        return _parse_written(answer)


def _parse(body_type: type[Body], answer: Answer) -> Body:
    """Return the validated body of a successful answer or of a conflict."""
    if answer.status >= HTTPStatus.BAD_REQUEST and answer.status != HTTPStatus.PRECONDITION_FAILED:
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, f"the platform answered with status {answer.status}"
        )
    try:
        return body_type.model_validate_json(answer.body)
    except ValidationError as error:
        detail = f"invalid answer of the platform: {error.error_count()} validation errors"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error


def _find_refusal(answer: Answer) -> RefusalBody | None:
    """Return the body of the answer if it is the cloud API's refusal of a start."""
    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    try:
        refusal = RefusalBody.model_validate_json(answer.body)
    except ValidationError:
        return None
    return refusal if refusal.error == "no_capacity" else None


def _parse_written(answer: Answer) -> WriteOutcome:
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, f"the platform answered with status {answer.status}"
        )
    try:
        return Written(VersionBody.model_validate_json(answer.body).version)
    except ValidationError:
        return Unknown("invalid answer of the object service to a write")


def _require_found(answer: Answer | None) -> Answer:
    if answer is None:
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, "the object service answered with status 404"
        )
    return answer
