"""Steady traffic of short requests through several entry daemons, with a check of each answer."""

import http.client
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from features.support.calls import ChatStream

PAUSE_S = 0.02


@dataclass
class Traffic:
    """Threads that send one request after another, each through its own entry daemon.

    Parameters
    ==========

    send : sends one request through the named daemon and returns the fully read stream.
    """

    send: Callable[[str], ChatStream]
    streams: dict[str, list[ChatStream]] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)

    def start(self, names: list[str], threads_each: int = 2) -> "Traffic":
        """Start to send through the named daemons."""
        for name in names:
            self.streams[name] = []
            for _ in range(threads_each):
                thread = threading.Thread(target=self._run, args=(name,), daemon=True)
                thread.start()
                self._threads.append(thread)
        return self

    def _run(self, name: str) -> None:
        while not self._stopped.is_set():
            try:
                self.streams[name].append(self.send(name))
            except (OSError, http.client.HTTPException) as error:
                self.lost.append(f"{name}: {error!r}")
            time.sleep(PAUSE_S)

    def stop(self) -> None:
        """Stop sending, and wait for the requests in transit."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(30)

    def list_failures(self) -> list[str]:
        """Return a line for each lost request and each incomplete or wrong answer."""
        return self.lost + [
            f"{name}: {stream.status} {stream.lost} {stream.reply} {stream.check.problems}"
            for name, streams in self.streams.items()
            for stream in streams
            if stream.check.list_problems()
        ]
