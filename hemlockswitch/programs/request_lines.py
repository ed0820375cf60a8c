"""Request statistics from gateway logs: when, where and why requests failed or were late."""

import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

from hemlockswitch.core.events import Event

_ENDED = (Event.REQUEST_ENDED.number, Event.REQUEST_REFUSED.number)
UPPER_QUANTILE = 0.9


@dataclass(frozen=True)
class RequestLine:
    """The outcome of one request.

    Parameters
    ==========

    at_s : Unix time of its end.
    outcome : ``answered``, an error kind, or how the answer was interrupted.
    sends : number of backend servers that the request was sent to.
    expected_ms, began_ms : predicted and observed time to the start of the answer; `began_ms` is
        None if there was no answer.
    """

    at_s: float
    gateway: str
    route: str
    outcome: str
    sends: int
    expected_ms: float
    began_ms: float | None

    @classmethod
    def from_fields(cls, fields: dict[str, object]) -> "RequestLine":
        """Return the request described by the fields of a log line.

        Raises
        ======

        KeyError, ValueError, TypeError, AttributeError : the line does not describe a request.
        """
        began_ms = fields.get("began_ms")
        return cls(
            at_s=datetime.fromisoformat(str(fields["timestamp"])).timestamp(),
            gateway=str(fields["process"]),
            route=str(fields.get("route", "")),
            outcome=str(fields["outcome"]),
            sends=len(list(fields["sends"])),  # type: ignore[call-overload]
            expected_ms=float(fields["expected_ms"]),  # type: ignore[arg-type]
            began_ms=float(began_ms) if began_ms is not None else None,  # type: ignore[arg-type]
        )


def read_lines(lines: Iterable[str]) -> Iterator[RequestLine]:
    """Yield the requests among log lines; text before the JSON object of a line is ignored.

    Examples
    ========

    >>> line = ('{"number": 202, "process": "g1", "route": "draft", "outcome": "answered",'
    ...         ' "sends": ["s1"], "expected_ms": 40, "began_ms": 50,'
    ...         ' "timestamp": "2026-01-01T00:00:00Z"}')
    >>> [one.route for one in read_lines(["noise", "  1.5 g1 " + line])]
    ['draft']
    """
    for line in lines:
        _, brace, remaining = line.partition("{")
        try:
            fields = json.loads(brace + remaining)
            if fields["number"] in _ENDED:
                yield RequestLine.from_fields(fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue  # Other programs write to the same files; their lines are ignored.


@dataclass
class RequestStatistics:
    """Statistics of a group of requests.

    Examples
    ========

    >>> sums = RequestStatistics()
    >>> sums.add(RequestLine(0.0, "g1", "draft", "answered", 1, 40.0, 50.0))
    >>> sums.add(RequestLine(0.0, "g1", "draft", "overloaded", 0, 900.0, None))
    >>> sums.describe()["outcomes"], sums.describe()["began_ms"]
    ({'answered': 1, 'overloaded': 1}, [50.0, 50.0])
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    sent_again: int = 0
    began_ms: list[float] = field(default_factory=list)
    difference_ms: list[float] = field(default_factory=list)

    def add(self, line: RequestLine) -> None:
        """Count one request."""
        self.outcomes[line.outcome] += 1
        self.sent_again += line.sends > 1
        if line.began_ms is not None:
            self.began_ms.append(line.began_ms)
            self.difference_ms.append(line.began_ms - line.expected_ms)

    def describe(self) -> dict[str, object]:
        """Return the outcomes, and the median and 90th percentile of the times."""
        return {
            "outcomes": dict(self.outcomes.most_common()),
            "sent_again": self.sent_again,
            "began_ms": find_quantiles(self.began_ms),
            "began_ms_less_expected": find_quantiles(self.difference_ms),
        }


def find_quantiles(values: list[float]) -> list[float]:
    """Return the median and the 90th percentile; an empty list without values.

    Examples
    ========

    >>> find_quantiles([1.0, 2.0, 30.0])
    [2.0, 30.0]
    """
    if not values:
        return []
    upper = sorted(values)[min(int(len(values) * UPPER_QUANTILE), len(values) - 1)]
    return [round(statistics.median(values), 1), round(upper, 1)]


@dataclass
class RequestSummary:
    """Statistics of requests by time window, by route and by gateway.

    Parameters
    ==========

    step_s : length of a time window.
    """

    step_s: float
    by_time: dict[int, RequestStatistics] = field(
        default_factory=lambda: defaultdict(RequestStatistics)
    )
    by_route: dict[str, RequestStatistics] = field(
        default_factory=lambda: defaultdict(RequestStatistics)
    )
    by_gateway: dict[str, RequestStatistics] = field(
        default_factory=lambda: defaultdict(RequestStatistics)
    )

    def add(self, line: RequestLine) -> None:
        """Count one request."""
        self.by_time[int(line.at_s // self.step_s)].add(line)
        self.by_route[line.route].add(line)
        self.by_gateway[line.gateway].add(line)

    def list_windows(self) -> list[tuple[float, RequestStatistics]]:
        """Return the windows with their start in seconds since the start of the first one."""
        first = min(self.by_time, default=0)
        return [
            ((window - first) * self.step_s, self.by_time[window])
            for window in sorted(self.by_time)
        ]
