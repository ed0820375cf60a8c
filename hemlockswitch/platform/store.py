"""The platform's object store, with the interface of the project's own `PlatformClient`."""

from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.connection.backoff import Backoff, Outage
from hemlockswitch.connection.platform import encode_value
from hemlockswitch.connection.platform_calls import (
    Answer,
    AnswerLostError,
    PlatformCalls,
    make_unavailable,
)
from hemlockswitch.connection.platform_models import (
    Conflict,
    ObjectPage,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, HistoryGoneError, PlatformError
from hemlockswitch.version.settings import describe_mistakes

ROOT = "/hemlockswitch/objects"
TIMEOUT_MS = 1_500.0
"""An answer takes 4 ms, and 60 times as long on the slow days of the sheets."""
LONGEST_PAUSE_MS = 600.0
"""Longest back-off after failures: what changed during an outage must be known well within two
seconds of its end."""
MOST_PAGES = 1_000

Body = TypeVar("Body", bound=BaseModel)


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _MetadataBody(_Body):
    name: str
    revision: int = Field(ge=0)  # of the object's last change, not of the store


class _ObjectBody(_Body):
    metadata: _MetadataBody
    spec: Any = None

    def to_object(self, kind: str, deleted: bool = False) -> StoredObject:
        """Return the inner form."""
        return StoredObject(kind, self.metadata.name, self.metadata.revision, self.spec, deleted)


class _ListBody(_Body):
    items: tuple[_ObjectBody, ...] = ()
    has_more: bool = False
    store_revision: int = Field(ge=0)


class _EventBody(_Body):
    tombstone: bool = False  # the object was removed
    object: _ObjectBody


class _WatchBody(_Body):
    events: tuple[_EventBody, ...] = ()
    store_revision: int = Field(ge=0)


class ObjectStore:
    """Calls of the object store; see `PlatformClient` for what reads and writes promise.

    Parameters
    ==========

    address : ``ip:port`` of the store.
    clock : the time.
    """

    def __init__(self, address: str, clock: Clock, timeout_ms: float = TIMEOUT_MS) -> None:
        self._calls = PlatformCalls(address, {}, timeout_ms, clock)
        self._backoff = Backoff(clock, LONGEST_PAUSE_MS)

    @property
    def last_outage(self) -> Outage | None:
        """The last time in which every call failed, once it was over."""
        return self._backoff.last_outage

    def close(self) -> None:
        """Close the kept connections."""
        self._calls.close()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None where there is none."""
        answer = self._get(_path(kind, name))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _parse(_ObjectBody, answer).to_object(kind)

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return the objects of a kind whose names start with `prefix`, over all pages."""
        return self._list(kind, prefix, {})

    def list_stale(self, kind: str) -> ObjectPage:
        """Return the objects of a kind as they were some seconds ago; it costs a tenth."""
        return self._list(kind, "", {"serializable": "1"})

    def _list(self, kind: str, prefix: str, options: dict[str, str]) -> ObjectPage:
        items: list[StoredObject] = []
        version: int | None = None
        after = ""
        for _ in range(MOST_PAGES):
            query = urlencode({"after": after, **options})
            page = _parse(_ListBody, self._get(f"{_path(kind)}?{query}"))
            items += [one.to_object(kind) for one in page.items]
            # A watch from the first page's revision also shows what changed during the listing.
            version = page.store_revision if version is None else version
            if not page.has_more or not page.items:
                break
            after = page.items[-1].metadata.name
        kept = tuple(item for item in items if item.name.startswith(prefix))
        return ObjectPage(kept, version or 0)

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return what changed after revision `since`, waiting up to `wait_ms` for the first.

        Raises
        ======

        HistoryGoneError : the store does not keep the changes since then any more.
        """
        query = urlencode({"watch": since, "wait_ms": wait_ms})
        answer = self._get(f"{_path(kind)}?{query}", wait_ms)
        if answer.status == HTTPStatus.GONE:
            raise HistoryGoneError(since)
        page = _parse(_WatchBody, answer)
        items = (one.object.to_object(kind, one.tombstone) for one in page.events)
        kept = tuple(item for item in items if item.name.startswith(prefix))
        return ObjectPage(kept, page.store_revision)

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Write an object that must not exist yet."""
        body = {"metadata": {"name": name}, "spec": value}
        return self._write("POST", _path(kind), body)

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Write an object whose revision must be `version`."""
        body = {"metadata": {"name": name, "revision": version}, "spec": value}
        return self._write("PUT", _path(kind, name), body)

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object whose revision must be `version`."""
        return self._write("DELETE", f"{_path(kind, name)}?revision={version}", None)

    def _get(self, path: str, wait_ms: float = 0) -> Answer:
        try:
            return self._calls.call(self._backoff, "GET", path, b"", {}, wait_ms)
        except AnswerLostError as error:
            raise make_unavailable(str(error), self._backoff) from error

    def _write(self, method: str, path: str, body: Any) -> WriteOutcome:
        encoded = encode_value(body) if body is not None else b""
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._calls.call(self._backoff, method, path, encoded, headers)
        except AnswerLostError as error:
            return Unknown(str(error))
        if answer.status == HTTPStatus.NOT_FOUND:
            return Conflict(0)
        if answer.status == HTTPStatus.CONFLICT:
            return Conflict(_parse(_ObjectBody, answer).metadata.revision)
        if answer.status >= HTTPStatus.BAD_REQUEST:
            # The store's page says that a 503 means that nothing was done.
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"status {answer.status}")
        return _parse_written(answer)


def _path(kind: str, name: str = "") -> str:
    path = f"{ROOT}/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _parse(body_type: type[Body], answer: Answer) -> Body:
    """Return the validated body of a good answer or of a conflict."""
    if answer.status >= HTTPStatus.BAD_REQUEST and answer.status != HTTPStatus.CONFLICT:
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"status {answer.status}")
    try:
        return body_type.model_validate_json(answer.body)
    except ValidationError as error:
        detail = f"an answer that does not fit: {describe_mistakes(error)}"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error


def _parse_written(answer: Answer) -> WriteOutcome:
    try:
        return Written(_ObjectBody.model_validate_json(answer.body).metadata.revision)
    except ValidationError:
        return Unknown("an answer that does not fit")
