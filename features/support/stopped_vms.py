"""Kills the process of each VM that the platform stops, as the stop of a real VM does."""

import threading
from typing import Any

from features.support.calls import get_json
from features.support.cluster import Cluster

POLL_S = 0.02


class StoppedVms:
    """Polls the actual VM states of the platform stand-in in a thread.

    Parameters
    ==========

    cluster : the cluster whose programs are killed; `stats` has their last counters.
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
        """Return the counters of a program, the last ones if it has been killed."""
        with self._ending:
            return self.stats.get(name) or self._cluster.read_stats(name)

    def stop(self) -> None:
        """Stop the polling thread."""
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        address = self._cluster.platform.addresses["http"]
        while not self._stopping.wait(POLL_S):
            try:
                listed = {vm["name"] for vm in get_json(address, "/standin/stats")["vms"]}
            except OSError:
                return  # The scenario has ended.
            for name in self._seen - listed:
                with self._ending:
                    self.stats[name] = self._cluster.read_stats(name)
                    self._cluster.get(name).kill()
            self._seen = listed
