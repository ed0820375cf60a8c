"""Fetches announced news items, each once, from whoever announced it."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.news.messages import Fetch, Have, News, SpreadBounds


@dataclass
class Retrieval:
    """Items under way: their versions, and the peers that hold them and were not asked yet."""

    versions: dict[str, int]
    holders: deque[str]


class Retrievals:
    """Fetches what was announced and is lacking.

    Explanation
    ===========

    An item is asked for at one holder at a time, so that its content comes once whatever the
    number of announcements. When a holder does not answer, the next one that announced it is
    asked; when none is left, the comparison of digests brings the item later.

    Parameters
    ==========

    lacks : whether the board lacks this version of a key.
    receive : called with the holder and the items that came.
    """

    def __init__(
        self,
        network: PeerNetwork,
        bounds: SpreadBounds,
        lacks: Callable[[str, int], bool],
        receive: Callable[[str, News], None],
    ) -> None:
        self._network = network
        self._bounds = bounds
        self._lacks = lacks
        self._receive = receive
        self._under_way: dict[str, Retrieval] = {}
        network.handle(Have, self._hear, quick=True)

    def _hear(self, sender: str, message: Have) -> None:
        wanted: dict[str, int] = {}
        for key, version in message.held:
            under_way = self._under_way.get(key)
            if under_way is not None and under_way.versions[key] >= version:
                under_way.holders.append(sender)
            elif self._lacks(key, version):
                wanted[key] = version
        if wanted:
            self._start(sender, wanted)

    def _start(self, sender: str, wanted: dict[str, int]) -> None:
        retrieval = Retrieval(wanted, deque([sender], maxlen=self._bounds.fetch_keys))
        for key in wanted:
            self._under_way[key] = retrieval
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
                if self._under_way.get(key) is retrieval:
                    del self._under_way[key]

    def _fetch_once(self, holder: str, keys: Iterable[str]) -> None:
        try:
            self.fetch(holder, list(keys))
        except PeerError:
            # The next holder is asked.
            return

    def fetch(self, holder: str, keys: list[str]) -> None:
        """Fetch these keys from one peer.

        Raises
        ======

        PeerError : it did not answer.
        """
        pending = keys
        while pending:
            asked, rest = pending[: self._bounds.fetch_keys], pending[self._bounds.fetch_keys :]
            news = self._network.ask(holder, Fetch(asked), self._bounds.ask_timeout_ms)
            self._receive(holder, news)
            got = {row[0] for row in news.items}
            # A reply is cut at its bound in bytes; an empty one says that nothing more is held.
            pending = [key for key in asked if key not in got] + rest if got else rest
