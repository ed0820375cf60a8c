"""Asks the platform for the configuration, in the simplest way."""

import json
from collections.abc import Callable
from typing import Any

from hemlockswitch.connection.backends import BackendCall, BackendClient, ExchangeError
from hemlockswitch.core.clock import Clock
from hemlockswitch.version.models import OperatorFile
from hemlockswitch.version.revisions import (
    CURRENT_POINTER,
    POINTER_KIND,
    REVISION_KIND,
    StoredPointer,
    StoredRevision,
)

POLL_MS = 500.0
TIMEOUT_MS = 2_000.0
OK = 200


class PlatformPoll:
    """Learns of newer configurations by asking again and again.

    Parameters
    ==========

    platform : the platform's address.
    name : this daemon, for the platform's count of calls.
    clock : paces the asking.
    use_file : called with a newer configuration and its number.
    """

    def __init__(
        self,
        platform: str,
        name: str,
        clock: Clock,
        use_file: Callable[[OperatorFile, int], None],
    ) -> None:
        self._platform = platform
        self._headers = {"X-Role": "entry", "X-Daemon": name}
        self._clock = clock
        self._use_file = use_file
        self._client = BackendClient()
        self._revision = 0

    def run(self) -> None:
        """Ask for ever."""
        while True:
            self.ask()
            self._clock.sleep_ms(POLL_MS)

    def ask(self) -> None:
        """Ask once; an outage is answered by going on with what is known."""
        try:
            self._ask_revision()
        except (ExchangeError, ValueError, KeyError):
            return

    def _get(self, path: str) -> Any:
        call = BackendCall("GET", path, headers=self._headers)
        answer = self._client.call(self._platform, call, TIMEOUT_MS)
        return json.loads(answer.body) if answer.status == OK else None

    def _ask_revision(self) -> None:
        pointer = self._get(f"/objects/{POINTER_KIND}/{CURRENT_POINTER}")
        if pointer is None:
            return
        number = StoredPointer.model_validate(pointer["value"]).number
        if number <= self._revision:
            return
        found = self._get(f"/objects/{REVISION_KIND}/{number}")
        if found is None:
            return
        stored = StoredRevision.model_validate(found["value"])
        self._revision = number
        self._use_file(OperatorFile.model_validate(stored.file), number)
