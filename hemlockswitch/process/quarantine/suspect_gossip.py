"""Gossip between entry daemons about the contents that crash backend servers.

Each daemon publishes its record of a content under its own key. Gossip is sent at once, lost items are
repaired by comparing digests, and daemons that start receive all items. The quarantine merges the records
of several daemons.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.suspects import SUSPECT_RETENTION_MS, SuspectFields, SuspectRecord

SUSPECT_PREFIX = "suspect/"


class SuspectGossip:
    """Exchanges records of suspect contents with the other entry daemons.

    Parameters
    ==========

    name : name of this daemon.
    gossip_state : the local gossip state.
    quarantine : this daemon's records.
    is_isolated : returns whether this daemon receives messages from no peer.
    clock : the time source.
    """

    def __init__(
        self,
        name: str,
        gossip_state: GossipState,
        quarantine: Quarantine,
        is_isolated: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._name = name
        self._gossip_state = gossip_state
        self._quarantine = quarantine
        self._is_isolated = is_isolated
        self._clock = clock
        gossip_state.add_listener(SUSPECT_PREFIX, self._apply_item)

    def publish_changes(self) -> None:
        """Publish changed records, and withdraw expired ones."""
        for record in self._quarantine.pop_unsent():
            key = f"{SUSPECT_PREFIX}{record.fingerprint}/{self._name}"
            self._publish(key, record.list_fields())
        oldest_ms = self._clock.wall_ms() - SUSPECT_RETENTION_MS
        for item in self._gossip_state.list_items(SUSPECT_PREFIX):
            if item.version < oldest_ms and not item.tombstone:
                self._publish(item.key, None)

    def _publish(self, key: str, fields: SuspectFields | None) -> None:
        """Publish an item with a version above all earlier ones of its key, even if the clock was set back."""
        current = self._gossip_state.find(key)
        version = max(self._clock.wall_ms(), current.version + 1 if current is not None else 0)
        self._gossip_state.record(GossipItem(key, version, fields, tombstone=fields is None))

    def repair(self) -> None:
        """Do nothing: the gossip protocol itself repairs differences between daemons."""

    def has_differing_peer(self) -> bool:
        """Return False: the gossip protocol itself repairs differences between daemons."""
        return False

    def has_disconnected_peer(self) -> bool:
        """Return whether this daemon receives messages from no peer."""
        return self._is_isolated()

    def _apply_item(self, item: GossipItem) -> None:
        if item.tombstone or item.key.endswith(f"/{self._name}"):
            return
        try:
            self._quarantine.merge(SuspectRecord.from_fields(item.value))
        except (TypeError, ValueError) as error:
            log_event(Event.NEWS_UNREADABLE, "warning", key=item.key, detail=repr(error))
