"""`hemlock-ctl gateways` and the check of a gateway's settings file."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from hemlockswitch.programs.ctl import make_application
from hemlockswitch.programs.ctl_files import ExitCode
from tests.gateway_site import Site


@pytest.fixture
def site():
    one = Site(gateways=2)
    one.add_runner("app")
    yield one
    one.close()


def run(command, arguments):
    tester = CommandTester(make_application().find(command))
    return tester.execute(arguments), tester.io.fetch_output(), tester.io.fetch_error()


def list_control(site):
    return [gateway.addresses["control"] for gateway in site.gateways]


def test_every_gateway_says_what_it_believes(site):
    site.wait(lambda: all(len(one.fleet.list_connected()) == 1 for one in site.gateways))
    code, output, _ = run("gateways", " ".join([*list_control(site), "--json"]))
    assert code == ExitCode.DONE
    shown = json.loads(output)["gateways"]
    assert [one["name"] for one in shown] == ["gateway-1", "gateway-2"]
    assert all(one["ready"] and one["revision"] == 1 for one in shown)
    assert all(one["hears"] == 1 and one["servers"] == 1 for one in shown)


def test_a_gateway_that_is_gone_is_named_and_the_others_are_shown(site):
    code, output, _ = run("gateways", f"127.0.0.1:1 {list_control(site)[0]}")
    assert code == ExitCode.PLATFORM
    gone, there = output.splitlines()
    assert gone.startswith("127.0.0.1:1: no answer")
    assert "gateway-1: ready, revision 1" in there


def test_what_is_held_back_is_shown_with_its_age(site):
    for server in ("s1", "s2", "s3"):
        site.gateways[0].quarantine.record_crash("content", server)
    code, output, _ = run("gateways", list_control(site)[0])
    assert code == ExitCode.DONE
    _, held = output.splitlines()
    assert held.startswith("  holds back content: 3 servers ended, 0 trials, changed 0.")
    code, output, _ = run("gateways", f"{list_control(site)[0]} --json")
    (shown,) = json.loads(output)["gateways"][0]["held"]
    assert (shown["fingerprint"], shown["ends"], shown["trials"]) == ("content", 3, 0)


def test_what_is_no_status_page_is_said_to_be_none(site):
    code, output, _ = run("gateways", site.runners[0].address)
    assert code == ExitCode.PLATFORM
    assert "not a status page" in output


@pytest.mark.parametrize("arguments", ["nowhere", "127.0.0.1:80 --timeout soon"])
def test_wrong_arguments_are_named(arguments):
    code, output, error = run("gateways", arguments)
    assert code == ExitCode.MISTAKES
    assert error
    assert output == ""


@pytest.mark.parametrize(
    ("content", "code"),
    [
        ('{"name": "g", "zone": "z", "platform": "127.0.0.1:1"}', ExitCode.MISTAKES),
        (
            '{"name": "g", "zone": "z", "platform": "127.0.0.1:1", "listen": "127.0.0.1:2",'
            ' "ready_listen": "127.0.0.1:3"}',
            ExitCode.DONE,
        ),
    ],
)
def test_the_settings_file_of_a_gateway_is_checked(tmp_path, content, code):
    path = tmp_path / "gateway.json"
    path.write_text(content)
    assert run("check", f"{path} --kind gateway")[0] == code
