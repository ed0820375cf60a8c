"""Stand-in of the users' platform for gateways: object store, cloud API and test harness."""

import copy
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from typing import Any, Literal

import falcon
import gevent
from gevent.event import Event as Signal
from pydantic import BaseModel, ConfigDict

from hemlockswitch.standin.server import (
    SOCKET_KEY,
    cut_connection,
    make_application,
    read_body,
    serve_until_stopped,
)

ROOT = "/hemlockswitch/objects"
MAX_WAIT_MS = 30_000
SWALLOWED_CALL_DELAY_S = 60
REWRITTEN_KINDS = ("config", "servers", "rollouts")
"""Kinds that the operator and the servers write."""
MAX_CHECK_WAIT_MS = 1
"""A watch with at most this wait only checks for a change, and is counted separately."""


class GatewayStoreSettings(BaseModel):
    """Settings file of the stand-in."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    listen: str = "127.0.0.1:0"


class StoreFaults(BaseModel):
    """Faults of the object store.

    Parameters
    ==========

    mode : ``busy`` answers 503, ``many`` answers 429, ``silent`` delays every call until the mode
        changes, ``swallow`` delays each call by `SWALLOWED_S`, even if the mode changes.
    lose_answers : this number of writes take effect, but their connection is reset.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    mode: Literal["none", "busy", "silent", "swallow", "many"] = "none"
    lose_answers: int = 0


@dataclass
class Entry:
    """A stored object."""

    name: str
    revision: int
    spec: Any
    created: int = 0
    status: Any = None

    def render(self) -> dict[str, Any]:
        """Return the object in the form in which the store answers it."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "created_rev": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


@dataclass
class Change:
    """A change that watches receive."""

    kind: str
    revision: int
    tombstone: bool
    rendered: dict[str, Any]


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the contents of the store at one revision."""

    revision: int
    objects: dict[str, dict[str, Entry]]
    history: list[Change]


@dataclass
class GatewayStore:
    """State of the stand-in.

    `kept_copy` is what the store returns from when a harness lets it.
    `era` rises by one each time the store comes back from a copy; it is stated in all answers unless it is 0.
    """

    era: int = 0
    kept_copy: StoreCopy | None = None

    revision: int = 1
    objects: dict[str, dict[str, Entry]] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    oldest_revision: int = 0
    faults: StoreFaults = StoreFaults()
    lost_answers: int = 0
    cloud_calls: list[dict[str, Any]] = field(default_factory=list)
    watch_calls: Counter[str] = field(default_factory=Counter)
    check_calls: Counter[str] = field(default_factory=Counter)
    changed: Signal = field(default_factory=Signal)

    def list_kind(self, kind: str) -> dict[str, Entry]:
        """Return the objects of a kind by name."""
        return self.objects.setdefault(kind, {})

    def put(self, kind: str, name: str, spec: Any) -> Entry:
        """Write an object; an unchanged object gets no new revision."""
        existing = self.list_kind(kind).get(name)
        if existing is not None and existing.spec == spec:
            return existing
        self.revision += 1
        created, status = (existing.created, existing.status) if existing else (self.revision, None)
        return self._store_entry(kind, Entry(name, self.revision, spec, created, status))

    def put_status(self, kind: str, name: str, status: Any) -> Entry:
        """Replace the status of an existing object; an unchanged status makes no new revision."""
        existing = self.list_kind(kind)[name]
        if existing.status == status:
            return existing
        self.revision += 1
        return self._store_entry(kind, replace(existing, revision=self.revision, status=status))

    def _store_entry(self, kind: str, entry: Entry) -> Entry:
        self.list_kind(kind)[entry.name] = entry
        self._publish(Change(kind, self.revision, False, entry.render()))
        return entry

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self.list_kind(kind).pop(name, None)
        if entry is not None:
            self.revision += 1
            rendered = entry.render()
            rendered["metadata"]["revision"] = self.revision
            self._publish(Change(kind, self.revision, True, rendered))

    def discard_history(self) -> None:
        """Drop all recorded changes, as a compaction does."""
        self.history.clear()
        self.oldest_revision = self.revision

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(self.revision, copy.deepcopy(self.objects), list(self.history))

    def return_from(self, earlier: StoreCopy, rewritten: Collection[str] = ()) -> None:
        """Go back to a copy: all later writes are lost, and their revisions are given out again.

        Parameters
        ==========

        rewritten : the kinds whose writers write all objects again as they were.
        """
        written = {kind: dict(self.list_kind(kind)) for kind in rewritten}
        self.era += 1
        self.revision = earlier.revision
        self.objects = copy.deepcopy(earlier.objects)
        self.history = list(earlier.history)
        for kind, entries in written.items():
            for name in self.list_kind(kind).keys() - entries.keys():
                self.remove(kind, name)
            for name, entry in entries.items():
                self.put(kind, name, entry.spec)
        self.changed.set()
        self.changed.clear()

    def find_changes(self, kind: str, since: int) -> list[Change]:
        """Return the changes of a kind after a revision."""
        return [one for one in self.history if one.kind == kind and one.revision > since]

    def wait_changes(self, kind: str, since: int, wait_ms: float) -> list[Change]:
        """Return the changes of a kind after a revision, waiting up to `wait_ms` for the first.

        The wait ends early if a compaction drops the changes after `since`, or the store goes back.
        """
        era = self.era
        with gevent.Timeout(min(wait_ms, MAX_WAIT_MS) / 1_000, False):
            while (
                self.era == era and not self.find_changes(kind, since) and self.has_revision(since)
            ):
                self.changed.wait()
        return self.find_changes(kind, since)

    def has_revision(self, revision: int) -> bool:
        """Return whether a watch may begin after a revision."""
        return self.oldest_revision <= revision <= self.revision

    def _publish(self, change: Change) -> None:
        self.history.append(change)
        self.changed.set()
        self.changed.clear()


class EraHeader:
    """Middleware that states the era of the store in all answers."""

    def __init__(self, store: GatewayStore) -> None:
        self._store = store

    def process_response(
        self, req: falcon.Request, resp: falcon.Response, resource: object, req_succeeded: bool
    ) -> None:
        """Add the header."""
        if self._store.era:
            resp.set_header("Store-Era", str(self._store.era))


class ObjectCalls:
    """The calls of the object store, under `ROOT`."""

    def __init__(self, store: GatewayStore) -> None:
        self._store = store

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str = "") -> None:
        """Answer an object, a list or a watch."""
        self._apply_faults(resp)
        if name:
            entry = self._store.list_kind(kind).get(name)
            if entry is None:
                raise falcon.HTTPNotFound
            resp.media = entry.render()
        elif req.has_param("watch"):
            self._watch(req, resp, kind)
        else:
            self._list(req, resp, kind)

    def on_post(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Create an object; answer 409 if it exists."""
        self._apply_faults(resp)
        body = req.get_media()
        name = body["metadata"]["name"]
        existing = self._store.list_kind(kind).get(name)
        if existing is not None:
            resp.status, resp.media = 409, existing.render()
            return
        resp.media = self._store.put(kind, name, body.get("spec")).render()
        self._lose_answer(req)

    def on_put(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Replace an object; answer 409 if the call names a revision that is not current."""
        self._replace(req, resp, kind, name, lambda body: self._store.put(kind, name, body["spec"]))

    def on_put_status(
        self, req: falcon.Request, resp: falcon.Response, kind: str, name: str
    ) -> None:
        """Replace an object's status, under the same condition as `on_put`."""
        self._replace(
            req, resp, kind, name, lambda body: self._store.put_status(kind, name, body["status"])
        )

    def _replace(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        kind: str,
        name: str,
        write: Callable[[Any], Entry],
    ) -> None:
        self._apply_faults(resp)
        body = req.get_media()
        existing = self._store.list_kind(kind).get(name)
        if existing is None:
            raise falcon.HTTPNotFound
        expected = body["metadata"].get("revision")
        if expected is not None and expected != existing.revision:
            resp.status, resp.media = 409, existing.render()
            return
        resp.media = write(body).render()
        self._lose_answer(req)

    def on_delete(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Remove an object."""
        self._apply_faults(resp)
        self._store.remove(kind, name)
        resp.media = {}

    def _list(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        after = req.get_param("after", default="")
        entries = sorted(self._store.list_kind(kind).values(), key=lambda one: one.name)
        items = [one.render() for one in entries if one.name > after]
        resp.media = {
            "items": items,
            "has_more": False,
            "store_revision": self._store.revision,
        }

    def _watch(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        since = req.get_param_as_int("watch", default=0)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        calls = self._store.check_calls if wait_ms <= MAX_CHECK_WAIT_MS else self._store.watch_calls
        calls[kind] += 1
        era = self._store.era
        changes = self._store.wait_changes(kind, since, wait_ms)
        if self._store.era != era or not self._store.has_revision(since):
            raise falcon.HTTPGone
        self._apply_faults(resp)
        events = [{"tombstone": one.tombstone, "object": one.rendered} for one in changes]
        resp.media = {"events": events, "store_revision": self._store.revision}

    def _apply_faults(self, resp: falcon.Response) -> None:
        mode = self._store.faults.mode
        if mode == "busy":
            raise falcon.HTTPServiceUnavailable
        if mode == "many":
            raise falcon.HTTPTooManyRequests
        while self._store.faults.mode == "silent":
            gevent.sleep(0.05)
        if mode == "swallow":
            gevent.sleep(SWALLOWED_CALL_DELAY_S)

    def _lose_answer(self, req: falcon.Request) -> None:
        if self._store.lost_answers < self._store.faults.lose_answers:
            self._store.lost_answers += 1
            cut_connection(req.env[SOCKET_KEY])


class CloudCalls:
    """``POST /usage`` and ``POST /scale``: calls are accepted and recorded for the test."""

    def __init__(self, store: GatewayStore) -> None:
        self._store = store

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Record a call."""
        call = {
            "path": req.path,
            "holder": req.get_header("Hemlockswitch-Duty-Holder"),
            "fence": int(req.get_header("Hemlockswitch-Fence-Token") or 0),
            "body": req.get_media(),
        }
        self._store.cloud_calls.append(call)
        resp.media = {}


class Harness:
    """The calls under ``/standin``, by which tests set and read the state."""

    def __init__(self, store: GatewayStore) -> None:
        self._store = store

    def on_put_object(
        self, req: falcon.Request, resp: falcon.Response, kind: str, name: str
    ) -> None:
        """Write an object; faults do not apply."""
        resp.media = self._store.put(kind, name, req.get_media()).render()

    def on_get_object(
        self, req: falcon.Request, resp: falcon.Response, kind: str, name: str
    ) -> None:
        """Return an object; faults do not apply."""
        resp.media = self._store.list_kind(kind)[name].render()

    def on_delete_object(
        self, req: falcon.Request, resp: falcon.Response, kind: str, name: str
    ) -> None:
        """Remove an object; faults do not apply."""
        self._store.remove(kind, name)
        resp.media = {}

    def on_post_faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the active faults."""
        self._store.faults = read_body(req, StoreFaults)
        self._store.lost_answers = 0
        resp.media = {}

    def on_post_compact(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Drop all recorded changes."""
        self._store.discard_history()
        resp.media = {}

    def on_post_copy(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Keep a copy of the contents."""
        self._store.kept_copy = self._store.make_copy()
        resp.media = {}

    def on_post_return(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Go back to the copy; what the operator and the servers wrote is written again."""
        if self._store.kept_copy is not None:
            self._store.return_from(self._store.kept_copy, REWRITTEN_KINDS)
        resp.media = {}

    def on_get_cloud(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the recorded calls of the cloud API."""
        resp.media = self._store.cloud_calls


def build_application(store: GatewayStore) -> falcon.App:
    """Return the stand-in's WSGI application."""
    application = make_application()
    application.add_middleware(EraHeader(store))
    calls = ObjectCalls(store)
    application.add_route(f"{ROOT}/{{kind}}", calls)
    application.add_route(f"{ROOT}/{{kind}}/{{name}}", calls)
    application.add_route(f"{ROOT}/{{kind}}/{{name}}/status", calls, suffix="status")
    application.add_route("/usage", CloudCalls(store))
    application.add_route("/scale", CloudCalls(store))
    harness = Harness(store)
    application.add_route("/standin/objects/{kind}/{name}", harness, suffix="object")
    application.add_route("/standin/faults", harness, suffix="faults")
    application.add_route("/standin/compact", harness, suffix="compact")
    application.add_route("/standin/copy", harness, suffix="copy")
    application.add_route("/standin/return", harness, suffix="return")
    application.add_route("/standin/cloud", harness, suffix="cloud")
    return application


def serve_gateway_store(settings: GatewayStoreSettings) -> None:
    """Serve the stand-in until the process receives a stop signal."""
    serve_until_stopped(build_application(GatewayStore()), settings.listen)
