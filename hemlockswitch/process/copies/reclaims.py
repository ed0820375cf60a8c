"""Reclaim notices of a zone: the leaving VMs with their deadlines, and the rate of reclaim waves."""

from collections.abc import Callable

from gevent.event import Event

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import MS_PER_HOUR, Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.version.machine_class import MachineClass

WAVE_MS = 30_000
PRIOR_PER_HOUR = {MachineClass.RECLAIMABLE: 0.1, MachineClass.ON_DEMAND: 0.005}


class Reclaims:
    """The cloud API's reclaim notices of one zone; a repeated notice counts once.

    Parameters
    ==========

    platform : the cloud API's client.
    clock : wall-clock time for the deadlines of the notices.
    zone : the availability zone.
    window_ms : window of the waves that determine the expected rate.
    wait_ms : maximum time that one call waits for a notice.
    """

    def __init__(
        self,
        platform: PlatformClient,
        clock: Clock,
        zone: str,
        window_ms: float = MS_PER_HOUR,
        wait_ms: int = 20_000,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._zone = zone
        self._window_ms = window_ms
        self._wait_ms = wait_ms
        self._since = 0
        self._deadlines: dict[str, int] = {}
        self._waves: list[int] = []

    def is_leaving(self, vm: str) -> bool:
        """Return whether a notice for `vm` was received."""
        return vm in self._deadlines

    def is_deadline_past(self, vm: str) -> bool:
        """Return whether the deadline of the notice for `vm` has passed."""
        return vm in self._deadlines and self._clock.wall_ms() > self._deadlines[vm]

    def compute_rate(self, machine_class: MachineClass) -> float:
        """Return the expected reclaim waves per hour for VMs of this zone."""
        prior = PRIOR_PER_HOUR[machine_class]
        if machine_class != MachineClass.RECLAIMABLE:
            return prior
        begin_ms = self._clock.wall_ms() - self._window_ms
        waves = sum(1 for wave_ms in self._waves if wave_ms >= begin_ms)
        return prior + waves * MS_PER_HOUR / self._window_ms

    def watch_once(self) -> bool:
        """Wait for notices once; return whether any were received."""
        page = self._platform.watch_notices(self._zone, self._since, self._wait_ms)
        self._since = max(self._since, page.number)
        for notice in page.notices:
            self._record_notice(notice.vm, notice.deadline_wall_ms)
        return bool(page.notices)

    def _record_notice(self, vm: str, deadline_wall_ms: int) -> None:
        if vm in self._deadlines:
            return
        self._deadlines[vm] = deadline_wall_ms
        if not self._waves or deadline_wall_ms - self._waves[-1] > WAVE_MS:
            self._waves.append(deadline_wall_ms)

    def watch_forever(
        self, is_leader: Callable[[], bool], wake: Event, pause_ms: float = 1_000
    ) -> None:
        """Watch until killed, and set `wake` at each notice so that the controller acts at once.

        A candidate does not watch, to avoid one platform call for each candidate; a new leader receives all
        notices that the cloud API still has.
        """
        while True:
            if not is_leader():
                self._clock.sleep_ms(pause_ms)
                continue
            try:
                if self.watch_once():
                    wake.set()
            except PlatformError:
                self._clock.sleep_ms(pause_ms)
