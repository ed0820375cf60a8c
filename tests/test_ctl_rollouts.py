"""`hemlock-ctl rollouts`: the state of rollout orders at each gateway."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from hemlockswitch.programs.ctl import make_application
from hemlockswitch.programs.ctl_files import ExitCode
from tests.gateway_site import Site


@pytest.fixture
def site():
    one = Site(gateways=2, rollout_share=0.1, rollout_slack=50)
    one.add_runner("app")
    yield one
    one.close()


def run(arguments):
    tester = CommandTester(make_application().find("rollouts"))
    return tester.execute(arguments), tester.io.fetch_output(), tester.io.fetch_error()


def list_control(site):
    return " ".join(gateway.addresses["control"] for gateway in site.gateways)


def count_answers(gateway, route):
    """Return how many answers of the old version on a route a gateway knows of."""
    (order,) = gateway.rollouts.describe()
    return order["routes"][route]["others"][0] if route in order["routes"] else 0


def test_output_is_empty_without_an_order(site):
    code, output, _ = run(f"{list_control(site)} --json")
    assert code == ExitCode.DONE
    assert json.loads(output) == {"rollouts": [], "errors": []}


def test_order_is_shown_for_each_gateway(site):
    site.store.put("rollouts", "app", {"service": "app", "to": "v2", "duration_s": 20})
    site.wait(lambda: all(one.rollouts.describe() for one in site.gateways))
    site.wait(lambda: any(one.duties.leads for one in site.gateways))
    asked = next(number for number, one in enumerate(site.gateways) if not one.duties.leads)
    for _ in range(4):
        assert site.ask("/check/x", method="GET", gateway=asked).status == 200
    # The counts are shown for the holder of the duties, which learns them from the other's next report.
    site.wait(lambda: all(count_answers(one, "check") == 4 for one in site.gateways))
    code, output, _ = run(f"{list_control(site)} --json")
    assert code == ExitCode.DONE
    shown = json.loads(output)["rollouts"]
    assert {one["gateway"] for one in shown} == {"gateway-1", "gateway-2"}
    assert {(one["service"], one["target"], one["sent"]) for one in shown} == {("app", "v2", 0)}
    code, output, _ = run(list_control(site))
    assert "app to v2 at gateway-1" in output
    assert "check: new version 0 answers, 0 failed, 0 slow; others 4 answers" in output


def test_unreachable_gateway_is_reported(site):
    code, output, _ = run(f"127.0.0.1:1 {list_control(site)}")
    assert code == ExitCode.PLATFORM
    assert "127.0.0.1:1: no answer" in output


@pytest.mark.parametrize("arguments", ["nowhere", "127.0.0.1:1 --timeout soon"])
def test_invalid_arguments_are_reported(arguments):
    code, _, error = run(arguments)
    assert code == ExitCode.MISTAKES
    assert "ip:port" in error
