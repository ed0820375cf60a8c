"""Modules imported at the start of a gateway, and its command line.

Callers wait while a gateway restarts: when all gateways are killed at once, or a zone's VMs are reclaimed,
every request waits until one of them has started again. ``tools/measure_start.py`` measures the processor
time of a start; these tests check that expensive modules are not imported by it.
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
"""Modules that a start of the gateway does not need; each takes some 5 to 60 ms to import."""


def list_heavy_imports(code):
    """Return the heavy modules that a new interpreter has imported after running `code`."""
    command = [sys.executable, "-c", f"{code}\nimport sys\nprint(*sys.modules)"]
    done = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True)
    return sorted(set(HEAVY) & set(done.stdout.splitlines()[-1].split()))


def test_start_imports_no_heavy_modules():
    # The import finder of an editable installation imports some of them before any program runs.
    before = list_heavy_imports("")
    assert list_heavy_imports("import hemlockswitch.programs.gateway") == before


def test_logging_imports_no_heavy_modules():
    code = (
        "import io\n"
        "from hemlockswitch.core.events import Event\n"
        "from hemlockswitch.core.log_lines import LineWriter\n"
        "from hemlockswitch.core.logs import log_event, set_log_writer\n"
        "set_log_writer(LineWriter('g', 'info', io.StringIO()))\n"
        "log_event(Event.PROCESS_READY)"
    )
    assert list_heavy_imports(code) == list_heavy_imports("")


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
def test_error_names_an_invalid_settings_file(tmp_path, content, complaint):
    path = tmp_path / "gateway.json"
    path.write_bytes(content.encode("latin-1"))
    done = run_gateway("--settings", str(path))
    assert done.returncode == 2
    assert str(path) in done.stderr
    assert complaint in done.stderr or "UTF-8" in done.stderr


def test_error_names_a_missing_settings_file(tmp_path):
    done = run_gateway("--settings", str(tmp_path / "none.json"))
    assert done.returncode == 2
    assert "none.json" in done.stderr


def test_help_and_check_options_work(tmp_path):
    assert "--settings" in run_gateway("--help").stdout
    path = tmp_path / "gateway.json"
    path.write_text("{}")
    done = run_gateway("--settings", str(path), "--check")
    assert done.returncode == 2
    assert "$" in done.stderr or "required" in done.stderr
