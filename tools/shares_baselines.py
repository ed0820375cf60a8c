"""Limits enforced by a central counter, for comparison with shares."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.stored_objects import Written
from hemlockswitch.core.errors import ErrorKind, HemlockError, PlatformError

BURST_S = 1.0


class CentralCounter:
    """Admission by one platform object per account, with a read and a write per request.

    Parameters
    ==========

    store : the platform's object service.
    limits : each account's limits, as in the operator file.
    """

    def __init__(self, store: Any, limits: Mapping[str, Mapping[str, int]]) -> None:
        self._store = store
        self._limits = limits

    def admit(self, account: str, tokens: int) -> "CentralPermit":
        """Charge a request to the counter of its account.

        Raises
        ======

        PlatformError : the account is over its limit, or the platform did not answer.
        """
        limits = self._limits[account]

        def charge(value: dict[str, float], now_s: float) -> dict[str, float]:
            rate = limits["requests_per_second"]
            level = min(value["level"] + rate * (now_s - value["at"]), rate * BURST_S)
            if level < 1 or value["running"] >= limits["concurrent_requests"]:
                raise PlatformError(ErrorKind.REQUEST_LIMIT, "over the limit")
            return {"level": level - 1, "at": now_s, "running": value["running"] + 1}

        self._change(account, charge)
        return CentralPermit(lambda: self._change(account, _release))

    def _change(self, account: str, change: Callable[[dict[str, float], float], Any]) -> None:
        while True:
            stored = self._store.read("counters", account)
            now_s = time.time()
            empty = {"level": 0.0, "at": now_s - BURST_S, "running": 0}
            value = empty if stored is None else stored.value
            changed = change(value, now_s)
            if stored is None:
                outcome = self._store.create("counters", account, changed)
            else:
                outcome = self._store.update("counters", account, changed, stored.version)
            if isinstance(outcome, Written):
                return


def _release(value: dict[str, float], now_s: float) -> dict[str, float]:
    return {**value, "running": value["running"] - 1}


@dataclass
class CentralPermit:
    """A permit of the central counter."""

    release: Callable[[], None]

    def record_tokens(self, count: int) -> None:
        """Do nothing: the counter does not settle tokens."""

    def close(self) -> None:
        """Free the slot; a lost release leaves it taken."""
        try:
            self.release()
        except HemlockError:
            return
