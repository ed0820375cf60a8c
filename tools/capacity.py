"""Measure the cost of control traffic per daemon at several sizes, and extrapolate to the target size.

``make capacity`` writes reports/capacity.json and prints the tables of docs/CAPACITY.md and
docs/explanation/membership.md. ``--sizes`` and ``--variants`` select the runs.
"""

import argparse
import json
import random
import select
import signal
import statistics
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tools.capacity_entry import measure_entry, print_entry  # noqa: E402
from tools.capacity_modules import measure_modules, print_modules  # noqa: E402
from tools.capacity_records import (  # noqa: E402
    measure_share_records,
    print_share_records,
)
from tools.capacity_target import extrapolate, find_slopes, print_target  # noqa: E402

PRODUCT = "rings"
FLOOD = "flood"
REPORT = ROOT / "reports" / "capacity.json"
PARALLEL_STARTS = 8
DAEMONS_IN_ZONE = 8
ZONES_IN_REGION = 3
ANSWER_TIMEOUT_S = 30
JOIN_TIMEOUT_S = 60
DETECTION_TIMEOUT_S = 30
ITEM_COUNT = 100
ITEM_GAP_S = 0.05
ITEM_BYTES = 300
STORED_MEMBERS = 5_000
STORED_ITEMS = 5_000
RATES = ("messages_in", "messages_out", "bytes_in", "bytes_out", "segments", "processor_ms")


@dataclass
class DaemonProcess:
    """A measured process and its command pipe."""

    name: str
    process: subprocess.Popen
    address: str

    def run_command(self, command: str) -> dict:
        """Send one command and return its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return read_line(self.process)


def read_line(process: subprocess.Popen) -> dict:
    """Return the next JSON line of a process, or raise `TimeoutError` after `ANSWER_TIMEOUT_S`."""
    assert process.stdout is not None
    ready, _, _ = select.select([process.stdout], [], [], ANSWER_TIMEOUT_S)
    if not ready:
        raise TimeoutError(f"process {process.pid} did not answer")
    return json.loads(process.stdout.readline())


def start_daemon(variant: str, number: int, seeds: list[str]) -> DaemonProcess:
    """Start one measured process and wait until it listens."""
    zone = number // DAEMONS_IN_ZONE
    settings = {
        "name": f"d{number:03}",
        "variant": variant,
        "zone": f"zone{zone}",
        "region": f"region{zone // ZONES_IN_REGION}",
        "seeds": seeds,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "tools.capacity_daemon", json.dumps(settings)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return DaemonProcess(settings["name"], process, read_line(process)["address"])


def start_daemons(variant: str, count: int) -> list[DaemonProcess]:
    """Start `count` daemons that join through the first one."""
    first = start_daemon(variant, 0, [])
    with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
        others = pool.map(lambda n: start_daemon(variant, n, [first.address]), range(1, count))
        return [first, *others]


def stop_daemons(daemons: list[DaemonProcess]) -> None:
    """Kill the daemons and wait for their exit."""
    for daemon in daemons:
        daemon.process.kill()
    for daemon in daemons:
        daemon.process.wait()


def read_reports(daemons: list[DaemonProcess]) -> list[dict]:
    """Request a report from each daemon."""
    return [daemon.run_command("report") for daemon in daemons]


def wait_until_joined(daemons: list[DaemonProcess]) -> float:
    """Wait until every daemon lists all daemons as live; return the seconds elapsed."""
    started = time.monotonic()
    while time.monotonic() - started < JOIN_TIMEOUT_S:
        if all(report["live"] == len(daemons) for report in read_reports(daemons)):
            return time.monotonic() - started
        time.sleep(0.5)
    raise TimeoutError("the daemons did not all see one another")


def measure_rates(daemons: list[DaemonProcess], window_s: float) -> dict:
    """Return the mean and maximum rates per daemon over a window without changes."""
    before = read_reports(daemons)
    started = time.monotonic()
    time.sleep(window_s)
    after = read_reports(daemons)
    span_s = time.monotonic() - started
    rates = {}
    for name in RATES:
        each = [(b[name] - a[name]) / span_s for a, b in zip(before, after, strict=True)]
        rates[name] = {"mean": statistics.mean(each), "max": max(each)}
    for name in ("streams", "links", "neighbours"):
        rates[name] = statistics.mean(report[name] for report in after)
    rates["added_bytes"] = statistics.mean(r["resident_bytes"] - r["bare_bytes"] for r in after)
    return rates


def measure_gossip(daemons: list[DaemonProcess]) -> dict:
    """Publish items at random daemons; return the time to reach all daemons and the cost per item."""
    before = read_reports(daemons)
    started = time.monotonic()
    published = {}
    for number in range(ITEM_COUNT):
        origin = random.choice(daemons)
        answer = origin.run_command(f"publish item{number} {ITEM_BYTES}")
        published[f"measured/item{number}"] = answer["published_ms"]
        time.sleep(ITEM_GAP_S)
    time.sleep(3)
    after = read_reports(daemons)
    span_s = time.monotonic() - started
    reach_ms = []
    missed = 0
    for key, when_ms in published.items():
        received_ms = [report["learned_ms"].get(key) for report in after]
        missed += received_ms.count(None)
        reach_ms.append(max(ms for ms in received_ms if ms is not None) - when_ms)
    copies = [b["items_in"] - a["items_in"] for a, b in zip(before, after, strict=True)]
    grown = {
        name: statistics.mean(b[name] - a[name] for a, b in zip(before, after, strict=True))
        for name in RATES
    }
    return {
        "span_s": span_s,
        "items": ITEM_COUNT,
        "item_bytes": ITEM_BYTES,
        "grown": grown,
        "reach_ms": {"median": statistics.median(reach_ms), "max": max(reach_ms)},
        "missed": missed,
        "copies_per_item": statistics.mean(copies) / ITEM_COUNT,
    }


def measure_detection(daemons: list[DaemonProcess], kills: int) -> dict:
    """Kill daemons one by one; return the times until all remaining ones have detected each failure."""
    times_ms = []
    for _ in range(kills):
        victim = daemons.pop(random.randrange(1, len(daemons)))
        killed_ms = time.monotonic() * 1000
        victim.process.send_signal(signal.SIGKILL)
        victim.process.wait()
        times_ms.append(wait_until_dead(daemons, victim.name) - killed_ms)
    return {"all_ms": times_ms, "median_ms": statistics.median(times_ms), "max_ms": max(times_ms)}


def measure_heal(daemons: list[DaemonProcess]) -> dict:
    """Freeze half of the daemons until the other half declares them dead, then resume them."""
    half = len(daemons) // 2
    frozen = daemons[half:]
    started = time.monotonic()
    for daemon in frozen:
        daemon.process.send_signal(signal.SIGSTOP)
    try:
        for daemon in frozen:
            wait_until_dead(daemons[:half], daemon.name)
        dead_s = time.monotonic() - started
    finally:
        for daemon in frozen:
            daemon.process.send_signal(signal.SIGCONT)
    before = read_reports(daemons[:half])
    healed_s = wait_until_joined(daemons)
    after = read_reports(daemons[:half])
    grown = [b["bytes_out"] - a["bytes_out"] for a, b in zip(before, after, strict=True)]
    return {
        "frozen": len(frozen),
        "dead_s": dead_s,
        "healed_s": healed_s,
        "bytes_out": statistics.mean(grown),
    }


def wait_until_dead(daemons: list[DaemonProcess], name: str) -> float:
    """Wait until all daemons have declared `name` dead; return the time of the last one."""
    deadline = time.monotonic() + DETECTION_TIMEOUT_S
    while time.monotonic() < deadline:
        when = [report["dead_ms"].get(name) for report in read_reports(daemons)]
        if None not in when:
            return max(when)
        time.sleep(0.25)
    raise TimeoutError(f"{name} was not detected")


def measure(variant: str, count: int, window_s: float, kills: int) -> dict:
    """Measure one variant at one size."""
    daemons = start_daemons(variant, count)
    try:
        joined_s = wait_until_joined(daemons)
        time.sleep(3)
        result = {"variant": variant, "daemons": count, "joined_s": joined_s}
        result["idle"] = measure_rates(daemons, window_s)
        result["news"] = measure_gossip(daemons)
        result["detection"] = measure_detection(daemons, kills)
        if variant == PRODUCT:
            result["heal"] = measure_heal(daemons)
        result["held"] = daemons[0].run_command(f"hold {STORED_MEMBERS} {STORED_ITEMS}")
        return result
    finally:
        stop_daemons(daemons)


def print_result(result: dict) -> None:
    """Print the figures of one run as a row."""
    idle, gossip, heal = result["idle"], result["news"], result.get("heal")
    healed = (
        f", {heal['frozen']} frozen at once: dead {heal['dead_s']:.1f} s, back {heal['healed_s']:.1f} s"
        if heal
        else ""
    )
    print(
        f"{result['variant']:7} {result['daemons']:4} daemons: "
        f"{idle['messages_out']['mean']:6.1f} messages/s out, "
        f"{idle['bytes_out']['mean']:7.0f} B/s out, "
        f"{idle['processor_ms']['mean'] / 10:5.2f} % core, "
        f"{idle['streams']:5.1f} streams, "
        f"{idle['added_bytes'] / 1e6:5.2f} MB added, "
        f"news {gossip['reach_ms']['median']:5.0f} ms (max {gossip['reach_ms']['max']:.0f}), "
        f"{gossip['copies_per_item']:4.1f} copies, {gossip['missed']} missed, "
        f"detected {result['detection']['median_ms']:.0f} ms "
        f"(max {result['detection']['max_ms']:.0f}){healed}",
        flush=True,
    )


def main() -> int:
    """Run the selected sizes and variants and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 16, 32])
    parser.add_argument("--variants", nargs="*", default=["rings", "flood"])
    parser.add_argument("--window-s", type=float, default=10)
    parser.add_argument("--kills", type=int, default=3)
    parser.add_argument("--vms", type=int, nargs="*", default=[0, 32, 128])
    parser.add_argument("--report", type=Path, default=REPORT)
    options = parser.parse_args()
    results = []
    for variant in options.variants:
        for count in options.sizes:
            result = measure(variant, count, options.window_s, options.kills)
            print_result(result)
            results.append(result)
    slopes = find_slopes([result for result in results if result["variant"] == PRODUCT])
    eager = find_slopes([result for result in results if result["variant"] == FLOOD])
    target = extrapolate(slopes, eager or slopes) if slopes else {}
    print_target(slopes, target)
    options.report.parent.mkdir(exist_ok=True)
    entry = [measure_entry(vms, options.window_s) for vms in options.vms]
    for result in entry:
        print_entry(result)
    records = measure_share_records()
    print_share_records(records)
    modules = measure_modules()
    print_modules(modules)
    report = {
        "results": results,
        "share_records": records,
        "modules": modules,
        "slopes": slopes,
        "eager_slopes": eager,
        "target": target,
        "entry": entry,
    }
    options.report.write_text(json.dumps(report, indent=1))
    print(f"report: {options.report}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
