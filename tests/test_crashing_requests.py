"""A request that ends each backend server that runs it.

Callers saw a third of their requests fail, in bursts of some ten seconds: in each of them one server of a
service after another ended, up to 24, and each took the requests in progress with it. One client
account had sent a request under which a server ends, and its client came again and again, to any
gateway. Every bound on repeats was kept for one attempt of a caller or in one process, so each arrival
began with nothing and took one or two more servers. Proof: on each of the 40 servers whose end was
logged a request of that route and account was in progress, of no other one; and the test below, which
brings the same about with one content, whose failed sends all bear one fingerprint.
"""

import re
import time

import gevent
import gevent.socket
import pytest

from hemlockswitch.process.quarantine.held_requests import HELD_KIND
from hemlockswitch.request.quarantine import TRIAL_PAUSES_MS
from hemlockswitch.standin.runner import RunnerFaults, make_seal
from tests.crashing_runners import DEADLY, CrashingSite
from tests.gateway_site import make_entry, make_manifest, tokens

MOST_ENDS = 3
MOST_RETRIES = 3
"""After three servers have ended under a request, it may be sent this often once that is known."""
SETTLED_S = 1.0
"""When every gateway that is in touch knows of it."""
COMES_AGAIN_S = 0.15


@pytest.fixture
def site():
    one = CrashingSite()
    yield one
    one.close()


def come_again(site, path, content, for_s):
    """Send a content again and again, to each gateway in turn, with a new identifier each time."""
    replies = []
    for turn in range(int(for_s / COMES_AGAIN_S)):
        asked = gevent.spawn(site.ask_for, path, content, turn)
        replies.append(asked)
        gevent.sleep(COMES_AGAIN_S)
    gevent.joinall(replies, timeout=10)
    return [one.value for one in replies]


@pytest.mark.parametrize("path", ["/check/x", "/hold/x", "/reply/x", "/draft/x"])
def test_a_request_under_which_servers_end_is_sent_a_few_times_only(site, path):
    come_again(site, path, DEADLY, for_s=5)
    assert len(site.ends) >= MOST_ENDS, "it did end servers"
    assert site.count_late_retries(MOST_ENDS, SETTLED_S) <= MOST_RETRIES


def hold_back(site, path="/check/x"):
    """Let a content end servers until every gateway holds it back and its first trial is over."""
    come_again(site, path, DEADLY, for_s=0.6)
    site.wait(lambda: all(one.quarantine.list_held() for one in site.gateways))
    site.wait(lambda: site.store.list_kind(HELD_KIND))
    site.wait_until_served()
    site.wait(lambda: site.ask_for(path, DEADLY, 0).status == 502)
    site.wait(lambda: all(one.quarantine.describe()[0]["trials"] == 1 for one in site.gateways))
    site.wait_until_served()


def test_its_callers_hear_at_once_that_it_has_not_run_and_when_to_come_back(site):
    hold_back(site)
    ends = len(site.ends)
    began_s = time.monotonic()
    replies = [site.ask_for("/check/x", DEADLY, gateway) for gateway in (0, 1)]
    assert time.monotonic() - began_s < 1
    assert [reply.status for reply in replies] == [503, 503]
    assert all(0 < float(reply.headers["retry-after"]) <= 20 for reply in replies)
    assert all(reply.body.startswith(b"quarantined: ") for reply in replies)
    assert len(site.ends) == ends


def test_a_content_of_another_account_or_path_is_not_held_back(site):
    hold_back(site)
    assert site.ask_for("/check/x", "harmless", 0).status == 200
    assert site.ask_for("/check/other", "also harmless", 1).status == 200


def test_a_gateway_that_starts_later_knows_of_it(site):
    hold_back(site)
    ends = len(site.ends)
    site.add_gateway("gateway-3")
    site.wait_until_served()
    assert site.ask_for("/check/x", DEADLY, 2).status == 503
    assert len(site.ends) == ends


def test_a_restart_of_all_gateways_does_not_begin_to_count_anew(site):
    hold_back(site)
    site.restart_gateways()
    come_again(site, "/check/x", DEADLY, for_s=4)
    assert site.count_late_retries(MOST_ENDS, SETTLED_S) <= MOST_RETRIES


def test_harmless_requests_are_served_while_it_comes_again(site):
    deadly = gevent.spawn(come_again, site, "/check/x", DEADLY, for_s=4)
    gevent.sleep(1)
    harmless = [site.ask_for("/check/x", f"harmless {turn}", turn).status for turn in range(100)]
    deadly.join()
    assert harmless.count(200) >= 98


def test_a_harmless_content_that_was_on_three_servers_that_ended_is_tried_and_cleared(site):
    slow = [runner for runner in site.crashing if runner.service == "llm"]
    asked = []
    for runner in slow[:MOST_ENDS]:
        asked.append(gevent.spawn(site.ask_for, "/draft/x", "harmless", 0))
        site.wait(lambda one=runner: any(other.state.seen for other in slow if other.is_running))
        (busy,) = [other for other in slow if other.is_running and other.state.seen]
        busy.end()
        site.wait(lambda one=busy: one.is_running)
        site.wait_until_served()
    gevent.joinall(asked)
    assert site.ask_for("/draft/x", "harmless", 1).status == 503
    gevent.sleep(TRIAL_PAUSES_MS[0] / 1_000)
    assert site.ask_for("/draft/x", "harmless", 1).status == 200, "the trial clears it"
    site.wait(lambda: not any(one.quarantine.list_held() for one in site.gateways))
    site.wait(lambda: not site.store.list_kind(HELD_KIND))
    assert site.ask_for("/draft/x", "harmless", 0).status == 200


@pytest.mark.parametrize("faults", [{"lose_answer": True}, {"fail": True}])
def test_lost_answers_and_failures_of_servers_that_live_hold_nobody_back(site, faults):
    for runner in site.crashing:
        runner.state.faults = RunnerFaults(**faults)
    for turn in range(6):
        assert site.ask_for("/check/x", "harmless", turn).status >= 500
    for runner in site.crashing:
        runner.state.faults = RunnerFaults()
    assert site.ask_for("/check/x", "harmless", 0).status == 200
    assert all(one.quarantine.is_empty for one in site.gateways)


def test_a_wave_of_reclaims_holds_nobody_back(site):
    leaving = site.crashing
    for runner in leaving:
        runner.state.settings = runner.state.settings.model_copy(update={"work_ms": 2_000})
    asked = [gevent.spawn(site.ask_for, "/check/x", "harmless", turn) for turn in range(8)]
    site.wait(lambda: sum(len(runner.state.seen) for runner in leaving) >= len(asked))
    for runner in leaving:
        runner.register("draining")
    site.wait(lambda: not any(one.registry.list_ready("app") for one in site.gateways))
    for runner in leaving:
        runner.end()
    gevent.joinall(asked)
    assert all(one.quarantine.is_empty for one in site.gateways)


class UnmeasuredRunner:
    """Answers without a length, so that only the end of the connection ends the answer."""

    def __init__(self, site, ends):
        self.listener = gevent.socket.create_server(("127.0.0.1", 0))
        self._ends = ends
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        site.store.put("servers", "unmeasured", make_entry("bare", address))
        gevent.spawn(self._serve)

    def _serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self._answer, connection)

    def _answer(self, connection):
        head = connection.recv(65_536).decode()
        if not head:
            return
        request_id = re.search("Hemlockswitch-Request-Id: (.*)\r", head)[1]
        lines = ["HTTP/1.1 200 OK", f"Hemlockswitch-Request-Id: {request_id}"]
        lines += [f"Hemlockswitch-Response-Seal: {make_seal(request_id)}", "", "part"]
        connection.sendall("\r\n".join(lines).encode())
        if self._ends:
            self.listener.close()
        connection.close()


@pytest.mark.parametrize("ends", [True, False])
def test_an_answer_without_a_length_clears_only_if_its_server_lives(site, ends):
    route = {"kind": "idempotent", "service": "bare", "max_attempts": 1}
    site.store.put("config", "main", make_manifest(2, services=("bare",), bare=route))
    runner = UnmeasuredRunner(site, ends)
    gateway = site.gateways[0]
    site.wait(lambda: gateway.registry.list_ready("bare"))
    site.wait(lambda: gateway.tables.current.revision == 2)
    assert site.ask_for("/bare/x", "some content", 0).status == 200
    counted = [len(one["ends"]) for one in gateway.quarantine.describe()]
    assert counted == ([1] if ends else [])
    runner.listener.close()


@pytest.mark.parametrize("path", ["/check/x", "/hold/x", "/draft/x"])
def test_a_time_that_is_up_while_a_server_is_asked_does_not_make_the_request_not_run(
    site, monkeypatch, path
):
    """A partition held a request up, its caller was told that it had not run, and then it ran.

    The connection had timed out, the server was asked for another one, and the caller's time was up
    before the answer: what was known of the failed send was written down only after that.
    """
    gateway = site.gateways[0]
    monkeypatch.setattr(gateway.prober, "refuses", lambda server: gevent.sleep(1) or False)
    gateway.guard._ends._refuses = gateway.prober.refuses
    for runner in site.crashing:
        runner.state.faults = RunnerFaults(lose_answer=True)
    headers = {"Hemlockswitch_Deadline_Ms": "400", **(tokens(3) if path == "/draft/x" else {})}
    reply = site.ask(path, **headers)
    assert sum(len(runner.state.seen) for runner in site.crashing) >= 1, "it ran"
    assert reply.status in (502, 504)
