"""The platform's API for the duties of one daemon at a time: usage reports and orders of runners."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from hemlockswitch.connection.backoff import Backoff
from hemlockswitch.connection.platform_calls import (
    Answer,
    AnswerLostError,
    PlatformCalls,
    make_unavailable,
)
from hemlockswitch.connection.stored_objects import encode_value
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.gateway.copies_plan import Pool
from hemlockswitch.process.gateway.scaling import OrderOutcome
from hemlockswitch.version.machine_class import MachineClass

TIMEOUT_MS = 800.0
"""Shorter than the last part of a lease in which its holder no longer acts."""
LONGEST_PAUSE_MS = 1_000.0


class CloudApi:
    """Calls that only the holder of the duties makes.

    Parameters
    ==========

    address : ``ip:port`` of the API.
    holder : this machine's name.
    clock : the time.
    """

    def __init__(self, address: str, holder: str, clock: Clock) -> None:
        self._holder = holder
        self._calls = PlatformCalls(address, {}, TIMEOUT_MS, clock)
        self._backoff = Backoff(clock, LONGEST_PAUSE_MS)

    def close(self) -> None:
        """Close the kept connections."""
        self._calls.close()

    def report_usage(self, window: int, counts: Mapping[str, int], fencing: int) -> bool:
        """Report one window; return whether it was taken."""
        answer = self._post("/usage", {"window": window, "counts": dict(counts)}, fencing)
        return answer.status < HTTPStatus.BAD_REQUEST

    def order_copies(self, service: str, pool: Pool, count: int, fencing: int) -> OrderOutcome:
        """Order `count` copies in a pool."""
        order: dict[str, Any] = {"service": service, "zone": pool.zone, "desired": count}
        if pool.machine_class is MachineClass.RECLAIMABLE:
            order["spot"] = True
        answer = self._post("/scale", order, fencing)
        if answer.status == HTTPStatus.CONFLICT:
            return OrderOutcome.NONE_AVAILABLE
        if answer.status >= HTTPStatus.BAD_REQUEST:
            return OrderOutcome.REFUSED
        return OrderOutcome.TAKEN

    def _post(self, path: str, body: Any, fencing: int) -> Answer:
        headers = {
            "Content-Type": "application/json",
            "Hemlockswitch-Duty-Holder": self._holder,
            "Hemlockswitch-Fence-Token": str(fencing),
        }
        try:
            answer = self._calls.call(self._backoff, "POST", path, encode_value(body), headers)
        except AnswerLostError as error:
            raise make_unavailable(str(error), self._backoff) from error
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"status {answer.status}")
        return answer
