"""Checks of the documented guarantees against the records of callers, runners and the store."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

from tests.limit_checks import Arrival, Told, find_excesses
from tests.soak.callers import AT_MOST_ONCE, CRASHING_PART_PATH, CRASHING_PATH, SUCCESS, Call
from tests.soak.limiting import LimitedRunner
from tests.soak.moving import SETTLE_S as ROLLBACK_SETTLE_S
from tests.soak.moving import Rollout
from tests.soak.statements import StatingRunner, check_statements
from tests.soak.world import ROLLOUT_SHARE, ROLLOUT_SLACK

NOT_RUN_STATUSES = (408, 421, 429, 503)

MS_PER_SECOND = 1_000
MIN_CRASHES = {CRASHING_PATH: 3, CRASHING_PART_PATH: 5}
"""Crashes after which requests to a path may be sent `MAX_RETRIES` more times."""
MAX_RETRIES = 3
SETTLE_S = 5.0
"""Time after the crash that completes `MIN_CRASHES` within which every gateway has the content
quarantined."""


def find_violations(
    calls: list[Call],
    runs: list[tuple[str, str]],
    cloud_calls: list[dict[str, Any]],
    move: Rollout | None = None,
    limited: Sequence[LimitedRunner] = (),
    stating: Sequence[StatingRunner] = (),
) -> list[str]:
    """Return one line for each violated guarantee."""
    counts = Counter(request_id for _, request_id in runs)
    return [
        *_check_answers(calls),
        *_check_streams(calls),
        *_check_runs(calls, counts),
        *_check_revisions(calls),
        *_check_duties(cloud_calls),
        *(
            fault
            for path, crashes in MIN_CRASHES.items()
            for fault in _check_quarantine(calls, counts, path, crashes)
        ),
        *_check_limits(calls, limited),
        *check_statements(calls, stating),
        *(_check_rollout(calls, runs, move) if move is not None else ()),
    ]


def _check_answers(calls: list[Call]) -> Iterator[str]:
    """Check that each complete success is the correct answer to its own request."""
    for call in calls:
        if call.status == SUCCESS and call.is_whole and not call.is_right:
            yield f"complete answer with wrong content: {call}"


def _check_streams(calls: list[Call]) -> Iterator[str]:
    """Check that no stream has events of two versions, or an event twice or missing, over all attempts."""
    streams: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        if call.events:
            streams[call.resumes or call.request_id].append(call)
    for attempts in streams.values():
        events = [event for call in attempts for event in call.events]
        if len({version for _, version in events}) > 1:
            yield f"stream with events of two versions: {attempts}"
        if [number for number, _ in events] != list(range(1, len(events) + 1)):
            yield f"stream with events out of order: {attempts}"


def _check_runs(calls: list[Call], counts: Counter) -> Iterator[str]:
    """Check the runs of each request.

    Only sent requests run, at-most-once requests run at most once, and a request that was
    refused as not run has not run.
    """
    sent_ids = {call.request_id for call in calls}
    for request_id in counts.keys() - sent_ids:
        yield f"request {request_id} ran, but no caller sent it"
    for call in calls:
        count = counts[call.request_id]
        if count > 1 and call.path in AT_MOST_ONCE:
            yield f"at-most-once request ran {count} times: {call}"
        if count and call.status in NOT_RUN_STATUSES:
            yield f"request was refused as not run, but ran: {call}"


def _check_revisions(calls: list[Call]) -> Iterator[str]:
    """Check that no gateway process serves an older revision than it served before."""
    latest_seen: dict[str, tuple[int, float]] = defaultdict(lambda: (0, 0.0))
    markers = [call for call in calls if call.path.startswith("/marker-")]
    for call in sorted(markers, key=lambda one: one.ended_s):
        if call.status != SUCCESS:
            continue
        number = int(call.path.split("/")[1].rpartition("-")[2])
        seen, seen_s = latest_seen[call.incarnation]
        if number < seen and call.began_s > seen_s:
            yield f"route of an older revision served after revision {seen}: {call}"
        if number > seen:
            latest_seen[call.incarnation] = (number, call.ended_s)


def _check_duties(cloud_calls: list[dict[str, Any]]) -> Iterator[str]:
    """Check the calls of lease holders to the cloud API.

    Fencing numbers never decrease, each belongs to one holder, and the reports of a usage window
    agree.
    """
    max_fences: dict[str, int] = defaultdict(int)
    holders: dict[int, str] = {}
    windows: dict[int, Any] = {}
    for call in cloud_calls:
        if call["fence"] < max_fences[call["path"]]:
            yield f"fencing number is lower than {max_fences[call['path']]}: {call}"
        max_fences[call["path"]] = max(max_fences[call["path"]], call["fence"])
        if holders.setdefault(call["fence"], call["holder"]) != call["holder"]:
            yield f"fencing number used by two holders: {call}"
        if call["path"] == "/usage":
            window, counts = call["body"]["window"], call["body"]["counts"]
            if windows.setdefault(window, counts) != counts:
                yield f"usage window with two counts: {call}, earlier {windows[window]}"


def _check_quarantine(
    calls: list[Call], counts: Counter, path: str, min_crashes: int
) -> Iterator[str]:
    """Check that requests that crashed `min_crashes` servers are sent at most three more times."""
    deadly = [call for call in calls if call.path == path]
    runs = [call for call in deadly for _ in range(counts[call.request_id])]
    runs.sort(key=lambda one: one.ended_s)
    if len(runs) < min_crashes:
        return
    deadline_s = runs[min_crashes - 1].ended_s + SETTLE_S
    late = [call for call in runs if call.began_s > deadline_s]
    if len(late) > MAX_RETRIES:
        yield f"requests to {path} sent {len(late)} more times after {len(runs)} crashes: {late}"


def _check_limits(calls: list[Call], limited: Sequence[LimitedRunner]) -> Iterator[str]:
    """Check that no runner gets more from the gateways that it told than its limit allows."""
    senders = {call.request_id: call.incarnation for call in calls}
    for runner in limited:
        ids = {request_id for _, request_id in runner.arrivals}
        told = [
            Told(call.ended_s * MS_PER_SECOND, call.incarnation, float(call.limit))
            for call in calls
            if call.limit and call.request_id in ids
        ]
        arrivals = [
            Arrival(at_ms, senders[request_id])
            for at_ms, request_id in runner.arrivals
            if request_id in senders and not runner.is_excused(at_ms, senders[request_id])
        ]
        for excess in find_excesses(arrivals, told, runner.statements):
            yield f"runner {runner.name} got more than its limit allows: {excess}"


def _check_rollout(calls: list[Call], runs: list[tuple[str, str]], move: Rollout) -> Iterator[str]:
    """Check that a faulty version gets few requests, is rolled back, and gets none afterwards."""
    if not move.is_bad:
        return
    if move.state == "completed":
        yield "rollout of a faulty version was completed"
    began_s = {call.request_id: call.began_s for call in calls}
    names = {runner.name for runner in move.new}
    since = [run for run in runs if began_s.get(run[1], 0.0) >= move.ordered_s]
    moved = [run for run in since if run[1].startswith("moved-")]
    sent = [request_id for name, request_id in moved if name in names]
    if len(sent) > ROLLOUT_SHARE * len(moved) + ROLLOUT_SLACK:
        yield f"faulty version got {len(sent)} of {len(moved)} requests"
    late = [one for one in sent if began_s[one] > move.closed_s + ROLLBACK_SETTLE_S]
    if late:
        yield f"version got requests after it was rolled back: {late}"
