"""Measure the delay until a change is in force at all daemons, its size, and the calls to the platform.

Starts four zones of four entry daemons, applies changes to a small and to a large file, and reads from
each daemon when each revision came into force. Run:
``python -m tools.measure_configuration [--json FILE]``.
"""

import argparse
import json
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import msgpack

from features.support.calls import call, get_json, post_json
from features.support.cluster import Cluster
from features.support.operator_files import make_account, make_operator_file
from features.support.processes import wait_until
from hemlockswitch.connection.messages import encode_message
from hemlockswitch.process.revisions.messages import RevisionItem, RevisionReply
from hemlockswitch.version.checks import parse_file
from hemlockswitch.version.differences import compare_trees, pack_changes
from hemlockswitch.version.documents import digest_tree
from hemlockswitch.version.revisions import Revision

ZONES = ("abdoun-hall", "khalda-hall", "marka-hall", "sweileh-hall")
DAEMONS_PER_ZONE = 4
CHANGES = 20
IDLE_S = 20
WAIT_TIMEOUT_S = 20
PAUSE_S = 0.5
ACCOUNTS = 5
DRAINING = {"small": 0, "large": 12_000}
"""Number of draining VMs. The large file consists mostly of VM names, so that both have the same limits."""
REVISION_METRIC = "hemlock_revision_number "


def make_file(draining: int, changed: int) -> dict[str, Any]:
    """Return a file with `draining` VM names, and with one account limit that depends on `changed`."""
    rows = [make_account(f"account-{at}", f"key-{at}") for at in range(ACCOUNTS)]
    rows[0]["limits"]["requests_per_second"] = 1_000 + changed
    names = [f"vm-{at:050}" for at in range(draining)]
    return make_operator_file(ZONES, client_accounts=rows, draining=names)


def start(cluster: Cluster, file: dict[str, Any]) -> None:
    """Start the platform and the daemons, and wait until the first file is in force."""
    cluster.launch_platform()
    cluster.apply(file)
    for number in range(1, 1 + DAEMONS_PER_ZONE):
        for zone in ZONES:
            cluster.launch_entry(f"entry-{zone}-{number}", zone)
    wait_for_revision(cluster, cluster.revision)
    wait_until(
        lambda: all(has_all_members(item) for item in cluster.list_daemons()), "one membership"
    )


def has_all_members(program: Any) -> bool:
    """Return whether a daemon lists all daemons as members."""
    status = get_json(program.addresses["control"], "/status")
    return len(status["members"]) >= len(ZONES) * DAEMONS_PER_ZONE


def read_steps(program: Any) -> dict[int, int]:
    """Return the wall-clock time at which each revision came into force at a daemon."""
    status = get_json(program.addresses["control"], "/status")["configuration"]
    return {step["number"]: step["wall_ms"] for step in status["in_force"]}


def read_number(program: Any) -> int:
    """Return the revision in force at a daemon, from its metrics, which are cheaper than its status."""
    text = call(program.addresses["control"], "GET", "/metrics").body.decode()
    line = next(line for line in text.splitlines() if line.startswith(REVISION_METRIC))
    return int(float(line.removeprefix(REVISION_METRIC)))


def wait_for_revision(cluster: Cluster, number: int) -> None:
    """Wait until the revision is in force at every daemon."""
    for program in cluster.list_daemons():
        wait_until(
            lambda item=program: read_number(item) >= number,
            f"{number} at {program.name}",
            WAIT_TIMEOUT_S,
        )


def measure_spread(cluster: Cluster, draining: int) -> dict[str, Any]:
    """Apply changes one after another; return the delays until each was in force at all daemons."""
    written_ms = {}
    for at in range(1, 1 + CHANGES):
        number = cluster.apply(make_file(draining, at))
        written_ms[number] = time.time_ns() // 1_000_000
        time.sleep(PAUSE_S)
        wait_for_revision(cluster, number)
    steps = [read_steps(program) for program in cluster.list_daemons()]
    times = sorted(
        max(max(step[number] for step in steps) - at_ms, 0) for number, at_ms in written_ms.items()
    )
    return {
        "changes": CHANGES,
        "everywhere_p50_ms": statistics.median(times),
        "everywhere_max_ms": times[-1],
        "received": count_received(cluster),
    }


def count_received(cluster: Cluster) -> dict[str, int]:
    """Return by which paths the daemons received revisions, summed over all daemons."""
    total: dict[str, int] = {}
    for program in cluster.list_daemons():
        status = get_json(program.addresses["control"], "/status")["configuration"]
        for way, count in status["received"].items():
            total[way] = total.get(way, 0) + count
    return total


def measure_bytes(draining: int) -> dict[str, int]:
    """Return the size of a change to one account, as a difference and as the complete file."""
    old = parse_file(json.dumps(make_file(draining, 0))).tree
    new = parse_file(json.dumps(make_file(draining, 1)))
    changes = pack_changes(compare_trees(old, new.tree))
    head = Revision.from_checked(new, 2, "apply-" + "0" * 24, 1, 1_800_000_000_000).to_head()
    item = RevisionItem(head, "127.0.0.1:65535", 1, digest_tree(old), changes).to_item(2)
    row = [item.key, item.version, item.value, item.tombstone]
    return {
        "news_bytes": len(msgpack.packb(row)),
        "difference_bytes": len(encode_message(RevisionReply(head, changes))),
        "whole_bytes": len(encode_message(RevisionReply(head, None, new.tree))),
    }


def measure_calls(cluster: Cluster) -> dict[str, float]:
    """Return the calls per second that idle daemons make for configuration and status."""
    address = cluster.platform.addresses["http"]
    post_json(address, "/standin/stats/reset")
    time.sleep(IDLE_S)
    calls = get_json(address, "/standin/stats")["calls"]
    by_role = calls["by_role"].get("entry", {})
    seconds = calls["window_ms"] / 1_000
    return {
        "status_writes_per_s": calls["writes_by_kind"].get("status", 0) / seconds,
        "watches_per_s": by_role.get("watch", 0) / seconds,
        "all_entry_calls_per_s": sum(by_role.values()) / seconds,
    }


def measure() -> dict[str, Any]:
    """Measure changes to the small and to the large file."""
    figures: dict[str, Any] = {"daemons": len(ZONES) * DAEMONS_PER_ZONE, "zones": len(ZONES)}
    for size, draining in DRAINING.items():
        cluster = Cluster()
        try:
            start(cluster, make_file(draining, 0))
            row = measure_spread(cluster, draining) | measure_bytes(draining)
            if size == "small":
                row["idle"] = measure_calls(cluster)
            figures[size] = row
        finally:
            cluster.close()
    return figures


def main() -> int:
    """Measure, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    figures = measure()
    for size in DRAINING:
        row = figures[size]
        print(
            f"{size} file, {figures['daemons']} daemons in {figures['zones']} zones:"
            f" in force everywhere after {row['everywhere_p50_ms']:.0f} ms (p50),"
            f" {row['everywhere_max_ms']:.0f} ms (max of {row['changes']});"
            f" {row['news_bytes']} bytes as news, {row['difference_bytes']} as a difference,"
            f" {row['whole_bytes']} whole;"
            f" received {row['received']}"
        )
    print(f"idle platform calls: {figures['small']['idle']}")
    if arguments.json:
        arguments.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
