"""Clearance of requests against the quarantine, obtained before each send attempt."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.version.backend import BackendServer


class Clearance(StrEnum):
    """The manner in which a request may be sent."""

    FREE = "free"
    CAREFUL = "careful"
    TRIAL = "trial"

    @property
    def is_trial(self) -> bool:
        """Whether the request is quarantined and is sent once as a trial."""
        return self is Clearance.TRIAL

    @property
    def is_careful(self) -> bool:
        """Whether to send the request to the server with the fewest requests in progress."""
        return self is not Clearance.FREE


class Content(Protocol):
    """A request, identified by its content."""

    @property
    def fingerprint(self) -> str:
        """Hash of the content, identical for each attempt at any daemon (`request.fingerprint`)."""

    @property
    def content_fingerprints(self) -> tuple[str, ...]:
        """The fingerprint, and that at the service if the same content may go to several services."""

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Fingerprints of the declared parts of the prompt that other requests may contain too."""


@dataclass(frozen=True)
class CompleteAnswer:
    """A complete answer to a request.

    Parameters
    ==========

    server : the server that answered.
    sent_ms : when the request was sent to it.
    began_ms : when the first part of the body arrived, or an earlier time.
    since_ms : since when the process that answered has been running at least; None if its name identifies it.
    is_failure : whether the server states that it failed, so that it may not have looked at the request.
    is_generated : whether the server generated an answer from the whole prompt: the answer is no error, and
        continues none that another server began.
    """

    server: BackendServer
    sent_ms: float
    began_ms: float
    is_generated: bool = True
    since_ms: float | None = None
    is_failure: bool = False


class RequestGuard(Protocol):
    """Refuses requests that crash backend servers (`request.quarantine`)."""

    def clear(self, content: Content, *, may_try: bool) -> Clearance:
        """Return the clearance of a request.

        Parameters
        ==========

        may_try : whether a quarantined request may be sent once as a trial.

        Raises
        ======

        RequestError : the request is quarantined; the error has the time until the next trial.
        """

    def record_broken_connection(
        self, content: Content, server: BackendServer, since_ms: float | None = None
    ) -> bool:
        """Record a connection closed before the end of the answer; return whether the server crashed.

        Parameters
        ==========

        since_ms : since when the process that the connection led to has been running at least; None if its
            name identifies it.
        """

    def has_left(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that closed a connection has ended as announced."""

    def record_alive(
        self, server: BackendServer, sent_ms: float, since_ms: float | None = None
    ) -> None:
        """Record that a server has begun to answer a request sent at `sent_ms`."""

    def must_hold(self, content: Content) -> bool:
        """Return whether a request has been quarantined since it was cleared."""

    def record_complete_answer(self, content: Content, answer: CompleteAnswer) -> None:
        """Record a complete answer, which excuses crashes."""


def clear_request(
    guard: RequestGuard, content: Content, last: Clearance, *, is_first: bool, ran: Ran
) -> Clearance:
    """Return the clearance of a request for its next send attempt.

    Parameters
    ==========

    last : the clearance when a server was last chosen for the request.
    is_first : whether nothing of the request has been sent, so that it may be sent as a trial.
    ran : whether an earlier attempt may have run the request.

    Raises
    ======

    RequestError : the request is quarantined; `OUTCOME_UNKNOWN` if an earlier attempt may have run it.
    """
    if is_first and last.is_trial:
        return last  # The granted trial has not reached a server yet.
    try:
        return guard.clear(content, may_try=is_first)
    except RequestError as quarantined:
        if ran is Ran.NO:
            raise
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, quarantined.detail, ran=ran) from quarantined
