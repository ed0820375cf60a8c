"""The promises of the project's pages, checked against what callers, runners and the store saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from tests.soak.callers import AT_MOST_ONCE, DEADLY_PATH, Call
from tests.soak.moving import SETTLED_S as MOVE_SETTLED_S
from tests.soak.moving import Move
from tests.soak.world import ROLLOUT_SHARE, ROLLOUT_SLACK

NOT_RUN_STATUSES = (408, 421, 429, 503)
SUCCESS = 200
MIN_CRASHES, MOST_RETRIES = 3, 3
SETTLED_S = 5.0
"""How long after the third server has ended under a content every gateway knows it."""


def list_broken(
    calls: list[Call],
    runs: list[tuple[str, str]],
    cloud_calls: list[dict[str, Any]],
    move: Move | None = None,
) -> list[str]:
    """Return a line for each promise that was broken."""
    counts = Counter(request_id for _, request_id in runs)
    return [
        *_check_answers(calls),
        *_check_runs(calls, counts),
        *_check_revisions(calls),
        *_check_duties(cloud_calls),
        *_check_deadly(calls, counts),
        *(_check_move(calls, runs, move) if move is not None else ()),
    ]


def _check_answers(calls: list[Call]) -> Iterator[str]:
    """A success that looks whole is the whole answer of its own request."""
    for call in calls:
        if call.status == SUCCESS and call.is_whole and not call.is_right:
            yield f"wrong answer: {call}"


def _check_runs(calls: list[Call], counts: Counter) -> Iterator[str]:
    """Nothing unknown runs, nothing runs twice that may not, and "not run" is true."""
    known = {call.request_id for call in calls}
    for request_id in counts.keys() - known:
        yield f"nobody sent {request_id}, and it ran"
    for call in calls:
        count = counts[call.request_id]
        if count > 1 and call.path in AT_MOST_ONCE:
            yield f"ran {count} times: {call}"
        if count and call.status in NOT_RUN_STATUSES:
            yield f"said not to have run, and ran: {call}"


def _check_revisions(calls: list[Call]) -> Iterator[str]:
    """A gateway process never serves a route of a revision older than one it has served."""
    newest: dict[str, tuple[int, float]] = defaultdict(lambda: (0, 0.0))
    markers = [call for call in calls if call.path.startswith("/marker-")]
    for call in sorted(markers, key=lambda one: one.ended_s):
        if call.status != SUCCESS:
            continue
        number = int(call.path.split("/")[1].rpartition("-")[2])
        seen, seen_s = newest[call.incarnation]
        if number < seen and call.began_s > seen_s:
            yield f"revision {seen} was in force before: {call}"
        if number > seen:
            newest[call.incarnation] = (number, call.ended_s)


def _check_duties(cloud_calls: list[dict[str, Any]]) -> Iterator[str]:
    """Numbers only rise, each belongs to one holder, and a window has one report."""
    highest: dict[str, int] = defaultdict(int)
    holders: dict[int, str] = {}
    windows: dict[int, Any] = {}
    for call in cloud_calls:
        if call["fence"] < highest[call["path"]]:
            yield f"a lower number than {highest[call['path']]}: {call}"
        highest[call["path"]] = max(highest[call["path"]], call["fence"])
        if holders.setdefault(call["fence"], call["holder"]) != call["holder"]:
            yield f"two holders of one number: {call}"
        if call["path"] == "/usage":
            window, counts = call["body"]["window"], call["body"]["counts"]
            if windows.setdefault(window, counts) != counts:
                yield f"a window with two counts: {call}, before {windows[window]}"


def _check_deadly(calls: list[Call], counts: Counter) -> Iterator[str]:
    """A content under which three servers have ended is sent three more times at most."""
    deadly = [call for call in calls if call.path == DEADLY_PATH]
    runs = [call for call in deadly for _ in range(counts[call.request_id])]
    runs.sort(key=lambda one: one.ended_s)
    if len(runs) < MIN_CRASHES:
        return
    settled_s = runs[MIN_CRASHES - 1].ended_s + SETTLED_S
    late = [call for call in runs if call.began_s > settled_s]
    if len(late) > MOST_RETRIES:
        yield f"sent {len(late)} times more after {len(runs)} ends: {late}"


def _check_move(calls: list[Call], runs: list[tuple[str, str]], move: Move) -> Iterator[str]:
    """A bad version gets few requests, is not moved to, and gets nothing once it is rolled back."""
    if not move.is_bad:
        return
    if move.state == "completed":
        yield "moved to a bad version"
    began_s = {call.request_id: call.began_s for call in calls}
    names = {runner.name for runner in move.new}
    since = [run for run in runs if began_s.get(run[1], 0.0) >= move.ordered_s]
    moved = [run for run in since if run[1].startswith("moved-")]
    sent = [request_id for name, request_id in moved if name in names]
    if len(sent) > ROLLOUT_SHARE * len(moved) + ROLLOUT_SLACK:
        yield f"a bad version got {len(sent)} of {len(moved)} requests"
    late = [one for one in sent if began_s[one] > move.closed_s + MOVE_SETTLED_S]
    if late:
        yield f"a version got requests after it was rolled back: {late}"
