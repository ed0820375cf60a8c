"""Whether and how a request may be sent, as whoever sends it asks before each send."""

from enum import StrEnum
from typing import Protocol

from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.version.backend import BackendServer


class Clearance(StrEnum):
    """How a request may be sent."""

    FREE = "free"
    CAREFUL = "careful"
    TRIAL = "trial"

    @property
    def is_trial(self) -> bool:
        """Whether it was held back and is sent once to see what becomes of it."""
        return self is Clearance.TRIAL

    @property
    def is_careful(self) -> bool:
        """Whether it goes to the server on which least is in progress."""
        return self is not Clearance.FREE


class Content(Protocol):
    """A request, by what it asks for."""

    @property
    def fingerprint(self) -> str:
        """The name of it, the same for each attempt at any daemon (`request.fingerprint`)."""


class RequestGuard(Protocol):
    """Holds back the requests under which backend servers end (`request.quarantine`)."""

    def clear(self, content: Content, *, may_try: bool) -> Clearance:
        """Return how a request may be sent now.

        Parameters
        ==========

        may_try : whether a request that is held back may be sent as a trial, once.

        Raises
        ======

        RequestError : it is held back; the error says when it may be tried.
        """

    def note_broken(self, content: Content, server: BackendServer) -> bool:
        """A server's connection ended before the answer did; return whether the server has ended."""

    def note_answered(self, content: Content, server: BackendServer, sent_ms: float) -> None:
        """A server has answered completely what was sent to it at `sent_ms`."""


def clear_request(
    guard: RequestGuard, content: Content, last: Clearance, *, is_first: bool, ran: Ran
) -> Clearance:
    """Return how a request may be sent, or raise with what is known of whether it ran.

    Parameters
    ==========

    last : how it might be sent when a server was chosen for it before.
    is_first : whether nothing of it was sent yet, so that it may be sent as a trial.
    """
    if is_first and last.is_trial:
        return last  # The trial that was granted has reached no server yet.
    try:
        return guard.clear(content, may_try=is_first)
    except RequestError as held:
        if ran is Ran.NO:
            raise
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, held.detail, ran=ran) from held
