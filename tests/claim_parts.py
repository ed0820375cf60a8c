"""In-memory object service, peers and backend service for the tests of claims."""

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import pytest

from hemlockswitch.connection.stored_objects import (
    Conflict,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import ErrorKind, PlatformError, RequestError
from hemlockswitch.process.claims.routes import ClaimOperation
from hemlockswitch.process.claims.store import ClaimStore
from hemlockswitch.process.claims.writer import Pace
from hemlockswitch.request.claims import StoredAnswer


class Objects:
    """In-memory object service; each call yields to other tasks.

    `lose` is the number of writes whose answer is lost, `old_reads` the number of stale reads;
    `down` refuses every call.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, Any]] = {}
        self.history: dict[str, list[tuple[int, Any]]] = {}
        self.version = 0
        self.lose = 0
        self.old_reads = 0
        self.down = False
        self.writes = 0

    def _check(self) -> None:
        gevent.sleep(0.001)
        if self.down:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._check()
        history = self.history.get(name, [])
        if not history:
            return None
        back = min(self.old_reads, len(history) - 1)
        self.old_reads = max(self.old_reads - 1, 0)
        version, value = history[-1 - back]
        return StoredObject(kind, name, version, value)

    def _write(self, name: str, value: Any, expected: int) -> WriteOutcome:
        self._check()
        history = self.history.setdefault(name, [])
        current = history[-1][0] if history else 0
        if current != expected:
            return Conflict(current)
        self.version += 1
        self.writes += 1
        history.append((self.version, json.loads(value) if isinstance(value, bytes) else value))
        if self.lose:
            self.lose -= 1
            return Unknown("lost")
        return Written(self.version)

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        return self._write(name, value, 0)

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        return self._write(name, value, version)

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        self._check()
        self.history.pop(name, None)
        return Written(version)


class Network:
    """Peers that call each other's handlers directly."""

    def __init__(self) -> None:
        self.handlers: dict[str, Callable[[str, Any], Any]] = {}
        self.asked: Counter[str] = Counter()

    def join(self, address: str) -> "Network.Door":
        return Network.Door(self, address)

    class Door:
        def __init__(self, network: "Network", address: str) -> None:
            self.network, self.address = network, address

        def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
            assert message_type is ClaimOperation
            self.network.handlers[self.address] = handler

        def request(self, address: str, message: Any, timeout_ms: float) -> Any:
            self.network.asked[address] += 1
            return self.network.handlers[address](self.address, message)


class Service:
    """Counts runs; each run takes `hold` seconds."""

    def __init__(self) -> None:
        self.runs = 0
        self.hold = 0.0
        self.error: RequestError | None = None
        self.body = b"done"

    def __call__(self) -> StoredAnswer:
        if self.error is not None:
            raise self.error
        self.runs += 1
        gevent.sleep(self.hold)
        return StoredAnswer(201, {"content-type": "text/plain"}, self.body)


def make_store(objects: Objects, name: str = "a", zone: str = "z", **settings: Any) -> ClaimStore:
    settings = {"pace": Pace(0, 0, 1), **settings}
    retention_ms = settings.pop("retention_ms", 3_600_000)
    return ClaimStore.from_config(
        name, zone, objects, SystemClock(), lambda: retention_ms, **settings
    )


def run(store: ClaimStore, service: Service, key: str = "k", call: str = "f") -> StoredAnswer:
    return store.run_once("qafza", key, call, service)


def refuse(store: ClaimStore, service: Service, key: str = "k", call: str = "f") -> RequestError:
    with pytest.raises(RequestError) as raised:
        run(store, service, key, call)
    return raised.value
