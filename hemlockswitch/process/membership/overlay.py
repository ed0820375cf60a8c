"""The overlay of links for probes and gossip: dense within a zone, sparse between zones.

Every daemon computes its links from its own view of the members; nothing is negotiated. Within a
zone the members form `RINGS` rings, each with a different stable order, and each daemon probes its
successor on every ring. Any two zones of a region, and any two regions, are linked by a few pairs
of members chosen by rendezvous hashing. When a member joins or leaves, only the adjacent links
change.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from hemlockswitch.core.identifiers import hash_stable, rank_rendezvous
from hemlockswitch.process.membership.members import Member

RINGS = 3
ZONE_LINKS = 2
REGION_LINKS = 3


@dataclass(frozen=True)
class Links:
    """A daemon's links.

    Parameters
    ==========

    probed : members that this daemon probes.
    gossip_peers : members to which it sends gossip: those that it probes and, within the zone, those
        that probe it.
    """

    probed: tuple[Member, ...] = ()
    gossip_peers: tuple[Member, ...] = ()


def choose_links(own: Member, members: Iterable[Member]) -> Links:
    """Return the links of `own` among `members`.

    Examples
    ========

    >>> people = [Member(f"d{n}", "hall", "", "", "") for n in range(20)]
    >>> links = choose_links(people[0], people)
    >>> 1 <= len(links.probed) <= RINGS and len(links.gossip_peers) <= 2 * RINGS
    True
    """
    zones: dict[str, list[Member]] = defaultdict(list)
    regions: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        zones[member.zone].append(member)
        regions[member.region].append(member)
    successors, predecessors = _choose_ring_links(own, zones[own.zone])
    outside = _choose_pair_links(own, own.zone, _select_region(zones, own.region), ZONE_LINKS)
    outside += _choose_pair_links(own, own.region, regions, REGION_LINKS)
    return Links(
        _remove_duplicates(successors + outside),
        _remove_duplicates(successors + predecessors + outside),
    )


def _choose_ring_links(own: Member, zone: list[Member]) -> tuple[list[Member], list[Member]]:
    successors: list[Member] = []
    predecessors: list[Member] = []
    if len(zone) < 2:
        return successors, predecessors
    for ring in range(RINGS):
        order = _order_ring(ring, zone)
        position = next(place for place, member in enumerate(order) if member.name == own.name)
        successors.append(order[(position + 1) % len(order)])
        predecessors.append(order[position - 1])
    return successors, predecessors


def _order_ring(ring: int, zone: list[Member]) -> list[Member]:
    return sorted(zone, key=lambda member: hash_stable(f"{ring}\0{member.name}"))


def _select_region(zones: dict[str, list[Member]], region: str) -> dict[str, list[Member]]:
    return {zone: here for zone, here in zones.items() if here and here[0].region == region}


def _choose_pair_links(
    own: Member, area: str, areas: dict[str, list[Member]], count: int
) -> list[Member]:
    links = []
    own_names = [member.name for member in areas.get(area, [])]
    for other, members in areas.items():
        if other == area:
            continue
        pair = "\0".join(sorted((area, other)))
        by_name = {member.name: member for member in members}
        ours = rank_rendezvous(pair, own_names)[:count]
        theirs = rank_rendezvous(pair, by_name)[:count]
        longest = max(len(ours), len(theirs))
        for rank in range(longest):
            # The shorter list is reused cyclically, so that a small zone gets all its links too.
            if ours[rank % len(ours)] == own.name:
                links.append(by_name[theirs[rank % len(theirs)]])
    return links


def _remove_duplicates(members: list[Member]) -> tuple[Member, ...]:
    return tuple({member.name: member for member in members}.values())
