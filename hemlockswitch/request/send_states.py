"""State machine of a forwarded request: what may follow a failed attempt, and the error to answer with.

This module alone decides whether a request may be sent again and whether the error may state that it
did not run. It does no input or output; `request/forwarding.py` passes it the failures.
"""

from dataclasses import dataclass
from enum import StrEnum

from hemlockswitch.core.errors import ErrorKind


class SendState(StrEnum):
    """Whether a request may have run, over all its attempts so far."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RELAYING = "relaying"


class SendFailure(StrEnum):
    """How an attempt ended without a complete answer."""

    WITHDRAWN = "withdrawn"  # the server may no longer get the request, which was not sent
    UNREACHABLE = "unreachable"
    DECLINED = "declined"
    BROKEN = "broken"
    OVERDUE = "overdue"


@dataclass(frozen=True)
class SendVerdict:
    """Consequence of a failed attempt.

    Parameters
    ==========

    state : the new state of the request.
    may_send_again : whether it is safe to send the request again.
    answer : the error to answer with if the request is not sent again; None if the answer has begun
        and can only be aborted.
    """

    state: SendState
    may_send_again: bool
    answer: ErrorKind | None


_NOT_RUN_ANSWERS = {
    SendFailure.WITHDRAWN: ErrorKind.NO_BACKEND,
    SendFailure.UNREACHABLE: ErrorKind.NO_BACKEND,
    SendFailure.DECLINED: ErrorKind.OVERLOADED,
    SendFailure.BROKEN: ErrorKind.OUTCOME_UNKNOWN,
    SendFailure.OVERDUE: ErrorKind.DEADLINE_BEFORE_DISPATCH,
}


def judge_failure(
    state: SendState, failure: SendFailure, *, is_repeatable: bool, was_sent: bool
) -> SendVerdict:
    """Return the consequence of `failure`.

    Parameters
    ==========

    state : the state of the request before this attempt.
    failure : how the attempt failed.
    is_repeatable : whether it is safe to run the request twice.
    was_sent : whether any byte of this attempt may have reached a backend server.

    Examples
    ========

    >>> judge_failure(SendState.NOT_RUN, SendFailure.BROKEN, is_repeatable=False, was_sent=True)
    ... # doctest: +NORMALIZE_WHITESPACE
    SendVerdict(state=<SendState.MAY_HAVE_RUN: 'may_have_run'>, may_send_again=False,
                answer=<ErrorKind.OUTCOME_UNKNOWN: 'outcome_unknown'>)
    """
    after = _advance(state, failure, was_sent)
    if after is SendState.RELAYING:
        return SendVerdict(after, is_repeatable and failure is not SendFailure.OVERDUE, None)
    if failure is SendFailure.OVERDUE:
        return SendVerdict(after, False, _find_overdue_answer(after))
    if after is SendState.NOT_RUN:
        return SendVerdict(after, True, _NOT_RUN_ANSWERS[failure])
    return SendVerdict(after, is_repeatable, ErrorKind.OUTCOME_UNKNOWN)


def _advance(state: SendState, failure: SendFailure, was_sent: bool) -> SendState:
    """Return the state after a failure; it changes only if the request may have run."""
    is_unknown = failure in (SendFailure.BROKEN, SendFailure.OVERDUE) and was_sent
    if state is SendState.NOT_RUN and is_unknown:
        return SendState.MAY_HAVE_RUN
    return state


def _find_overdue_answer(state: SendState) -> ErrorKind:
    if state is SendState.NOT_RUN:
        return ErrorKind.DEADLINE_BEFORE_DISPATCH
    return ErrorKind.DEADLINE_EXCEEDED
