"""Measure the overhead of a gateway on streams: delay of the first event, processor time per event, memory.

The same open-loop streams are sent directly to the stand-in runners, through plain sockets, and through
one gateway. Run: ``python -m tools.measure_gateway [--json FILE] [--requests-per-s N]``. The cost of the messages and
periodic tasks of a gateway is measured by `tools.gateway_parts`.
"""

from gevent import monkey

monkey.patch_all()

import statistics
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket

from features.support.cluster import Cluster
from features.support.gateways import GatewaySite
from features.support.processes import Program
from tests.gateway_site import make_events, make_request, tokens
from tools.measure_relay import read_cpu_s, run_measurement

RUNNERS = 4
EVENT_MS = 20
EVENTS = 60
"""Events per stream, as many as the most valuable request of both sites has."""
REQUESTS_PER_S = 20.0
DURATION_S = 10.0
READ_BYTES = 65_536
END = b"\r\n0\r\n\r\n"
STREAM_TIMEOUT_S = 30.0


@dataclass
class Streams:
    """Results of the callers."""

    first_event_ms: list[float] = field(default_factory=list)
    complete: int = 0
    requested: int = 0

    def read(self, address: str, request_id: str) -> None:
        """Request one stream and read it to its end."""
        self.requested += 1
        host, _, port = address.rpartition(":")
        began_s = time.perf_counter()
        with socket.create_connection((host, int(port)), timeout=STREAM_TIMEOUT_S) as connection:
            connection.sendall(make_request("/draft/x", request_id, **tokens(EVENTS)))
            data = b""
            while END not in data:
                piece = connection.recv(READ_BYTES)
                if not piece:
                    return
                if b"id: 1\n" not in data and b"id: 1\n" in data + piece:
                    self.first_event_ms.append((time.perf_counter() - began_s) * 1_000)
                data += piece
        self.complete += make_events(request_id, EVENTS)[-20:] in data


def measure_path(
    addresses: list[str], path: str, requests_per_s: float, relay: Program | None
) -> dict[str, Any]:
    """Return the figures of one path; `relay` is the process whose processor time is measured."""
    before_s = read_cpu_s(relay) if relay else 0.0
    streams = Streams()
    tasks = []
    for number in range(int(requests_per_s * DURATION_S)):
        address = addresses[number % len(addresses)]
        tasks.append(gevent.spawn(streams.read, address, f"{path}-{number}"))
        gevent.sleep(1 / requests_per_s)
    gevent.joinall(tasks)
    found = {
        "asked": streams.requested,
        "whole": streams.complete,
        "first_event_p50_ms": round(statistics.median(streams.first_event_ms), 2),
        "first_event_p95_ms": round(statistics.quantiles(streams.first_event_ms, n=20)[-1], 2),
    }
    if relay is not None:
        cpu_s = read_cpu_s(relay) - before_s
        found["cpu_s"] = round(cpu_s, 2)
        found["us_per_event"] = round(cpu_s / max(streams.complete * EVENTS, 1) * 1e6, 1)
    return found


def measure(requests_per_s: float) -> dict[str, Any]:
    """Return the figures of the three paths."""
    cluster = Cluster()
    try:
        site = GatewaySite(cluster)
        runners = [
            site.launch_runner(f"engine-{number}", "llm", event_ms=EVENT_MS)
            for number in range(RUNNERS)
        ]
        site.launch_runner("plain-1", "app")
        gateway = site.launch_gateway("one")
        site.wait_ready(gateway)
        targets = [runner.addresses["http"] for runner in runners]
        bare = cluster.launch("bare", ["tools.bare_relay"], {"targets": targets})
        straight = measure_path(targets, "straight", requests_per_s, None)
        sockets = measure_path([bare.addresses["callers"]], "bare", requests_per_s, bare)
        relayed = measure_path([gateway.addresses["listen"]], "gateway", requests_per_s, gateway)
        memory_mb = gateway.read_memory_mb()
    finally:
        cluster.close()
    added_ms = relayed["first_event_p50_ms"] - straight["first_event_p50_ms"]
    return {
        "requests_per_s": requests_per_s,
        "straight": straight,
        "bare_sockets": sockets,
        "gateway": relayed,
        "added_first_event_p50_ms": round(added_ms, 2),
        "ratio_to_bare_sockets": round(relayed["us_per_event"] / sockets["us_per_event"], 2),
        "gateway_memory_mb": round(memory_mb, 1),
    }


def main() -> int:
    """Measure; return 1 if a request did not get a complete answer."""
    figures = run_measurement(__doc__, REQUESTS_PER_S, measure)
    return 0 if figures["gateway"]["whole"] == figures["gateway"]["asked"] else 1


if __name__ == "__main__":
    sys.exit(main())
