"""Measure the processor time of a gateway's start, until its modules are loaded and until it serves.

The first is measured in a new interpreter that imports the program, the second at the first answered
request of a gateway that runs with stand-ins. Run: ``python -m tools.measure_start [--json FILE]``.
"""

import argparse
import json
import resource
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

from features.support.cluster import Cluster
from features.support.gateways import GATEWAY, GatewaySite
from tools.measure_relay import read_cpu_s

REPEATS = 5
MS_PER_S = 1_000


def measure_interpreter(code: str) -> float:
    """Return the processor time in ms of a new interpreter that runs `code`."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", code], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return used_s * MS_PER_S


def count_modules(code: str) -> int:
    """Return the number of modules that a new interpreter has loaded after `code`."""
    command = [sys.executable, "-c", f"{code}\nimport sys\nprint(len(sys.modules))"]
    return int(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def measure_serving() -> float:
    """Return the processor time in ms that a gateway has used at its first answered request."""
    cluster = Cluster()
    try:
        site = GatewaySite(cluster)
        site.launch_runner("app-1", "app")
        gateway = site.launch_gateway("gateway-1")
        site.wait_ready(gateway)
        return read_cpu_s(gateway) * MS_PER_S
    finally:
        cluster.close()


def measure() -> dict[str, Any]:
    """Return the medians of all figures."""
    program = f"import {GATEWAY}"

    def find_median(measure_once: Any, *arguments: Any) -> float:
        return round(statistics.median(measure_once(*arguments) for _ in range(REPEATS)), 1)

    return {
        "bare_interpreter_ms": find_median(measure_interpreter, "pass"),
        "loaded_ms": find_median(measure_interpreter, program),
        "serving_ms": find_median(measure_serving),
        "modules_bare": count_modules("pass"),
        "modules_loaded": count_modules(program),
    }


def main() -> int:
    """Measure, print, and write the figures if requested."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures = measure()
    print(json.dumps(figures, indent=2))
    if options.json:
        options.json.write_text(json.dumps(figures, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
