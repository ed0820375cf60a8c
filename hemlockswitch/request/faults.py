"""The answer to a request that an unexpected exception has ended."""

from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.progress import Progress
from hemlockswitch.request.send_states import SendState


def describe_fault(progress: Progress) -> RequestError:
    """Return the error to answer with; it states that the request was not run only if nothing was sent."""
    is_unsent = progress.state is SendState.NOT_RUN and not progress.in_flight
    ran = Ran.NO if is_unsent else Ran.UNKNOWN
    return RequestError(ErrorKind.INTERNAL, "an internal error of this process", ran=ran)
