"""Rollout orders, which move services to new versions, and the choice of version for each request.

While an order is open, requests go to the version in force, except for a few that
`request.rollout_credit` allows to try the new one. Once the new version is judged good, requests that
would outlast the old version go to the new one. A closed order leaves a single version. Servers of a
version without a recorded order get no requests until the orders have been listed again.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from hemlockswitch.connection.store_order import find_era
from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import hash_stable, rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.admitted_versions import AdmittedVersions
from hemlockswitch.process.gateway.messages import RolloutFields
from hemlockswitch.process.gateway.rollout_attempts import RolloutAttempt, SendLimits
from hemlockswitch.process.gateway.rollout_progress import RolloutProgress
from hemlockswitch.request.rollout_credit import ExposureBound
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.rollout import RolloutOrder, RolloutState

Decoder = Callable[[StoredObject], RolloutOrder]

POLL_INTERVAL_MS = 200.0
"""Interval between checks of the answer counts while a rollout is open."""
IDLE_POLL_INTERVAL_MS = 1_000.0
CANARY_SHARE = 0.05
"""Fraction of the new servers that get half of the trials. Each of them is then about as busy as every
new server will be after the move."""


@dataclass(frozen=True)
class SendProperties:
    """Properties of a request that decide which version it may be sent to.

    Parameters
    ==========

    is_first : whether the request is new and no part of it has been sent.
    is_repeatable : whether it can continue on another server if its server stops.
    begun_version : the version that has begun the stream, which alone may continue it; None if none has.
    draws_canary : whether its trial is limited to the canary servers.
    """

    service: str
    route: str
    is_first: bool
    is_repeatable: bool = False
    begun_version: str | None = None
    draws_canary: bool = False


@dataclass(frozen=True)
class _ServersByVersion:
    """Servers of a service in a rollout: those of the target version, and those of other versions."""

    target: list[BackendServer]
    others: list[BackendServer]


def draw_canary(request_id: str) -> bool:
    """Return whether a request belongs to the half whose trials go to the canary servers."""
    return bool(hash_stable(request_id) % 2)


class Rollouts:
    """Tracks the rollout orders and this gateway's progress on each.

    Parameters
    ==========

    decode : converts a stored object into an order; raises `ConfigurationError`.
    bound : how many requests a version may get before it is judged; None where no orders are accepted.
    count_daemons : returns how many gateways share that bound; None while the number is unknown.
    clock : source of the current time.
    rng : source of random numbers.
    """

    def __init__(
        self,
        decode: Decoder,
        bound: ExposureBound | None,
        count_daemons: Callable[[], int | None],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self.versions = AdmittedVersions(clock)
        self._decode = decode
        self._bound = bound
        self._count_daemons = count_daemons
        self._clock = clock
        self._rng = rng or random.Random()
        self._progress: dict[str, RolloutProgress] = {}
        self._lost: dict[str, RolloutProgress] = {}  # missing since a return of the object service
        self._attempts: list[RolloutAttempt] = []

    def replace_all(self, page: ObjectPage) -> None:
        """Apply a complete list of orders; orders that are not on it are withdrawn."""
        if page.confirmed_ms is not None:
            self.versions.record_listed(page.confirmed_ms)
        listed = {item.name for item in page.items if not item.deleted}
        for service in [name for name in self._progress if name not in listed]:
            progress = self._progress[service]
            if find_era(page.version) > find_era(progress.order.version):
                self._lost[service] = progress
            self._withdraw(service)
        self.apply_changes(page)

    def apply_changes(self, page: ObjectPage) -> None:
        """Apply changed and removed orders."""
        for item in page.items:
            if item.deleted:
                self._withdraw(item.name)
            else:
                self._put(item)

    def _put(self, item: StoredObject) -> None:
        try:
            order = self._decode(item)
        except ConfigurationError as error:
            log_event(Event.ROLLOUT_UNREADABLE, "warning", name=item.name, detail=error.detail)
            return
        current = self._progress.get(order.service)
        known = current or self._lost.get(order.service)
        self._lost.pop(order.service, None)
        if known is not None and _is_same_order(known.order, order):
            self._progress[order.service] = known
            if not known.order.is_final:
                self.versions.release(order.service, order.target)
            self._apply_state(known, order)
            return
        if current is not None:
            self._withdraw(order.service)
        self.versions.release(order.service, order.target)
        assert self._bound is not None
        now_ms = self._clock.now_ms()
        progress = RolloutProgress(order, self._bound, self._count_daemons(), now_ms, self._rng)
        self._progress[order.service] = progress
        log_event(
            Event.ROLLOUT_KNOWN,
            **progress.describe_order(),
            time_limit_ms=round(order.time_limit_ms),
            state=order.state.value if order.state else "",
        )

    def _apply_state(self, progress: RolloutProgress, order: RolloutOrder) -> None:
        """Apply the state read for an order; a final state is never replaced.

        A return of the object service may have lost a final state, which is then written again.
        """
        if progress.order.is_final:
            if find_era(order.version) > find_era(progress.order.version):
                progress.order = replace(order, state=progress.order.state)
                progress.is_state_lost = True
            if progress.is_state_lost:
                progress.order = replace(progress.order, version=order.version)
                progress.is_state_lost = order.state is not progress.order.state
            return
        has_closed = order.is_final
        progress.order = order
        if has_closed:
            assert order.state is not None
            log_event(
                Event.ROLLOUT_CLOSED,
                **progress.describe_order(),
                state=order.state.value,
                sent=progress.sent_to_target,
                **progress.describe_sums(),
            )

    def _withdraw(self, service: str) -> None:
        """Remove an order; its version gets further requests only if the service has moved to it."""
        progress = self._progress.pop(service, None)
        if progress is None:
            return
        if progress.order.state is RolloutState.COMPLETED:
            self.versions.put_in_force(service, progress.order.target)
            return
        self.versions.withhold(service, progress.order.target)
        log_event(Event.ROLLOUT_WITHDRAWN, "warning", **progress.describe_order())

    def list_open(self) -> list[RolloutProgress]:
        """Return the orders that are not closed."""
        return [one for one in self._progress.values() if not one.order.is_final]

    def list_unstored(self) -> list[RolloutProgress]:
        """Return the closed orders whose state a return of the object service has lost."""
        return [one for one in self._progress.values() if one.is_state_lost]

    def is_moving(self, service: str) -> bool:
        """Return whether a service has an open order, so that two versions run side by side."""
        progress = self._progress.get(service)
        return progress is not None and not progress.order.is_final

    def is_on_trial(self, server: BackendServer) -> bool:
        """Return whether a server runs a version that is not in force."""
        progress = self._progress.get(server.serves)
        if progress is not None and server.version == progress.order.target:
            is_in_force = progress.order.state is RolloutState.COMPLETED or progress.is_in_force
            return not is_in_force
        return self.versions.is_withheld(server)

    def select(self, request: SendProperties, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers, out of a service's `servers`, that a request may be sent to."""
        if request.begun_version is not None:
            return self._select_begun(request, servers)
        if self._bound is None:
            return servers
        progress = self._progress.get(request.service)
        if progress is None:
            return self.versions.select(request.service, servers)
        target, others = [], []
        for server in servers:
            if server.version == progress.order.target:
                target.append(server)
            elif not self.versions.is_withheld(server):
                others.append(server)
        return self._select_by_order(progress, request, _ServersByVersion(target, others))

    def _select_begun(
        self, request: SendProperties, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers that may continue a stream: those of the version that began it, unless it was stopped."""
        same = [server for server in servers if server.version == request.begun_version]
        progress = self._progress.get(request.service)
        if progress is None or request.begun_version != progress.order.target:
            return [server for server in same if not self.versions.is_withheld(server)]
        is_in_force = progress.order.state is RolloutState.COMPLETED or progress.is_in_force
        if is_in_force or not same:
            return same
        if not progress.is_open:
            return []
        progress.charge(request.route, self._clock.now_ms())
        return same

    def _select_by_order(
        self, progress: RolloutProgress, request: SendProperties, listed: _ServersByVersion
    ) -> list[BackendServer]:
        if progress.order.state is RolloutState.COMPLETED:
            return listed.target or listed.others
        progress.record_servers(listed.target, listed.others, self._clock.now_ms())
        if progress.is_in_force:
            return listed.target
        if not progress.is_open or not listed.target:
            return listed.others
        chosen = self._select_open(progress, request, listed)
        if chosen and chosen[0].version == progress.order.target:
            progress.charge(request.route, self._clock.now_ms())
        return chosen

    def _select_open(
        self, progress: RolloutProgress, request: SendProperties, listed: _ServersByVersion
    ) -> list[BackendServer]:
        """Return the candidate servers of a request while the order is open."""
        now_ms = self._clock.now_ms()
        if not request.is_repeatable and progress.must_move(request.route, now_ms):
            return listed.target
        if progress.may_try(request.route, now_ms) and (request.is_first or not listed.others):
            return self._select_trial(progress, request, listed.target)
        return listed.others

    def _select_trial(
        self, progress: RolloutProgress, request: SendProperties, target: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the candidate servers of a trial: the canary servers, or all so that their caches fill."""
        now_ms = self._clock.now_ms()
        warm = [one for one in target if not progress.is_cold(one, now_ms)] or target
        if not request.draws_canary:
            return warm
        by_name = {one.incarnation: one for one in warm}
        ranked = rank_rendezvous(f"{request.service}:{progress.order.target}", by_name)
        count = max(1, round(len(target) * CANARY_SHARE))
        return [by_name[name] for name in ranked[:count]]

    def begin_attempt(
        self, route: str, server: BackendServer, expected_ms: float
    ) -> RolloutAttempt | None:
        """Start to track a send attempt under the service's open order; None if there is none."""
        progress = self._progress.get(server.serves)
        if progress is None or not progress.is_open:
            return None
        is_target = server.version == progress.order.target
        progress.count_send(route)
        now_ms = self._clock.now_ms()
        mean_ms = progress.get_duration_ms(route)
        limits = SendLimits.from_expected(expected_ms, mean_ms, progress.is_cold(server, now_ms))
        attempt = RolloutAttempt(
            progress, route, is_target, server.incarnation, limits, self._clock
        )
        self._attempts.append(attempt)
        return attempt

    def run(self) -> None:
        """Check the counts periodically until the task is cancelled."""
        while True:
            self._clock.sleep_ms(POLL_INTERVAL_MS if self.list_open() else IDLE_POLL_INTERVAL_MS)
            self.check_all()

    def check_all(self) -> None:
        """Count overdue answers, and stop the orders whose target version is judged bad."""
        for send in self._attempts:
            send.check_overdue()
        self._attempts = [send for send in self._attempts if not send.is_over]
        for progress in self.list_open():
            progress.check(self._clock.now_ms())

    def make_reports(self, *, leads: bool) -> list[RolloutFields]:
        """Return this gateway's report on each open order, for its peers."""
        now_ms = self._clock.now_ms()
        return [one.make_report(now_ms, leads=leads) for one in self.list_open()]

    def pop_changed_reports(self, *, leads: bool) -> list[RolloutFields]:
        """Return the reports on the open orders that have changed since the last call."""
        now_ms = self._clock.now_ms()
        changed = [one for one in self.list_open() if one.has_changed]
        for one in changed:
            one.has_changed = False
        return [one.make_report(now_ms, leads=leads) for one in changed]

    def apply_reports(self, process: str, reports: Sequence[RolloutFields]) -> None:
        """Apply a peer's reports; a report on an order other than the recorded one is ignored."""
        for fields in reports:
            progress = self._progress.get(fields[0])
            if progress is not None and progress.order.identity == tuple(fields[:3]):
                progress.apply_report(process, fields, self._clock.now_ms())

    def count_answers(self) -> dict[tuple[str, str, str], int]:
        """Return this gateway's answer counts by service, version (`target` or `others`) and result."""
        counts: dict[tuple[str, str, str], int] = {}
        for one in self._progress.values():
            own = one.get_own()
            for version, tally in (("target", own.target), ("others", own.others)):
                service = one.order.service
                counts[service, version, "failed"] = tally.failures
                counts[service, version, "slow"] = tally.slow
                counts[service, version, "all"] = tally.answers
        return counts

    def describe(self) -> list[dict[str, Any]]:
        """Return the description of the orders for the status page."""
        now_ms = self._clock.now_ms()
        return [
            {
                **one.describe_order(),
                "state": one.order.state.value if one.order.state else "",
                "age_ms": round(one.get_age_ms(now_ms)),
                "time_limit_ms": round(one.order.time_limit_ms),
                "sent": one.sent_to_target,
                "bound": round(one.find_bound(), 1),
                "stopped_for": one.stopped_for,
                "moves": one.close_ms is not None,
                **one.describe_sums(),
            }
            for one in self._progress.values()
        ]


def _is_same_order(known: RolloutOrder, read: RolloutOrder) -> bool:
    """Return whether an order that was read is a known one, perhaps written again after a return.

    The order that its operator writes again has another creation version, in a later era.
    """
    if known.identity == read.identity:
        return True
    is_later = find_era(read.version) > find_era(known.version)
    return is_later and (known.target, known.time_limit_ms) == (read.target, read.time_limit_ms)
