"""What the entry daemons say of the backend servers they use, asked by the controller.

The controller asks one daemon, which asks all others that it counts as running. A backend server
is empty when each of them knows that it leaves and has no request in progress there.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

import gevent

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.news import NewsBoard, NewsItem

PLANNED_NOTICE_VERSION = 0
ASK_MS = 1_000


@register_message("usage_question")
@dataclass(frozen=True)
class UsageQuestion:
    """Asks for the use of some backend servers, of one daemon or through it of all."""

    names: list[str]
    of_all: bool = False


@register_message("usage")
@dataclass(frozen=True)
class Usage:
    """The use of the asked backend servers.

    Parameters
    ==========

    in_flight : requests in progress by server name.
    closed : names that get no new work from any daemon that answered.
    begun : requests begun since the daemons' start, by model or service.
    silent : daemons that count as running and did not answer.
    answered : daemons that answered.
    """

    in_flight: dict[str, int]
    closed: list[str]
    begun: dict[str, int]
    silent: list[str]
    answered: list[str]

    def is_empty(self, name: str) -> bool:
        """Return whether all daemons confirm that the server has and gets no work."""
        return not self.silent and name in self.closed and self.in_flight.get(name, 0) == 0


@register_message("planned_stop")
@dataclass(frozen=True)
class PlannedStop:
    """Says that backend servers will be stopped, so that no daemon gives them new work."""

    names: list[str]


@register_message("planned_stop_learned")
@dataclass(frozen=True)
class PlannedStopLearned:
    """The answer to a planned stop."""


class UsedBackends(Protocol):
    """What the answering daemon needs of its directory of backend servers."""

    def count_in_flight(self, name: str) -> int:
        """Return this daemon's requests in progress at the server."""

    def is_leaving(self, name: str) -> bool:
        """Return whether the server was ever learned to be leaving."""

    def count_begun(self) -> dict[str, int]:
        """Return the requests begun since the start, by model or service."""


def combine_usage(answers: Iterable[Usage]) -> Usage:
    """Return the use over several daemons.

    Examples
    ========

    >>> one = Usage({"llm-1": 1}, ["llm-1"], {"m": 2}, [], ["entry-1"])
    >>> other = Usage({"llm-1": 0}, [], {"m": 3}, [], ["entry-2"])
    >>> combine_usage([one, other])
    Usage(in_flight={'llm-1': 1}, closed=[], begun={'m': 5}, silent=[], answered=['entry-1', 'entry-2'])
    """
    total = Usage({}, [], {}, [], [])
    for number, answer in enumerate(answers):
        closed = answer.closed if number == 0 else _keep(total.closed, answer.closed)
        total = Usage(
            _add(total.in_flight, answer.in_flight),
            closed,
            _add(total.begun, answer.begun),
            total.silent + answer.silent,
            total.answered + answer.answered,
        )
    return total


def _keep(names: list[str], others: list[str]) -> list[str]:
    return [name for name in names if name in others]


def _add(counts: dict[str, int], others: dict[str, int]) -> dict[str, int]:
    return {key: counts.get(key, 0) + others.get(key, 0) for key in counts | others}


class UsageReporter:
    """The entry daemon's side: answers for itself, and asks the others on behalf of a controller.

    Parameters
    ==========

    name : this daemon.
    network : the daemon's peer network; the handlers are registered here.
    backends : its directory of backend servers.
    board : its news board; a planned stop becomes a notice without a deadline there.
    list_peers : names and peer addresses of the other running daemons.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        backends: UsedBackends,
        board: NewsBoard,
        list_peers: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._name = name
        self._network = network
        self._backends = backends
        self._board = board
        self._list_peers = list_peers
        network.handle(UsageQuestion, self._answer)
        network.handle(PlannedStop, self._learn_stop)

    def _answer(self, _: str, question: UsageQuestion) -> Usage:
        own = self._report(question.names)
        if not question.of_all:
            return own
        single = replace(question, of_all=False)
        tasks = [gevent.spawn(self._ask, *peer, single) for peer in self._list_peers()]
        gevent.joinall(tasks)
        return combine_usage([own, *(task.value for task in tasks)])

    def _report(self, names: list[str]) -> Usage:
        in_flight = {name: self._backends.count_in_flight(name) for name in names}
        closed = [name for name in names if self._backends.is_leaving(name)]
        return Usage(in_flight, closed, self._backends.count_begun(), [], [self._name])

    def _ask(self, name: str, address: str, question: UsageQuestion) -> Usage:
        try:
            return self._network.ask(address, question, ASK_MS)
        except PeerError:
            return Usage({}, list(question.names), {}, [name], [])

    def _learn_stop(self, _: str, stop: PlannedStop) -> PlannedStopLearned:
        for name in stop.names:
            value = {"vm": name, "deadline_wall_ms": 0}
            self._board.learn(NewsItem(f"notice/{name}", PLANNED_NOTICE_VERSION, value))
        return PlannedStopLearned()


class Daemons:
    """The controller's side: asks whichever known daemon answers.

    Parameters
    ==========

    network : the controller's own peer network.
    addresses : peer addresses of daemons, the nearest first.
    """

    def __init__(self, network: PeerNetwork, addresses: Callable[[], list[str]]) -> None:
        self._network = network
        self._addresses = addresses

    def ask_usage(self, names: Iterable[str]) -> Usage:
        """Return the use of the named servers over all running daemons.

        Raises
        ======

        PeerError : no daemon answered.
        """
        return self._ask_any(UsageQuestion(sorted(names), of_all=True))

    def announce_stop(self, names: Iterable[str]) -> None:
        """Have every daemon learn that the named servers will be stopped."""
        self._ask_any(PlannedStop(sorted(names)))

    def _ask_any(self, question: UsageQuestion | PlannedStop):
        for address in self._addresses():
            try:
                return self._network.ask(address, question, ASK_MS * 2)
            except PeerError:
                continue
        raise PeerError(ErrorKind.PEER_UNAVAILABLE, "no daemon answered")
