"""Measure the platform calls of controllers with default settings, when idle and in a reclaim wave.

There are two zones, each with one entry daemon, a leader and a candidate. The platform stand-in counts
the calls; a waiting watch counts as one call.
Run: ``python -m tools.measure_control_calls [--seconds 20] [--json FILE]``.
"""

import argparse
import json
import sys
import time
from pathlib import Path

from features.support.calls import get_json, post_json
from features.support.cluster import Cluster
from features.support.controllers import wait_for_holder
from features.support.operator_files import MODEL, ZONES, make_operator_file

COPIES_PER_ZONE = 2
START_MS = 2_000
NOTICE_MS = 5_000


def start_cluster(cluster: Cluster) -> None:
    """Start the processes and return when both zones have a leader."""
    cluster.launch_platform(start_ms=START_MS)
    names = {}
    for zone in ZONES:
        for number in range(2 * COPIES_PER_ZONE):
            name = f"llm-{zone}-{number}"
            names[name] = (zone, "live" if number < COPIES_PER_ZONE else "spare")
            cluster.launch_engine(name)
    for name, (zone, state) in names.items():
        cluster.register(name, zone, MODEL, state=state)
    copies = COPIES_PER_ZONE * len(ZONES)
    model = {"name": MODEL, "licensed_copies": 2 * copies, "min_copies": copies}
    cluster.apply(make_operator_file(ZONES, models=[model], services=[]))
    cluster.launch_entries(ZONES, 1)
    for zone in ZONES:
        cluster.launch_controller(f"leader-{zone}", zone)
        wait_for_holder(cluster, f"leader-{zone}")
        cluster.launch_controller(f"candidate-{zone}", zone)


def count_calls(cluster: Cluster, seconds: float) -> dict[str, dict[str, float]]:
    """Return the calls per second by role and kind of call, over the next `seconds`."""
    address = cluster.platform.addresses["http"]
    post_json(address, "/standin/stats/reset")
    time.sleep(seconds)
    calls = get_json(address, "/standin/stats")["calls"]
    window_s = calls["window_ms"] / 1_000
    return {
        role: {call: count / window_s for call, count in counts.items()}
        for role, counts in calls["by_role"].items()
    }


def measure(seconds: float) -> dict[str, dict[str, dict[str, float]]]:
    """Return the call rates when idle and in a wave that reclaims a complete zone."""
    cluster = Cluster()
    try:
        start_cluster(cluster)
        time.sleep(seconds)
        idle = count_calls(cluster, seconds)
        body = {"zone": ZONES[0], "notice_ms": NOTICE_MS}
        post_json(cluster.platform.addresses["http"], "/standin/reclaim", body)
        return {"idle": idle, "wave": count_calls(cluster, seconds)}
    finally:
        cluster.close()


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures = measure(options.seconds)
    for phase, roles in figures.items():
        for role, calls in sorted(roles.items()):
            parts = ", ".join(f"{call} {rate:.2f}" for call, rate in sorted(calls.items()))
            print(f"{phase:5} {role:10} {sum(calls.values()):6.2f} calls/s: {parts}")
    if options.json:
        options.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
