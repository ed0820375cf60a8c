"""The messages and the gossip item about revisions."""

from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.process.gossip.state import GossipItem

REVISION_KEY = "revision"


@dataclass(frozen=True)
class RevisionItem:
    """The value of the gossip item about a revision.

    Parameters
    ==========

    head : the revision's value without its file.
    holder : peer address of a daemon that has the revision's content.
    base_number, base_digest : the revision to which `changes` apply.
    changes : None if there are none or they are too large for gossip.
    """

    head: dict[str, Any]
    holder: str
    base_number: int
    base_digest: str
    changes: list[Any] | None

    @classmethod
    def from_item(cls, item: GossipItem | None) -> "RevisionItem | None":
        """Decode an item; return None for no item and for one in a different format."""
        try:
            return None if item is None else cls(*item.value)
        except TypeError:
            return None

    def to_item(self, number: int) -> GossipItem:
        """Return the gossip item with this value."""
        value = [self.head, self.holder, self.base_number, self.base_digest, self.changes]
        return GossipItem(REVISION_KEY, number, value)


@register_message("revision-question")
@dataclass(frozen=True)
class RevisionQuery:
    """Requests the revision in force at the receiver if it is newer than `number`.

    Parameters
    ==========

    number, digest : the revision that the sender has; 0 and empty for none.
    whole : whether to send the complete file if the difference is not available.
    """

    number: int
    digest: str
    whole: bool


@register_message("revision-answer")
@dataclass(frozen=True)
class RevisionReply:
    """The reply to `RevisionQuery`: a difference, a complete file or only a head.

    Parameters
    ==========

    head : the revision's value without its file; empty if the replying daemon has none.
    changes : from the requesting daemon's revision; None if they are not available.
    file : the tree of the complete file; None if it is not sent.
    """

    head: dict[str, Any]
    changes: list[Any] | None = None
    file: dict[str, Any] | None = None
