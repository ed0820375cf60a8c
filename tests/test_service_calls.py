"""Calls of plain services are repeated only where that is safe, and say what is known."""

import pytest

from hemlockswitch.connection.backends import BackendAnswer, ExchangeTimeoutError
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.intake import CallerRequest
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.retries import RetryBudget
from hemlockswitch.request.service_call import ServiceCaller, find_operation
from hemlockswitch.request.unreached import MAX_UNREACHED
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.models import Operation, Service
from tests.guards import make_guard

REQUEST_ID = "req-1"
SERVERS = [BackendServer(f"app-{n}", "z", f"127.0.0.1:{n}", "app") for n in (1, 2, 3)]
SERVICE = Service(
    name="app",
    operations=(
        Operation(path="/slots", idempotent=True),
        Operation(path="/slots/paid", idempotent=False),
        Operation(path="/confirmations"),
    ),
)
BEFORE, AFTER = ExchangeError(Stage.BEFORE_SEND, "x"), ExchangeError(Stage.AFTER_SEND, "x")
LATE = ExchangeTimeoutError(Stage.AFTER_SEND, "x")
OK = BackendAnswer(200, {"x-request-id": REQUEST_ID, "content-type": "a/b", "server": "s"}, b"ok")
BROKEN = BackendAnswer(503, {"x-request-id": REQUEST_ID}, b"no")
MIXED = BackendAnswer(200, {"x-request-id": "req-2"}, b"another's")


class Bench:
    """Stands for everything around the caller of services; `results` come one a dispatch."""

    def __init__(self, *results, burst=10.0, guard=None, servers=SERVERS):
        self.results = list(results)
        self.servers = servers
        self.asked = []
        self.blamed = []
        self.claimed = []
        clock = ManualClock()
        budget = RetryBudget(0.1, clock, burst=burst)
        self.caller = ServiceCaller(
            self, self, self, budget, clock, self, self, guard or make_guard(clock)
        )

    def choose(self, need):
        for server in self.servers:
            if server.name not in need.exclude:
                return server
        raise RequestError(ErrorKind.NO_BACKEND, "none")

    def note_dispatch(self, server_name, need):
        return 0

    def begin(self, name, prompt_tokens=0):
        return name

    def end(self, ticket, failed=False):
        self.blamed += [ticket] if failed else []

    def choice_began(self, request):
        pass

    def choice_ended(self, request, server_name):
        pass

    def dispatch_began(self, request, server):
        return {}

    def dispatch_ended(self, request, outcome):
        pass

    def call(self, address, call, timeout_ms):
        self.asked.append(address)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def run_once(self, account, key, fingerprint, dispatch, limit_ms):
        self.claimed.append((account, key))
        raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, "no place")

    def send(self, path, deadline_ms=10_000.0, **headers):
        request = CallerRequest(REQUEST_ID, "POST", path, headers=headers)
        return self.caller.call(request, "acct", SERVICE, path, deadline_ms)


def test_only_named_headers_come_back():
    answer = Bench(OK).send("/slots")
    assert (answer.status, answer.body, answer.content_type) == (200, b"ok", "a/b")
    assert "server" not in answer.headers


@pytest.mark.parametrize("results", [[AFTER, OK], [BROKEN, OK], [MIXED, OK], [BEFORE, AFTER, OK]])
def test_an_idempotent_call_is_sent_again_elsewhere(results):
    bench = Bench(*results)
    assert bench.send("/slots/7").status == 200
    assert len(set(bench.asked)) == len(results)


@pytest.mark.parametrize(
    ("result", "kind"),
    [(AFTER, ErrorKind.OUTCOME_UNKNOWN), (MIXED, ErrorKind.ANSWER_INVALID)],
)
@pytest.mark.parametrize("path", ["/confirmations", "/slots/paid/7"])
def test_any_other_call_is_sent_once_and_its_end_is_unknown(path, result, kind):
    bench = Bench(result, OK)
    with pytest.raises(RequestError) as raised:
        bench.send(path)
    assert (raised.value.kind, raised.value.answer.ran) == (kind, Ran.UNKNOWN)
    assert len(bench.asked) == 1


def test_any_other_call_goes_elsewhere_while_nothing_was_sent():
    bench = Bench(BEFORE, OK)
    assert bench.send("/confirmations").status == 200
    assert len(bench.asked) == 2


def test_servers_that_cannot_be_reached_count_as_no_dispatch():
    """Four of six servers had ended and were still listed: calls that met these four were given up.

    One harmless call in some ten was answered with "no backend server", as each refused connection took
    one of its four dispatches and a part of the budget of repeats, though two servers were idle.
    """
    servers = [BackendServer(f"app-{n}", "z", f"127.0.0.1:{n}", "app") for n in range(1, 9)]
    bench = Bench(*[BEFORE] * 7, OK, burst=0.0, servers=servers)
    assert bench.send("/confirmations").status == 200
    assert len(set(bench.asked)) == 8


def test_a_call_does_not_look_for_a_server_for_ever():
    servers = [BackendServer(f"app-{n}", "z", f"127.0.0.1:{n}", "app") for n in range(1, 100)]
    bench = Bench(*[BEFORE] * 99, servers=servers)
    with pytest.raises(RequestError) as raised:
        bench.send("/slots")
    assert raised.value.answer.ran is Ran.NO
    assert len(bench.asked) == MAX_UNREACHED


def test_an_answer_of_the_service_is_passed_on_whatever_its_status():
    assert Bench(BROKEN).send("/confirmations").status == 503


def test_nothing_reached_says_not_run():
    with pytest.raises(RequestError) as raised:
        Bench(BEFORE, BEFORE, BEFORE).send("/slots")
    assert raised.value.answer.ran is Ran.NO


def test_a_spent_budget_returns_what_there_is():
    assert Bench(BROKEN, burst=0.0).send("/slots").status == 503
    with pytest.raises(RequestError) as raised:
        Bench(AFTER, burst=0.0).send("/slots")
    assert raised.value.answer.ran is Ran.UNKNOWN


def test_a_passed_deadline_says_not_run_before_a_dispatch():
    with pytest.raises(RequestError) as raised:
        Bench().send("/slots", deadline_ms=0.0)
    assert raised.value.kind is ErrorKind.DEADLINE_BEFORE_DISPATCH


def test_an_impatient_caller_gives_a_server_no_bad_name():
    for deadline_ms, blamed in ((100.0, []), (10_000.0, ["app-1"])):
        bench = Bench(LATE)
        with pytest.raises(RequestError):
            bench.send("/confirmations", deadline_ms)
        assert bench.blamed == blamed


def test_a_call_with_a_key_is_sent_only_by_its_claim():
    bench = Bench(OK)
    with pytest.raises(RequestError) as raised:
        bench.send("/confirmations", **{"idempotency-key": "k"})
    assert raised.value.kind is ErrorKind.CLAIM_UNAVAILABLE
    assert (bench.asked, bench.claimed) == ([], [("acct", "k")])


@pytest.mark.parametrize(
    "path",
    ["/other", "/slotsx", "/slots/../confirmations", "/slots//x", "/slots/%2e%2e/x", "/slots/;x"],
)
def test_paths_that_a_service_might_read_otherwise_are_refused(path):
    with pytest.raises(RequestError) as raised:
        find_operation(SERVICE, "POST", path)
    assert raised.value.kind is ErrorKind.UNKNOWN_OPERATION


def test_the_longest_prefix_decides_whether_a_call_may_be_repeated():
    assert find_operation(SERVICE, "POST", "/slots/7").idempotent
    assert not find_operation(SERVICE, "POST", "/slots/paid").idempotent
