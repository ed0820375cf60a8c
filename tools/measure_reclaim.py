"""Measure the cost of a reclaim wave in lost requests and recomputed tokens, compared with a plain retry.

Half of the engines are reclaimed with notice while streams run, and killed when the notice ends. In one
run the callers use an entry daemon. In the other they call the engines directly and, when a stream is
lost, repeat the complete request at another engine. Run: ``python -m tools.measure_reclaim [--json FILE]``.
"""

import argparse
import json
import sys
import threading
from pathlib import Path
from typing import Any

from features.support.calls import ChatStream, make_chat
from features.support.cluster import Cluster
from features.support.gathering import Gathering, read_metric, run_together
from features.support.operator_files import MODEL

ZONE = "abdoun-hall"
ENTRY = f"entry-{ZONE}-1"
ENGINES = 6
RECLAIMED = 3
STREAMS = 60
TOKENS = 250
NOTICE_MS = 2_000
FIRST_TOKENS = 20
CAUSES = ("reclaim", "failure", "retry")
PROMPT = "a condition report on the lining, frame and varnish of painting number {}"


def list_engines() -> list[str]:
    """Return the names of the engines; the first `RECLAIMED` are reclaimed."""
    return [f"engine-{ZONE}-{number}" for number in range(1, ENGINES + 1)]


def kill_later(cluster: Cluster, names: list[str]) -> threading.Timer:
    """Kill the processes when their notice ends."""

    def kill() -> None:
        for name in names:
            cluster.get(name).kill()

    timer = threading.Timer(NOTICE_MS / 1_000, kill)
    timer.start()
    return timer


def measure_entry() -> dict[str, Any]:
    """Return the cost of a wave for callers of the entry daemon."""
    cluster = Cluster()
    try:
        cluster.build((ZONE,), entries=1, engines=ENGINES)
        gathering = Gathering(cluster)
        gathering.open([PROMPT.format(number) for number in range(STREAMS)], TOKENS)
        gathering.read_some(FIRST_TOKENS)
        names = list_engines()[:RECLAIMED]
        cluster.reclaim(*names, notice_ms=NOTICE_MS)
        timer = kill_later(cluster, names)
        gathering.finish()
        timer.join()
        causes = {
            cause: read_metric(cluster, ENTRY, "hemlock_recomputed_tokens_total", cause=cause)
            for cause in CAUSES
        }
        moved = read_metric(cluster, ENTRY, "hemlock_attempts_total", cause="reclaim")
        lost = sum(bool(stream.check.list_problems()) for stream in gathering.streams)
        recomputed = sum(causes.values())
        return {"lost": lost, "moved": moved, "recomputed_tokens": recomputed, "by_cause": causes}
    finally:
        cluster.close()


class PlainCaller:
    """A caller without an entry daemon: repeats the request at another engine when its stream is lost."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        names = list_engines()
        self._addresses = [
            cluster.get(names[(number + step * RECLAIMED) % ENGINES]).addresses["http"]
            for step in range(2)
        ]
        self._body = make_chat(MODEL, PROMPT.format(number), TOKENS)
        self.stream = ChatStream(self._body)
        self.wasted_tokens = 0

    def open(self) -> None:
        """Open the stream at the first engine."""
        self.stream.open(self._addresses[0]).read_tokens(FIRST_TOKENS)

    def finish(self) -> None:
        """Read to the end; if the stream is lost, repeat the request once."""
        self.stream.read_all()
        if self.stream.check.list_problems():
            prompt_tokens = len(self.stream.check.prompt.split())
            self.wasted_tokens = self.stream.check.tokens + prompt_tokens
            self.stream = ChatStream(self._body).open(self._addresses[1]).read_all()


def measure_plain() -> dict[str, Any]:
    """Return the cost of the same wave for callers that repeat complete requests."""
    cluster = Cluster()
    try:
        cluster.build((ZONE,), entries=1, engines=ENGINES)
        callers = [PlainCaller(cluster, number) for number in range(STREAMS)]
        run_together([caller.open for caller in callers])
        timer = kill_later(cluster, list_engines()[:RECLAIMED])
        run_together([caller.finish for caller in callers])
        timer.join()
        wasted = [caller.wasted_tokens for caller in callers]
        lost = sum(bool(caller.stream.check.list_problems()) for caller in callers)
        repeated = sum(tokens > 0 for tokens in wasted)
        return {"lost": lost, "repeated": repeated, "recomputed_tokens": sum(wasted)}
    finally:
        cluster.close()


def main() -> int:
    """Measure, print, and write the figures if requested."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures = {
        "streams": STREAMS,
        "tokens_each": TOKENS,
        "engines": ENGINES,
        "reclaimed": RECLAIMED,
        "notice_ms": NOTICE_MS,
        "entry": measure_entry(),
        "plain_retry": measure_plain(),
    }
    print(json.dumps(figures, indent=2))
    if options.json:
        options.json.write_text(json.dumps(figures, indent=2))
    return 1 if figures["entry"]["lost"] else 0


if __name__ == "__main__":
    sys.exit(main())
