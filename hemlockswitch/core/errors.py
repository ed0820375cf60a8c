"""The exception hierarchy, the closed list of error kinds, and the answer for each kind."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether the backend server ran the request that an error answers."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """The closed list of error kinds that answers and exceptions carry."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_OPERATION = "unknown_operation"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_ROUTE = "unknown_route"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    CALLER_TOO_SLOW = "caller_too_slow"
    REQUEST_LIMIT = "request_limit"
    TOKEN_LIMIT = "token_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    OVERLOADED = "overloaded"
    NO_BACKEND = "no_backend"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    DEADLINE_BEFORE_DISPATCH = "deadline_before_dispatch"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_CONFLICT = "claim_conflict"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_INVALID = "answer_invalid"
    MOVED = "moved"
    INVALID_CONFIGURATION = "invalid_configuration"
    REVISION_CONFLICT = "revision_conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PEER_UNAVAILABLE = "peer_unavailable"
    STALE_FENCING = "stale_fencing"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Answer:
    """The answer that a caller receives for an error kind.

    Parameters
    ==========

    status : HTTP status.
    ran : whether the backend server ran the request.
    retry_after_ms : default retry delay; 0 when a retry does not help.
    """

    status: int
    ran: Ran
    retry_after_ms: int = 0


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
    ErrorKind.UNAUTHORIZED: Answer(401, Ran.NO),
    ErrorKind.UNKNOWN_MODEL: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_OPERATION: Answer(404, Ran.NO),
    ErrorKind.UNKNOWN_REQUEST: Answer(404, Ran.UNKNOWN),
    ErrorKind.UNKNOWN_ROUTE: Answer(404, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO),
    ErrorKind.HEAD_TOO_LARGE: Answer(431, Ran.NO),
    ErrorKind.CALLER_TOO_SLOW: Answer(408, Ran.NO),
    ErrorKind.REQUEST_LIMIT: Answer(429, Ran.NO, 1_000),
    ErrorKind.TOKEN_LIMIT: Answer(429, Ran.NO, 1_000),
    ErrorKind.CONCURRENCY_LIMIT: Answer(429, Ran.NO, 1_000),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, 1_000),
    ErrorKind.NO_BACKEND: Answer(503, Ran.NO, 2_000),
    ErrorKind.STREAM_VERSION_UNKNOWN: Answer(503, Ran.NO, 500),
    ErrorKind.QUARANTINED: Answer(503, Ran.NO, 2_000),
    ErrorKind.LEAVING: Answer(503, Ran.NO, 100),
    ErrorKind.NOT_READY: Answer(503, Ran.NO, 1_000),
    ErrorKind.DEADLINE_BEFORE_DISPATCH: Answer(504, Ran.NO, 1_000),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.UNKNOWN),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, Ran.NO, 2_000),
    ErrorKind.CLAIM_CONFLICT: Answer(409, Ran.UNKNOWN, 1_000),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN),
    ErrorKind.ANSWER_INVALID: Answer(502, Ran.YES),
    ErrorKind.MOVED: Answer(503, Ran.YES, 100),
    ErrorKind.INVALID_CONFIGURATION: Answer(422, Ran.NO),
    ErrorKind.REVISION_CONFLICT: Answer(409, Ran.NO),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, Ran.NO, 2_000),
    ErrorKind.PEER_UNAVAILABLE: Answer(503, Ran.UNKNOWN, 1_000),
    ErrorKind.STALE_FENCING: Answer(409, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
}


class HemlockError(Exception):
    """Base class of the project's exceptions; each carries an `ErrorKind`.

    Parameters
    ==========

    kind : the error kind; its row in `ANSWERS` gives the answer.
    detail : one sentence for the caller; never contains a secret.
    ran : overrides the value of `ANSWERS` where the code that raises the error has better
        information.
    retry_after_ms : overrides the retry delay of `ANSWERS`.

    Examples
    ========

    >>> error = HemlockError(ErrorKind.OVERLOADED, "queue is full", retry_after_ms=250)
    >>> error.answer
    Answer(status=503, ran=<Ran.NO: 'no'>, retry_after_ms=250)
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        ran: Ran | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        row = ANSWERS[kind]
        self.answer = Answer(
            row.status,
            row.ran if ran is None else ran,
            row.retry_after_ms if retry_after_ms is None else retry_after_ms,
        )


class RequestError(HemlockError):
    """An error that is returned as the answer to one caller's request."""

    def replace_ran(self, ran: Ran) -> "RequestError":
        """Return a copy of this error with `ran` replaced.

        Examples
        ========

        >>> RequestError(ErrorKind.NO_BACKEND, "none is left").replace_ran(Ran.UNKNOWN).answer
        Answer(status=503, ran=<Ran.UNKNOWN: 'unknown'>, retry_after_ms=2000)
        """
        retry_after_ms = self.answer.retry_after_ms
        return RequestError(self.kind, self.detail, ran=ran, retry_after_ms=retry_after_ms)


class ConfigurationError(HemlockError):
    """An operator file or a settings file is invalid."""


class PlatformError(HemlockError):
    """The platform's object service refused a call, failed or did not answer."""


class HistoryGoneError(PlatformError):
    """A watch requested changes that the platform no longer stores.

    The client must list the objects again.
    """

    def __init__(self, since: int) -> None:
        super().__init__(ErrorKind.PLATFORM_UNAVAILABLE, f"no history since version {since}")


class BackendError(HemlockError):
    """A backend server refused a call, failed or did not answer."""


class PeerError(HemlockError):
    """Another process of the system did not answer or answered with an error."""
