"""Which servers that were taken for ended go on, by the heartbeats of their entries.

An answer by the name of the server shows this only on a connection from before the end: the next process may have
the same name, and answers by it before its first heartbeat has been read.
"""

import math
from collections.abc import Callable, Mapping

from hemlockswitch.version.backend import BackendServer

MIN_HEARTBEATS = 2
"""Number of heartbeats after the end that show that the process goes on; one may have been on its way."""


class Survivors:
    """Finds servers whose entries go on after their ends were recorded.

    Parameters
    ==========

    find_live : returns the registered server of an incarnation, or None.
    get_confirmed_ms : returns the time as of which the registry is known.

    Examples
    ========

    >>> heartbeats = iter([7, 8, 9])
    >>> find_live = lambda name: BackendServer(name, "z1", "", "llm", heartbeat=next(heartbeats))
    >>> survivors = Survivors(find_live, lambda: 200.0)
    >>> [survivors.find({"s1": 100.0}) for _ in range(3)]
    [[], [], ['s1']]
    """

    def __init__(
        self,
        find_live: Callable[[str], BackendServer | None],
        get_confirmed_ms: Callable[[], float],
    ) -> None:
        self._find_live = find_live
        self._get_confirmed_ms = get_confirmed_ms
        self._first_heartbeats: dict[str, float] = {}  # known as of after the end

    def find(self, ended: Mapping[str, float]) -> list[str]:
        """Return the incarnations that go on.

        Parameters
        ==========

        ended : when the end of each incarnation was recorded.
        """
        confirmed_ms = self._get_confirmed_ms()
        self._first_heartbeats = {
            name: first for name, first in self._first_heartbeats.items() if name in ended
        }
        found = []
        for incarnation, ended_ms in ended.items():
            server = self._find_live(incarnation)
            if server is None:
                self._first_heartbeats.pop(incarnation, None)
                continue
            first = self._first_heartbeats.get(incarnation)
            if first is None:
                if confirmed_ms >= ended_ms:
                    self._first_heartbeats[incarnation] = server.heartbeat
            elif server.heartbeat < first:
                # Counts begin anew in another process, which states no start of its own.
                self._first_heartbeats[incarnation] = math.inf
            elif server.heartbeat >= first + MIN_HEARTBEATS:
                found.append(incarnation)
        return found
