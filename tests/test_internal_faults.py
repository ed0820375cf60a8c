"""Exceptions that no code expects, raised in each stage of a request.

Guards against a caller whose connection closes without an answer because of a fault of the gateway, and against
state that the request leaves behind: load, and permits.
"""

import pytest

from hemlockswitch.connection.message_parsers import RequestParser
from hemlockswitch.connection.replies import Reply
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from tests.gateway_site import Site, tokens


class UnexpectedError(Exception):
    """Stands for a fault of the program."""


def fail(*arguments, **options):
    raise UnexpectedError("a fault of the program")


BEFORE_SEND = {
    "read": lambda _: (RequestParser, "feed"),
    "decode": lambda forwarder: (forwarder._dialect, "decode_request"),
    "start": lambda forwarder: (forwarder._view, "await_synced"),
    "place": lambda forwarder: (forwarder._view, "place"),
    "check queue": lambda forwarder: (forwarder._placements, "_check_queue"),
    "connect": lambda forwarder: (forwarder._sender._pool, "open"),
}
AFTER_SEND = {
    "encode": lambda forwarder: (forwarder._sender, "_encode"),
    "inspect answer": lambda forwarder: (forwarder._sender, "_inspect_answer"),
    "retry": lambda forwarder: (forwarder, "_prepare_next_attempt"),
}
AFTER_ANSWER = {
    "judge": lambda forwarder: (forwarder._guard, "record_complete_answer"),
    "observe": lambda forwarder: (forwarder._observer, "request_ended"),
}


@pytest.fixture
def site():
    one = Site(gateways=1)
    for service in ("app", "llm"):
        one.add_runner(service)
    yield one
    one.close()


@pytest.fixture
def events():
    lines = []
    set_log_writer(lambda event, level, fields: lines.append((event, fields)))
    yield lines
    set_log_writer(_write_by_structlog)


def ask_with_fault(site, stage, path, request_id, **headers):
    """Send a request while a stage raises, and return the reply."""
    owner, name = stage(site.gateways[0].forwarder)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(owner, name, fail)
        return site.ask(path, request_id, **headers)


def check_restored(site, events, request_id):
    site.wait(lambda: site.gateways[0].callers.active == 0)
    faults = [fields for event, fields in events if event is Event.REQUEST_FAULT]
    assert [fields["request_id"] for fields in faults] == [request_id]
    assert "UnexpectedError" in faults[0]["error"]
    servers = [one.incarnation for one in site.gateways[0].registry.list_all()]
    assert site.gateways[0].loads.count_running(servers) == 0
    assert site.ask("/hold/x").status == 200


@pytest.mark.parametrize("stage", BEFORE_SEND)
def test_fault_before_the_send_is_answered_as_not_run(site, events, stage):
    reply = ask_with_fault(site, BEFORE_SEND[stage], "/hold/x", "id-1")
    assert (reply.status, reply.is_whole) == (500 if stage == "read" else 503, True)
    assert sum(runner.count_runs("id-1") for runner in site.runners) == 0
    check_restored(site, events, "" if stage in ("read", "decode") else "id-1")


@pytest.mark.parametrize("stage", AFTER_SEND)
def test_fault_after_the_send_is_answered_without_a_claim_that_it_was_not_run(site, events, stage):
    if stage == "retry":
        site.runners[0].fail(lose_answer=True, count=1)
    reply = ask_with_fault(site, AFTER_SEND[stage], "/hold/x", "id-1")
    assert (reply.status, reply.is_whole) == (500, True)
    check_restored(site, events, "id-1")


def test_fault_in_an_answer_that_has_begun_closes_the_connection(site, events):
    reply = ask_with_fault(site, lambda _: (Reply, "write"), "/reply/x", "id-1", **tokens(20))
    assert not reply.is_whole
    check_restored(site, events, "id-1")


@pytest.mark.parametrize("stage", AFTER_ANSWER)
def test_fault_after_the_answer_leaves_it_whole(site, events, stage):
    reply = ask_with_fault(site, AFTER_ANSWER[stage], "/hold/x", "id-1")
    assert (reply.status, reply.is_whole) == (200, True)
    check_restored(site, events, "id-1")
