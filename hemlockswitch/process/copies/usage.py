"""The controller's queries to the entry daemons for their use of backend servers.

The controller queries one daemon, which queries all other daemons that it counts as running. A backend
server is empty if each of them has received that it is leaving and has no request in progress there.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

import gevent

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.errors import ErrorKind, PeerError

QUERY_TIMEOUT_MS = 1_000
MAX_CACHED_DAEMONS = 8


@register_message("usage_question")
@dataclass(frozen=True)
class UsageQuestion:
    """Query for the use of some backend servers by one daemon, or through it by all."""

    names: list[str]
    of_all: bool = False


@register_message("usage")
@dataclass(frozen=True)
class Usage:
    """The use of the queried backend servers.

    Parameters
    ==========

    in_flight : requests in progress by server name.
    closed : servers that get no new work from any daemon that answered.
    holding_ms : mean time for which a request occupies its slot, by model or service.
    refused : requests refused for lack of backend capacity since the daemons started, by model or
        service.
    silent : daemons that count as running and did not answer.
    answered : peer addresses of the daemons that answered.
    """

    in_flight: dict[str, int]
    closed: list[str]
    holding_ms: dict[str, float]
    refused: dict[str, int]
    silent: list[str]
    answered: list[str]

    def is_empty(self, name: str) -> bool:
        """Return whether all daemons confirm that the server has no requests and gets no new ones."""
        return not self.silent and name in self.closed and self.in_flight.get(name, 0) == 0


@register_message("planned_stop")
@dataclass(frozen=True)
class PlannedStop:
    """Announces that backend servers will be stopped, so that no daemon sends them new work."""

    names: list[str]
    to_all: bool = False


@register_message("planned_stop_learned")
@dataclass(frozen=True)
class PlannedStopLearned:
    """The answer to a planned stop."""


class UsedBackends(Protocol):
    """The interface that the answering daemon needs of its directory of backend servers."""

    def count_in_flight(self, name: str) -> int:
        """Return the number of this daemon's requests in progress at the server."""

    def is_closed(self, name: str) -> bool:
        """Return whether this daemon has permanently stopped sending new work to the server."""

    def close(self, name: str) -> None:
        """Permanently send no new work to the server; its requests in progress continue."""

    def get_service_ms(self) -> dict[str, float]:
        """Return the mean time for which a request occupies its slot, by model or service."""


def combine_usage(answers: Iterable[Usage]) -> Usage:
    """Return the combined use by several daemons.

    Examples
    ========

    >>> one = Usage({"llm-1": 1}, ["llm-1"], {"m": 200.0}, {}, [], ["127.0.0.1:7001"])
    >>> other = Usage({"llm-1": 0}, [], {"m": 400.0}, {}, [], ["127.0.0.1:7002"])
    >>> combine_usage([one, other]).in_flight, combine_usage([one, other]).closed
    ({'llm-1': 1}, [])
    >>> combine_usage([one, other]).holding_ms
    {'m': 300.0}
    """
    found = list(answers)
    in_flight: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    holding: dict[str, list[float]] = {}
    for answer in found:
        in_flight.update(answer.in_flight)
        refused.update(answer.refused)
        for target, value_ms in answer.holding_ms.items():
            holding.setdefault(target, []).append(value_ms)
    closed = set.intersection(*(set(answer.closed) for answer in found))
    return Usage(
        dict(in_flight),
        sorted(closed),
        {target: sum(values) / len(values) for target, values in holding.items()},
        dict(refused),
        [name for answer in found for name in answer.silent],
        [name for answer in found for name in answer.answered],
    )


class UsageReporter:
    """Answers usage queries in an entry daemon, and queries its peers on behalf of a controller.

    Parameters
    ==========

    network : the daemon's peer network, in which the handlers are registered.
    backends : the daemon's directory of backend servers.
    count_refused : returns the requests refused for lack of backend capacity, by model or service.
    list_peers : returns the names and peer addresses of the other running daemons.
    """

    def __init__(
        self,
        network: PeerNetwork,
        backends: UsedBackends,
        count_refused: Callable[[], dict[str, int]],
        list_peers: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._count_refused = count_refused
        self._network = network
        self._backends = backends
        self._list_peers = list_peers
        network.handle(UsageQuestion, self._answer)
        network.handle(PlannedStop, self._apply_stop)

    def _answer(self, _: str, question: UsageQuestion) -> Usage:
        own = self._report(question.names)
        if not question.of_all:
            return own
        single = replace(question, of_all=False)
        answers = self._query_peers(single)
        others = [
            answer if isinstance(answer, Usage) else _report_unresponsive(name, question.names)
            for name, answer in answers.items()
        ]
        return combine_usage([own, *others])

    def _report(self, names: list[str]) -> Usage:
        in_flight = {name: self._backends.count_in_flight(name) for name in names}
        closed = [name for name in names if self._backends.is_closed(name)]
        holding_ms, refused = self._backends.get_service_ms(), self._count_refused()
        return Usage(in_flight, closed, holding_ms, refused, [], [self._network.address])

    def _apply_stop(self, _: str, stop: PlannedStop) -> PlannedStopLearned:
        for name in stop.names:
            self._backends.close(name)
        if stop.to_all:
            self._query_peers(replace(stop, to_all=False))
        return PlannedStopLearned()

    def _query_peers(self, question: UsageQuestion | PlannedStop) -> dict[str, Any]:
        """Return the answers of all other running daemons by name; None for a missing answer."""
        tasks = {
            name: gevent.spawn(self._query, address, question)
            for name, address in self._list_peers()
        }
        gevent.joinall(list(tasks.values()))
        return {name: task.value for name, task in tasks.items()}

    def _query(self, address: str, question: UsageQuestion | PlannedStop) -> Any:
        try:
            return self._network.request(address, question, QUERY_TIMEOUT_MS)
        except PeerError:
            return None


def _report_unresponsive(name: str, names: list[str]) -> Usage:
    return Usage({}, list(names), {}, {}, [name], [])


class EntryDaemonClient:
    """Queries the first entry daemon that answers on behalf of the controller.

    Explanation
    ===========

    All daemons in the settings may have been replaced, so the daemons that answered last are cached and
    queried as well.

    Parameters
    ==========

    network : the controller's peer network.
    seeds : peer addresses of daemons, the nearest first.
    """

    def __init__(self, network: PeerNetwork, seeds: Sequence[str]) -> None:
        self._network = network
        self._seeds = list(seeds)
        self._answered: list[str] = []

    def query_usage(self, names: Iterable[str]) -> Usage:
        """Return the use of the named servers by all running daemons.

        Raises
        ======

        PeerError : no daemon answered.
        """
        usage = self._query_any(UsageQuestion(sorted(names), of_all=True))
        self._answered = usage.answered[:MAX_CACHED_DAEMONS]
        return usage

    def announce_stop(self, names: Iterable[str]) -> None:
        """Announce to every daemon that the named servers will be stopped."""
        self._query_any(PlannedStop(sorted(names), to_all=True))

    def _query_any(self, question: UsageQuestion | PlannedStop) -> Any:
        for address in dict.fromkeys(self._seeds + self._answered):
            try:
                return self._network.request(address, question, QUERY_TIMEOUT_MS * 2)
            except PeerError:
                continue
        raise PeerError(ErrorKind.PEER_UNAVAILABLE, "no entry daemon answered")
