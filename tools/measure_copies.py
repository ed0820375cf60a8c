"""Compare the copies planner with a fixed count and a utilisation rule, with real processes.

There are three zones, each with an entry daemon and a controller, stand-in engines as VMs, and one seeded
trace of typical workloads with reclaim waves. Every rule runs the same trace. Fast engines compress the
time: a VM starts in 1.5 s, and an answer takes about a second.
Run: ``python -m tools.measure_copies [--rules ...] [--seed 1] [--json FILE]``.
"""

import argparse
import json
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.calls import get_json, post_json
from features.support.cluster import Cluster
from features.support.controllers import wait_for_holder
from features.support.operator_files import ACCOUNT, KEY, MODEL, make_operator_file
from features.support.processes import ROOT, wait_until

CONTROLLER = "tools.copies_controller"
ZONES = {"abdoun-hall": 1.0, "khalda-hall": 0.9, "marka-hall": 1.1}
ON_DEMAND_FACTOR = 2.5
RECLAIMABLE_SPARES, ON_DEMAND_SPARES = 4, 2
LICENSED = 8
TARGET_MS = 500
NOTICE_MS = 3_000
START_MS = 1_500
START_REFUSAL_S = 8.0
RATES = (3, 3, 4, 5, 6, 8, 10, 12, 14, 16, 18, 18, 16, 13, 10, 8, 7, 8, 10, 13, 15, 13, 9, 5)
STEP_MS = 4_000
WAVES = ((27.0, "khalda-hall"), (50.0, "abdoun-hall"), (74.0, "khalda-hall"))
ENGINE = {"slots": 4, "token_ms": 20, "prefill_tokens_per_s": 4_000, "load_lag_ms": 200}
MIX = [
    {"weight": 6, "prompt_words": [30, 120], "max_tokens": [20, 50]},  # confirmation notes
    {"weight": 2, "prompt_words": [100, 300], "max_tokens": [40, 80]},  # group visits
    {"weight": 1, "prompt_words": [200, 500], "max_tokens": [80, 120]},  # condition reports
]
COPIES = {
    "pass_ms": 250,
    "replace_ms": 4_000,
    "shrink_after_ms": 10_000,
    "gone_after_ms": 3_000,
    "report_ms": 1_000,
    "risk_window_ms": 120_000,
}
LEASE = {"term_ms": 4_000, "renew_ms": 1_000, "stop_before_ms": 1_500, "margin_ms": 300}
POLL_S = 0.1
SECONDS_PER_HOUR = 3_600
RULES = ("planner", "utilisation", "fixed-4", "fixed-5", "fixed-6", "fixed-7")


@dataclass
class Bill:
    """Running copies and their cost, from the platform's VM list without its lag.

    Parameters
    ==========

    copy_seconds : seconds of running copies by machine class.
    cost : sum of price per hour times hours.
    """

    copy_seconds: Counter[str] = field(default_factory=Counter)
    cost: float = 0.0
    max_copies: int = 0

    def add(self, vms: list[dict[str, Any]], seconds: float) -> None:
        """Add the VMs that ran for `seconds`."""
        for vm in vms:
            self.copy_seconds[vm["machine_class"]] += seconds
            self.cost += vm["price_per_hour"] * seconds / SECONDS_PER_HOUR
        self.max_copies = max(self.max_copies, len(vms))


class Cloud:
    """Simulates the cloud: kills the processes of stopped VMs, replaces spares, and sends reclaim waves."""

    def __init__(self, cluster: Cluster) -> None:
        self.bill = Bill()
        self.history: list[dict[str, Any]] = []
        self._cluster = cluster
        self._count = 0
        self._listed: dict[str, dict[str, Any]] = {}
        self._began = 0.0
        self._waves = list(WAVES)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def fill(self) -> None:
        """Start the first spares of every zone."""
        for zone in ZONES:
            for number in range(RECLAIMABLE_SPARES + ON_DEMAND_SPARES):
                is_cheap = number < RECLAIMABLE_SPARES
                self._launch(zone, "reclaimable" if is_cheap else "on_demand")
        for name, vm in list(self._cluster.vms.items()):
            self._register(name, vm["zone"], vm["machine_class"])

    def begin(self) -> None:
        """Start billing and sending waves."""
        self._began = time.monotonic()
        self._thread.start()

    def end(self) -> Bill:
        """Stop, and return the bill."""
        self._stopping.set()
        self._thread.join()
        return self.bill

    def _launch(self, zone: str, machine_class: str) -> str:
        self._count += 1
        name = f"llm-{self._count}"
        self._cluster.launch_engine(name, **ENGINE)
        self._cluster.vms[name] = {"zone": zone, "machine_class": machine_class}
        return name

    def _register(self, name: str, zone: str, machine_class: str) -> None:
        price = ZONES[zone] * (1 if machine_class == "reclaimable" else ON_DEMAND_FACTOR)
        fields = {"machine_class": machine_class, "price_per_hour": price, "state": "spare"}
        self._cluster.register(name, zone, MODEL, **fields)

    def _run(self) -> None:
        address = self._cluster.platform.addresses["http"]
        last = time.monotonic()
        while not self._stopping.wait(POLL_S):
            vms = get_json(address, "/standin/stats")["vms"]
            now = time.monotonic()
            self.bill.add(vms, now - last)
            states = Counter(vm["state"] for vm in vms)
            self.history.append({"at_s": round(now - self._began, 1), **states})
            last = now
            self._replace_stopped({vm["name"]: vm for vm in vms})
            self._send_wave(now - self._began, vms)

    def _replace_stopped(self, listed: dict[str, dict[str, Any]]) -> None:
        for name in set(self._listed) - set(listed):
            vm = self._listed[name]
            self._cluster.get(name).kill()
            spare = self._launch(vm["zone"], vm["machine_class"])
            self._register(spare, vm["zone"], vm["machine_class"])
        self._listed = listed

    def _send_wave(self, seconds: float, vms: list[dict[str, Any]]) -> None:
        if not self._waves or seconds < self._waves[0][0]:
            return
        zone = self._waves.pop(0)[1]
        names = [
            vm["name"] for vm in vms if vm["zone"] == zone and vm["machine_class"] == "reclaimable"
        ]
        address = self._cluster.platform.addresses["http"]
        post_json(address, "/standin/reclaim", {"vms": names, "notice_ms": NOTICE_MS})
        faults = {"refuse_starts": -1, "refuse_zones": [zone], "refuse_classes": ["reclaimable"]}
        self._cluster.set_platform_faults(cloud=faults)
        reset = threading.Timer(
            START_REFUSAL_S, lambda: self._cluster.set_platform_faults(cloud={})
        )
        reset.daemon = True
        reset.start()


def run_once(rule: str, seed: int) -> dict[str, Any]:
    """Start a cluster under one rule, send the trace, and return the figures."""
    cluster = Cluster()
    try:
        cloud = start_cluster(cluster, rule)
        post_json(cluster.platform.addresses["http"], "/standin/stats/reset")
        cloud.begin()
        results = send_trace(cluster, seed)
        bill = cloud.end()
        history = cloud.history
        stats = get_json(cluster.platform.addresses["http"], "/standin/stats")
    finally:
        cluster.close()
    return {**describe(rule, seed, results, bill, stats), "history": history}


def start_cluster(cluster: Cluster, rule: str) -> Cloud:
    """Start all processes and wait until each zone has a leader and the first copies serve."""
    cluster.launch_platform(start_ms=START_MS)
    cloud = Cloud(cluster)
    cloud.fill()
    model = {
        "name": MODEL,
        "licensed_copies": LICENSED,
        "first_token_target_ms": TARGET_MS,
        "slots_per_copy": ENGINE["slots"],
    }
    cluster.apply(make_operator_file(ZONES, models=[model], services=[]))
    send_earlier_waves(cluster)
    cluster.launch_entries(tuple(ZONES), 1)
    for zone in ZONES:
        content = {"name": f"control-{zone}", "zone": zone, "seeds": cluster.list_seeds()}
        content["platform"] = cluster.platform.addresses["http"]
        settings = {**content, "copies": COPIES, "lease": LEASE, "log_level": "warning"}
        cluster.launch(content["name"], [CONTROLLER, "--rule", rule], settings)
        wait_for_holder(cluster, content["name"])
    address = cluster.platform.addresses["http"]
    wanted = int(rule.removeprefix("fixed-")) if rule.startswith("fixed-") else 1
    wait_until(
        lambda: sum(vm["state"] == "live" for vm in get_json(address, "/standin/stats")["vms"])
        >= wanted,
        "the first copies serve",
    )
    return cloud


def send_earlier_waves(cluster: Cluster) -> None:
    """Reclaim one other VM in each zone, so that the controllers have recorded reclaims before the trace."""
    for zone in ZONES:
        name = f"earlier-{zone}"
        cluster.register(name, zone, "earlier", address="127.0.0.1:1")
        body = {"vms": [name], "notice_ms": 1}
        post_json(cluster.platform.addresses["http"], "/standin/reclaim", body)


def send_trace(cluster: Cluster, seed: int) -> dict[str, Any]:
    """Send the trace from a separate process and return its results."""
    settings = {
        "entries": [item.addresses["callers"] for item in cluster.list_daemons()],
        "seed": seed,
        "rates": RATES,
        "step_ms": STEP_MS,
        "accounts": [{"name": ACCOUNT, "key": KEY}],
        "mix": [{"kind": "chat", "model": MODEL, **one} for one in MIX],
    }
    files = cluster.folder / "trace.json", cluster.folder / "results.json"
    files[0].write_text(json.dumps(settings))
    command = [sys.executable, "-m", "tools.copies_load", *map(str, files)]
    subprocess.run(command, cwd=ROOT, check=True, timeout=600)
    return json.loads(files[1].read_text())


def describe(
    rule: str, seed: int, results: dict[str, Any], bill: Bill, stats: dict[str, Any]
) -> dict[str, Any]:
    """Return the figures of one run."""
    window_s = stats["calls"]["window_ms"] / 1_000
    calls = {
        role: sum(counts.values()) / window_s for role, counts in stats["calls"]["by_role"].items()
    }
    first_token = results["first_token"]
    return {
        "rule": rule,
        "seed": seed,
        "requests": results["requests"],
        "not_whole": results["requests"] - results["verdicts"].get("whole", 0),
        "problems": len(results["problems"]),
        "p50_ms": first_token["p50_ms"],
        "p95_ms": first_token["p95_ms"],
        "holds": first_token["p95_ms"] <= TARGET_MS,
        "recomputed_tokens": results["totals"].get("recomputed_tokens", 0),
        "copy_hours": sum(bill.copy_seconds.values()) / SECONDS_PER_HOUR,
        "cost": bill.cost,
        "most_copies": bill.max_copies,
        "platform_calls_per_s": calls,
        "copy_seconds": dict(bill.copy_seconds),
    }


def print_run(run: dict[str, Any]) -> None:
    """Print the figures of one run as a line."""
    calls = ", ".join(f"{role} {rate:.1f}" for role, rate in run["platform_calls_per_s"].items())
    print(
        f"{run['rule']:12} p50 {run['p50_ms']:5.0f}  p95 {run['p95_ms']:6.0f} ms"
        f"  {'holds' if run['holds'] else 'misses'}  copy-hours {run['copy_hours']:.4f}"
        f"  cost {run['cost']:.4f}  most {run['most_copies']}"
        f"  recomputed {run['recomputed_tokens']}  not whole {run['not_whole']}"
        f" of {run['requests']}  platform calls/s: {calls}",
        flush=True,
    )


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rules", nargs="*", default=list(RULES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    print(f"target p95 {TARGET_MS} ms, licence {LICENSED}, seed {options.seed}", flush=True)
    runs = []
    for rule in options.rules:
        runs.append(run_once(rule, options.seed))
        print_run(runs[-1])
    if options.json:
        options.json.write_text(json.dumps(runs, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
