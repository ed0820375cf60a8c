"""Fetches announced gossip items, each once, from a peer that announced it."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.gossip.messages import Fetch, GossipItems, GossipLimits, Have


@dataclass
class Retrieval:
    """Items being fetched: their versions, and the holders that have not been asked yet."""

    versions: dict[str, int]
    holders: deque[str]


class Retrievals:
    """Fetches announced items that this daemon lacks.

    Explanation
    ===========

    An item is requested from one holder at a time, so that its content is transferred once
    regardless of the number of announcements. If a holder does not answer, the next one that
    announced the item is asked; if none is left, a later comparison of digests brings the item.

    Parameters
    ==========

    lacks : returns whether this version of a key, or a later one, is missing.
    receive : called with the holder and the received items.
    """

    def __init__(
        self,
        network: PeerNetwork,
        limits: GossipLimits,
        lacks: Callable[[str, int], bool],
        receive: Callable[[str, GossipItems], None],
    ) -> None:
        self._network = network
        self._limits = limits
        self._lacks = lacks
        self._receive = receive
        self._in_progress: dict[str, Retrieval] = {}
        network.handle(Have, self._handle_announcement, runs_inline=True)

    def _handle_announcement(self, sender: str, message: Have) -> None:
        wanted: dict[str, int] = {}
        for key, version in message.held:
            retrieval = self._in_progress.get(key)
            if retrieval is not None and retrieval.versions[key] >= version:
                retrieval.holders.append(sender)
            elif self._lacks(key, version):
                wanted[key] = version
        if wanted:
            self._start(sender, wanted)

    def _start(self, sender: str, wanted: dict[str, int]) -> None:
        retrieval = Retrieval(wanted, deque([sender], maxlen=self._limits.max_fetch_keys))
        for key in wanted:
            self._in_progress[key] = retrieval
        gevent.spawn(self._run, retrieval)

    def _run(self, retrieval: Retrieval) -> None:
        try:
            missing = list(retrieval.versions)
            while missing and retrieval.holders:
                self._fetch_once(retrieval.holders.popleft(), missing)
                versions = retrieval.versions
                missing = [key for key in missing if self._lacks(key, versions[key])]
        finally:
            for key in retrieval.versions:
                if self._in_progress.get(key) is retrieval:
                    del self._in_progress[key]

    def _fetch_once(self, holder: str, keys: Iterable[str]) -> None:
        try:
            self.fetch(holder, list(keys))
        except PeerError:
            # `_run` asks the next holder.
            return

    def fetch(self, holder: str, keys: list[str]) -> None:
        """Fetch the items of these keys from one peer.

        Raises
        ======

        PeerError : the peer did not answer.
        """
        pending = keys
        while pending:
            requested, remaining = (
                pending[: self._limits.max_fetch_keys],
                pending[self._limits.max_fetch_keys :],
            )
            reply = self._network.request(holder, Fetch(requested), self._limits.request_timeout_ms)
            self._receive(holder, reply)
            received = {row[0] for row in reply.items}
            # A reply is truncated at its limit in bytes; an empty one means that the holder has
            # none of the requested items.
            pending = (
                [key for key in requested if key not in received] + remaining
                if received
                else remaining
            )
