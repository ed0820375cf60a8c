"""Measure the overhead of the relay: time to the first token, time between tokens, and share of a core.

The same open-loop load is sent directly to the stand-in engines, through plain sockets, and through one
entry daemon. Run: ``python -m tools.measure_relay [--json FILE] [--requests-per-s N]``.
"""

import argparse
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from features.support.cluster import Cluster
from features.support.operator_files import ACCOUNT, KEY, make_account, make_operator_file
from features.support.processes import Program

ZONE = "abdoun-hall"
ENTRY = f"entry-{ZONE}-1"
ENGINES = 6
LOADS = 4
TOKEN_MS = 20
TOKENS = 204
TARGET_REQUESTS_PER_S = 46.0
TARGET_TOKENS_PER_S = 9_400
DURATION_MS = 15_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HIGH_LIMITS = {
    "requests_per_second": 10_000,
    "tokens_per_second": 10**7,
    "concurrent_requests": 10_000,
}


def read_cpu_s(program: Program) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def build(cluster: Cluster) -> None:
    """Start one entry daemon, the engines, and the relay of plain sockets."""
    file = make_operator_file((ZONE,), client_accounts=[make_account(ACCOUNT, KEY, **HIGH_LIMITS)])
    engine = {"token_ms": TOKEN_MS, "slots": 64}
    cluster.build((ZONE,), entries=1, engines=ENGINES, file=file, engine_settings=engine)
    cluster.launch("bare", ["tools.bare_relay"], {"targets": list_engines(cluster)})


def list_engines(cluster: Cluster) -> list[str]:
    """Return the addresses of the engines."""
    names = [f"engine-{ZONE}-{number}" for number in range(1, ENGINES + 1)]
    return [cluster.get(name).addresses["http"] for name in names]


def run_load(cluster: Cluster, addresses: list[str], requests_per_s: float) -> list[Any]:
    """Send the load from several processes and return their results."""
    programs = []
    for number in range(LOADS):
        settings = {
            "entries": addresses,
            "seed": number,
            "duration_ms": DURATION_MS,
            "requests_per_s": requests_per_s / LOADS,
            "accounts": [{"name": ACCOUNT, "key": KEY}],
            "mix": [{"prompt_words": [20, 60], "max_tokens": [TOKENS, TOKENS]}],
        }
        command = ["hemlockswitch.programs.load"]
        programs.append(cluster.launch(f"load-{number}", command, settings))
    for program in programs:
        program.wait(limit_s=DURATION_MS / 1_000 + 60)
    return [json.loads(program.output_file.read_text()) for program in programs]


def combine_results(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the combined results of several load processes, with the means of their percentiles."""
    found: dict[str, Any] = {"tokens": sum(one["totals"]["tokens"] for one in results)}
    found["whole"] = sum(one["verdicts"].get("whole", 0) for one in results)
    found["requests"] = sum(sum(one["verdicts"].values()) for one in results)
    found["seconds"] = max(one["took_ms"] for one in results) / 1_000
    found["tokens_per_s"] = found["tokens"] / found["seconds"]
    for name in ("first_token", "token_gap"):
        for percentile in ("p50_ms", "p95_ms", "p99_ms"):
            mean = sum(one[name][percentile] for one in results) / len(results)
            found[f"{name}_{percentile}"] = round(mean, 3)
    return found


def measure_path(
    cluster: Cluster, addresses: list[str], requests_per_s: float, relay: Program | None
) -> dict[str, Any]:
    """Return the figures of one path; `relay` is the process whose processor time is measured."""
    before = read_cpu_s(relay) if relay else 0.0
    found = combine_results(run_load(cluster, addresses, requests_per_s))
    if relay is not None:
        cpu_s = read_cpu_s(relay) - before
        found["cpu_s"] = round(cpu_s, 2)
        found["us_per_token"] = round(cpu_s / max(found["tokens"], 1) * 1e6, 1)
        found["share_of_core"] = round(cpu_s / found["seconds"], 3)
        found["tokens_per_s_per_core"] = round(found["tokens"] / cpu_s)
    return found


def measure(requests_per_s: float) -> dict[str, Any]:
    """Return the figures of all three paths and the overhead of the entry daemon."""
    cluster = Cluster()
    try:
        build(cluster)
        entry, bare = cluster.get(ENTRY), cluster.get("bare")
        straight = measure_path(cluster, list_engines(cluster), requests_per_s, None)
        sockets = measure_path(cluster, [bare.addresses["callers"]], requests_per_s, bare)
        relayed = measure_path(cluster, [cluster.find_entry()], requests_per_s, entry)
        memory_mb = entry.read_memory_mb()
    finally:
        cluster.close()
    added = {
        name: round(relayed[name] - straight[name], 3) for name in straight if name.endswith("_ms")
    }
    at_target = relayed["us_per_token"] * TARGET_TOKENS_PER_S / 1e6
    return {
        "requests_per_s": requests_per_s,
        "straight": straight,
        "bare_sockets": sockets,
        "relayed": relayed,
        "added": added,
        "ratio_to_bare_sockets": round(relayed["us_per_token"] / sockets["us_per_token"], 2),
        "share_of_core_at_9400_tokens_per_s": round(at_target, 3),
        "entry_memory_mb": round(memory_mb, 1),
    }


def run_measurement(
    description: str | None, requests_per_s: float, measure: Callable[[float], dict[str, Any]]
) -> dict[str, Any]:
    """Parse the command line, measure, print, and write the figures if requested."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--requests-per-s", type=float, default=requests_per_s)
    options = parser.parse_args()
    figures = measure(options.requests_per_s)
    print(json.dumps(figures, indent=2))
    if options.json:
        options.json.write_text(json.dumps(figures, indent=2))
    return figures


def main() -> int:
    """Measure; return 1 if a request did not get a complete answer."""
    figures = run_measurement(__doc__, TARGET_REQUESTS_PER_S, measure)
    lost = figures["relayed"]["requests"] - figures["relayed"]["whole"]
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
