"""Client of the platform's API for usage reports and runner scaling, used by one daemon at a time."""

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
"""Shorter than the final part of a lease term, in which the lease holder no longer acts."""
MAX_BACKOFF_MS = 1_000.0


class CloudApi:
    """Calls that only the daemon that holds the lease of the duties makes.

    Parameters
    ==========

    address : ``ip:port`` of the API.
    holder : the name of this machine, sent as the lease holder.
    clock : the clock of the back-off and of the calls.
    """

    def __init__(self, address: str, holder: str, clock: Clock) -> None:
        self._holder = holder
        self._calls = PlatformCalls(address, {}, TIMEOUT_MS, clock)
        self._backoff = Backoff(clock, MAX_BACKOFF_MS)

    def close(self) -> None:
        """Close the idle connections."""
        self._calls.close()

    def report_usage(self, window: int, counts: Mapping[str, int], fencing: int) -> bool:
        """Report the counts of one usage window; return whether the API accepted them."""
        answer = self._post("/usage", {"window": window, "counts": dict(counts)}, fencing)
        return answer.status < HTTPStatus.BAD_REQUEST

    def order_copies(self, service: str, pool: Pool, count: int, fencing: int) -> OrderOutcome:
        """Set the desired number of copies of `service` in `pool` to `count`."""
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
            raise PlatformError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"the cloud API answered with status {answer.status}",
            )
        return answer
