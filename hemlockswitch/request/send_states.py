"""One forwarded request as a state machine: what may follow a failed send, and what is answered.

The table is the whole rule for "may it be sent again" and "may the answer say that it did not
run". It knows no sockets; `request/forwarding.py` feeds it with what happened.
"""

from dataclasses import dataclass
from enum import StrEnum

from hemlockswitch.core.errors import ErrorKind


class SendState(StrEnum):
    """What is known of a request's execution, over all its sends so far."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RELAYING = "relaying"


class SendFailure(StrEnum):
    """How one send ended without a complete answer."""

    UNREACHABLE = "unreachable"
    DECLINED = "declined"
    BROKEN = "broken"
    OVERDUE = "overdue"


@dataclass(frozen=True)
class SendVerdict:
    """What follows a failed send.

    Parameters
    ==========

    state : what is known from now on.
    may_send_again : whether another send cannot do harm.
    answer : the error to answer with when it is not sent again; None when the answer has begun
        and can only be broken off.
    """

    state: SendState
    may_send_again: bool
    answer: ErrorKind | None


_NOT_RUN_ANSWERS = {
    SendFailure.UNREACHABLE: ErrorKind.NO_BACKEND,
    SendFailure.DECLINED: ErrorKind.OVERLOADED,
    SendFailure.BROKEN: ErrorKind.OUTCOME_UNKNOWN,
    SendFailure.OVERDUE: ErrorKind.DEADLINE_BEFORE_DISPATCH,
}


def judge_failure(
    state: SendState, failure: SendFailure, *, is_repeatable: bool, was_sent: bool
) -> SendVerdict:
    """Return what follows `failure`.

    Parameters
    ==========

    state : what was known before this send.
    is_repeatable : whether running the request twice does no harm.
    was_sent : whether any byte of this send may have reached a backend server.

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
    """Return the state after a failure: only a send whose end is unknown makes a difference."""
    is_unknown = failure in (SendFailure.BROKEN, SendFailure.OVERDUE) and was_sent
    if state is SendState.NOT_RUN and is_unknown:
        return SendState.MAY_HAVE_RUN
    return state


def _find_overdue_answer(state: SendState) -> ErrorKind:
    if state is SendState.NOT_RUN:
        return ErrorKind.DEADLINE_BEFORE_DISPATCH
    return ErrorKind.DEADLINE_EXCEEDED
