"""What daemons say to one another about revisions."""

from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.process.news.board import NewsItem

REVISION_KEY = "revision"


@dataclass(frozen=True)
class RevisionNews:
    """The value of the news item about a revision.

    Parameters
    ==========

    head : the revision's value without its file.
    holder : peer address of a daemon that has the content.
    base_number, base_digest : the revision to which `changes` apply.
    changes : None where they are too large for the news.
    """

    head: dict[str, Any]
    holder: str
    base_number: int
    base_digest: str
    changes: list[Any] | None

    @classmethod
    def from_item(cls, item: NewsItem | None) -> "RevisionNews | None":
        """Return what an item says; None for no item and for one of another version."""
        try:
            return None if item is None else cls(*item.value)
        except TypeError:
            return None

    def to_item(self, number: int) -> NewsItem:
        """Return the item that passes this on."""
        value = [self.head, self.holder, self.base_number, self.base_digest, self.changes]
        return NewsItem(REVISION_KEY, number, value)


@register_message("revision-question")
@dataclass(frozen=True)
class RevisionQuestion:
    """Asks for whatever is newer than `number`.

    Parameters
    ==========

    number, digest : the revision that the asker has; 0 and empty for none.
    whole : whether whole content is wanted when no difference is known.
    """

    number: int
    digest: str
    whole: bool


@register_message("revision-answer")
@dataclass(frozen=True)
class RevisionAnswer:
    """A revision as a difference, as a whole, or only as its number.

    Parameters
    ==========

    head : the revision's value without its file; empty when the answerer has none.
    changes : from the revision of the asker; None when that is not known.
    file : the whole file's tree; None when it is not sent.
    """

    head: dict[str, Any]
    changes: list[Any] | None = None
    file: dict[str, Any] | None = None
