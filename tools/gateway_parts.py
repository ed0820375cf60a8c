"""Measure the processor time of the gateways of a fleet by part: messages, requests, and idle tasks.

All gateways, the object service and the backend servers run in one process, so their share of its processor time
is measured together; the stand-ins do little while no request is sent.
Run: ``python -m tools.gateway_parts [--gateways N] [--seconds S]``.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import cProfile
import json
import os
import pstats
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import greenlet

from hemlockswitch.connection.frames import Frame, FrameDecoder, FrameKind
from hemlockswitch.connection.messages import decode_message, encode_message
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.process.gateway.daemon import GatewayDaemon
from hemlockswitch.process.gateway.messages import ChangeReport, GatewayReport, RelayedChanges
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.request.dialect import Prompt, PromptPart
from hemlockswitch.request.placement import choose_server
from tests.gateway_site import Runner, Site

GATEWAYS = 27
ZONES = ("z1", "z2", "z3", "z4")
ENGINES = 30
PLAIN_SERVERS = 4
SECONDS = 8.0
SETTLE_S = 4.0
REPEATS = 500
CHANGES_PER_MESSAGE = 14
"""Changes in one relayed message: 27 gateways send up to 270 a second, which two relays pass on 20 times."""
SYSTEM_CALLS = ("send", "recv", "getsockopt")


def build_fleet(gateways: int) -> Site:
    """Start the gateways, engines and plain servers, and wait until each gateway knows all of them."""
    site = Site(0, rollout_share=0.05)
    for number in range(gateways):
        zone = ZONES[number % len(ZONES)]
        site.add_gateway(f"gateway-{number + 1}", zone=zone, zones=ZONES)
    services = ["llm"] * ENGINES + ["app"] * PLAIN_SERVERS
    for number, service in enumerate(services):
        site.runners.append(Runner(f"runner-{number + 1}", service, site.store))
    known = len(services)
    site.wait(lambda: all(len(one.registry.list_all()) == known for one in site.gateways))
    gevent.sleep(SETTLE_S)
    return site


def measure_idle(site: Site, seconds: float) -> dict[str, Any]:
    """Return what a gateway without requests costs in a second."""
    before = count_traffic(site)
    began_s, cpu_s = time.monotonic(), time.process_time()
    gevent.sleep(seconds)
    took_s = time.monotonic() - began_s
    gateway_s = took_s * len(site.gateways)
    figures = {"cpu_ms": (time.process_time() - cpu_s) * MS_PER_SECOND / gateway_s}
    for name, count in (count_traffic(site) - before).items():
        figures[name] = count / gateway_s
    for name, count in count_calls(seconds).items():
        figures[name] = count / (seconds * len(site.gateways))
    return {name: round(figure, 1) for name, figure in figures.items()}


def count_traffic(site: Site) -> Counter[str]:
    """Return the sums of the messages and bytes of all gateways."""
    sums: Counter[str] = Counter()
    for gateway in site.gateways:
        traffic = gateway.network.traffic
        sums["messages_in"] += traffic.messages_in
        sums["bytes_in"] += traffic.bytes_in
    return sums


def count_calls(seconds: float) -> Counter[str]:
    """Return the calls of sockets and the switches of tasks in some seconds."""
    counts: Counter[str] = Counter()

    def trace(_event: str, _tasks: Any) -> None:
        counts["task_switches"] += 1

    profile = cProfile.Profile()
    greenlet.settrace(trace)
    profile.enable()
    gevent.sleep(seconds)
    profile.disable()
    greenlet.settrace(None)
    for (_, _, name), (_, calls, *_) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        for call in SYSTEM_CALLS:
            if name == f"<method '{call}' of '_socket.socket' objects>":
                counts[f"{call}_calls"] += calls
    return counts


def measure_us(run: Callable[[], Any]) -> float:
    """Return the processor time of a call in microseconds: the least of several rounds."""
    rounds = []
    for _ in range(5):
        began_s = time.process_time()
        for _ in range(REPEATS // 5):
            run()
        rounds.append((time.process_time() - began_s) / (REPEATS // 5) * 1e6)
    return round(min(rounds), 1)


def measure_message(gateway: GatewayDaemon, message: Any) -> dict[str, float]:
    """Return the cost of the parts of one message, without the system calls."""
    body = encode_message(message)
    wire = Frame(FrameKind.ONE_WAY, 0, body).encode()
    handler = gateway.network._handlers[type(message)].handler
    return {
        "bytes": len(wire),
        "encode_us": measure_us(lambda: encode_message(message)),
        "decode_us": measure_us(
            lambda: [decode_message(frame.body) for frame in FrameDecoder().feed(wire)]
        ),
        "apply_us": measure_us(lambda: handler("127.0.0.1:1", message)),
    }


def measure_messages(gateway: GatewayDaemon) -> dict[str, dict[str, float]]:
    """Return the costs of the reports of a gateway with eight requests a second."""
    servers = [one.incarnation for one in gateway.registry.list_all()]
    report: GatewayReport = gateway.reports._build_report(ReportPeriod(), [], [])
    loads = dict.fromkeys(servers[:8], (2, 400.0))
    spent = {f"account-{number}": 1_000.0 for number in range(16)}
    report = GatewayReport(**{**vars(report), "name": "gateway-2", "loads": loads, "spent": spent})
    changes = [
        ChangeReport(
            f"gateway-{2 + number % (GATEWAYS - 1)}",
            1,
            number,
            {servers[number]: (1, 400.0)},
            [(servers[number], [(number, 1_000)])],
            {"account-1": 10.0},
            {servers[number]: (1, 0)},
        )
        for number in range(CHANGES_PER_MESSAGE)
    ]
    figures = {
        "report": measure_message(gateway, report),
        "change": measure_message(gateway, changes[0]),
        "relayed_changes": measure_message(gateway, RelayedChanges.from_reports(changes)),
    }
    figures["report"]["build_us"] = measure_us(
        lambda: gateway.reports._build_report(ReportPeriod(), [], [])
    )
    return figures


def measure_tasks(gateway: GatewayDaemon) -> dict[str, float]:
    """Return the cost of one run of the periodic tasks, in microseconds."""
    servers = gateway.registry.list_all
    return {
        "check_zones": measure_us(gateway.reachability.check_zones),
        "list_probes": measure_us(lambda: gateway.reachability.list_probes(servers())),
        "store_view": measure_us(gateway.followed.view),
        "compare_views": measure_us(
            lambda: gateway.followed.guard.compare(
                [peer.view for peer in gateway.fleet.list_connected()]
            )
        ),
    }


def measure_choice(gateway: GatewayDaemon) -> dict[str, float]:
    """Return the cost of choosing among the engines for one prompt, in microseconds."""
    servers = gateway.registry.list_ready("llm")
    prompt = Prompt((PromptPart("aa", 100), PromptPart("own", 20)), 120, 20)
    build = gateway.loads.build_candidates
    return {
        "build_candidates": measure_us(lambda: build(servers, prompt)),
        "choose_server": measure_us(lambda: choose_server(prompt, build(servers, prompt))),
    }


def measure_parts(gateways: int = GATEWAYS, seconds: float = SECONDS) -> dict[str, Any]:
    """Return the figures of all parts."""
    site = build_fleet(gateways)
    idle = measure_idle(site, seconds)
    first = site.gateways[0]
    return {
        "gateways": gateways,
        "idle_a_second": idle,
        "messages": measure_messages(first),
        "tasks_us": measure_tasks(first),
        "choice_us": measure_choice(first),
    }


def main() -> None:
    """Measure and print, and end without waiting for the tasks of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    options = parser.parse_args()
    figures = measure_parts(options.gateways, options.seconds)
    print(json.dumps(figures, indent=2), file=sys.stderr)
    os._exit(0)


if __name__ == "__main__":
    main()
