"""Measure the routing choice against others on one seeded trace, with real processes.

Two zones with two entry daemons each, stand-in engines with a small prefix cache, open-loop
arrivals made from the brief's workloads. Every choice meets the same arrivals.
Run: ``python -m tools.measure_routing [--seconds 12] [--seeds 3] [--json FILE]``.
"""

import argparse
import json
import math
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median
from typing import Any

from features.support.cluster import Cluster
from features.support.operator_files import ACCOUNT, KEY, MODEL, make_operator_file
from features.support.processes import ROOT, wait_until
from tools.routing_baselines import CHOICES

ENTRY = "tools.routing_entry"
ZONES = ("abdoun-hall", "khalda-hall")
ENTRIES_PER_ZONE = 2
TARGET_MS = 830
REFERENCE_COPIES = 4
MOST_COPIES = 8
AT_ONCE = 2
REQUESTS_PER_S = 16
ENGINE = {
    "slots": 8,
    "token_ms": 20,
    "prefill_tokens_per_s": 4_000,
    "cache_tokens": 6_144,
    "load_lag_ms": 500,
}
MIX = [
    {  # confirmation notes: short, one set of rules for each hall
        "weight": 5,
        "prefix_words": 192,
        "prefixes": 4,
        "prompt_words": [200, 260],
        "max_tokens": [20, 60],
    },
    {  # group visits: a long brochure for each kind of school
        "weight": 3,
        "prefix_words": 512,
        "prefixes": 12,
        "prompt_words": [530, 640],
        "max_tokens": [40, 100],
    },
    {  # a condition report: the history of one object, seldom seen twice
        "weight": 1,
        "prefix_words": 768,
        "prefixes": 40,
        "prompt_words": [800, 1_000],
        "max_tokens": [80, 160],
    },
    {  # the one popular party package of the week
        "weight": 3,
        "prefix_words": 384,
        "prefixes": 1,
        "prompt_words": [400, 440],
        "max_tokens": [40, 80],
    },
]


@dataclass(frozen=True)
class Run:
    """One run of one choice.

    Parameters
    ==========

    p50_ms, p95_ms : first token, from the time a request was due; infinite when more than that
        share got none.
    computed_tokens : prompt tokens that the engines computed.
    prompt_tokens : prompt tokens that the requests had.
    refused : refusals that callers met and came back from.
    """

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
        """Share of the prompt tokens that was computed and not found in a cache."""
        return self.computed_tokens / max(self.prompt_tokens, 1)

    @property
    def holds(self) -> bool:
        """Whether the first token came in the target's time."""
        return self.p95_ms <= TARGET_MS


def run_once(choice: str, copies: int, seed: int, seconds: float) -> Run:
    """Start a cluster, send the trace, and return what was measured."""
    cluster = Cluster()
    try:
        start_cluster(cluster, choice, copies)
        results = send_trace(cluster, seed, seconds)
        stats = [cluster.read_stats(name) for name in cluster.vms]
    finally:
        cluster.close()
    if results["problems"]:
        raise SystemExit(f"{choice}: {results['problems'][:3]}")
    return describe_run(choice, copies, seed, results, stats)


def start_cluster(cluster: Cluster, choice: str, copies: int) -> None:
    """Start the processes and return when every daemon has every engine."""
    cluster.launch_platform()
    names = {f"engine-{number}": ZONES[number % len(ZONES)] for number in range(copies)}
    for name in names:
        cluster.launch_engine(name, **ENGINE)
    for name, zone in names.items():
        cluster.register(name, zone, MODEL)
    model = {"name": MODEL, "licensed_copies": MOST_COPIES, "slots_per_copy": ENGINE["slots"]}
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
        wait_until(lambda one=program: knows_all(cluster, one, copies), "all engines known")


def knows_all(cluster: Cluster, program: Any, copies: int) -> bool:
    """Return whether a daemon uses all engines, its own zone's and the others'."""
    from features.support.calls import get_json

    status = get_json(program.addresses["control"], "/status")
    return len(status["backend_servers"]) == copies


def send_trace(cluster: Cluster, seed: int, seconds: float) -> dict[str, Any]:
    """Run the load program and return its results."""
    settings = {
        "entries": [item.addresses["callers"] for item in cluster.list_daemons(ENTRY)],
        "seed": seed,
        "duration_ms": seconds * 1_000,
        "requests_per_s": REQUESTS_PER_S,
        "accounts": [{"name": ACCOUNT, "key": KEY}],
        "mix": [{"kind": "chat", "model": MODEL, **one} for one in MIX],
    }
    file = cluster.folder / "load.json"
    file.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "hemlockswitch.programs.load", "--settings", str(file)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=300)
    return json.loads(done.stdout)


def describe_run(
    choice: str, copies: int, seed: int, results: dict[str, Any], stats: list[dict[str, Any]]
) -> Run:
    """Return the figures of one run."""
    first_token = results["first_token"]
    without = 1 - first_token["count"] / max(results["requests"], 1)
    return Run(
        choice=choice,
        copies=copies,
        seed=seed,
        requests=results["requests"],
        p50_ms=first_token["p50_ms"] if without < 0.5 else math.inf,
        p95_ms=first_token["p95_ms"] if without < 0.05 else math.inf,
        computed_tokens=sum(one["prefilled_tokens"] for one in stats),
        prompt_tokens=sum(one["prompt_tokens"] for one in stats),
        refused=sum(results["refusals_retried"].values()) + results["verdicts"].get("failed", 0),
    )


def run_all(plan: Iterable[tuple[str, int, int]], seconds: float) -> Iterator[Run]:
    """Run a plan of (choice, copies, seed), a few at once, in order."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield from pool.map(lambda one: run_once(*one, seconds), plan)


def find_copies(choice: str, seed: int, seconds: float) -> tuple[int | None, list[Run]]:
    """Return the smallest number of copies with which the choice holds the target."""
    runs = []
    for copies in range(2, MOST_COPIES + 1):
        runs.append(run_once(choice, copies, seed, seconds))
        if runs[-1].holds:
            return copies, runs
    return None, runs


def print_table(choices: list[str], runs: list[Run], copies: dict[str, int | None]) -> None:
    """Print one line for each choice: medians over the seeds, with the spread."""
    print(f"{REFERENCE_COPIES} copies, {REQUESTS_PER_S} requests/s, target p95 {TARGET_MS} ms")
    for choice in choices:
        own = [run for run in runs if run.choice == choice]
        p50s, p95s = [run.p50_ms for run in own], [run.p95_ms for run in own]
        shares = [run.computed_share for run in own]
        print(
            f"{choice:15} p50 {median(p50s):6.0f} ({min(p50s):.0f}-{max(p50s):.0f}) ms"
            f"  p95 {median(p95s):6.0f} ({min(p95s):.0f}-{max(p95s):.0f}) ms"
            f"  computed {median(shares):.2f} ({min(shares):.2f}-{max(shares):.2f})"
            f"  refused {sum(run.refused for run in own)}"
            f"  copies {copies[choice] or f'over {MOST_COPIES}'}"
        )


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--choices", nargs="*", default=list(CHOICES))
    parser.add_argument("--no-copies", action="store_true", help="leave out the search for copies")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    began = time.monotonic()
    plan = [
        (choice, REFERENCE_COPIES, seed)
        for seed in range(1, options.seeds + 1)
        for choice in options.choices
    ]
    runs = list(run_all(plan, options.seconds))
    copies: dict[str, int | None] = dict.fromkeys(options.choices)
    searched: list[Run] = []
    if not options.no_copies:
        with ThreadPoolExecutor(AT_ONCE) as pool:
            found = pool.map(lambda one: find_copies(one, 1, options.seconds), options.choices)
            for choice, (count, tried) in zip(options.choices, found, strict=True):
                copies[choice] = count
                searched += tried
    print_table(options.choices, runs, copies)
    print(f"took {time.monotonic() - began:.0f} s")
    if options.json:
        figures = {"runs": [asdict(run) for run in runs + searched], "copies": copies}
        options.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
