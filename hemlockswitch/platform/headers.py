"""Header names and status codes of the platform's protocol for requests and answers."""

import re
from collections.abc import Mapping
from http import HTTPStatus

from hemlockswitch.connection.heads import (
    Header,
    ReceivedRequest,
    encode_head,
    select_end_to_end,
)
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.platform.answer_fields import UnknownFields, UnreadableFields
from hemlockswitch.platform.retry_after import parse_retry_after_ms
from hemlockswitch.request.dialect import (
    ErrorReply,
    Prompt,
    PromptPart,
    RequestFacts,
    SendFields,
    StatedLoad,
)
from hemlockswitch.request.permits import UNLIMITED

REQUEST_ID = "hemlockswitch-request-id"
DEADLINE = "hemlockswitch-deadline-ms"
API_KEY = "x-api-key"
TENANT = "hemlockswitch-tenant"
"""Name of the client account; callers must not set it."""
TOKEN_COUNTS = "hemlockswitch-token-counts"
"""Two numbers: prompt tokens, and maximum output tokens."""
PROMPT_PREFIX = "hemlockswitch-prompt-prefix"
"""All parts of the prompt, not only its prefix; the last part is specific to the request."""
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
EXPECT_INSTANCE = "hemlockswitch-expect-instance"
URGENCY = "hemlockswitch-request-urgency"
SEAL = "hemlockswitch-response-seal"
"""Message authentication code of a runner's answer."""
NOT_EXECUTED = "hemlockswitch-not-executed"
INSTANCE_LOAD = "hemlockswitch-instance-load"
SERVER_LIMIT = "server-limit"
"""The requests per second that a runner takes from all daemons together, for as long as it states it."""
SERVER_BRITTLE = "server-brittle"
"""The rejections in one second after which a runner falls over, for as long as it states it."""
SERVER_LEAVING = "server-leaving"
"""``1`` in all answers of a runner that leaves."""
RETRY_AFTER = "retry-after"
"""In an answer 503 of a runner: the time for which it wants nothing from the machine that gets the answer."""

NOT_FORWARDED = frozenset(
    {
        DEADLINE,
        API_KEY,
        TENANT,
        LAST_EVENT_ID,
        EXPECT_INSTANCE,
        URGENCY,
        "hemlockswitch-hold",
        "hemlockswitch-pin-ms",
        "hemlockswitch-kv-backup",
        "kv-from",
        "kv-fetch",
        "hemlockswitch-expect-version",
    }
)
"""Headers of a caller that are never forwarded unchanged."""
INSTANCE_ID = "hemlockswitch-instance-id"
WEIGHT_VERSIONS = "hemlockswitch-weight-versions"
KNOWN_ANSWER_FIELDS = frozenset(
    {
        "cache-control",
        "connection",
        "content-encoding",
        "content-length",
        "content-type",
        "date",
        INSTANCE_ID,
        INSTANCE_LOAD,
        NOT_EXECUTED,
        REQUEST_ID,
        SEAL,
        WEIGHT_VERSIONS,
        "keep-alive",
        RETRY_AFTER,
        "server",
        SERVER_BRITTLE,
        SERVER_LEAVING,
        SERVER_LIMIT,
        "transfer-encoding",
    }
)
"""Header fields of answers that the pages of the protocol explain; any other one is logged."""
MAX_URGENCY_LEVEL = 9
"""The least urgent level; greater values are reduced to it."""
MIN_PACE_PERCENT = 10
MAX_PACE_PERCENT = 10_000
MAX_CALLER_DEADLINE_MS = 86_400_000
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,6})?")
_LOAD = re.compile(r" *\d{1,9} *, *\d{1,9} *, *\d{1,9} *(, *\d{1,9} *)?")
_LIMIT = re.compile(r"\d{1,9}(\.\d{1,9})?")
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Headers:
    """The platform's implementation of `hemlockswitch.request.dialect.Dialect`."""

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._unknown_fields = UnknownFields(KNOWN_ANSWER_FIELDS)
        self._unreadable_fields = UnreadableFields(self._clock)

    def inspect_answer(self, answer: ParsedAnswer) -> None:
        """Log the answer's unknown header fields."""
        self._unknown_fields.record(answer.headers)

    def decode_request(self, request: ReceivedRequest) -> RequestFacts:
        """Decode the request's headers."""
        request_id = request.get(REQUEST_ID)
        if not request_id:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "the request has no request identifier header"
            )
        hosts = [value for name, value in request.headers if name.lower() == "host"]
        if len(hosts) != 1:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "the request must have exactly one Host header"
            )
        key = request.get(API_KEY)
        return RequestFacts(
            request_id=request_id,
            host=hosts[0].partition(":")[0],
            key=key or None,
            time_left_ms=_decode_deadline(request.get(DEADLINE)),
            prompt=_decode_prompt(request),
            last_event_id=request.get(LAST_EVENT_ID),
            resumes=request.get(RESUMES),
        )

    def encode_request(
        self, request: ReceivedRequest, facts: RequestFacts, fields: SendFields
    ) -> bytes:
        """Encode the request that is sent to a runner."""
        headers = [
            (name, value)
            for name, value in select_end_to_end(request.headers)
            if name.lower() not in NOT_FORWARDED
        ]
        headers.append(("Hemlockswitch-Deadline-Ms", str(int(fields.time_left_ms))))
        headers.append(("Hemlockswitch-Expect-Instance", fields.server_name))
        if fields.account:
            headers.append(("Hemlockswitch-Tenant", fields.account))
        if facts.prompt is not None:
            urgency = min(fields.urgency, MAX_URGENCY_LEVEL)
            headers.append(("Hemlockswitch-Request-Urgency", str(urgency)))
        if fields.last_event_id:
            headers.append(("Last-Event-Id", fields.last_event_id))
        if request.has_body:
            headers.append(("Content-Length", str(len(request.body))))
        return encode_head(f"{request.method} {request.target} HTTP/1.1", headers) + request.body

    def is_answer_to(self, answer: ParsedAnswer, request_id: str) -> bool:
        """Return whether the answer belongs to this request.

        A runner that declines a request may omit the request's identifier.
        """
        fields = dict(_lower_names(answer))
        if REQUEST_ID in fields:
            return fields[REQUEST_ID] == request_id
        return self.states_not_run(answer)

    def states_not_run(self, answer: ParsedAnswer) -> bool:
        """Return whether the runner states that it did not run the request."""
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return True
        return any(name == NOT_EXECUTED for name, _ in _lower_names(answer))

    def is_genuine(self, answer: ParsedAnswer) -> bool:
        """Return whether a runner made the answer and no intermediary re-encoded it."""
        return _is_genuine(answer.status, dict(_lower_names(answer)))

    def shows_running(self, answer: ParsedAnswer, server_name: str) -> bool:
        """Return whether the answer shows that the named process was running when the request was sent.

        Explanation
        ===========

        A request names its server, and any other process answers 421. A refusal need not repeat the
        request's identifier, so it may have been left on the connection by an earlier request; it counts
        only if it names the process.
        """
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST or not self.is_genuine(answer):
            return False
        stated = [value for name, value in _lower_names(answer) if name == INSTANCE_ID]
        if stated:
            return stated == [server_name]
        return not self.states_not_run(answer)

    def read_load(self, answer: ParsedAnswer) -> StatedLoad | None:
        """Return the stated load: running, waiting, slots and, if stated, the pace in percent.

        The result is None if the field is absent, or malformed, which is logged.
        """
        values = _list_own_values(answer, INSTANCE_LOAD)
        if not values:
            return None
        load = _parse_load(values[0]) if len(values) == 1 else None
        if load is None:
            self._unreadable_fields.record(INSTANCE_LOAD, ", ".join(values))
        return load

    def read_rate_limit(self, answer: ParsedAnswer) -> float | None:
        """Return the stated limit in requests per second; infinite if none, None if the answer cannot tell."""
        return self._read_stated(answer, SERVER_LIMIT)

    def read_rejection_limit(self, answer: ParsedAnswer) -> float | None:
        """Return after how many rejections in a second the runner falls over, in the same form."""
        return self._read_stated(answer, SERVER_BRITTLE)

    def states_leaving(self, answer: ParsedAnswer) -> bool:
        """Return whether the runner states that it leaves.

        A malformed value counts as this statement: a server that is left out by mistake costs less than
        requests to one that is about to end.
        """
        if all(name.lower() != SERVER_LEAVING for name, _ in answer.headers):
            return False  # Most answers do not have the field.
        values = _list_own_values(answer, SERVER_LEAVING)
        if not values or values == ["0"]:
            return False
        if any(value != "1" for value in values):
            self._unreadable_fields.record(SERVER_LEAVING, ", ".join(values))
        return True

    def read_rest_ms(self, answer: ParsedAnswer) -> float:
        """Return for how long the runner wants nothing from this machine, in ms; 0 if it states no time.

        Of several values the longest counts; malformed ones are logged.
        """
        if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
            return 0.0
        date = dict(_lower_names(answer)).get("date", "")
        rest_ms = 0.0
        for value in _list_own_values(answer, RETRY_AFTER) or ():
            stated_ms = parse_retry_after_ms(value, date, self._clock.wall_ms())
            if stated_ms is None:
                self._unreadable_fields.record(RETRY_AFTER, value)
            rest_ms = max(rest_ms, stated_ms or 0.0)
        return rest_ms

    def _read_stated(self, answer: ParsedAnswer, field: str) -> float | None:
        values = _list_own_values(answer, field)
        if values is None:
            return None
        if not values:
            return UNLIMITED
        if len(values) == 1 and _LIMIT.fullmatch(values[0]):
            return float(values[0])
        self._unreadable_fields.record(field, ", ".join(values))
        return None

    def select_answer_headers(self, answer: ParsedAnswer) -> list[Header]:
        """Return the runner's end-to-end headers."""
        return select_end_to_end(answer.headers)

    def describe_error(self, error: RequestError, request_id: str) -> ErrorReply:
        """Return the answer to a request that failed in this daemon.

        Explanation
        ===========

        In the platform's protocol 408, 421, 429 and 503 guarantee that the request has not run and
        never will; 502 and 504 guarantee nothing. Only a request that certainly did not run gets
        one of the former.
        """
        status = error.answer.status
        if error.answer.ran is Ran.NO and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.SERVICE_UNAVAILABLE.value
        elif error.answer.ran is not Ran.NO and status in _NOT_RUN_STATUSES:
            status = HTTPStatus.BAD_GATEWAY.value
        headers: list[Header] = [("Content-Type", "text/plain; charset=utf-8")]
        if request_id:
            headers.append(("Hemlockswitch-Request-Id", request_id))
        if error.answer.retry_after_ms > 0 and status in _NOT_RUN_STATUSES:
            headers.append(("Retry-After", f"{error.answer.retry_after_ms / MS_PER_SECOND:.3f}"))
        body = f"{error.kind.value}: {error.detail}\n".encode()
        return ErrorReply(status, HTTPStatus(status).phrase, tuple(headers), body)


def _is_genuine(status: int, fields: Mapping[str, str]) -> bool:
    """Return whether a runner made the answer that has these fields, by their lowercase names."""
    if "content-encoding" in fields:
        return False
    return SEAL in fields or status >= HTTPStatus.MULTIPLE_CHOICES


def _parse_load(value: str) -> StatedLoad | None:
    """Return the load of a header field's value, or None if it is malformed.

    Examples
    ========

    >>> _parse_load("3,0,8,250")
    StatedLoad(running=3, waiting=0, slots=8, pace=2.5)
    >>> _parse_load("3,0,8,0") is None
    True
    """
    if not _LOAD.fullmatch(value):
        return None
    running, waiting, slots, *rest = (int(figure) for figure in value.split(","))
    if not rest:
        return StatedLoad(running, waiting, slots)
    if not MIN_PACE_PERCENT <= rest[0] <= MAX_PACE_PERCENT:
        return None
    return StatedLoad(running, waiting, slots, rest[0] / 100)


def _list_own_values(answer: ParsedAnswer, field: str) -> list[str] | None:
    """Return the values of a field; None if the answer may not be that of the addressed runner."""
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return None
    names = _lower_names(answer)
    fields = dict(names)
    if not _is_genuine(answer.status, fields) and NOT_EXECUTED not in fields:
        return None
    return [value for name, value in names if name == field]


def _lower_names(answer: ParsedAnswer) -> list[Header]:
    return [(name.lower(), value) for name, value in answer.headers]


def _decode_deadline(value: str) -> float | None:
    if not value:
        return None
    if not _NUMBER.fullmatch(value):
        raise RequestError(
            ErrorKind.BAD_REQUEST, "the deadline header must be a number of milliseconds"
        )
    return min(float(value), MAX_CALLER_DEADLINE_MS)


def _decode_prompt(request: ReceivedRequest) -> Prompt | None:
    counts = request.get(TOKEN_COUNTS)
    if not counts:
        return None
    numbers = [number.strip() for number in counts.split(",")]
    if len(numbers) != 2 or not all(number.isdigit() for number in numbers):
        raise RequestError(ErrorKind.BAD_REQUEST, "the token counts header must be two numbers")
    parts = tuple(_decode_part(entry) for entry in request.get(PROMPT_PREFIX).split(",") if entry)
    return Prompt(parts, int(numbers[0]), int(numbers[1]))


def _decode_part(entry: str) -> PromptPart:
    identifier, _, tokens = entry.strip().partition(":")
    if not tokens.isdigit():
        raise RequestError(ErrorKind.BAD_REQUEST, "a prompt part has no token count")
    return PromptPart(identifier.lower(), int(tokens))
