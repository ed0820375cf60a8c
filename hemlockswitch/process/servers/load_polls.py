"""Tasks that poll the load of the backend servers that this daemon uses."""

import random

import gevent

from hemlockswitch.connection.loads import LoadClient
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import BackendError
from hemlockswitch.process.servers.backends import BackendDirectory

POLL_INTERVAL_MS = 500
FAILED_POLL_MS = 2_000
NO_REPORT_MS = 30_000
CHECK_INTERVAL_MS = 500


class LoadPolls:
    """Runs one polling task for each server in use.

    Parameters
    ==========

    directory : lists the servers in use, and receives the reports.
    clock : the process's clock.
    interval_ms : time between two polls of one server.
    """

    def __init__(
        self, directory: BackendDirectory, clock: Clock, interval_ms: float = POLL_INTERVAL_MS
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._interval_ms = interval_ms
        self._tasks: dict[str, gevent.Greenlet] = {}

    def run(self) -> None:
        """Start and stop polling tasks as the servers in use change, until killed."""
        while True:
            self._directory.refresh_subsets()
            self.update_tasks()
            self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def update_tasks(self) -> None:
        """Start and stop polling tasks once."""
        used = {server.name: server for server in self._directory.list_used()}
        for name in set(self._tasks) - set(used):
            self._tasks.pop(name).kill(block=False)
        for name in set(used) - set(self._tasks):
            self._tasks[name] = gevent.spawn(self._poll, name, used[name].address)

    def _poll(self, name: str, address: str) -> None:
        client = LoadClient.from_address(address)
        try:
            while True:
                pause_ms = self._poll_once(name, client)
                self._clock.sleep_ms(pause_ms * random.uniform(0.8, 1.2))
        finally:
            client.close()

    def _poll_once(self, name: str, client: LoadClient) -> float:
        """Poll once, and return the time until the next poll."""
        requested_ms = self._clock.now_ms()
        try:
            report = client.read()
        except BackendError:
            return FAILED_POLL_MS
        if report is None:
            return NO_REPORT_MS
        self._directory.record_load(name, report, self._clock.now_ms() - requested_ms)
        return self._interval_ms
