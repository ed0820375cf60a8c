"""Client for the load reports of backend servers."""

from dataclasses import dataclass
from http import HTTPStatus

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import BackendError, ErrorKind

LOAD_PATH = "/v1/load"
LOAD_TIMEOUT_MS = 1_000
MAX_LOAD_BYTES = 65_536
DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0


@dataclass(frozen=True)
class LoadReport:
    """The load reported by a backend server.

    Parameters
    ==========

    running, waiting : number of requests with and without a slot, of all daemons.
    slots : number of requests that the server processes concurrently.
    prefill_tokens_per_s : prefill speed in prompt tokens; a default if not reported.
    prefill_backlog : prompt tokens still to be prefilled; 0 if not reported.
    age_ms : time between the measurement and the answer.
    draining : whether the server completes its requests and accepts no new ones.
    """

    running: int
    waiting: int
    slots: int
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    prefill_backlog: float = 0.0
    age_ms: float = 0.0
    draining: bool = False


class _LoadAnswer(BaseModel):
    """The body of the answer; engines may send further fields."""

    model_config = ConfigDict(extra="ignore")

    running: int = Field(ge=0)
    waiting: int = Field(ge=0)
    slots: int = Field(gt=0)
    prefill_tokens_per_s: float = Field(default=DEFAULT_PREFILL_TOKENS_PER_S, gt=0)
    prefill_backlog: float = Field(default=0.0, ge=0)
    age_ms: float = Field(default=0.0, ge=0)
    draining: bool = False


class LoadClient:
    """A client that reads the load of one backend server.

    Explanation
    ===========

    Load requests are idempotent, so the library's connection pool, which may resend a request, can
    be used here.
    """

    def __init__(self, http: HTTPClient) -> None:
        self._http = http

    @classmethod
    def from_address(cls, address: str, timeout_ms: float = LOAD_TIMEOUT_MS) -> "LoadClient":
        """Return a client of the backend server at ``ip:port``."""
        host, port = split_address(address)
        timeout_s = timeout_ms / MS_PER_SECOND
        return cls(
            HTTPClient(
                host,
                port,
                concurrency=1,
                connection_timeout=timeout_s,
                network_timeout=timeout_s,
            )
        )

    def read(self) -> LoadReport | None:
        """Return the load, or None if the server does not report its load.

        Raises
        ======

        BackendError : the server cannot be reached, or its answer is not a load report.
        """
        try:
            response = self._http.get(LOAD_PATH)
            body = bytes(response.read(MAX_LOAD_BYTES))
            response.release()
        except (OSError, HTTPParseError, EOFError) as error:
            raise BackendError(ErrorKind.NO_BACKEND, f"load request failed: {error}") from error
        if response.status_code == HTTPStatus.NOT_FOUND:
            return None
        return parse_load(body)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()


def parse_load(body: bytes) -> LoadReport:
    """Parse the load report in the body of an answer.

    Raises
    ======

    BackendError : the body is not a load report.

    Examples
    ========

    >>> parse_load(b'{"running": 2, "waiting": 0, "slots": 16}').running
    2
    """
    try:
        answer = _LoadAnswer.model_validate_json(body)
    except ValidationError as error:
        raise BackendError(
            ErrorKind.ANSWER_INVALID, "the load report has an invalid format"
        ) from error
    return LoadReport(**answer.model_dump())
