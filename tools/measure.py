"""Run every ``tools/measure_*.py`` and collect the figures.

Each part writes ``reports/<part>.json`` through its ``--json`` option; ``reports/measure.json``
contains the figures of all parts. Run: ``make measure`` or ``python tools/measure.py [part ...]``.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "reports"
PATTERN = "measure_*.py"


def list_parts(wanted: list[str]) -> list[str]:
    """Return the names of the parts to run: those in `wanted`, or all if it is empty."""
    parts = sorted(path.stem for path in (ROOT / "tools").glob(PATTERN))
    unknown = set(wanted) - set(parts)
    if unknown:
        sys.exit(f"no such part: {', '.join(sorted(unknown))}; there are {', '.join(parts)}")
    return wanted or parts


def run_part(part: str) -> tuple[int, Any]:
    """Run one part; return its exit code and its figures, or None if it wrote none."""
    file = REPORTS / f"{part}.json"
    file.unlink(missing_ok=True)
    command = [sys.executable, "-m", f"tools.{part}", "--json", str(file)]
    print("$", "python", *command[1:], flush=True)
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    return code, json.loads(file.read_text()) if file.exists() else None


def main() -> int:
    """Run the parts; return 1 if any of them failed."""
    REPORTS.mkdir(exist_ok=True)
    figures: dict[str, Any] = {}
    failed = []
    for part in list_parts(sys.argv[1:]):
        code, figures[part] = run_part(part)
        if code != 0:
            failed.append(part)
    (REPORTS / "measure.json").write_text(json.dumps(figures, indent=2))
    print(f"{len(figures) - len(failed)} parts measured, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
