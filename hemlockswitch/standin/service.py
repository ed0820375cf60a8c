"""Stand-in plain service: echoes each call in its answer and counts the runs."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import falcon
import gevent
from pydantic import BaseModel, ConfigDict

from hemlockswitch.core.clock import Clock, SystemClock
from hemlockswitch.standin.faults import ActiveFaults, Faults
from hemlockswitch.standin.server import (
    SOCKET_KEY,
    RefusalError,
    cut_connection,
    end_process,
    make_application,
    read_body,
    serve_until_stopped,
)


class ServiceSettings(BaseModel):
    """Settings file of a stand-in service.

    Parameters
    ==========

    ends_on : terminate the process on a call whose body contains this text, after it has run;
        empty disables it.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = "service"
    listen: str = "127.0.0.1:0"
    delay_ms: float = 0
    slots: int = 32
    load_lag_ms: float = 500
    ends_on: str = ""


@dataclass
class ServiceCounts:
    """Counts that tests check, reported by ``GET /standin/stats``."""

    runs_by_request: Counter = field(default_factory=Counter)
    runs_by_key: Counter = field(default_factory=Counter)
    runs_by_path: Counter = field(default_factory=Counter)
    runs: int = 0
    running: int = 0
    most_running: int = 0
    refused: int = 0
    begun_after_leaving_ms: list[float] = field(default_factory=list)


class Service:
    """State of a stand-in service."""

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.faults = ActiveFaults()
        self.counts = ServiceCounts()
        self.leaving_since_ms: float | None = None
        self._previous_answer: dict[str, Any] | None = None
        self._recorded_running = 0
        self._recorded_at_ms = clock.now_ms()

    def record_run(self, request: falcon.Request) -> None:
        """Count a run of a call."""
        self.counts.runs += 1
        self.counts.runs_by_path[f"{request.method} {request.path}"] += 1
        self.counts.runs_by_request[request.get_header("X-Request-Id") or ""] += 1
        key = request.get_header("Idempotency-Key")
        if key:
            self.counts.runs_by_key[key] += 1
        if self.leaving_since_ms is not None:
            since_ms = self.clock.now_ms() - self.leaving_since_ms
            self.counts.begun_after_leaving_ms.append(since_ms)

    def report_load(self) -> dict[str, Any]:
        """Return the last recorded load and its age."""
        age_ms = self.clock.now_ms() - self._recorded_at_ms
        slots = self.settings.slots
        return {
            "running": min(self._recorded_running, slots),
            "waiting": max(self._recorded_running - slots, 0),
            "slots": slots,
            "age_ms": age_ms,
            "draining": False,
        }

    def run_reports(self) -> None:
        """Record the load every `load_lag_ms`, indefinitely."""
        while True:
            self.clock.sleep_ms(self.settings.load_lag_ms)
            self._recorded_running = self.counts.running
            self._recorded_at_ms = self.clock.now_ms()

    def swap_answer(self, answer: dict[str, Any]) -> dict[str, Any]:
        """Store `answer` for the next call, and return the answer of the previous call.

        The first call gets its own answer.
        """
        earlier, self._previous_answer = self._previous_answer, answer
        return earlier or answer


class Calls:
    """All paths except ``/v1/load`` and those under ``/standin``."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def __call__(self, req: falcon.Request, resp: falcon.Response, **parts: str) -> None:
        """Run a call and echo it in the answer."""
        self._run(req, resp)

    def _run(self, request: falcon.Request, response: falcon.Response) -> None:
        faults = self._service.faults.take()
        connection = request.env[SOCKET_KEY]
        if faults.refuse_status:
            self._service.counts.refused += 1
            raise RefusalError(faults.refuse_status, "refused", faults.retry_after_ms)
        if faults.cut_stage == "before_run":
            cut_connection(connection)
        body = request.bounded_stream.read().decode(errors="replace")
        self._service.record_run(request)
        delay_ms = (self._service.settings.delay_ms + faults.delay_ms) * faults.slow_factor
        counts = self._service.counts
        counts.running += 1
        counts.most_running = max(counts.most_running, counts.running)
        try:
            self._service.clock.sleep_ms(delay_ms + faults.freeze_ms)
        finally:
            self._service.counts.running -= 1
        ends_on = self._service.settings.ends_on
        if ends_on and ends_on in body:
            end_process()
        if faults.cut_stage == "before_answer":
            cut_connection(connection)
        self._answer(request, response, body, faults)

    def _answer(
        self, request: falcon.Request, response: falcon.Response, body: str, faults: Faults
    ) -> None:
        answer = {
            "service": self._service.settings.name,
            "method": request.method,
            "path": request.relative_uri,
            "body": body,
            "request_id": request.get_header("X-Request-Id"),
            "traceparent": request.get_header("traceparent"),
            "run": self._service.counts.runs,
        }
        if faults.mix_answers:
            answer = self._service.swap_answer(answer)
        response.media = answer
        response.set_header("X-Request-Id", str(answer["request_id"]))


class Report:
    """``GET /v1/load``."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the last recorded load and its age."""
        response.media = self._service.report_load()


class Harness:
    """``/standin/stats``, ``/standin/faults`` and ``/standin/leaving``."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def on_get_stats(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the counts."""
        response.media = {**vars(self._service.counts), "name": self._service.settings.name}

    def on_post_faults(self, request: falcon.Request, response: falcon.Response) -> None:
        """Replace the active faults."""
        faults = read_body(request, Faults)
        self._service.faults.set(faults)
        response.media = faults.model_dump()

    def on_post_leaving(self, request: falcon.Request, response: falcon.Response) -> None:
        """Mark the service as leaving; calls that start after this are counted separately."""
        self._service.leaving_since_ms = self._service.clock.now_ms()
        response.media = {}


def build_application(service: Service) -> Any:
    """Return the WSGI application of a service."""
    application = make_application()
    harness = Harness(service)
    application.add_route("/standin/stats", harness, suffix="stats")
    application.add_route("/standin/faults", harness, suffix="faults")
    application.add_route("/standin/leaving", harness, suffix="leaving")
    application.add_route("/v1/load", Report(service))
    application.add_sink(Calls(service), prefix=r"/(?P<path>.*)")
    return application


def serve_service(settings: ServiceSettings) -> None:
    """Serve a service until the process receives a stop signal."""
    service = Service(settings, SystemClock())
    gevent.spawn(service.run_reports)
    serve_until_stopped(build_application(service), settings.listen)
