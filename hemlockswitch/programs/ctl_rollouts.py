"""`hemlock-ctl rollouts`: the state of rollouts, read from the status pages of gateways."""

import json
from collections.abc import Iterable

from pydantic import BaseModel, ConfigDict

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.programs.ctl_files import ExitCode
from hemlockswitch.programs.status_pages import (
    TIMEOUT_MS,
    StatusPageError,
    StatusPagesCommand,
    read_status_page,
)


class _RouteBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    target: tuple[int, int, int]
    others: tuple[int, int, int]


class _RolloutBody(BaseModel):
    """A rollout order on a gateway's status page.

    Parameters
    ==========

    sent, bound : number of requests that this gateway has sent to the new version, and its current
        limit.
    verdict : the verdict on the answers over all gateways.
    routes : for each route, the numbers of answers, failures and slow answers of the new version and
        of all other versions.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    service: str
    target: str
    state: str
    age_ms: float
    time_limit_ms: float
    sent: int
    bound: float
    stopped_for: str
    moves: bool
    verdict: str
    routes: dict[str, _RouteBody]


class _StatusBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    leads: bool = False
    rollouts: list[_RolloutBody] = []


class RolloutView(_RolloutBody):
    """The state of a rollout order at one gateway.

    Parameters
    ==========

    gateway : name of the gateway.
    holds_duties : whether the gateway decides on the order.
    """

    gateway: str
    holds_duties: bool


class RolloutsCommand(StatusPagesCommand):
    """Show the state of rollouts at gateways."""

    name = "rollouts"
    description = "Show rollouts at each gateway: state, requests sent, verdict by route."
    help = """Reads the status pages of all addresses concurrently and shows, for each order, a line
for each gateway and, below the first of these, a line for each route.

Exit codes: 0 every gateway answered, 2 an address or the time-out is wrong, 4 one did not answer."""

    def handle(self) -> int:
        """Read the status pages and write the result."""
        answers = self.query_all(read_rollouts)
        if answers is None:
            return ExitCode.MISTAKES
        views = [view for answer in answers if isinstance(answer, list) for view in answer]
        errors = [answer for answer in answers if isinstance(answer, str)]
        if self.option("json"):
            self.line(
                json.dumps({"rollouts": [view.model_dump() for view in views], "errors": errors})
            )
        else:
            for line in [*format_views(views), *errors]:
                self.line(line)
        return ExitCode.PLATFORM if errors else ExitCode.DONE


def read_rollouts(host: str, port: int, timeout_ms: float = TIMEOUT_MS) -> list[RolloutView] | str:
    """Return the rollout orders at a gateway, or the reason why its status could not be read."""
    try:
        body = read_status_page(_StatusBody, host, port, timeout_ms)
    except StatusPageError as error:
        return f"{host}:{port}: {error}"
    return [
        RolloutView(
            gateway=body.name,
            holds_duties=body.leads,
            **order.model_dump(),
        )
        for order in body.rollouts
    ]


def format_views(views: Iterable[RolloutView]) -> list[str]:
    """Return the lines of all orders, sorted by service."""
    lines: list[str] = []
    listed: set[tuple[str, str]] = set()
    for view in sorted(views, key=lambda one: (one.service, one.target, not one.holds_duties)):
        lines.append(format_view(view))
        if (view.service, view.target) not in listed:
            lines += [f"  {format_route(route, one)}" for route, one in view.routes.items()]
        listed.add((view.service, view.target))
    return lines


def format_view(view: RolloutView) -> str:
    """Return one line on the state of an order at a gateway.

    Examples
    ========

    >>> view = RolloutView(gateway="front-1", holds_duties=True, service="llm", target="v2",
    ...     state="running", age_ms=4_000.0, time_limit_ms=12_000.0, sent=7, bound=11.5,
    ...     stopped_for="", moves=False, verdict="undecided", routes={})
    >>> format_view(view)
    'llm to v2 at front-1 (holds the duties): running for 4.0 of 12.0 s, sent 7 of 11.5, undecided'
    """
    holder = " (holds the duties)" if view.holds_duties else ""
    age_s, limit_s = view.age_ms / MS_PER_SECOND, view.time_limit_ms / MS_PER_SECOND
    state = f"{view.state or 'not taken up'} for {age_s:.1f} of {limit_s:.1f} s"
    step = f"stopped: {view.stopped_for}" if view.stopped_for else view.verdict
    move = ", moves" if view.moves else ""
    sent = f"sent {view.sent} of {view.bound:.1f}"
    return (
        f"{view.service} to {view.target} at {view.gateway}{holder}: {state}, {sent}, {step}{move}"
    )


def format_route(route: str, answers: _RouteBody) -> str:
    """Return one line on the answers of a route.

    Examples
    ========

    >>> format_route("draft", _RouteBody(target=(20, 3, 1), others=(200, 2, 9)))
    'draft: new version 20 answers, 3 failed, 1 slow; others 200 answers, 2 failed, 9 slow'
    """
    new, others = (
        f"{count} answers, {failed} failed, {slow} slow"
        for count, failed, slow in (answers.target, answers.others)
    )
    return f"{route}: new version {new}; others {others}"
