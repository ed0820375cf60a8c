"""`hemlock-ctl gateways`, and `hemlock-ctl check` for the settings file of a gateway.

An unreachable gateway or a wrong address must be reported, and must not hide the other gateways.
"""

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


def test_state_of_every_gateway_is_shown(site):
    site.wait(lambda: all(len(one.fleet.list_connected()) == 1 for one in site.gateways))
    code, output, _ = run("gateways", " ".join([*list_control(site), "--json"]))
    assert code == ExitCode.DONE
    shown = json.loads(output)["gateways"]
    assert [one["name"] for one in shown] == ["gateway-1", "gateway-2"]
    assert all(one["ready"] and one["revision"] == 1 for one in shown)
    assert all(one["hears"] == 1 and one["servers"] == 1 for one in shown)


def test_unreachable_gateway_does_not_hide_the_others(site):
    code, output, _ = run("gateways", f"127.0.0.1:1 {list_control(site)[0]}")
    assert code == ExitCode.PLATFORM
    unreachable, running = output.splitlines()
    assert unreachable.startswith("127.0.0.1:1: no answer")
    assert "gateway-1: ready, revision 1" in running


def test_quarantined_content_is_shown_with_its_age(site):
    for server in ("s1", "s2", "s3"):
        site.gateways[0].quarantine.record_crash("content", server)
    code, output, _ = run("gateways", list_control(site)[0])
    assert code == ExitCode.DONE
    _, held = output.splitlines()
    assert held.startswith("  holds back content: 3 servers ended, 0 trials, changed 0.")
    code, output, _ = run("gateways", f"{list_control(site)[0]} --json")
    (shown,) = json.loads(output)["gateways"][0]["held"]
    assert (shown["fingerprint"], shown["ends"], shown["trials"]) == ("content", 3, 0)


def test_versions_of_a_service_are_shown_with_their_streams(site):
    site.add_runner("app", version="v1.1")
    code, output, _ = run("gateways", list_control(site)[0])
    assert code == ExitCode.DONE
    versions = output.splitlines()[1]
    assert versions == "  app runs in versions v1 (0 streams begun), v1.1 (0 streams begun)"


def test_answer_that_is_not_a_status_page_is_reported(site):
    code, output, _ = run("gateways", site.runners[0].address)
    assert code == ExitCode.PLATFORM
    assert "not a status page" in output


@pytest.mark.parametrize("arguments", ["nowhere", "127.0.0.1:80 --timeout soon"])
def test_invalid_arguments_are_reported(arguments):
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
def test_settings_file_of_a_gateway_is_validated(tmp_path, content, code):
    path = tmp_path / "gateway.json"
    path.write_text(content)
    assert run("check", f"{path} --kind gateway")[0] == code
