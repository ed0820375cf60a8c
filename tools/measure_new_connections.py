"""Measure what one gateway serves when it gets the new connections of many.

Callers open a connection for each request, at a fixed rate whatever is answered, and have no use for
an answer after a second. Run: ``python -m tools.measure_new_connections [--rates 100,200,400]``.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import statistics
import subprocess
import sys
import time
from collections import Counter
from typing import Any

import gevent
from gevent import socket

from features.support.cluster import Cluster
from features.support.gateways import GatewaySite
from features.support.processes import Program
from tests.gateway_site import make_request, read_reply
from tools.measure_relay import read_cpu_s

RUNNERS = 4
LOADS = 3
DURATION_S = 6.0
PAUSE_S = 3.0
TIME_LIMIT_S = 1.0
RATES = "100,200,400,800"
SUCCESS = 200


class Callers:
    """Callers that each make one call over a new connection."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._outcomes: Counter[str] = Counter()
        self._latencies_ms: list[float] = []

    def run(self, name: str, rate: float) -> dict[str, Any]:
        """Make calls at a fixed rate and return their outcomes."""
        began_s = time.monotonic()
        tasks = []
        for number in range(int(rate * DURATION_S)):
            gevent.sleep(max(began_s + number / rate - time.monotonic(), 0))
            tasks.append(gevent.spawn(self._call, f"{name}-{number}"))
        gevent.joinall(tasks)
        return {"outcomes": dict(self._outcomes), "latencies_ms": self._latencies_ms}

    def _call(self, request_id: str) -> None:
        began_s = time.monotonic()
        outcome = "closed"
        try:
            with socket.create_connection(self._address, timeout=TIME_LIMIT_S) as connection:
                connection.sendall(make_request("/check/x", request_id))
                status = read_reply(connection).status
                outcome = str(status) if status else "closed"
        except TimeoutError:
            outcome = "timeout"
        except (OSError, ValueError):
            pass
        if outcome == str(SUCCESS):
            self._latencies_ms.append((time.monotonic() - began_s) * 1_000)
        self._outcomes[outcome] += 1


def run_loads(address: str, rate: float) -> list[dict[str, Any]]:
    """Call from several processes and return the outcomes of each."""
    command = [sys.executable, "-m", "tools.measure_new_connections", "--call", address]
    loads = [
        subprocess.Popen(
            [*command, "--rates", str(rate / LOADS), "--name", f"{rate}-{number}"],
            stdout=subprocess.PIPE,
        )
        for number in range(LOADS)
    ]
    return [json.loads(load.communicate()[0]) for load in loads]


def measure(gateway: Program, rate: float) -> dict[str, Any]:
    """Return the figures at one rate."""
    before_s = read_cpu_s(gateway)
    results = run_loads(gateway.addresses["listen"], rate)
    outcomes: Counter[str] = Counter()
    for result in results:
        outcomes.update(result["outcomes"])
    latencies_ms = [one for result in results for one in result["latencies_ms"]] or [0.0]
    return {
        "rate": rate,
        "served": round(outcomes[str(SUCCESS)] / max(sum(outcomes.values()), 1), 3),
        "served_per_s": round(outcomes[str(SUCCESS)] / DURATION_S),
        "p50_ms": round(statistics.median(latencies_ms)),
        "outcomes": dict(outcomes),
        "cpu_s": round(read_cpu_s(gateway) - before_s, 1),
    }


def main() -> None:
    """Print the figures at each rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", default=RATES, help="new connections a second")
    parser.add_argument("--call", default="", help="address to call, in a process of callers")
    parser.add_argument("--name", default="call")
    options = parser.parse_args()
    rates = [float(rate) for rate in options.rates.split(",")]
    if options.call:
        print(json.dumps(Callers(options.call).run(options.name, rates[0])))
        return
    cluster = Cluster()
    try:
        site = GatewaySite(cluster)
        for number in range(RUNNERS):
            site.launch_runner(f"plain-{number}", "app")
        gateway = site.launch_gateway("one")
        site.wait_ready(gateway)
        for rate in rates:
            print(json.dumps(measure(gateway, rate)), flush=True)
            time.sleep(PAUSE_S)
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
