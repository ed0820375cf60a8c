"""Rollouts at a complete site with real gateway daemons.

Failure guarded against: an operator orders a move, the new servers register beside the old ones, and half
of all requests go at once to a version that has not been judged. It fails some of them, the final state of
the order is never written, and the old servers are never stopped.
"""

import time

import gevent
import pytest
from gevent.event import Event as Signal

from tests.gateway_site import Site

LIMIT_S = 6.0
SHARE = 0.1
SLACK = 12
ORDER = {"service": "app", "to": "v2", "duration_s": LIMIT_S}
CALLERS = 8
PAUSE_S = 0.01


class Traffic:
    """Callers that send requests continuously until `end` is called."""

    def __init__(self, site, gateways):
        self.site = site
        self.gateways = gateways
        self.answered = 0
        self.failed = 0
        self.ends = False
        self.tasks = [gevent.spawn(self.run, number) for number in range(CALLERS)]

    def run(self, number):
        while not self.ends:
            path = "/check/x" if number % 2 else "/hold/x"
            method = "GET" if number % 2 else "POST"
            reply = self.site.ask(path, method=method, gateway=number % self.gateways)
            self.answered += 1
            self.failed += reply.status != 200
            gevent.sleep(PAUSE_S)

    def end(self):
        self.ends = True
        gevent.joinall(self.tasks, timeout=10)


class Move:
    """Site with two old servers, and an order that adds two new ones."""

    def __init__(self, gateways=2, **settings):
        self.site = Site(gateways=gateways, rollout_share=SHARE, rollout_slack=SLACK, **settings)
        self.site.wait(
            lambda: all(one.fleet.count_listed() == gateways for one in self.site.gateways)
        )
        self.old = [self.site.add_runner("app") for _ in range(2)]
        self.new = []
        self.traffic = Traffic(self.site, gateways)
        gevent.sleep(0.3)

    def order(self, **faults):
        self.answered_before = self.traffic.answered
        self.site.store.put("rollouts", "app", ORDER)
        gevent.sleep(0.5)
        self.new = [self.site.add_runner("app", version="v2", faults=faults) for _ in range(2)]

    def get_status(self):
        return self.site.store.list_kind("rollouts")["app"].status

    def wait_state(self, state, limit_s=LIMIT_S + 1):
        end = time.monotonic() + limit_s
        while (self.get_status() or {}).get("state") != state:
            assert time.monotonic() < end, f"{self.get_status()} in place of {state}"
            gevent.sleep(0.02)

    def count_new(self):
        return sum(sum(one.state.runs.values()) for one in self.new)

    def find_bound(self):
        return SHARE * (self.traffic.answered - self.answered_before) + SLACK

    def close(self):
        self.traffic.end()
        self.site.close()


@pytest.fixture
def move():
    one = Move()
    yield one
    one.close()


def test_good_version_gets_few_requests_and_then_all(move):
    move.order()
    move.wait_state("running")
    while move.get_status()["state"] == "running":
        assert move.count_new() <= move.find_bound()
        gevent.sleep(0.02)
    assert move.get_status() == {"state": "completed", "to": "v2"}
    for runner in move.old:
        move.site.store.remove("servers", runner.name)
    gevent.sleep(0.3)
    sent = move.count_new()
    failed = move.traffic.failed
    gevent.sleep(0.5)
    assert move.count_new() - sent > 20
    assert move.traffic.failed == failed


def test_failing_version_gets_no_further_requests_and_is_rolled_back(move):
    move.order(fail=True, every=2)
    move.wait_state("rolled_back")
    gevent.sleep(0.3)
    assert move.count_new() <= move.find_bound()
    assert sum(one.state.asked // 2 for one in move.new) <= 15
    sent = move.count_new()
    gevent.sleep(0.5)
    assert move.count_new() == sent


def test_slow_version_is_rolled_back(move):
    for runner in move.old:
        runner.fail(slow_factor=8)
    gevent.sleep(1.0)
    move.order(slow_factor=60)
    move.wait_state("rolled_back")
    assert move.count_new() <= move.find_bound()


def test_gateways_stop_a_bad_version_without_a_duty_holder():
    move = Move(gateways=3)
    try:
        for gateway in move.site.gateways:
            gateway.duties.release()
        move.order(fail=True)
        gevent.sleep(2.0)
        assert all(one.rollouts.describe()[0]["stopped_for"] for one in move.site.gateways)
        sent = move.count_new()
        gevent.sleep(0.5)
        assert move.count_new() == sent
        assert (move.get_status() or {}).get("state") != "completed"
    finally:
        move.close()


def test_unreadable_order_is_ignored(move):
    move.site.store.put("rollouts", "app", {"service": "app", "to": 7})
    gevent.sleep(0.3)
    failed = move.traffic.failed
    gevent.sleep(0.3)
    assert move.traffic.failed == failed
    assert all(not one.rollouts.describe() for one in move.site.gateways)


def test_late_gateway_follows_the_final_state(move):
    move.order(fail=True)
    move.wait_state("rolled_back")
    move.site.add_gateway("gateway-9")
    move.site.wait(lambda: move.site.gateways[-1].is_ready())
    sent = move.count_new()
    for _ in range(40):
        assert move.site.ask("/check/x", method="GET", gateway=2).status == 200
    assert move.count_new() == sent


def test_order_without_servers_of_the_version_is_rolled_back():
    move = Move(gateways=1)
    try:
        move.site.store.put("rollouts", "app", {**ORDER, "duration_s": 3})
        move.wait_state("rolled_back")
        assert move.traffic.failed == 0
    finally:
        move.close()


def test_order_for_version_in_force_is_completed_at_once(move):
    move.site.store.put("rollouts", "app", {**ORDER, "to": "v1"})
    move.wait_state("completed", 3.0)
    failed = move.traffic.failed
    gevent.sleep(0.3)
    assert move.traffic.failed == failed


def test_withdrawn_order_leaves_the_old_version_in_force(move):
    move.order()
    move.wait_state("running")
    move.site.store.remove("rollouts", "app")
    gevent.sleep(0.3)
    sent = move.count_new()
    gevent.sleep(0.5)
    assert move.count_new() == sent


class HeldLists:
    """Lists of the rollout orders by the gateways, which are not answered until `release` is called."""

    def __init__(self, gateways):
        self.asked = set()
        self._released = Signal()
        for gateway in gateways:
            self._hold(gateway.settings.name, gateway._adapter.store)

    def _hold(self, name, store):
        read = store.list

        def list_objects(kind, prefix=""):
            if kind == "rollouts":
                self.asked.add(name)
                self._released.wait()
            return read(kind, prefix)

        store.list = list_objects

    def release(self):
        self._released.set()


# Guards against requests to a version whose order may not have been read yet, and against a version that
# no order names staying without requests.
def test_version_without_order_serves_once_orders_are_listed_again(move):
    lists = HeldLists(move.site.gateways)
    move.new = [move.site.add_runner("app", version="v1b")]
    move.site.wait(lambda: len(lists.asked) == len(move.site.gateways))
    answered = move.traffic.answered
    move.site.wait(lambda: move.traffic.answered > answered + 100)
    assert move.count_new() == 0
    lists.release()
    move.site.wait(lambda: move.count_new() > 0)
    assert move.traffic.failed == 0
