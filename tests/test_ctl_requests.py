"""`hemlock-ctl requests`: statistics over gateway logs that also contain unrelated lines."""

import json

import pytest

from hemlockswitch.programs.ctl_files import ExitCode
from tests.test_ctl_gateways import run


def make_line(second, outcome="answered", **changes):
    fields = {
        "number": 202 if outcome == "answered" else 203,
        "process": "g1",
        "route": "draft",
        "sends": ["s1"],
        "expected_ms": 40,
        "began_ms": 50 if outcome == "answered" else None,
        "outcome": outcome,
        "timestamp": f"2026-01-01T00:00:{second:02}.500000Z",
    }
    return json.dumps(fields | changes)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "gateway.log"
    lines = [
        make_line(1),
        "1.5 g1 " + make_line(2, sends=["s1", "s2"], began_ms=600),
        make_line(2, "overloaded", sends=[]),
        make_line(7, "no_backend", sends=[], process="g2", route="hold"),
        '{"number": 311, "server": "s1"}',
        '{"number": 202}',
        "not a log line {",
        "\x00\ufffd",
    ]
    path.write_text("\n".join(lines))
    return path


def test_requests_are_grouped_by_time_route_and_gateway(log):
    code, output, _ = run("requests", f"{log} --json")
    assert code == ExitCode.DONE
    sums = json.loads(output)
    assert [window["at_s"] for window in sums["windows"]] == [0, 2, 6]
    assert sums["windows"][1]["outcomes"] == {"answered": 1, "overloaded": 1}
    assert sums["routes"]["draft"]["sent_again"] == 1
    assert sums["routes"]["draft"]["began_ms"] == [325.0, 600.0]
    assert sums["routes"]["draft"]["began_ms_less_expected"] == [285.0, 560.0]
    assert sums["gateways"]["g2"]["outcomes"] == {"no_backend": 1}


def test_text_output_lists_each_window(log):
    code, output, _ = run("requests", f"{log} --step 5")
    assert code == ExitCode.DONE
    assert "0: began 325/600, off 285/560, answered 2, overloaded 1, sent again 1" in output
    assert "5: began -, off -, no_backend 1" in output


@pytest.mark.parametrize("arguments", ["/nowhere.log", "{log} --step 0", "{log} --step x"])
def test_invalid_arguments_are_reported(log, arguments):
    code, _, error = run("requests", arguments.format(log=log))
    assert code == ExitCode.MISTAKES
    assert error


def test_files_without_requests_are_an_error(tmp_path):
    path = tmp_path / "empty.log"
    path.write_text("nothing\n")
    assert run("requests", str(path))[0] == ExitCode.MISTAKES
