"""Ends the process of each VM that the platform stops, as the end of a VM does."""

import threading
from typing import Any

from features.support.calls import get_json
from features.support.cluster import Cluster

POLL_S = 0.02


class StoppedVms:
    """Watches the platform's true VM states from a thread.

    Parameters
    ==========

    cluster : whose programs are ended; `stats` keeps what each counted until then.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.stats: dict[str, dict[str, Any]] = {}
        self._cluster = cluster
        self._seen: set[str] = set()
        self._stopping = threading.Event()
        self._ending = threading.Lock()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def read_stats(self, name: str) -> dict[str, Any]:
        """Return what a program counted, also after its end."""
        with self._ending:
            return self.stats.get(name) or self._cluster.read_stats(name)

    def stop(self) -> None:
        """Watch no more."""
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        address = self._cluster.platform.addresses["http"]
        while not self._stopping.wait(POLL_S):
            try:
                listed = {vm["name"] for vm in get_json(address, "/standin/stats")["vms"]}
            except OSError:
                return  # the scenario is over
            for name in self._seen - listed:
                with self._ending:
                    self.stats[name] = self._cluster.read_stats(name)
                    self._cluster.get(name).kill()
            self._seen = listed
