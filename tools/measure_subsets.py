"""Measure the stable subsets of servers at the target size, and the cost of one routing choice.

The size is that of one of 16 zones, with 106 of 1,700 daemons and 750 of 12,000 backend servers.
Run: ``python -m tools.measure_subsets [--json FILE]``.
"""

import argparse
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from statistics import median

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.backends import BackendDirectory
from hemlockswitch.process.servers.subsets import Subset
from hemlockswitch.request.prefixes import hash_blocks
from hemlockswitch.request.routing import RequestNeeds, Router

DAEMONS = [f"entry-{number}" for number in range(106)]
SERVERS = [f"engine-{number}" for number in range(750)]
CHOICES = 300
PROMPT = "a summary of the treatment of one map " * 125


def time_ms(action: Callable[[], object]) -> float:
    """Return the duration of an action in ms."""
    began = time.perf_counter()
    action()
    return (time.perf_counter() - began) * 1_000


def measure_spread() -> dict[str, float]:
    """Return how evenly the subsets are distributed, and how much the removal of a daemon changes."""
    subsets = {name: Subset(name) for name in DAEMONS}
    chosen = {name: subset.update(DAEMONS, SERVERS) for name, subset in subsets.items()}
    sizes = [len(names) for names in chosen.values()]
    uses = Counter(server for names in chosen.values() for server in names)
    shares: Counter[str] = Counter()
    for names in chosen.values():
        shares.update(dict.fromkeys(names, 1 / len(names)))
    mean_share = len(DAEMONS) / len(SERVERS)
    remaining = DAEMONS[1:]
    took_ms = [
        time_ms(lambda one=name: subsets[one].update(remaining, SERVERS)) for name in remaining[:10]
    ]
    after = {name: subsets[name].update(remaining, SERVERS) for name in remaining}
    return {
        "subset_smallest": min(sizes),
        "subset_median": median(sizes),
        "subset_largest": max(sizes),
        "daemons_per_server_smallest": min(uses.values()),
        "daemons_per_server_largest": max(uses.values()),
        "server_load_smallest": min(shares.values()) / mean_share,
        "server_load_largest": max(shares.values()) / mean_share,
        "changed_per_daemon_when_one_goes": sum(len(chosen[n] ^ after[n]) for n in remaining)
        / len(remaining),
        "first_choice_ms": time_ms(lambda: Subset("entry-1").update(DAEMONS, SERVERS)),
        "one_daemon_gone_ms": median(took_ms),
    }


def measure_choice() -> dict[str, float]:
    """Return the time of one choice over the subset, for a prompt of 1,000 words."""
    gossip_state = GossipState()
    directory = BackendDirectory(gossip_state, SystemClock(), "zone-1", "entry-1", lambda: DAEMONS)
    for name in SERVERS:
        vm = {"name": name, "zone": "zone-1", "address": "127.0.0.1:1", "serves": "m"}
        gossip_state.record(GossipItem(f"vm/{name}", 1, vm))
    router = Router(directory)
    needs = RequestNeeds("m", hash_blocks(PROMPT), prompt_tokens=1_000)
    for server in directory.list_servers("m"):
        router.record_dispatch(server.name, needs)

    def choose_repeatedly() -> None:
        for _ in range(CHOICES):
            router.choose(needs)

    return {
        "servers": len(directory.list_servers("m")),
        "choice_us": time_ms(choose_repeatedly) / CHOICES * 1_000,
        "hash_blocks_us": time_ms(lambda: hash_blocks(PROMPT)) * 1_000,
    }


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures = {**measure_spread(), **measure_choice()}
    for name, value in figures.items():
        print(f"{name:35} {value:.2f}")
    if options.json:
        options.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
