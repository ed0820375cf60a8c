"""Status, leases and copy records of controllers."""

import json
from typing import Any

from features.support.calls import get_json
from features.support.cluster import Cluster
from features.support.processes import wait_until


def read_status(cluster: Cluster, name: str) -> dict[str, Any]:
    """Return a controller's status page."""
    return get_json(cluster.get(name).addresses["control"], "/status")


def is_holder(cluster: Cluster, name: str) -> bool:
    """Return whether a controller reports that it holds the lease."""
    return read_status(cluster, name)["lease"]["held"]


def wait_for_holder(cluster: Cluster, name: str) -> None:
    """Wait until the controller holds the lease of its zone."""
    wait_until(lambda: is_holder(cluster, name), f"{name} holds the lease")


def read_lease(cluster: Cluster, zone: str) -> dict[str, Any]:
    """Return the lease stored by the platform, bypassing injected faults."""
    address = cluster.platform.addresses["http"]
    items = get_json(address, f"/standin/objects/leases?prefix={zone}")["items"]
    return items[0]


def read_copies(cluster: Cluster, target: str) -> list[dict[str, Any]]:
    """Return the platform's records of the copies of a target, bypassing injected faults."""
    address = cluster.platform.addresses["http"]
    items = get_json(address, f"/standin/objects/copies?prefix={target}")["items"]
    return list(items[0]["value"]["copies"].values()) if items else []


def count_events(cluster: Cluster, name: str, event: str) -> int:
    """Return the number of times that a program logged an event."""
    lines = cluster.get(name).log_file.read_text().splitlines()
    events = [json.loads(line).get("event") for line in lines if line.startswith("{")]
    return events.count(event)
