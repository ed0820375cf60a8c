"""The descriptors that this process may open, and how many of them callers may use."""

import math
import os
import resource

CALLERS_SHARE = 0.4
"""Share of the descriptors for the connections of callers. A request in progress needs a second one, for the
connection to its server. What remains is for other gateways, the object service, pages and files."""
REFUSED_SHARE = 0.125
"""Share of the connections of callers that is kept for those that are refused."""
IDLE_SHARE = 0.1
"""Share of the descriptors for idle connections to servers."""
DESCRIPTORS_DIRECTORY = "/proc/self/fd"


def find_descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft


def count_descriptors() -> int:
    """Return the number of descriptors that are open."""
    return len(os.listdir(DESCRIPTORS_DIRECTORY))


def find_caller_limit() -> int | None:
    """Return how many connections callers may have open at a time; None if there is no limit."""
    limit = find_descriptor_limit()
    return None if limit == resource.RLIM_INFINITY else max(int(limit * CALLERS_SHARE), 2)


def find_idle_limit() -> float:
    """Return how many idle connections to servers may be open."""
    limit = find_descriptor_limit()
    return math.inf if limit == resource.RLIM_INFINITY else int(limit * IDLE_SHARE)


def find_session_limit(max_connections: int | None) -> float:
    """Return how many of the connections of callers may be served at a time."""
    if max_connections is None:
        return math.inf
    return max_connections - max(int(max_connections * REFUSED_SHARE), 1)
