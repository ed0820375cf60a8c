"""Compare the router's choice of servers with baselines on seeded traces, with real processes.

There are two zones with two entry daemons each, stand-in engines with a small prefix cache, and open-loop
arrivals of typical workloads. Every choice gets the same arrivals.
Run: ``python -m tools.measure_routing [--seconds 10] [--seeds 3] [--json FILE]``.
"""

import argparse
import json
import math
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median
from typing import Any

from features.support.calls import get_json
from features.support.cluster import Cluster
from features.support.operator_files import ACCOUNT, KEY, MODEL, make_operator_file
from features.support.processes import ROOT, wait_until
from tools.routing_baselines import CHOICES

ENTRY = "tools.routing_entry"
ZONES = ("abdoun-hall", "khalda-hall")
ENTRIES_PER_ZONE = 2
TARGET_MS = 830
MAX_COPIES = 6
PARALLEL_RUNS = 3
ENGINE = {"slots": 8, "token_ms": 20, "prefill_tokens_per_s": 6_000, "load_lag_ms": 500}


@dataclass(frozen=True)
class Trace:
    """A workload.

    Parameters
    ==========

    requests_per_s : mean of the open-loop arrivals.
    copies : number of engines in the runs that compare times and tokens.
    cache_tokens : prefix cache of each engine; less than all prefixes together.
    mix : the kinds of requests, as `hemlock-load` takes them.
    """

    requests_per_s: float
    copies: int
    cache_tokens: int
    mix: tuple[dict[str, Any], ...]


def make_kind(
    weight: int, prefix: int, prefixes: int, prompt: tuple[int, int], answer: tuple[int, int]
) -> dict[str, Any]:
    """Return one kind of request.

    `prefix` is the length of a shared prefix in words, `prefixes` the number of different ones; `prompt`
    and `answer` are ranges of sizes."""
    return {
        "weight": weight,
        "prefix_words": prefix,
        "prefixes": prefixes,
        "prompt_words": prompt,
        "max_tokens": answer,
    }


TRACES = {
    # Event halls: confirmation notes with the rules of four halls as prefix, group visits with a brochure
    # for each kind of school, one popular party package, and a few long requests.
    "qafza": Trace(
        18,
        3,
        6_144,
        (
            make_kind(5, 192, 4, (200, 260), (20, 60)),
            make_kind(3, 512, 12, (530, 640), (40, 100)),
            make_kind(3, 384, 1, (400, 440), (40, 80)),
            make_kind(1, 768, 40, (800, 1_000), (80, 160)),
        ),
    ),
    # Restoration workshop: questions with the treatment history of a job as prefix, a few of these jobs
    # frequent, and condition reports whose history is rarely repeated.
    "driftwood": Trace(
        10,
        3,
        16_384,
        (
            make_kind(6, 1_600, 4, (1_640, 1_700), (20, 60)),
            make_kind(5, 1_600, 12, (1_640, 1_700), (20, 60)),
            make_kind(1, 2_400, 30, (2_430, 2_600), (120, 240)),
        ),
    ),
}


@dataclass(frozen=True)
class Run:
    """Results of one run with one choice.

    Parameters
    ==========

    p50_ms, p95_ms : time to the first token, from the time a request was due; infinite if more than
        50 % or 5 % of the requests got none.
    computed_tokens : prompt tokens that the engines computed.
    prompt_tokens : prompt tokens that the requests had.
    refused : refusals that callers retried, and failed requests.
    """

    trace: str
    choice: str
    copies: int
    seed: int
    requests: int
    p50_ms: float
    p95_ms: float
    computed_tokens: int
    prompt_tokens: int
    refused: int

    @property
    def computed_share(self) -> float:
        """Share of the prompt tokens that were computed because no cache had them."""
        return self.computed_tokens / max(self.prompt_tokens, 1)

    @property
    def holds(self) -> bool:
        """Whether the 95th percentile of the time to the first token meets the target."""
        return self.p95_ms <= TARGET_MS


def run_once(name: str, choice: str, copies: int, seed: int, seconds: float) -> Run:
    """Start a cluster, send the trace `name`, and return the results."""
    trace = TRACES[name]
    cluster = Cluster()
    try:
        start_cluster(cluster, trace, choice, copies)
        results = send_trace(cluster, trace, seed, seconds)
        stats = [cluster.read_stats(name) for name in cluster.vms]
    finally:
        cluster.close()
    if results["problems"]:
        raise SystemExit(f"{name} {choice}: {results['problems'][:3]}")
    return describe_run((name, choice, copies, seed), results, stats)


def start_cluster(cluster: Cluster, trace: Trace, choice: str, copies: int) -> None:
    """Start the processes and wait until every daemon uses all engines."""
    cluster.launch_platform()
    names = {f"engine-{number}": ZONES[number % len(ZONES)] for number in range(copies)}
    for name in names:
        cluster.launch_engine(name, cache_tokens=trace.cache_tokens, **ENGINE)
    for name, zone in names.items():
        cluster.register(name, zone, MODEL)
    model = {"name": MODEL, "licensed_copies": MAX_COPIES, "slots_per_copy": ENGINE["slots"]}
    cluster.apply(make_operator_file(ZONES, models=[model], services=[]))
    seeds: list[str] = []
    for number in range(ENTRIES_PER_ZONE):
        for zone in ZONES:
            name = f"entry-{zone}-{number + 1}"
            content = {"name": name, "zone": zone, "seeds": seeds, "log_level": "warning"}
            content["platform"] = cluster.platform.addresses["http"]
            program = cluster.launch(name, [ENTRY, "--choice", choice], content)
            seeds = seeds or [program.addresses["peers"]]
    for program in cluster.list_daemons(ENTRY):
        cluster.wait_until_serving(program)
        wait_until(lambda one=program: uses_all_engines(cluster, one, copies), "all engines known")


def uses_all_engines(cluster: Cluster, program: Any, copies: int) -> bool:
    """Return whether a daemon uses the engines of all zones."""
    status = get_json(program.addresses["control"], "/status")
    return len(status["backend_servers"]) == copies


def send_trace(cluster: Cluster, trace: Trace, seed: int, seconds: float) -> dict[str, Any]:
    """Run the load program and return its results."""
    settings = {
        "entries": [item.addresses["callers"] for item in cluster.list_daemons(ENTRY)],
        "seed": seed,
        "duration_ms": seconds * 1_000,
        "requests_per_s": trace.requests_per_s,
        "accounts": [{"name": ACCOUNT, "key": KEY}],
        "mix": [{"kind": "chat", "model": MODEL, **one} for one in trace.mix],
    }
    file = cluster.folder / "load.json"
    file.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "hemlockswitch.programs.load", "--settings", str(file)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=300)
    return json.loads(done.stdout)


def describe_run(
    labels: tuple[str, str, int, int], results: dict[str, Any], stats: list[dict[str, Any]]
) -> Run:
    """Return the figures of one run."""
    first_token = results["first_token"]
    unanswered_share = 1 - first_token["count"] / max(results["requests"], 1)
    return Run(
        *labels,
        requests=results["requests"],
        p50_ms=first_token["p50_ms"] if unanswered_share < 0.5 else math.inf,
        p95_ms=first_token["p95_ms"] if unanswered_share < 0.05 else math.inf,
        computed_tokens=sum(one["prefilled_tokens"] for one in stats),
        prompt_tokens=sum(one["prompt_tokens"] for one in stats),
        refused=sum(results["refusals_retried"].values()) + results["verdicts"].get("failed", 0),
    )


def find_copies(name: str, choice: str, seconds: float) -> list[Run]:
    """Return runs with increasing numbers of copies, up to the first that meets the target."""
    runs: list[Run] = []
    for copies in range(2, MAX_COPIES + 1):
        runs.append(run_once(name, choice, copies, 1, seconds))
        if runs[-1].holds:
            break
    return runs


def measure_trace(name: str, choices: list[str], seeds: int, seconds: float) -> list[Run]:
    """Compare the choices on one trace, print a table, and return all runs."""
    trace = TRACES[name]
    plan = [
        (name, choice, trace.copies, seed) for seed in range(1, seeds + 1) for choice in choices
    ]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        runs = list(pool.map(lambda one: run_once(*one, seconds), plan))
        searches = list(pool.map(lambda one: find_copies(name, one, seconds), choices))
    sent = f"{trace.requests_per_s} requests/s for {seconds:g} s, seeds 1 to {seeds}"
    print(f"{name}: {sent}, {trace.copies} copies, target p95 {TARGET_MS} ms", flush=True)
    for choice, search in zip(choices, searches, strict=True):
        copies = str(search[-1].copies) if search[-1].holds else f"over {MAX_COPIES}"
        print_line([run for run in runs if run.choice == choice], copies)
    return runs + [run for search in searches for run in search]


def print_line(runs: list[Run], copies: str) -> None:
    """Print the medians over the seeds with their ranges."""
    p50s, p95s = [run.p50_ms for run in runs], [run.p95_ms for run in runs]
    shares = [run.computed_share for run in runs]
    print(
        f"{runs[0].choice:15} p50 {median(p50s):5.0f} ({min(p50s):.0f}-{max(p50s):.0f}) ms"
        f"  p95 {median(p95s):5.0f} ({min(p95s):.0f}-{max(p95s):.0f}) ms"
        f"  computed {median(shares):.2f} ({min(shares):.2f}-{max(shares):.2f})"
        f"  refusals {sum(run.refused for run in runs)}"
        f"  copies for the target: {copies}",
        flush=True,
    )


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--choices", nargs="*", default=list(CHOICES))
    parser.add_argument("--traces", nargs="*", default=list(TRACES))
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    began = time.monotonic()
    runs: list[Run] = []
    for name in options.traces:
        runs += measure_trace(name, options.choices, options.seeds, options.seconds)
    print(f"took {time.monotonic() - began:.0f} s")
    if options.json:
        options.json.write_text(json.dumps([asdict(run) for run in runs], indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
