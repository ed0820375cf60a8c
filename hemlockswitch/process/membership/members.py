"""Members of the system: one daemon each, and their form as news items."""

from dataclasses import dataclass
from enum import IntEnum

from hemlockswitch.process.news.board import NewsItem

MEMBER_PREFIX = "member/"
STATES_PER_INCARNATION = 4


class MemberState(IntEnum):
    """What is known of a daemon. Within one incarnation the higher state wins."""

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
    peer_address : where other daemons reach it.
    caller_address : where callers reach it.
    state : what is known of it.
    incarnation : raised only by the daemon itself; a higher one overrides any state of a lower.
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
    def from_item(cls, item: NewsItem) -> "Member":
        """Return the member that a news item describes.

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

    def to_item(self) -> NewsItem:
        """Return the news item that describes this member."""
        return NewsItem(
            MEMBER_PREFIX + self.name,
            self.incarnation * STATES_PER_INCARNATION + self.state,
            [self.zone, self.region, self.peer_address, self.caller_address],
            tombstone=not self.is_live,
        )
