"""Duties performed by the gateway that holds the lease: usage reports, copy orders and rollouts."""

from collections.abc import Callable
from typing import Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.process.gateway.rollout_duty import RolloutDuty
from hemlockswitch.process.gateway.scaling import ScalingDuty
from hemlockswitch.process.gateway.usage import UsageDuty
from hemlockswitch.process.gateway.usage_store import SAVE_INTERVAL_MS, UsageStore, save_or_log
from hemlockswitch.process.lease import Lease, LeaseError, LeaseTimes

LEASE_NAME = "duties"
TURN_INTERVAL_MS = 250.0
"""Interval between checks for due work; it delays the replacement of a reclaimed copy."""
RENEWALS_IN_TERM = 4
STOP_SHARE = 0.35
"""Final fraction of the term in which the holder no longer acts; longer than the timeout of a call."""
MARGIN_SHARE = 0.15
"""Fraction of the term that a successor waits after it, since clocks run at different rates."""


def make_lease_times(term_ms: float) -> LeaseTimes:
    """Return the durations of a lease with the given term.

    Examples
    ========

    >>> make_lease_times(4_000).renew_ms
    1000
    """
    return LeaseTimes(
        term_ms=round(term_ms),
        renew_ms=round(term_ms / RENEWALS_IN_TERM),
        stop_before_ms=round(term_ms * STOP_SHARE),
        margin_ms=round(term_ms * MARGIN_SHARE),
        look_ms=round(term_ms / RENEWALS_IN_TERM),
    )


class PeerLeadership(Protocol):
    """Reports whether another gateway holds the duties."""

    def has_other_leader(self) -> bool:
        """Return whether another gateway has reported that it holds the duties."""


class DutyAdvice(Protocol):
    """Advises whether this gateway should hold the duties (`process.gateway.duty_choice`)."""

    @property
    def own_spare(self) -> float | None:
        """The spare of this gateway."""

    def may_take(self, without_holder_ms: float) -> bool:
        """Return whether to try to take the duties, after this time without a known holder."""

    def find_successor(self) -> Peer | None:
        """Return the gateway for which to give up the duties; None to keep them."""


class DutyRunner:
    """Acquires and renews the lease, and performs the duties that are due while it is held.

    Explanation
    ===========

    A gateway that receives reports from the holder does not read the lease, which saves calls to
    the object service. Every action first checks the lease against the clock, so that a process
    that was suspended does not act on a lease that expired in the meantime. A new holder announces
    itself, so that its peers start sending it their usage counts. A holder that is overloaded releases the lease if
    another gateway can take it.
    """

    def __init__(
        self,
        lease: Lease,
        usage: UsageDuty,
        scaling: ScalingDuty,
        usage_store: UsageStore,
        rollouts: RolloutDuty,
        peers: PeerLeadership,
        fleet_clock: FleetClock,
        clock: Clock,
        announce: Callable[[], None] = lambda: None,
        advice: DutyAdvice | None = None,
    ) -> None:
        self._announce = announce
        self._advice = advice
        self._led_ms = clock.now_ms()  # when a holder was known for the last time
        self._is_acting = False
        self._lease = lease
        self._usage = usage
        self._scaling = scaling
        self._usage_store = usage_store
        self._rollouts = rollouts
        self._peers = peers
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._was_held = False
        self._is_released = False

    @property
    def leads(self) -> bool:
        """Whether this gateway currently holds the lease."""
        return self._lease.is_held

    @property
    def scaling(self) -> ScalingDuty:
        """The duty that orders copies."""
        return self._scaling

    def maintain_lease(self) -> None:
        """Renew or acquire the lease until it is released or the task is cancelled."""
        while not self._is_released:
            if not self._lease.is_held and self._leaves_to_others():
                self._clock.sleep_ms(TURN_INTERVAL_MS)
                continue
            if self._lease.is_held and self._yield_to_successor():
                continue
            pause_ms = self._lease.run_step()
            if self._is_released:
                # The call was in progress when the process was asked to stop.
                self._lease.release()
                return
            self._clock.sleep_ms(pause_ms)

    def _leaves_to_others(self) -> bool:
        """Return whether another gateway holds the duties, or should take them."""
        now_ms = self._clock.now_ms()
        if self._peers.has_other_leader():
            self._led_ms = now_ms
            return True
        if self._advice is None or self._lease.is_renewable:
            return False
        return not self._advice.may_take(now_ms - self._led_ms)

    def _yield_to_successor(self) -> bool:
        """Release the lease if another gateway should take the duties; return whether it was released.

        It is not released while an order is being given, which the successor could not know of.
        """
        self._led_ms = self._clock.now_ms()
        if self._advice is None or self._is_acting:
            return False
        successor = self._advice.find_successor()
        if successor is None:
            return False
        log_event(
            Event.DUTIES_YIELDED,
            successor=successor.name,
            spare=self._advice.own_spare,
            successor_spare=successor.report.spare if successor.report is not None else None,
        )
        self._lease.release()
        self._led_ms = self._clock.now_ms()
        self._announce()
        return True

    def act(self) -> None:
        """Perform due duties until the task is cancelled."""
        while True:
            self._clock.sleep_ms(TURN_INTERVAL_MS)
            self.take_turn()

    def take_turn(self) -> None:
        """Perform the duties that are due now, if the lease is held."""
        if not self._lease.is_held:
            self._was_held = False
            return
        self._is_acting = True
        try:
            self._perform_due()
        finally:
            self._is_acting = False

    def _perform_due(self) -> None:
        """Perform the duties that are due now."""
        if not self._was_held:
            self._was_held = True
            self._announce()
            self._scaling.take_over()
            self._usage_store.take_over()
            self._rollouts.take_over()
            self._usage.take_over(self._fleet_clock.now_ms())
        for duty in (self._close_rollouts, self._order_copies, self._report_usage):
            try:
                duty()
            except LeaseError as error:
                log_event(Event.DUTY_FAILED, "warning", detail=error.detail)
                return
            except PlatformError as error:
                log_event(Event.DUTY_FAILED, "warning", detail=error.detail)

    def save_usage(self) -> None:
        """Store the usage counts that are not reported yet until the task is cancelled."""
        while True:
            self._clock.sleep_ms(SAVE_INTERVAL_MS)
            if self._was_held and self._lease.is_held:
                save_or_log(self._usage_store)

    def release(self) -> None:
        """Release the lease, so that a successor need not wait, and do not acquire it again.

        A stopping gateway that acquired it again would exit some seconds later while holding it,
        and its successor would have to wait for a full term.
        """
        self._is_released = True
        self._lease.release()

    def _close_rollouts(self) -> None:
        self._rollouts.take_turn(self._lease.get_fencing)

    def _order_copies(self) -> None:
        self._scaling.take_turn(self._lease.get_fencing)

    def _report_usage(self) -> None:
        for window in self._usage.list_due(self._fleet_clock.now_ms()):
            self._usage.report(window, self._lease.get_fencing)
