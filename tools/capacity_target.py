"""Extrapolates measured slopes to the cost of control traffic per daemon at the target size."""

import statistics
from collections import defaultdict
from dataclasses import dataclass

from hemlockswitch.process.membership.members import Member
from hemlockswitch.process.membership.overlay import choose_links

SEGMENT_HEADER_BYTES = 52
SECONDS_A_DAY = 86_400
MEGABYTE = 1e6
# Sizes of item values; the slopes include some 46 bytes of key and frame per item.
MEMBER_BYTES = 45
VM_BYTES = 250
FEED_BYTES = 20


@dataclass(frozen=True)
class Target:
    """The size expected by the users within two years, and their limits for control traffic."""

    daemons: int = 1_700
    zones: int = 16
    regions: int = 6
    runners: int = 12_000
    changes_a_day: int = 15_000
    change_bytes: int = 332
    member_changes_a_day: int = 2 * 160 + 3 * 1_700
    vm_changes_a_day: int = 4 * (160 + 1_700)
    feed_items_s: float = 1.9
    daemon_bytes_s: float = 2_000
    core_percent: float = 3.1
    memory_bytes: float = 32e6
    spread_ms: float = 7_000


def make_members(target: Target) -> list[Member]:
    """Return the members at the target size, distributed evenly over the zones."""
    members = []
    for number in range(target.daemons):
        zone = number % target.zones
        region = zone % target.regions
        members.append(Member(f"entry-{number:04}", f"zone-{zone}", f"region-{region}", "", ""))
    return members


def measure_overlay(members: list[Member]) -> dict:
    """Return the degrees and the depth of the overlay chosen by `choose_links`."""
    links = {member.name: choose_links(member, members) for member in members}
    probes = [len(link.probed) for link in links.values()]
    gossip_peers = [len(link.gossip_peers) for link in links.values()]
    adjacent: dict[str, set[str]] = defaultdict(set)
    for name, link in links.items():
        adjacent[name] |= {one.name for one in link.gossip_peers}
    depths = [count_hops(adjacent, member.name) for member in members[:20]]
    return {
        "probes": {"mean": statistics.mean(probes), "max": max(probes)},
        "neighbours": {"mean": statistics.mean(gossip_peers), "max": max(gossip_peers)},
        "hops": max(depths),
    }


def count_hops(adjacent: dict[str, set[str]], origin: str) -> int:
    """Return the number of hops after which an item from `origin` has reached all members."""
    reached = {origin}
    frontier = {origin}
    hops = 0
    while frontier:
        frontier = {name for one in frontier for name in adjacent[one]} - reached
        reached |= frontier
        hops += bool(frontier)
    if len(reached) < len(adjacent):
        raise ValueError("the overlay does not reach everyone")
    return hops


def find_slopes(results: list[dict]) -> dict:
    """Return the mean of each slope over the runs and its spread (half the range, relative to the mean)."""
    values: dict[str, list[float]] = defaultdict(list)
    for result in results:
        for name, value in find_run_slopes(result).items():
            values[name].append(value)
    return {
        name: {
            "mean": statistics.mean(found),
            "spread_percent": 50
            * (max(found) - min(found))
            / max(abs(statistics.mean(found)), 1e-9),
        }
        for name, found in values.items()
    }


def find_run_slopes(result: dict) -> dict[str, float]:
    """Return the slopes measured in one run."""
    idle, gossip = result["idle"], result["news"]
    probes = idle["links"]
    copies = gossip["copies_per_item"] * gossip["items"]

    def grown(name: str) -> float:
        idle_growth = idle[name]["mean"] * gossip["span_s"]
        return max(gossip["grown"][name] - idle_growth, 0) / copies

    slopes = {
        "messages_per_probe": (idle["messages_out"]["mean"] + idle["messages_in"]["mean"]) / probes,
        "bytes_per_probe": (idle["bytes_out"]["mean"] + idle["bytes_in"]["mean"]) / probes,
        "segments_per_probe": idle["segments"]["mean"] / probes,
        "processor_ms_per_probe": idle["processor_ms"]["mean"] / probes,
        "copies_per_neighbour": gossip["copies_per_item"] / idle["neighbours"],
        "overhead_bytes_per_copy": (grown("bytes_out") + grown("bytes_in")) / 2
        - gossip["item_bytes"],
        "segments_per_copy": grown("segments"),
        "processor_ms_per_copy": grown("processor_ms"),
        "reach_ms": gossip["reach_ms"]["median"],
        "bytes_per_stream": idle["added_bytes"] / idle["streams"],
        "member_bytes": result["held"]["member_bytes"],
        "item_bytes": result["held"]["item_bytes"],
        "detection_ms": result["detection"]["max_ms"],
    }
    if "heal" in result:
        heal = result["heal"]
        slopes["heal_bytes_per_member"] = heal["bytes_out"] / heal["frozen"]
    return slopes


def extrapolate(slopes: dict, eager_slopes: dict, target: Target | None = None) -> dict:
    """Return the cost of control traffic per daemon at the target size.

    `eager_slopes` are those of items sent in full over every link, as small items are.
    """
    target = target or Target()
    overlay = measure_overlay(make_members(target))
    slope = {name: value["mean"] for name, value in slopes.items()}
    eager = {name: value["mean"] for name, value in eager_slopes.items()}
    eager_copies = overlay["neighbours"]["mean"] * eager["copies_per_neighbour"]
    zone_share = 1 / target.zones
    changes_s = target.changes_a_day / SECONDS_A_DAY
    members_s = target.member_changes_a_day / SECONDS_A_DAY
    vms_s = target.vm_changes_a_day / SECONDS_A_DAY * zone_share
    parts = {
        "heartbeats": compute_heartbeat_cost(slope, overlay["probes"]["mean"]),
        "configuration": compute_flow_cost(slope, changes_s, target.change_bytes),
        "members": compute_flow_cost(eager, members_s * eager_copies, MEMBER_BYTES),
        "vms": compute_flow_cost(slope, vms_s, VM_BYTES),
        "feed": compute_flow_cost(eager, target.feed_items_s * eager_copies, FEED_BYTES),
    }
    stored_members = target.daemons + target.member_changes_a_day / 12
    memory_bytes = (
        slope["bytes_per_stream"] * overlay["neighbours"]["mean"]
        + slope["member_bytes"] * stored_members
        + slope["item_bytes"] * target.runners * zone_share
    )
    return {
        "overlay": overlay,
        "eager_copies": eager_copies,
        "parts": parts,
        "bytes_s": sum(part["bytes_s"] for part in parts.values()),
        "wire_bytes_s": sum(part["wire_bytes_s"] for part in parts.values()),
        "core_percent": sum(part["core_percent"] for part in parts.values()),
        "busiest_heartbeats": compute_heartbeat_cost(slope, overlay["probes"]["max"]),
        "memory_bytes": memory_bytes,
    }


def compute_heartbeat_cost(slope: dict, probes: float) -> dict:
    """Return bytes and processor time per second for heartbeats with `probes` members."""
    bytes_s = slope["bytes_per_probe"] * probes
    headers = slope["segments_per_probe"] * probes * SEGMENT_HEADER_BYTES
    return {
        "bytes_s": bytes_s,
        "wire_bytes_s": bytes_s + headers,
        "core_percent": slope["processor_ms_per_probe"] * probes / 10,
    }


def compute_flow_cost(slope: dict, copies_s: float, size_bytes: float) -> dict:
    """Return bytes and processor time per second for a flow of items, incoming and outgoing."""
    bytes_s = 2 * copies_s * (size_bytes + slope["overhead_bytes_per_copy"])
    headers = copies_s * slope["segments_per_copy"] * SEGMENT_HEADER_BYTES
    return {
        "bytes_s": bytes_s,
        "wire_bytes_s": bytes_s + headers,
        "core_percent": copies_s * slope["processor_ms_per_copy"] / 10,
    }


def print_target(slopes: dict, target: dict) -> None:
    """Print the slopes and the extrapolated cost."""
    for name, value in slopes.items():
        print(f"  {name:26} {value['mean']:10.3f}  spread {value['spread_percent']:.0f} %")
    if not target:
        return
    print(f"  overlay at the target: {target['overlay']}")
    for name, part in target["parts"].items():
        print(
            f"  {name:14} {part['bytes_s']:7.0f} B/s, {part['wire_bytes_s']:7.0f} B/s with headers, "
            f"{part['core_percent']:.3f} % of a core"
        )
    print(
        f"  all            {target['bytes_s']:7.0f} B/s, {target['wire_bytes_s']:7.0f} B/s with "
        f"headers, {target['core_percent']:.3f} % of a core, "
        f"{target['memory_bytes'] / MEGABYTE:.1f} MB"
    )
