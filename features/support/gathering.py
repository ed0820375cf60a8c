"""Concurrent callers: open streams together, act while they run, and read them to the end."""

import threading
from collections.abc import Callable
from typing import Any

from features.support.calls import ChatStream, call
from features.support.cluster import Cluster

JOIN_LIMIT_S = 60


def run_together(actions: list[Callable[[], Any]]) -> list[Any]:
    """Run actions in concurrent threads and return their results."""
    results: list[Any] = [None] * len(actions)

    def run(index: int) -> None:
        results[index] = actions[index]()

    threads = [threading.Thread(target=run, args=(index,)) for index in range(len(actions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(JOIN_LIMIT_S)
    assert not any(thread.is_alive() for thread in threads), "a caller thread is still running"
    return results


class Gathering:
    """Streams of one scenario, read by threads while the test acts.

    Parameters
    ==========

    cluster : the cluster that serves the streams.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.streams: list[ChatStream] = []
        self._threads: list[threading.Thread] = []

    def open(self, texts: list[str], tokens: int, entry: str = "") -> None:
        """Open one stream for each text."""
        chat = self._cluster.chat
        actions = [lambda text=text: chat(text, tokens, entry=entry) for text in texts]
        self.streams = run_together(actions)

    def read_some(self, count: int) -> None:
        """Read `count` tokens of every stream, then the remaining ones in the background."""
        run_together([lambda one=one: one.read_tokens(count) for one in self.streams])
        self._threads = [threading.Thread(target=one.read_all) for one in self.streams]
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Wait until every stream has ended."""
        for thread in self._threads:
            thread.join(JOIN_LIMIT_S)
        assert not any(thread.is_alive() for thread in self._threads), "a stream has not ended"

    def list_problems(self) -> list[str]:
        """Return the problems of all streams."""
        found = []
        for number, stream in enumerate(self.streams):
            problems = list(stream.check.list_problems())
            problems += [f"{event.name}: {event.data}" for event in stream.named]
            if stream.reply is not None:
                problems.append(f"refused: {stream.reply.status} {stream.reply.body!r}")
            if stream.lost:
                problems.append(f"lost: {stream.lost}")
            found += [f"stream {number}: {problem}" for problem in problems]
        return found

    def check_complete(self) -> None:
        """Fail unless every answer is complete and correct and has a unique request id."""
        problems = self.list_problems()
        assert not problems, f"{len(problems)} problems: " + "; ".join(problems[:8])
        ids = {stream.check.request_id for stream in self.streams}
        assert len(ids) == len(self.streams), "two answers have the same request id"


def read_metric(cluster: Cluster, entry: str, name: str, **labels: str) -> float:
    """Return one sample of an entry daemon's metrics, 0 if it does not exist."""
    address = cluster.get(entry).addresses["control"]
    text = call(address, "GET", "/metrics").body.decode()
    wanted = ",".join(f'{key}="{value}"' for key, value in sorted(labels.items()))
    sample = f"{name}{{{wanted}}} " if wanted else f"{name} "
    for line in text.splitlines():
        if line.startswith(sample):
            return float(line.removeprefix(sample))
    return 0.0
