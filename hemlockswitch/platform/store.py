"""Client of the platform's object store, with the interface of `PlatformClient`."""

from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from hemlockswitch.connection.backoff import Backoff, Outage
from hemlockswitch.connection.platform_calls import (
    Answer,
    AnswerLostError,
    PlatformCalls,
    make_unavailable,
)
from hemlockswitch.connection.store_order import (
    StoreEra,
    find_era,
    find_revision,
    make_version,
)
from hemlockswitch.connection.stored_objects import (
    Conflict,
    ObjectPage,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
    encode_value,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, HistoryGoneError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.core.repeats import RepeatLimiter
from hemlockswitch.platform.bodies import Body
from hemlockswitch.platform.objects import (
    ListBody,
    ObjectBody,
    OnUnreadable,
    WatchBody,
    decode_body,
    find_name,
    read_events,
    read_items,
)
from hemlockswitch.platform.store_era import EraTracker

ROOT = "/hemlockswitch/objects"
TIMEOUT_MS = 1_500.0
"""Longer than the answers of a slow service take, which are delayed a hundredfold."""
MAX_BACKOFF_MS = 600.0
"""Limit of the back-off after failures: changes made during an outage must be read well within two
seconds of its end."""
MAX_PAGES = 1_000
MAX_CONTINUATION_CHARACTERS = 1_024
"""Length to which a name is cut in the query for the next page of a list."""
MAX_LOGGED_CHARACTERS = 200
_LAST_CHARACTER = "\U0010ffff"

_Model = TypeVar("_Model", bound=Body)


class ObjectStore:
    """Client of the object store; `PlatformClient` describes the guarantees of reads and writes.

    Explanation
    ===========

    The store may come back from a copy. The versions that this client returns keep their order over that; they
    combine the store's revisions with its era. A version of an earlier era names nothing that the store still
    has, although an object may have its revision again: a write that depends on it conflicts, and its history
    is gone.

    Parameters
    ==========

    address : ``ip:port`` of the store.
    clock : the clock of the back-off and of the calls.
    """

    def __init__(self, address: str, clock: Clock, timeout_ms: float = TIMEOUT_MS) -> None:
        self._calls = PlatformCalls(address, {}, timeout_ms, clock)
        self._backoff = Backoff(clock, MAX_BACKOFF_MS)
        self._era = EraTracker(clock)
        self._log_limiter = RepeatLimiter(clock)

    def get_era(self) -> StoreEra:
        """Return the newest era that an answer has stated."""
        return self._era.current

    @property
    def last_outage(self) -> Outage | None:
        """The most recent outage that has ended."""
        return self._backoff.last_outage

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        answer = self._get(_path(kind, name))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        era = self._era.record(answer.headers)
        return _parse(ObjectBody, answer).to_object(kind, era, self._make_reporter(kind))

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind whose names start with `prefix`."""
        return self._list(kind, prefix, {})

    def list_stale(self, kind: str) -> ObjectPage:
        """Return all objects of a kind as of some seconds ago, at a tenth of the cost of `list`."""
        return self._list(kind, "", {"serializable": "1"})

    def _list(self, kind: str, prefix: str, options: dict[str, str]) -> ObjectPage:
        items: list[StoredObject] = []
        version: int | None = None
        first_era: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = urlencode({"after": after, **options})
            answer = self._get(f"{_path(kind)}?{query}")
            page = _parse(ListBody, answer)
            era = self._era.record(answer.headers)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise _make_era_error("a list")
            items += read_items(kind, page.items, era, self._make_reporter(kind))
            # A watch from the first page's revision includes the changes made during the listing.
            version = make_version(era, page.store_revision) if version is None else version
            if not page.has_more or not page.items:
                break
            after = _find_continuation(page.items, after)
        matching = tuple(item for item in items if item.name.startswith(prefix))
        return ObjectPage(matching, version or 0)

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return the changes after revision `since`, waiting up to `wait_ms` for the first.

        Raises
        ======

        HistoryGoneError : the store no longer has the changes since that revision.
        """
        if find_era(since) < self._era.current.number:
            raise HistoryGoneError(since)
        query = urlencode({"watch": find_revision(since), "wait_ms": wait_ms})
        answer = self._get(f"{_path(kind)}?{query}", wait_ms)
        era = self._era.record(answer.headers)
        if answer.status == HTTPStatus.GONE:
            raise HistoryGoneError(since)
        page = _parse(WatchBody, answer)
        if era != find_era(since):
            raise HistoryGoneError(since)
        items = read_events(kind, page.events, era, self._make_reporter(kind))
        matching = tuple(item for item in items if item.name.startswith(prefix))
        return ObjectPage(matching, make_version(era, page.store_revision))

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Create an object; a `Conflict` if it exists."""
        body = {"metadata": {"name": name}, "spec": value}
        return self._write("POST", _path(kind), body)

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Replace an object if its revision is `version`."""
        body = {"metadata": {"name": name, "revision": find_revision(version)}, "spec": value}
        return self._write_if("PUT", _path(kind, name), body, version)

    def update_status(self, kind: str, name: str, status: Any, version: int) -> WriteOutcome:
        """Replace the status of an object if the object's revision is `version`."""
        body = {"metadata": {"name": name, "revision": find_revision(version)}, "status": status}
        return self._write_if("PUT", f"{_path(kind, name)}/status", body, version)

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object if its revision is `version`."""
        path = f"{_path(kind, name)}?revision={find_revision(version)}"
        return self._write_if("DELETE", path, None, version)

    def _get(self, path: str, wait_ms: float = 0) -> Answer:
        try:
            answer = self._calls.call(self._backoff, "GET", path, b"", {}, wait_ms)
        except AnswerLostError as error:
            raise make_unavailable(str(error), self._backoff) from error
        self._era.record(answer.headers)
        return answer

    def _write_if(self, method: str, path: str, body: Any, version: int) -> WriteOutcome:
        """Write if the object has a version; in another era its revision may name another write."""
        era = find_era(version)
        if era < self._era.current.number:
            return Conflict(0)
        outcome = self._write(method, path, body)
        if isinstance(outcome, Written) and find_era(outcome.version) != era:
            return Unknown("the object store has come back from a copy")
        return outcome

    def _write(self, method: str, path: str, body: Any) -> WriteOutcome:
        encoded = encode_value(body) if body is not None else b""
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._calls.call(self._backoff, method, path, encoded, headers)
        except AnswerLostError as error:
            return Unknown(str(error))
        era = self._era.record(answer.headers)
        if era < self._era.current.number:
            return Unknown("the answer is older than the era of the object store")
        if answer.status == HTTPStatus.NOT_FOUND:
            return Conflict(0)
        if answer.status == HTTPStatus.CONFLICT:
            return Conflict(make_version(era, _parse(ObjectBody, answer).metadata.revision))
        if answer.status >= HTTPStatus.BAD_REQUEST:
            # According to the platform's documentation, 503 means that nothing was written.
            raise PlatformError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"the object store answered a write with status {answer.status}",
            )
        return _parse_written(answer, era)

    def _make_reporter(self, kind: str) -> OnUnreadable:
        """Return a function that logs an unreadable object, at a limited rate."""

        def report(name: str, detail: str) -> None:
            shown = name[:MAX_LOGGED_CHARACTERS]
            if self._log_limiter.allow(kind, shown):
                log_event(Event.OBJECT_UNREADABLE, "warning", kind=kind, name=shown, detail=detail)

        return report


def _path(kind: str, name: str = "") -> str:
    path = f"{ROOT}/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _make_era_error(call: str) -> PlatformError:
    detail = f"the object store came back from a copy during {call}"
    return PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail)


def _find_continuation(items: tuple[msgspec.Raw, ...], after: str) -> str:
    """Return the name after which a list goes on: that of the page's last object that has one.

    Raises
    ======

    PlatformError : no object of the page has a name, or the names don't go beyond `after`.
    """
    name = next((name for item in reversed(items) if (name := find_name(item))), "")
    if len(name) > MAX_CONTINUATION_CHARACTERS:
        name = name[:MAX_CONTINUATION_CHARACTERS] + _LAST_CHARACTER
    if name <= after:
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, "the list of the object store does not advance"
        )
    return name


def _parse(model: type[_Model], answer: Answer) -> _Model:
    """Return the validated body of a successful answer or of a conflict."""
    if answer.status >= HTTPStatus.BAD_REQUEST and answer.status != HTTPStatus.CONFLICT:
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"the object store answered with status {answer.status}",
        )
    try:
        return decode_body(model, answer.body)
    except msgspec.DecodeError as error:
        detail = f"invalid answer of the object store: {error}"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error


def _parse_written(answer: Answer, era: int) -> WriteOutcome:
    try:
        return Written(make_version(era, decode_body(ObjectBody, answer.body).metadata.revision))
    except msgspec.DecodeError:
        return Unknown("invalid answer of the object store to a write")
