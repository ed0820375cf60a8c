"""Measure the cost of control traffic for complete, idle daemons, by the number of VMs in their zone.

The processes are real `hemlock-entry` and `hemlock-controller` daemons, one stand-in platform, and one
stand-in engine that is listed as many VMs. The entry daemons reach the platform and the engine through a
proxy that counts the bytes.
``tools/capacity.py`` runs it for each number of ``--vms``.
"""

import os
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass

from features.support.calls import call, get_json, post_json
from features.support.cluster import CONTROLLER, Cluster
from features.support.operator_files import MODEL, make_operator_file
from features.support.processes import wait_until

ZONE = "zone-1"
DAEMONS = 8
CONTROLLERS = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Reading:
    """Counters of each daemon and of the two proxied links at one time."""

    taken_s: float
    processor_s: list[float]
    peer_bytes: list[float]
    peer_messages: list[float]
    platform_bytes: int
    engine_bytes: int
    platform_calls: dict[str, int]
    controller_processor_s: list[float]


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as status:
        fields = status.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_metric(address: str, name: str) -> float:
    """Return the sum of a metric's samples."""
    text = call(address, "GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith((name + "{", name + " "))]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def count_link_bytes(cluster: Cluster, name: str) -> int:
    """Return the number of bytes transferred over a proxied link."""
    return sum(cluster.read_link(name)["bytes_moved"].values())


def count_platform_calls(cluster: Cluster) -> dict[str, int]:
    """Return the number of calls to the platform by role."""
    by_role = cluster.read_stats("platform")["calls"]["by_role"]
    return {role: sum_numbers(calls) for role, calls in by_role.items()}


def sum_numbers(value: object) -> int:
    """Return the sum of the integers in nested counts."""
    if isinstance(value, dict):
        return sum(sum_numbers(one) for one in value.values())
    if isinstance(value, list):
        return sum(sum_numbers(one) for one in value)
    return value if isinstance(value, int) else 0


def take_reading(cluster: Cluster) -> Reading:
    """Read all counters."""
    daemons = cluster.list_daemons()
    controls = [daemon.addresses["control"] for daemon in daemons]
    return Reading(
        time.monotonic(),
        [read_processor_s(daemon.pid) for daemon in daemons],
        [read_metric(address, "hemlock_peer_bytes_total") for address in controls],
        [read_metric(address, "hemlock_peer_messages_total") for address in controls],
        count_link_bytes(cluster, "platform"),
        count_link_bytes(cluster, "engine"),
        count_platform_calls(cluster),
        [read_processor_s(one.pid) for one in cluster.list_daemons(CONTROLLER)],
    )


def start(vms: int) -> Cluster:
    """Start the processes with `vms` VMs in the zone."""
    cluster = Cluster()
    try:
        cluster.launch_platform()
        engine = cluster.launch_engine("engine")
        platform_link = cluster.add_link("platform", cluster.platform.addresses["http"])
        engine_link = cluster.add_link("engine", engine.addresses["http"])
        listed = [make_vm(number, engine_link) for number in range(vms)]
        post_json(cluster.platform.addresses["http"], "/standin/vms", {"vms": listed})
        cluster.apply(make_file(vms))
        for number in range(DAEMONS):
            cluster.launch_entry(f"entry-{number}", ZONE, platform=platform_link)
        for number in range(CONTROLLERS):
            cluster.launch_controller(f"controller-{number}", ZONE)
        wait_until(lambda: have_all_members(cluster), "the daemons see one another", 60)
    except BaseException:
        cluster.close()
        raise
    return cluster


def make_file(vms: int) -> dict:
    """Return an operator file whose minimum and licensed copies equal the existing ones."""
    model = {"name": MODEL, "licensed_copies": max(vms, 1), "min_copies": vms}
    return make_operator_file((ZONE,), models=[model], services=[])


def make_vm(number: int, address: str) -> dict:
    """Return one entry of the VM list."""
    return {
        "name": f"runner-{number:04}",
        "zone": ZONE,
        "serves": MODEL,
        "address": address,
        "control_address": address,
    }


def have_all_members(cluster: Cluster) -> bool:
    """Return whether every daemon lists all daemons as members."""
    statuses = [get_json(one.addresses["control"], "/status") for one in cluster.list_daemons()]
    return all(len(status["members"]) == DAEMONS for status in statuses)


def measure_entry(vms: int, window_s: float) -> dict:
    """Return the rates per idle entry daemon, as means over the daemons."""
    cluster = start(vms)
    try:
        time.sleep(5)
        before = take_reading(cluster)
        time.sleep(window_s)
        after = take_reading(cluster)
        status = get_json(cluster.list_daemons()[0].addresses["control"], "/status")
        memory = [daemon.read_memory_mb() for daemon in cluster.list_daemons()]
    finally:
        cluster.close()
    span_s = after.taken_s - before.taken_s

    def rates(name: str) -> list[float]:
        pairs = zip(getattr(before, name), getattr(after, name), strict=True)
        return [(b - a) / span_s for a, b in pairs]

    def rate(name: str) -> float:
        return statistics.mean(rates(name))

    def share(name: str) -> float:
        return (getattr(after, name) - getattr(before, name)) / span_s / DAEMONS

    return {
        "vms": vms,
        "daemons": DAEMONS,
        "used": len(status["backend_servers"]),
        "core_percent": rate("processor_s") * 100,
        "peer_bytes_s": rate("peer_bytes"),
        "peer_messages_s": rate("peer_messages"),
        "platform_bytes_s": share("platform_bytes"),
        "load_bytes_s": share("engine_bytes"),
        "platform_calls_s": {
            role: (count - before.platform_calls.get(role, 0)) / span_s
            for role, count in after.platform_calls.items()
        },
        "controller_core_percent": [value * 100 for value in rates("controller_processor_s")],
        "resident_mb": statistics.mean(memory),
    }


def format_numbers(named: Iterable[tuple[str, float]]) -> str:
    """Return names and numbers as one line."""
    return ", ".join(f"{name} {number:.1f}" for name, number in sorted(named))


def print_entry(result: dict) -> None:
    """Print the figures of one run as a row."""
    print(
        f"entry    {result['vms']:4} VMs ({result['used']} used): "
        f"{result['core_percent']:5.2f} % core, peers {result['peer_bytes_s']:6.0f} B/s, "
        f"platform {result['platform_bytes_s']:7.0f} B/s, load polls "
        f"{result['load_bytes_s']:7.0f} B/s, {result['resident_mb']:.1f} MB; platform calls/s of "
        f"the zone {format_numbers(result['platform_calls_s'].items())}; controllers "
        f"{', '.join(f'{value:.2f}' for value in result['controller_core_percent'])} % core",
        flush=True,
    )
