"""The decision whether a request to the engines of a managed service is admitted."""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.account_demand import NO_ACCOUNT, AccountDemands
from hemlockswitch.process.gateway.managed_services import ManagedServices
from hemlockswitch.process.gateway.return_bookings import ReturnBookings
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.overload import (
    MIN_RETRY_DELAY_MS,
    SHORT_SHARE,
    Refusal,
    estimate_room,
    find_max_queue_ms,
    find_until_room_ms,
)
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.return_book import make_key
from hemlockswitch.request.room import Action, Need, Standing, decide

HONOURED_SHARE = 1 / 3
"""Callers return as told if that leaves them two thirds of the time that they had left."""
BOOKED_SHARE = 0.5
"""Fraction of an account's part that is booked for callers that return. The rest is left to new requests, most of
which need one attempt then; with the whole part booked, each answer would need two."""
UNSEEN_MS = 200.0
"""Delay with which a gateway learns what other gateways have sent to an engine. While more is requested than the engines can
process, each gateway would otherwise fill the same idle engine."""
LOW_QUEUE_GAIN = 1.5
"""Factor on the credit that accounts beyond their parts earn while a queue is short. The parts are estimates: without
it, room that they leave goes to whoever requests most often."""
DEFAULT_WEIGHT = 1.0


class EngineAdmission:
    """Decides on new requests to engines, and books the return of refused callers.

    Parameters
    ==========

    managed : the services to which this applies.
    demands : what the accounts request, and their parts.
    bookings : the times at which refused callers return.
    clock : the time.
    record_requested : called with the service, the route and the work of each new request, also of one that will be
        refused, but not of its return.
    """

    def __init__(
        self,
        managed: ManagedServices,
        demands: AccountDemands,
        bookings: ReturnBookings,
        clock: Clock,
        record_requested: Callable[[str, str, float], None] = lambda *_: None,
    ) -> None:
        self._record_requested = record_requested
        self._managed = managed
        self._demands = demands
        self._bookings = bookings
        self._clock = clock

    def is_managed(self, service: str) -> bool:
        """Return whether a service is managed."""
        return self._managed.is_managed(service)

    def find_refusal(self, admitted: AdmittedRequest, placement: Placement) -> Refusal | None:
        """Return why and until when a new request is refused, or None to admit it."""
        unseen_ms = self._demands.find_surplus(admitted.service) * UNSEEN_MS
        room = estimate_room(placement, admitted.queue_bound, unseen_ms)
        need = self._describe_need(admitted, placement)
        action = decide(room, need)
        self._demands.decisions[action.value, need.standing.name.lower()] += 1
        if action is Action.REFUSED:
            part = "within" if need.is_within_part else "beyond"
            detail = (
                f"{room.wait_ms:.0f} ms of prompts wait, {need.max_wait_ms:.0f} ms are allowed; the account is {part} "
                f"its part, the request is {need.standing.name.lower()}"
            )
            return Refusal(detail, self._book_return(admitted, placement))
        if not need.is_within_part:
            self._demands.use_credit(admitted.service, find_account_name(admitted))
        if self._bookings.count:
            self._bookings.remove(make_key(admitted.fingerprint))
        return None

    def _describe_need(self, admitted: AdmittedRequest, placement: Placement) -> Need:
        """Return what a new request needs; it counts as requested by its account unless it is a return."""
        max_wait_ms = find_max_queue_ms(placement, admitted.queue_bound)
        standing = Standing.NEW
        is_known = False
        if self._bookings.count:
            key = make_key(admitted.fingerprint)
            standing, is_known = self._bookings.find_standing(key), self._bookings.is_known(key)
        name = find_account_name(admitted)
        if not is_known:
            weight = admitted.account.rate_per_s if admitted.account is not None else 0.0
            work = placement.uncached_tokens
            self._demands.record(admitted.service, name, weight or DEFAULT_WEIGHT, work)
            self._record_requested(admitted.service, admitted.route.name, work)
        if self._demands.is_within_part(admitted.service, name):
            return Need(max_wait_ms, standing=standing)
        is_low = placement.queue_ms <= SHORT_SHARE * max_wait_ms
        gain = LOW_QUEUE_GAIN if is_low else 1.0
        if is_known:
            gain = 0.0  # Only requested work that counts earns credit.
        has_credit = standing is Standing.NEW and self._demands.has_credit(
            admitted.service, name, gain
        )
        return Need(max_wait_ms, is_within_part=False, has_credit=has_credit, standing=standing)

    def _book_return(self, admitted: AdmittedRequest, placement: Placement) -> float:
        """Return in how many ms a refused caller should return.

        The refused callers of an account return one after the other, at the rate at which half of its part of the
        room becomes free for requests of this gateway.
        """
        left_ms = max(admitted.deadline_ms - self._clock.now_ms(), 0.0)
        max_wait_ms = max(left_ms * HONOURED_SHARE, MIN_RETRY_DELAY_MS)
        wait_ms = find_until_room_ms(placement, admitted.queue_bound)
        name = find_account_name(admitted)
        part = self._demands.find_own_part(admitted.service, name) * BOOKED_SHARE
        gap_ms = placement.uncached_tokens / part if part > 0 else max_wait_ms
        key = make_key(admitted.fingerprint)
        lane = (admitted.service, name)
        return self._bookings.reserve(
            key, wait_ms, max_wait_ms, gap_ms, admitted.urgency, lane=lane
        )


def find_account_name(admitted: AdmittedRequest) -> str:
    """Return the name under which the requested work of an account is measured."""
    return NO_ACCOUNT if admitted.account is None else admitted.account.name
