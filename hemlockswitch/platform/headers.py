"""Requests and answers on the wire: header names and statuses of the platform's protocol."""

import re
from http import HTTPStatus

from hemlockswitch.connection.heads import (
    Header,
    ReceivedRequest,
    encode_head,
    select_end_to_end,
)
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.dialect import (
    ErrorReply,
    Prompt,
    PromptPart,
    ReportedSlots,
    RequestFacts,
    SendFields,
)

REQUEST_ID = "hemlockswitch-request-id"
DEADLINE = "hemlockswitch-deadline-ms"
API_KEY = "x-api-key"
TENANT = "hemlockswitch-tenant"
"""The client account's name; callers must not set it."""
TOKEN_COUNTS = "hemlockswitch-token-counts"
"""Two numbers: prompt tokens, and the most output tokens."""
PROMPT_PREFIX = "hemlockswitch-prompt-prefix"
"""All parts of the prompt, the request's own last: more than a prefix."""
LAST_EVENT_ID = "last-event-id"
EXPECT_INSTANCE = "hemlockswitch-expect-instance"
URGENCY = "hemlockswitch-request-urgency"
SEAL = "hemlockswitch-response-seal"
"""The message authentication code of a runner's answer."""
NOT_EXECUTED = "hemlockswitch-not-executed"
INSTANCE_LOAD = "hemlockswitch-instance-load"

SET_BY_US = frozenset(
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
"""Headers of a caller that never go on as they came."""
LOWEST_URGENCY = 9
HIGHEST_OWN_TIME_MS = 86_400_000
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,6})?")
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Headers:
    """The platform's dialect of forwarded requests; see `hemlockswitch.request.dialect.Dialect`."""

    def decode_request(self, request: ReceivedRequest) -> RequestFacts:
        """Return what the request says of itself."""
        request_id = request.get(REQUEST_ID)
        if not request_id:
            raise RequestError(ErrorKind.BAD_REQUEST, "the request has no identifier")
        hosts = [value for name, value in request.headers if name.lower() == "host"]
        if len(hosts) != 1:
            raise RequestError(ErrorKind.BAD_REQUEST, "the request needs exactly one host")
        key = request.get(API_KEY)
        return RequestFacts(
            request_id=request_id,
            host=hosts[0].partition(":")[0],
            key=key or None,
            time_left_ms=_decode_time(request.get(DEADLINE)),
            prompt=_decode_prompt(request),
            last_event_id=request.get(LAST_EVENT_ID),
        )

    def encode_request(
        self, request: ReceivedRequest, facts: RequestFacts, fields: SendFields
    ) -> bytes:
        """Return the bytes to send to a runner."""
        headers = [
            (name, value)
            for name, value in select_end_to_end(request.headers)
            if name.lower() not in SET_BY_US
        ]
        headers.append(("Hemlockswitch-Deadline-Ms", str(int(fields.time_left_ms))))
        headers.append(("Hemlockswitch-Expect-Instance", fields.server_name))
        if fields.account:
            headers.append(("Hemlockswitch-Tenant", fields.account))
        if facts.prompt is not None:
            urgency = min(fields.urgency, LOWEST_URGENCY)
            headers.append(("Hemlockswitch-Request-Urgency", str(urgency)))
        if fields.last_event_id:
            headers.append(("Last-Event-Id", fields.last_event_id))
        if request.has_body:
            headers.append(("Content-Length", str(len(request.body))))
        return encode_head(f"{request.method} {request.target} HTTP/1.1", headers) + request.body

    def is_answer_to(self, answer: ParsedAnswer, request_id: str) -> bool:
        """Return whether the answer is this request's; runners may decline without naming it."""
        names = dict(_lower(answer))
        if REQUEST_ID in names:
            return names[REQUEST_ID] == request_id
        return self.states_not_run(answer)

    def states_not_run(self, answer: ParsedAnswer) -> bool:
        """Return whether the runner states that it did not run the request."""
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            return True
        return any(name == NOT_EXECUTED for name, _ in _lower(answer))

    def is_genuine(self, answer: ParsedAnswer) -> bool:
        """Return whether the answer is a runner's own and not encoded on the way."""
        names = dict(_lower(answer))
        if "content-encoding" in names:
            return False
        return SEAL in names or answer.status >= HTTPStatus.MULTIPLE_CHOICES

    def read_slots(self, answer: ParsedAnswer) -> ReportedSlots | None:
        """Return the load: running, waiting, slots."""
        stated = dict(_lower(answer)).get(INSTANCE_LOAD, "")
        numbers = stated.split(",")
        if len(numbers) != 3 or not all(number.strip().isdigit() for number in numbers):
            return None
        running, waiting, slots = (int(number) for number in numbers)
        return ReportedSlots(running, waiting, slots)

    def select_answer_headers(self, answer: ParsedAnswer) -> list[Header]:
        """Return the runner's headers without those of its connection."""
        return select_end_to_end(answer.headers)

    def describe_error(self, error: RequestError, request_id: str) -> ErrorReply:
        """Return the answer to a request that failed here.

        Explanation
        ===========

        Here 408, 421, 429 and 503 promise that the request has not run and never will; 502 and
        504 promise nothing. So a request that certainly did not run gets a status that says so,
        and no other does.
        """
        status = error.answer.status
        if error.answer.ran is Ran.NO and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.SERVICE_UNAVAILABLE.value
        elif error.answer.ran is not Ran.NO and status in _PROMISES_NOT_RUN:
            status = HTTPStatus.BAD_GATEWAY.value
        headers: list[Header] = [("Content-Type", "text/plain; charset=utf-8")]
        if request_id:
            headers.append(("Hemlockswitch-Request-Id", request_id))
        if error.answer.retry_after_ms > 0 and status in _PROMISES_NOT_RUN:
            headers.append(("Retry-After", f"{error.answer.retry_after_ms / MS_PER_SECOND:.3f}"))
        body = f"{error.kind.value}: {error.detail}\n".encode()
        return ErrorReply(status, HTTPStatus(status).phrase, tuple(headers), body)


def _lower(answer: ParsedAnswer) -> list[Header]:
    return [(name.lower(), value) for name, value in answer.headers]


def _decode_time(value: str) -> float | None:
    if not value:
        return None
    if not _NUMBER.fullmatch(value):
        raise RequestError(ErrorKind.BAD_REQUEST, "the deadline is not a number of milliseconds")
    return min(float(value), HIGHEST_OWN_TIME_MS)


def _decode_prompt(request: ReceivedRequest) -> Prompt | None:
    counts = request.get(TOKEN_COUNTS)
    if not counts:
        return None
    numbers = [number.strip() for number in counts.split(",")]
    if len(numbers) != 2 or not all(number.isdigit() for number in numbers):
        raise RequestError(ErrorKind.BAD_REQUEST, "the token counts are not two numbers")
    parts = tuple(_decode_part(entry) for entry in request.get(PROMPT_PREFIX).split(",") if entry)
    return Prompt(parts, int(numbers[0]), int(numbers[1]))


def _decode_part(entry: str) -> PromptPart:
    identifier, _, tokens = entry.strip().partition(":")
    if not tokens.isdigit():
        raise RequestError(ErrorKind.BAD_REQUEST, "a prompt part has no size")
    return PromptPart(identifier, int(tokens))
