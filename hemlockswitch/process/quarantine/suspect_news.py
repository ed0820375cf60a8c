"""What entry daemons tell one another of the requests under which backend servers end: as news.

Each daemon publishes what it knows of a content under a key of its own; news spread at once, are repaired
by digests, and are learned by daemons that start. What several daemons know is merged by the quarantine.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.news.board import NewsBoard, NewsItem
from hemlockswitch.request.quarantine import LIFE_MS, Quarantine, SuspectFields, SuspectRecord

SUSPECT_PREFIX = "suspect/"


class SuspectNews:
    """Publishes and takes what entry daemons know of these contents.

    Parameters
    ==========

    name : this daemon.
    board : the news.
    quarantine : what this daemon knows.
    is_isolated : returns whether it hears from nobody.
    clock : the time.
    """

    def __init__(
        self,
        name: str,
        board: NewsBoard,
        quarantine: Quarantine,
        is_isolated: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._name = name
        self._board = board
        self._quarantine = quarantine
        self._is_isolated = is_isolated
        self._clock = clock
        board.add_listener(SUSPECT_PREFIX, self._learn)

    def note_change(self) -> None:
        """Publish what has changed here, and withdraw what is over."""
        for record in self._quarantine.pop_untold():
            key = f"{SUSPECT_PREFIX}{record.fingerprint}/{self._name}"
            self._publish(key, record.list_fields())
        oldest_ms = self._clock.wall_ms() - LIFE_MS
        for item in self._board.list_items(SUSPECT_PREFIX):
            if item.version < oldest_ms and not item.tombstone:
                self._publish(item.key, None)

    def _publish(self, key: str, fields: SuspectFields | None) -> None:
        """Publish an item that is newer than all of its key, also after a step of the clock."""
        known = self._board.find(key)
        version = max(self._clock.wall_ms(), known.version + 1 if known is not None else 0)
        self._board.learn(NewsItem(key, version, fields, tombstone=fields is None))

    def repair(self) -> None:
        """Do nothing: news that differ between daemons are repaired where they are spread."""

    def differ(self) -> bool:
        """Return False, for the same reason."""
        return False

    def are_missed(self) -> bool:
        """Return whether this daemon hears from nobody."""
        return self._is_isolated()

    def _learn(self, item: NewsItem) -> None:
        if item.tombstone or item.key.endswith(f"/{self._name}"):
            return
        try:
            self._quarantine.take(SuspectRecord.from_fields(item.value))
        except (TypeError, ValueError) as error:
            log_event(Event.NEWS_UNREADABLE, "warning", key=item.key, detail=repr(error))
