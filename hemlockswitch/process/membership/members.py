"""Members of the system, each a daemon, and their encoding as gossip items."""

from dataclasses import dataclass
from enum import IntEnum

from hemlockswitch.process.gossip.state import GossipItem

MEMBER_PREFIX = "member/"
STATES_PER_INCARNATION = 4


class MemberState(IntEnum):
    """The reported state of a daemon. Within one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclass(frozen=True)
class Member:
    """A daemon.

    Parameters
    ==========

    name : unique in the system.
    zone, region : where it runs.
    peer_address : its address for other daemons.
    caller_address : its address for callers; empty if it does not serve callers.
    state : its reported state.
    incarnation : increased only by the daemon itself; a higher incarnation overrides any state of
        a lower one.
    """

    name: str
    zone: str
    region: str
    peer_address: str
    caller_address: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the daemon counts as running."""
        return self.state in LIVE_STATES

    @classmethod
    def from_item(cls, item: GossipItem) -> "Member":
        """Return the member that a gossip item describes.

        Examples
        ========

        >>> member = Member("a", "zone", "", "127.0.0.1:1", "", MemberState.SUSPECT, 7)
        >>> Member.from_item(member.to_item()) == member
        True
        """
        incarnation, state = divmod(item.version, STATES_PER_INCARNATION)
        name = item.key.removeprefix(MEMBER_PREFIX)
        # A later version may add fields at the end.
        zone, region, peer_address, caller_address, *_ = item.value
        state = MemberState(state)
        return cls(name, zone, region, peer_address, caller_address, state, incarnation)

    def to_item(self) -> GossipItem:
        """Return the gossip item that describes this member."""
        return GossipItem(
            MEMBER_PREFIX + self.name,
            self.incarnation * STATES_PER_INCARNATION + self.state,
            [self.zone, self.region, self.peer_address, self.caller_address],
            tombstone=not self.is_live,
        )
