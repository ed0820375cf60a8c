"""Serves the callers' requests, from authentication to the last byte of the answer."""

import json
from collections.abc import Callable, Generator, Iterator
from typing import Protocol

from hemlockswitch.connection.accounts import AccountKeys
from hemlockswitch.connection.callers import EVENT_STREAM, describe_error
from hemlockswitch.connection.intake import CallerAnswer, CallerRequest
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, RequestError
from hemlockswitch.process.records import RequestRecord, RequestRecords
from hemlockswitch.request.generation import ChatRequest, Generation
from hemlockswitch.request.prefixes import count_tokens
from hemlockswitch.request.relay import Relay
from hemlockswitch.request.running import MovedError
from hemlockswitch.request.service_call import ServiceCaller
from hemlockswitch.version.models import ClientAccount, Limits, Model, OperatorFile, Service

DEFAULT_LIMITS = Limits()


class Resumer(Protocol):
    """Resumes requests that another daemon began."""

    def resume(self, request: CallerRequest, account: str, resumed_id: str) -> CallerAnswer:
        """Return the remaining part of an earlier request's answer."""


class Serving:
    """The service that a daemon provides to callers.

    Parameters
    ==========

    relay : relays model requests to backend servers.
    services : calls plain services.
    records : admits, counts and traces requests.
    clock : the process's clock.
    """

    def __init__(
        self, relay: Relay, services: ServiceCaller, records: RequestRecords, clock: Clock
    ) -> None:
        self._relay = relay
        self._services = services
        self._records = records
        self._clock = clock
        self.resumer: Resumer | None = None
        self._file: OperatorFile | None = None
        self._keys = AccountKeys(())
        self._stopping = False
        self.has_limits: Callable[[], bool] = lambda: True

    def use_configuration(self, file: OperatorFile) -> None:
        """Use `file` for new requests; requests in progress are not affected."""
        self._keys = AccountKeys.from_config(file.client_accounts)
        self._file = file

    def stop_accepting(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    def check_ready(self) -> None:
        """Raise an error if no new requests are accepted.

        Raises
        ======

        RequestError : `LEAVING` if the daemon is stopping, `NOT_READY` before it has a
            configuration and its shares of the limits.
        """
        if self._stopping:
            raise RequestError(ErrorKind.LEAVING, "this daemon is stopping")
        if self._file is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration is in force yet")
        if not self.has_limits():
            raise RequestError(ErrorKind.NOT_READY, "no shares of the limits were granted yet")

    def check_caller(self, authorization: str | None) -> None:
        """Raise `UNAUTHORIZED` unless the API key is valid; called before the body is read."""
        self._keys.authenticate(authorization)

    def limit_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        limits = self._file.limits if self._file else DEFAULT_LIMITS
        return limits.body_bytes

    def complete(self, request: CallerRequest) -> CallerAnswer:
        """Serve a model request."""
        account = self._authenticate(request)
        chat = ChatRequest.from_body(request.body)
        model = self._find_model(chat.model, account)
        generation = self._build_generation(request, chat, model, account)
        wanted = count_tokens(generation.prompt) + generation.max_tokens
        record = self._records.begin(request, generation.model)
        record.admit(account.name, wanted, generation.priority, generation.deadline_ms)
        return self.answer(generation, request, record)

    def answer(
        self,
        generation: Generation,
        request: CallerRequest,
        record: RequestRecord,
        replay: bytes = b"",
    ) -> CallerAnswer:
        """Relay an admitted generation, as a stream or, if the caller asked for it, as one body.

        `replay` contains the events of a resumed stream that the caller did not receive.
        """
        events = self._relay_recorded(generation, request, record, replay)
        if generation.stream:
            first = next(events)
            return CallerAnswer(200, _Events(generation, first, events), {}, EVENT_STREAM)
        for _ in events:
            pass
        body = json.dumps(generation.join_answer(), ensure_ascii=False).encode()
        return CallerAnswer(200, body)

    def _relay_recorded(
        self,
        generation: Generation,
        request: CallerRequest,
        record: RequestRecord,
        replay: bytes,
    ) -> Generator[bytes, None, None]:
        """Relay the generation; the record ends with the relay, also after an error."""
        with record:
            try:
                if replay:
                    yield replay
                yield from self._relay.run(generation, request.connection)
            finally:
                self._record_tokens(generation, record)

    def _record_tokens(self, generation: Generation, record: RequestRecord) -> None:
        if generation.first_token_ms is None:
            return
        used = len(generation.tokens)
        record.record_tokens(count_tokens(generation.prompt) + used)
        streamed_ms = self._clock.now_ms() - generation.first_token_ms
        self._records.metrics.observe_answer(generation.model, used, streamed_ms)

    def call_service(self, request: CallerRequest, service: str, path: str) -> CallerAnswer:
        """Serve a call to a plain service."""
        account = self._authenticate(request)
        found = self._find_service(service, account)
        limit_ms = self._clock.now_ms() + found.timeout_ms
        deadline_ms = min(limit_ms, request.deadline_ms or limit_ms)
        record = self._records.begin(request, service)
        record.admit(account.name, 0, find_priority(request, account), deadline_ms)
        with record:
            answer = self._services.call(request, account.name, found, path, deadline_ms)
            self._records.observe_call(service, record.started_ms)
            return answer

    def resume(self, request: CallerRequest, resumed_id: str) -> CallerAnswer:
        """Serve the remaining part of an earlier request's answer."""
        account = self._authenticate(request)
        if self.resumer is None:
            raise RequestError(ErrorKind.UNKNOWN_REQUEST, "this daemon does not resume requests")
        return self.resumer.resume(request, account.name, resumed_id)

    def _authenticate(self, request: CallerRequest) -> ClientAccount:
        return self._keys.authenticate(request.headers.get("authorization"))

    def _find_model(self, name: str, account: ClientAccount) -> Model:
        models = self._file.models if self._file else ()
        for model in models:
            if model.name == name and account.may_use(name):
                return model
        raise RequestError(ErrorKind.UNKNOWN_MODEL, "model does not exist for this client account")

    def _find_service(self, name: str, account: ClientAccount) -> Service:
        services = self._file.services if self._file else ()
        for service in services:
            if service.name == name and account.may_use(name):
                return service
        raise RequestError(
            ErrorKind.UNKNOWN_SERVICE, "service does not exist for this client account"
        )

    def _build_generation(
        self, request: CallerRequest, chat: ChatRequest, model: Model, account: ClientAccount
    ) -> Generation:
        limits = self._file.limits if self._file else DEFAULT_LIMITS
        wanted = chat.max_tokens or model.max_tokens
        if wanted > model.max_tokens:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"max_tokens exceeds the model's limit of {model.max_tokens}"
            )
        if count_tokens(chat.prompt) + wanted > model.context_tokens:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                "messages and max_tokens exceed the model's context of "
                f"{model.context_tokens} tokens",
            )
        longest_ms = self._clock.now_ms() + limits.default_deadline_ms
        return Generation(
            request_id=request.request_id,
            account=account.name,
            body=request.body,
            model=chat.model,
            prompt=chat.prompt,
            stream=chat.stream,
            max_tokens=wanted,
            priority=find_priority(request, account),
            deadline_ms=request.deadline_ms or longest_ms,
            trace_parent=request.headers.get("traceparent", ""),
        )


def find_priority(request: CallerRequest, account: ClientAccount) -> int:
    """Return the request's priority; a caller may lower its client account's, not raise it."""
    requested = request.priority
    return account.priority if requested is None else max(requested, account.priority)


def render_moved(moved: MovedError, request_id: str) -> bytes:
    """Return the event that redirects a stream's caller to the remaining part."""
    body = {"request_id": request_id, "retry_after_ms": moved.answer.retry_after_ms}
    return b"event: moved\ndata: " + json.dumps(body).encode() + b"\n\n"


class _Events:
    """A stream's events for the server; an error after the first event becomes the last event."""

    def __init__(
        self, generation: Generation, first: bytes, events: Generator[bytes, None, None]
    ) -> None:
        self._generation = generation
        self._first = first
        self._events = events

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield self._first
            yield from self._events
        except MovedError as moved:
            yield render_moved(moved, self._generation.request_id)
        except HemlockError as error:
            body = describe_error(error, self._generation.request_id)
            yield b"event: error\ndata: " + json.dumps(body).encode() + b"\n\n"

    def close(self) -> None:
        """End the relay when the server closes the answer, whether or not it is complete."""
        self._events.close()
