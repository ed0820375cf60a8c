"""The complete state table of what may follow a failed attempt, without a network."""

import itertools

import pytest

from hemlockswitch.core.errors import ANSWERS, ErrorKind, Ran
from hemlockswitch.request.send_states import SendFailure, SendState, judge_failure

NOT_RUN, MAY, RELAYING = SendState.NOT_RUN, SendState.MAY_HAVE_RUN, SendState.RELAYING


@pytest.mark.parametrize(
    ("state", "failure", "was_sent", "after", "again", "answer"),
    [
        (NOT_RUN, SendFailure.UNREACHABLE, False, NOT_RUN, True, ErrorKind.NO_BACKEND),
        (NOT_RUN, SendFailure.DECLINED, True, NOT_RUN, True, ErrorKind.OVERLOADED),
        (NOT_RUN, SendFailure.BROKEN, True, MAY, False, ErrorKind.OUTCOME_UNKNOWN),
        (NOT_RUN, SendFailure.OVERDUE, False, NOT_RUN, False, ErrorKind.DEADLINE_BEFORE_DISPATCH),
        (NOT_RUN, SendFailure.OVERDUE, True, MAY, False, ErrorKind.DEADLINE_EXCEEDED),
        (MAY, SendFailure.UNREACHABLE, False, MAY, False, ErrorKind.OUTCOME_UNKNOWN),
        (MAY, SendFailure.DECLINED, True, MAY, False, ErrorKind.OUTCOME_UNKNOWN),
        (MAY, SendFailure.BROKEN, True, MAY, False, ErrorKind.OUTCOME_UNKNOWN),
        (MAY, SendFailure.OVERDUE, False, MAY, False, ErrorKind.DEADLINE_EXCEEDED),
        (RELAYING, SendFailure.BROKEN, True, RELAYING, False, None),
        (RELAYING, SendFailure.OVERDUE, True, RELAYING, False, None),
    ],
)
def test_transitions_of_an_unrepeatable_request(state, failure, was_sent, after, again, answer):
    verdict = judge_failure(state, failure, is_repeatable=False, was_sent=was_sent)
    assert (verdict.state, verdict.may_send_again, verdict.answer) == (after, again, answer)


ALL = list(itertools.product(SendState, SendFailure, (True, False), (True, False)))


@pytest.mark.parametrize(("state", "failure", "is_repeatable", "was_sent"), ALL)
def test_not_run_is_reported_only_if_certain(state, failure, is_repeatable, was_sent):
    verdict = judge_failure(state, failure, is_repeatable=is_repeatable, was_sent=was_sent)
    says_not_run = verdict.answer is not None and ANSWERS[verdict.answer].ran is Ran.NO
    assert not says_not_run or verdict.state is NOT_RUN


@pytest.mark.parametrize(("state", "failure", "is_repeatable", "was_sent"), ALL)
def test_request_that_may_have_run_is_repeated_only_if_repeatable(
    state, failure, is_repeatable, was_sent
):
    verdict = judge_failure(state, failure, is_repeatable=is_repeatable, was_sent=was_sent)
    assert not verdict.may_send_again or is_repeatable or verdict.state is NOT_RUN


@pytest.mark.parametrize(("state", "failure", "is_repeatable", "was_sent"), ALL)
def test_state_never_goes_back(state, failure, is_repeatable, was_sent):
    order = list(SendState)
    verdict = judge_failure(state, failure, is_repeatable=is_repeatable, was_sent=was_sent)
    assert order.index(verdict.state) >= order.index(state)
