"""Measure the memory that the control modules add to a process with the serving modules."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SERVING = (
    "cleo.application",
    "falcon",
    "geventhttpclient",
    "structlog",
    "prometheus_client",
    "pydantic",
    "opentelemetry.sdk.trace",
    "hemlockswitch.connection.caller_server",
    "hemlockswitch.connection.callers",
    "hemlockswitch.connection.control_api",
    "hemlockswitch.connection.backends",
    "hemlockswitch.request.relay",
    "hemlockswitch.request.service_call",
    "hemlockswitch.request.admission",
    "hemlockswitch.request.routing",
    "hemlockswitch.process.serving",
    "hemlockswitch.process.records",
    "hemlockswitch.process.metrics",
    "hemlockswitch.process.traces",
    "hemlockswitch.version.settings",
)
ALL = (*SERVING, "hemlockswitch.process.entry")
PROGRAM = """
from gevent import monkey
monkey.patch_all()
import importlib, resource, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
with open("/proc/self/statm") as status:
    print(int(status.read().split()[1]) * resource.getpagesize())
"""


def measure_import(modules: tuple[str, ...]) -> int:
    """Return the resident bytes of a process that has imported `modules`."""
    command = [sys.executable, "-c", PROGRAM, *modules]
    finished = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True)
    return int(finished.stdout)


def measure_modules() -> dict[str, float]:
    """Return the memory in MB with the serving modules only, and with all modules."""
    return {"serving_mb": measure_import(SERVING) / 1e6, "all_mb": measure_import(ALL) / 1e6}


def print_modules(result: dict[str, float]) -> None:
    """Print the figures as a row."""
    added = result["all_mb"] - result["serving_mb"]
    print(
        f"modules  serving {result['serving_mb']:.1f} MB, all {result['all_mb']:.1f} MB: "
        f"control adds {added:.1f} MB"
    )
