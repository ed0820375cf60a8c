"""Observation of requests for operators: one log line for each request, counters and histograms."""

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.metrics import GatewayMetrics
from hemlockswitch.process.gateway.usage import UsageCounts
from hemlockswitch.request.progress import Progress
from hemlockswitch.request.send_states import SendFailure

MAX_LINES_PER_SECOND = 100
"""Maximum rate of request log lines; at this rate they use half a percent of a core."""
MAX_LOGGED_PARTS = 16
"""Maximum number of prompt parts in one line, as a caller may send hundreds."""


class LineRateLimiter:
    """Rate limiter for request log lines, which counts the suppressed lines."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._written = 0
        self._suppressed = 0

    def allow(self) -> bool:
        """Return whether a line may be written now, and count it."""
        second = int(self._clock.now_ms() // MS_PER_SECOND)
        if second != self._second:
            self._report()
            self._second = second
            self._written = 0
        self._written += 1
        if self._written > MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return False
        return True

    def _report(self) -> None:
        if self._suppressed:
            log_event(Event.LINES_SUPPRESSED, "warning", lines=self._suppressed)
            self._suppressed = 0


class GatewayObserver:
    """Records the events of requests in the log, the metrics and the usage counts.

    Parameters
    ==========

    usage : counts the requests that began to run.
    fleet_clock : source of the wall-clock time by which usage is counted.
    clock : source of the monotonic time.
    """

    def __init__(self, usage: UsageCounts, fleet_clock: FleetClock, clock: Clock) -> None:
        self.metrics = GatewayMetrics()
        self._usage = usage
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._line_limiter = LineRateLimiter(clock)

    def attempt_failed(self, progress: Progress, failure: SendFailure, detail: str) -> None:
        """Count and log a failed send attempt."""
        self.metrics.failures[failure.value] += 1
        if self._line_limiter.allow():
            admitted = progress.admitted
            parts = admitted.part_fingerprints if admitted else ()
            log_event(
                Event.ATTEMPT_FAILED,
                request_id=progress.request_id,
                fingerprint=admitted.fingerprint if admitted else "",
                parts=list(parts[:MAX_LOGGED_PARTS]),
                has_begun=progress.began_ms is not None,
                server=progress.target,
                failure=failure.value,
                detail=detail,
            )

    def request_began(self, progress: Progress) -> None:
        """Count a request that a backend server has started to answer."""
        admitted = progress.admitted
        if admitted is None or progress.began_ms is None:
            return
        waited_ms = progress.began_ms - progress.request.received_ms
        self.metrics.begun[admitted.route.name].observe(waited_ms)
        if admitted.account is not None:
            self._usage.count(self._fleet_clock.now_ms(), admitted.account.name)

    def request_ended(self, progress: Progress) -> None:
        """Count and log a request that has ended."""
        admitted = progress.admitted
        route = admitted.route.name if admitted else ""
        self.metrics.requests[route, progress.outcome] += 1
        if not self._line_limiter.allow():
            return
        now_ms = self._clock.now_ms()
        received_ms = progress.request.received_ms
        began_ms = progress.began_ms
        log_event(
            Event.REQUEST_ENDED if progress.outcome == "answered" else Event.REQUEST_REFUSED,
            request_id=progress.request_id,
            route=route,
            account=admitted.account.name if admitted and admitted.account else "",
            revision=admitted.revision if admitted else 0,
            sends=progress.sends,
            send_versions=progress.send_versions,
            resumes=progress.facts.resumes_shown if progress.facts else "",
            through=[gateway for gateway in progress.through if gateway],
            server_version=progress.begun_version or "",
            expected_ms=round(progress.expected_ms),
            list_age_ms=round(progress.list_age_ms),
            dispatched=progress.dispatched,
            began_ms=round(began_ms - received_ms) if began_ms is not None else None,
            took_ms=round(now_ms - received_ms),
            outcome=progress.outcome,
            answer_end=progress.answer_end,
            unfinished_bytes=progress.unfinished_bytes,
            status=progress.status,
            ran=progress.state.value,
            detail=progress.detail,
        )
