"""`hemlock-ctl requests`: request statistics from gateway logs, by time, route and gateway."""

import json
import sys
from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.helpers import argument, option

from hemlockswitch.programs.ctl_files import JSON_OPTION, ExitCode
from hemlockswitch.programs.request_lines import RequestStatistics, RequestSummary, read_lines

STEP_S = 2.0
"""A window of this length still contains some hundred requests of a small site."""


class RequestsCommand(Command):
    """Show statistics of the requests in gateway logs."""

    name = "requests"
    description = "Show from gateway logs when, where and why requests failed or were late."
    arguments = [argument("files", "Log files; - for standard input.", multiple=True)]
    options = [
        JSON_OPTION,
        option("step", None, "Length of a window in seconds.", flag=False, default=str(STEP_S)),
    ]
    help = """Reads the request lines of gateway logs and shows, for each time window, each route and
each gateway: the outcomes, the requests sent more than once, and the median and 90th percentile of
the time to the start of the answer and of its difference from the prediction. All other lines are
ignored.

Exit codes: 0 requests were found, 2 a file cannot be read, an option is wrong, or none was found."""

    def handle(self) -> int:
        """Read the logs and write the statistics."""
        try:
            summary = RequestSummary(_read_step(self.option("step")))
            for file in self.argument("files"):
                self._add(summary, file)
        except (OSError, ValueError) as error:
            self.line_error(str(error))
            return ExitCode.MISTAKES
        if not summary.by_time:
            self.line_error("the files contain no request lines")
            return ExitCode.MISTAKES
        if self.option("json"):
            self.line(json.dumps(_describe(summary)))
        else:
            self._show(summary)
        return ExitCode.DONE

    @staticmethod
    def _add(summary: RequestSummary, file: str) -> None:
        if file == "-":
            _add_lines(summary, sys.stdin)
            return
        with open(file, encoding="utf-8", errors="replace") as lines:
            _add_lines(summary, lines)

    def _show(self, summary: RequestSummary) -> None:
        self.line(
            "second: time to the beginning and its difference from the prediction, ms p50/p90"
        )
        for at_s, sums in summary.list_windows():
            self.line(format_statistics(f"{at_s:g}", sums))
        for title, groups in (("route", summary.by_route), ("gateway", summary.by_gateway)):
            self.line("")
            self.line(title)
            for name in sorted(groups):
                self.line(format_statistics(name or "(none)", groups[name]))


def _add_lines(summary: RequestSummary, lines: Iterable[str]) -> None:
    for line in read_lines(lines):
        summary.add(line)


def _read_step(text: str) -> float:
    step_s = float(text)
    if not 0 < step_s < float("inf"):
        raise ValueError("--step must be a number of seconds greater than 0")
    return step_s


def _describe(summary: RequestSummary) -> dict[str, object]:
    return {
        "windows": [{"at_s": at_s, **sums.describe()} for at_s, sums in summary.list_windows()],
        "routes": {name: sums.describe() for name, sums in summary.by_route.items()},
        "gateways": {name: sums.describe() for name, sums in summary.by_gateway.items()},
    }


def format_statistics(name: str, statistics: RequestStatistics) -> str:
    """Return the statistics of a group of requests as one line of text.

    Examples
    ========

    >>> from hemlockswitch.programs.request_lines import RequestLine
    >>> sums = RequestStatistics()
    >>> sums.add(RequestLine(0.0, "g1", "draft", "answered", 2, 40.0, 50.0))
    >>> format_statistics("draft", sums)
    'draft: began 50/50, off 10/10, answered 1, sent again 1'
    """
    described = statistics.describe()
    began = "/".join(f"{value:g}" for value in described["began_ms"])  # type: ignore[attr-defined]
    off = "/".join(
        f"{value:g}" for value in described["began_ms_less_expected"]  # type: ignore[attr-defined]
    )
    outcomes = [f"{outcome} {count}" for outcome, count in statistics.outcomes.most_common()]
    if statistics.sent_again:
        outcomes.append(f"sent again {statistics.sent_again}")
    return f"{name}: " + ", ".join([f"began {began or '-'}", f"off {off or '-'}", *outcomes])
