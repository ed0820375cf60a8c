"""What a gateway loads before it serves: every restart makes callers wait for it.

The pattern: all gateways are killed at once, or a zone's VMs are reclaimed, and each request of the
next moments waits until one of them is back. Processor time of a start is measured by
``tools/measure_start.py``; here stands what must not come back into it.
"""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
HEAVY = (
    "asyncio",
    "certifi",
    "cleo",
    "falcon",
    "geventhttpclient",
    "gevent.pywsgi",
    "http.cookiejar",
    "importlib.metadata",
    "logging.config",
    "opentelemetry",
    "prometheus_client",
    "pydantic",
    "ssl",
    "subprocess",
    "structlog",
    "urllib.request",
    "wsgiref",
)
"""Modules that the gateway's path does not need; each takes some 5 to 60 ms to load."""


def list_loaded(code):
    """Return which heavy modules a fresh interpreter has after running `code`."""
    command = [sys.executable, "-c", f"{code}\nimport sys\nprint(*sys.modules)"]
    done = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True)
    return sorted(set(HEAVY) & set(done.stdout.splitlines()[-1].split()))


def test_a_start_loads_nothing_heavy():
    # An editable installation's own finder loads some of them before any program runs.
    before = list_loaded("")
    assert list_loaded("import hemlockswitch.programs.gateway") == before


def test_a_line_of_the_log_loads_nothing_heavy():
    code = (
        "import io\n"
        "from hemlockswitch.core.events import Event\n"
        "from hemlockswitch.core.log_lines import LineWriter\n"
        "from hemlockswitch.core.logs import log_event, set_log_writer\n"
        "set_log_writer(LineWriter('g', 'info', io.StringIO()))\n"
        "log_event(Event.PROCESS_READY)"
    )
    assert list_loaded(code) == list_loaded("")


def run_gateway(*arguments):
    command = [sys.executable, "-m", "hemlockswitch.programs.gateway", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False, capture_output=True, text=True)


@pytest.mark.parametrize(
    ("content", "complaint"),
    [
        ("{", "truncated"),
        ("[]", "object"),
        ('{"name": 4}', "$.name"),
        ('{"surplus": 1}', "surplus"),
        ('{"name": "\xff"}', "name"),
    ],
)
def test_a_settings_file_with_a_mistake_is_named(tmp_path, content, complaint):
    path = tmp_path / "gateway.json"
    path.write_bytes(content.encode("latin-1"))
    done = run_gateway("--settings", str(path))
    assert done.returncode == 2
    assert str(path) in done.stderr
    assert complaint in done.stderr or "UTF-8" in done.stderr


def test_a_settings_file_that_is_missing_is_named(tmp_path):
    done = run_gateway("--settings", str(tmp_path / "none.json"))
    assert done.returncode == 2
    assert "none.json" in done.stderr


def test_help_and_checks_have_the_whole_command_line(tmp_path):
    assert "--settings" in run_gateway("--help").stdout
    path = tmp_path / "gateway.json"
    path.write_text("{}")
    done = run_gateway("--settings", str(path), "--check")
    assert done.returncode == 2
    assert "$" in done.stderr or "required" in done.stderr
