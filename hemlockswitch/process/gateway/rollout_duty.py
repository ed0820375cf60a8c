"""Duty that decides on rollout orders and writes their states to the object service."""

from collections.abc import Callable, Collection
from typing import Any, Protocol

from hemlockswitch.connection.stored_objects import ConditionalStore, WriteOutcome, Written
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.rollout_progress import (
    MIN_MOVE_MS,
    RolloutProgress,
)
from hemlockswitch.request.rollout_verdict import Verdict
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.rollout import OrderIdentity, RolloutOrder, RolloutState

RECORD_KIND = "rollout-begins"
"""Kind of the stored records of when each order began and whether its version was found good. They are
stored because possibly no gateway lives as long as the order."""
DRAIN_GRACE_MS = 500.0
"""How long to wait for requests in progress on the old version after the planned end of the move."""
WRITE_MARGIN_MS = 500.0
"""Time reserved before the time limit for one turn of the duties and one write to the object service."""


class StatusStore(ConditionalStore, Protocol):
    """An object service in which the state of an order can be written."""

    def update_status(self, kind: str, name: str, status: Any, version: int) -> WriteOutcome:
        """Write the status of an object whose version must be `version`."""


class OpenRollouts(Protocol):
    """Source of the open orders; see `process.gateway.rollouts`."""

    def list_open(self) -> list[RolloutProgress]:
        """Return the orders that are not closed."""

    def list_unstored(self) -> list[RolloutProgress]:
        """Return the closed orders whose state the object service has lost."""


class RolloutDuty:
    """Accepts orders, moves services and closes orders while this gateway holds the duties.

    Parameters
    ==========

    rollouts : source of the open orders and their progress at this gateway.
    store : the object service that stores the orders.
    kind : the kind of the orders in the store.
    encode_status : returns the status to write for a state.
    list_servers : returns the registered backend servers.
    count_running : returns the number of requests in progress on given servers, over all gateways.
    fleet_clock : source of the wall-clock time.
    clock : source of the monotonic time.
    """

    def __init__(
        self,
        rollouts: OpenRollouts,
        store: StatusStore,
        kind: str,
        encode_status: Callable[[RolloutOrder, RolloutState], dict[str, Any]],
        list_servers: Callable[[], list[BackendServer]],
        count_running: Callable[[Collection[str]], int],
        fleet_clock: FleetClock,
        clock: Clock,
    ) -> None:
        self._rollouts = rollouts
        self._store = store
        self._kind = kind
        self._encode_status = encode_status
        self._list_servers = list_servers
        self._count_running = count_running
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._recorded: set[OrderIdentity] = set()
        self._found_good: set[OrderIdentity] = set()

    def take_over(self) -> None:
        """Reset the state as a new holder; the records of earlier holders are read again."""
        self._recorded.clear()
        self._found_good.clear()

    def take_turn(self, get_fencing: Callable[[], int]) -> None:
        """Perform the steps that are due for each order.

        Raises
        ======

        LeaseError : the lease is no longer held.
        PlatformError : the object service did not answer; the step has to be retried.
        """
        for progress in self._rollouts.list_unstored():
            assert progress.order.state is not None
            self._write_state(progress, progress.order.state, get_fencing)
        for progress in self._rollouts.list_open():
            if progress.order.identity not in self._recorded:
                self._store_start(progress)
            state = self._decide(progress)
            if state is not None and state is not progress.order.state:
                self._write_state(progress, state, get_fencing)
            elif progress.close_ms is not None and progress.is_open:
                self._store_verdict(progress)

    def _store_start(self, progress: RolloutProgress) -> None:
        """Store when the order began, or read the record that an earlier holder stored."""
        order = progress.order
        now_ms = self._clock.now_ms()
        began_unix_ms = self._fleet_clock.now_ms() - progress.get_age_ms(now_ms)
        value = {
            "target": order.target,
            "created": order.created_version,
            "began_unix_ms": round(began_unix_ms),
        }
        found = self._store.read(RECORD_KIND, order.service)
        if found is None:
            outcome = self._store.create(RECORD_KIND, order.service, value)
        elif _belongs_to_order(found.value, order):
            progress.record_age(self._fleet_clock.now_ms() - found.value["began_unix_ms"], now_ms)
            self._recorded.add(order.identity)
            if found.value.get("found_good") is True:
                self._found_good.add(order.identity)
            return
        else:
            outcome = self._store.update(RECORD_KIND, order.service, value, found.version)
        if isinstance(outcome, Written):
            self._recorded.add(order.identity)

    def _store_verdict(self, progress: RolloutProgress) -> None:
        """Store that the version was found good: the answer counts are lost when the processes end."""
        order = progress.order
        if order.identity in self._found_good:
            return
        found = self._store.read(RECORD_KIND, order.service)
        if found is None or not _belongs_to_order(found.value, order):
            return
        value = {**found.value, "found_good": True}
        outcome = self._store.update(RECORD_KIND, order.service, value, found.version)
        if isinstance(outcome, Written):
            self._found_good.add(order.identity)

    def _decide(self, progress: RolloutProgress) -> RolloutState | None:
        """Return the state to write for an order; None if there is nothing to write."""
        now_ms = self._clock.now_ms()
        age_ms = progress.get_age_ms(now_ms)
        if progress.stopped_for:
            return RolloutState.ROLLED_BACK
        if progress.order.state is None:
            is_in_force = self._names_version_in_force(progress.order)
            return RolloutState.COMPLETED if is_in_force else RolloutState.RUNNING
        if age_ms < progress.times.move_ms:
            return None
        if progress.close_ms is None:
            return self._begin_move(progress, now_ms)
        return RolloutState.COMPLETED if self._is_moved(progress, now_ms) else None

    def _begin_move(self, progress: RolloutProgress, now_ms: float) -> RolloutState | None:
        """Begin the move if the new version is good; roll back if it is too late for a verdict."""
        planned_ms = progress.began_ms + progress.times.close_ms
        close_ms = max(planned_ms, now_ms + MIN_MOVE_MS)
        if self._is_good(progress):
            # Also when late: the answers have decided, and only the lease was not held in time.
            progress.begin_move(close_ms)
            return None
        if close_ms <= progress.began_ms + progress.times.latest_close_ms:
            return None
        has_registered = any(self._is_target(one, progress.order) for one in self._list_servers())
        progress.stop(
            "not judged within the time limit"
            if has_registered
            else "no server of the new version registered"
        )
        return RolloutState.ROLLED_BACK

    def _is_good(self, progress: RolloutProgress) -> bool:
        """Return whether the version was found good, now or by an earlier holder."""
        verdict = progress.judge()
        was_good = progress.order.identity in self._found_good
        return verdict is Verdict.GOOD or (was_good and verdict is not Verdict.BAD)

    def _is_moved(self, progress: RolloutProgress, now_ms: float) -> bool:
        """Return whether the old servers may stop: they are idle, or no time is left to wait."""
        assert progress.close_ms is not None
        if now_ms < progress.close_ms:
            return False
        limit_ms = progress.began_ms + progress.times.limit_ms
        wait_until_ms = min(progress.close_ms + DRAIN_GRACE_MS, limit_ms - WRITE_MARGIN_MS)
        old = [one.incarnation for one in self._list_old(progress.order)]
        return now_ms >= wait_until_ms or self._count_running(old) == 0

    @staticmethod
    def _is_target(server: BackendServer, order: RolloutOrder) -> bool:
        return (server.serves, server.version) == (order.service, order.target)

    def _list_old(self, order: RolloutOrder) -> list[BackendServer]:
        servers = [one for one in self._list_servers() if one.serves == order.service]
        return [one for one in servers if one.version != order.target]

    def _names_version_in_force(self, order: RolloutOrder) -> bool:
        """Return whether all servers of the service run the version that the order names.

        This is conclusive only for a new order: later, the old servers may have been lost.
        """
        servers = [one for one in self._list_servers() if one.serves == order.service]
        return bool(servers) and not self._list_old(order)

    def _write_state(
        self, progress: RolloutProgress, state: RolloutState, get_fencing: Callable[[], int]
    ) -> None:
        order = progress.order
        fencing = get_fencing()
        outcome = self._store.update_status(
            self._kind, order.service, self._encode_status(order, state), order.version
        )
        log_event(
            Event.ROLLOUT_STATE_WRITTEN,
            **progress.describe_order(),
            state=state.value,
            outcome=type(outcome).__name__,
            fencing=fencing,
            age_ms=round(progress.get_age_ms(self._clock.now_ms())),
            sent=progress.sent_to_target,
            **progress.describe_sums(),
        )


def _belongs_to_order(value: Any, order: RolloutOrder) -> bool:
    """Return whether a stored record belongs to this order."""
    try:
        is_same = (value["target"], value["created"]) == (order.target, order.created_version)
        return is_same and float(value["began_unix_ms"]) >= 0
    except (TypeError, KeyError, ValueError) as error:
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=RECORD_KIND,
            name=order.service,
            detail=repr(error),
        )
        return False
