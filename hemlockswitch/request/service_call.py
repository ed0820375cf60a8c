"""Calls of plain services: repeated only if that is safe, with errors that state whether they ran."""

from dataclasses import dataclass
from functools import cached_property
from http import HTTPStatus
from typing import Any, Protocol

from hemlockswitch.connection.backends import (
    BackendAnswer,
    BackendCall,
    BackendClient,
    ExchangeTimeoutError,
)
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.intake import CallerAnswer, CallerRequest
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.claims import Claims, StoredAnswer, fingerprint_call
from hemlockswitch.request.clearance import Clearance, CompleteAnswer, RequestGuard, clear_request
from hemlockswitch.request.fingerprint import hash_call
from hemlockswitch.request.retries import RetryBudget
from hemlockswitch.request.routing import RequestNeeds
from hemlockswitch.request.running import (
    OUTCOME_UNKNOWN_RETRY_MS,
    Chooser,
    Directory,
    build_deadline_error,
)
from hemlockswitch.request.unreached_servers import UnreachedServers
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.models import Operation, Service

MAX_DISPATCHES = 4
MIN_TIMEOUT_SHARE = 0.5
REQUEST_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
ANSWER_HEADERS = ("content-type", "content-language", "etag", "location")
REQUEST_ID_HEADER = "x-request-id"
JSON_TYPE = "application/json"


class ServiceObserver(Protocol):
    """Is notified of server choices and dispatches."""

    def choice_began(self, request: CallerRequest) -> None:
        """Handle the start of the choice of a server."""

    def choice_ended(self, request: CallerRequest, server_name: str) -> None:
        """Handle the end of the choice; the name is empty if no server was chosen."""

    def dispatch_began(self, request: CallerRequest, server: BackendServer) -> Any:
        """Handle the start of a dispatch; returns trace headers to send with it."""

    def dispatch_ended(self, request: CallerRequest, outcome: str) -> None:
        """Handle the end of a dispatch."""


@dataclass(frozen=True)
class CallContent:
    """The content that identifies a call; implements `request.clearance.Content`."""

    account: str
    service: Service
    path: str
    request: CallerRequest

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the content, identical for each attempt at any daemon."""
        request = self.request
        parts = (self.account, request.method, self.service.name, self.path, request.query)
        return hash_call(parts, request.body)

    @property
    def content_fingerprints(self) -> tuple[str, ...]:
        """The fingerprint of the content."""
        return (self.fingerprint,)

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Empty: calls of services have no prompt."""
        return ()


@dataclass
class _Progress:
    """Progress of one call over its dispatches."""

    excluded: set[str]
    unreached: UnreachedServers
    dispatches: int = 0
    clearance: Clearance = Clearance.FREE
    ran: Ran = Ran.NO
    last: BackendAnswer | None = None


def find_operation(service: Service, method: str, path: str) -> Operation:
    """Return the operation with the longest path prefix that matches.

    Explanation
    ===========

    A path that a service might interpret differently from this daemon (dot segments, doubled slashes,
    escapes) is refused, so that no call is mistaken for an idempotent operation.

    Raises
    ======

    RequestError : `UNKNOWN_OPERATION`.
    """
    plain = "%" not in path and "//" not in path and "\\" not in path and ";" not in path
    dotted = any(part in (".", "..") for part in path.split("/"))
    matching = [one for one in service.operations if _covers(one.path, path)]
    if not plain or dotted or not matching:
        raise RequestError(
            ErrorKind.UNKNOWN_OPERATION, f"service {service.name} has no operation for this path"
        )
    longest = max(len(one.path) for one in matching)
    for operation in matching:
        if len(operation.path) == longest and method in operation.methods:
            return operation
    raise RequestError(ErrorKind.UNKNOWN_OPERATION, f"the operation does not allow method {method}")


def _covers(prefix: str, path: str) -> bool:
    """Return whether `prefix` matches complete leading segments of `path`."""
    return path == prefix or path.startswith(prefix if prefix.endswith("/") else prefix + "/")


class ServiceCaller:
    """Forwards calls to plain services.

    Explanation
    ===========

    After a failure, an idempotent operation is sent to another server, within the retry budget and the
    deadline. Any other operation is not repeated once a byte of it may have been sent; with an
    idempotency key, a claim ensures that it is dispatched at most once in the complete system.
    """

    def __init__(
        self,
        chooser: Chooser,
        directory: Directory,
        client: BackendClient,
        budget: RetryBudget,
        clock: Clock,
        observer: ServiceObserver,
        claims: Claims,
        guard: RequestGuard,
    ) -> None:
        self._chooser = chooser
        self._directory = directory
        self._client = client
        self._budget = budget
        self._clock = clock
        self._observer = observer
        self._claims = claims
        self._guard = guard

    def call(
        self, request: CallerRequest, account: str, service: Service, path: str, deadline_ms: float
    ) -> CallerAnswer:
        """Serve one call.

        Raises
        ======

        RequestError : the call failed; `ran` states whether it ran, if that is determined.
        """
        operation = find_operation(service, request.method, path)
        content = CallContent(account, service, path, request)
        self._budget.earn()
        key = request.idempotency_key
        if operation.idempotent or key is None:
            answer = self._dispatch(request, content, operation, deadline_ms)
        else:
            answer = self._claims.run_once(
                account,
                key,
                fingerprint_call(request.method, service.name, path, request.query, request.body),
                lambda: self._dispatch(request, content, operation, deadline_ms),
                deadline_ms - self._clock.now_ms(),
            )
        headers = {name: value for name, value in answer.headers.items() if name != "content-type"}
        content_type = answer.headers.get("content-type", JSON_TYPE)
        return CallerAnswer(answer.status, answer.body, headers, content_type)

    def _dispatch(
        self,
        request: CallerRequest,
        content: CallContent,
        operation: Operation,
        deadline_ms: float,
    ) -> StoredAnswer:
        progress = _Progress(set(), UnreachedServers(self._clock))
        while True:
            self._check_deadline(progress, deadline_ms)
            is_first = progress.dispatches == 0
            progress.clearance = clear_request(
                self._guard, content, progress.clearance, is_first=is_first, ran=progress.ran
            )
            server = self._choose(request, content.service, progress)
            was_sent = True
            sent_ms = self._clock.now_ms()
            try:
                answer = self._send(request, content.service, server, content.path, deadline_ms)
                is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
                self._guard.record_complete_answer(
                    content,
                    CompleteAnswer(server, sent_ms, began_ms=sent_ms, is_failure=is_failure),
                )
                if not (operation.idempotent and is_failure):
                    return _to_stored_answer(answer)
                progress.last, progress.ran = answer, Ran.YES
            except ExchangeError as failure:
                was_sent = failure.stage is not Stage.BEFORE_SEND
                if was_sent:
                    progress.ran = Ran.UNKNOWN
                    self._guard.record_broken_connection(content, server)
                self._check_repeatable(progress, failure, operation)
            progress.excluded.add(server.name)
            if not self._may_try_another(progress, was_sent=was_sent):
                return self._give_up(progress)

    def _may_try_another(self, progress: _Progress, *, was_sent: bool) -> bool:
        """Return whether another server may be tried after a failure."""
        if not was_sent:
            return progress.unreached.may_try_another()
        progress.dispatches += 1
        return progress.dispatches < MAX_DISPATCHES and self._budget.take()

    def _check_deadline(self, progress: _Progress, deadline_ms: float) -> None:
        if self._clock.now_ms() >= deadline_ms:
            raise build_deadline_error(progress.ran)

    def _choose(
        self, request: CallerRequest, service: Service, progress: _Progress
    ) -> BackendServer:
        needs = RequestNeeds(target=service.name, exclude=frozenset(progress.excluded))
        chosen = ""
        self._observer.choice_began(request)
        try:
            server = self._chooser.choose(needs)
            chosen = server.name
            return server
        except RequestError as refusal:
            if progress.last is not None or progress.ran is not Ran.NO:
                raise refusal.replace_ran(progress.ran) from refusal
            raise
        finally:
            self._observer.choice_ended(request, chosen)

    def _send(
        self,
        request: CallerRequest,
        service: Service,
        server: BackendServer,
        path: str,
        deadline_ms: float,
    ) -> BackendAnswer:
        left_ms = max(deadline_ms - self._clock.now_ms(), 1.0)
        headers = {
            name: request.headers[name] for name in REQUEST_HEADERS if name in request.headers
        }
        headers["X-Request-Id"] = request.request_id
        headers["X-Deadline-Ms"] = str(int(left_ms))
        headers.update(self._observer.dispatch_began(request, server))
        target = f"{path}?{request.query}" if request.query else path
        call = BackendCall(request.method, target, request.body, headers)
        ticket = self._directory.begin(server.name)
        failed = False
        outcome = "failed"
        try:
            answer = self._client.call(server.address, call, left_ms)
            self._check_request_id(answer, request.request_id)
            outcome = "answered"
            return answer
        except ExchangeError as error:
            failed = _counts_against_server(error, left_ms, service)
            raise
        finally:
            self._directory.end(ticket, failed)
            self._observer.dispatch_ended(request, outcome)

    @staticmethod
    def _check_request_id(answer: BackendAnswer, request_id: str) -> None:
        """Raise if the answer does not have the identifier of the request."""
        if answer.headers.get(REQUEST_ID_HEADER) != request_id:
            raise AnswerMixedError("the answer does not have the identifier of this request")

    def _check_repeatable(
        self, progress: _Progress, failure: ExchangeError, operation: Operation
    ) -> None:
        """Raise if the call must not be sent again after the failure."""
        if failure.stage is Stage.BEFORE_SEND:
            return
        if not operation.idempotent:
            mixed = isinstance(failure, AnswerMixedError)
            kind = ErrorKind.ANSWER_INVALID if mixed else ErrorKind.OUTCOME_UNKNOWN
            raise RequestError(kind, failure.detail, ran=Ran.UNKNOWN) from failure

    @staticmethod
    def _give_up(progress: _Progress) -> StoredAnswer:
        """Return the last answer of a server, or raise if there is none."""
        if progress.last is not None:
            return _to_stored_answer(progress.last)
        if progress.ran is Ran.NO:
            raise RequestError(ErrorKind.NO_BACKEND, "no backend server could be reached")
        raise RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            "no backend server answered",
            retry_after_ms=OUTCOME_UNKNOWN_RETRY_MS,
        )


class AnswerMixedError(ExchangeError):
    """An answer without the identifier of its request: it is unknown whether the request ran."""

    def __init__(self, detail: str) -> None:
        super().__init__(Stage.DURING_ANSWER, detail)


def _counts_against_server(error: ExchangeError, given_ms: float, service: Service) -> bool:
    """Return whether the failure counts against the server, unless the caller allowed too little time."""
    had_enough_time = given_ms >= service.timeout_ms * MIN_TIMEOUT_SHARE
    return had_enough_time or not isinstance(error, ExchangeTimeoutError)


def _to_stored_answer(answer: BackendAnswer) -> StoredAnswer:
    headers = {name: answer.headers[name] for name in ANSWER_HEADERS if name in answer.headers}
    return StoredAnswer(answer.status, headers, answer.body)
