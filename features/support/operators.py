"""Operator commands, run as processes."""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from features.support.processes import ROOT

COMMAND = [sys.executable, "-m", "hemlockswitch.programs.ctl"]
LIMIT_S = 60


@dataclass(frozen=True)
class Outcome:
    """Exit code and output of a command."""

    code: int
    answer: dict[str, Any]
    errors: str


class Operator:
    """Runs operator commands, with a folder for files and the address of the platform."""

    def __init__(self, folder: Path, platform: str, name: str = "operator") -> None:
        self._folder = folder
        self._platform = platform
        self._name = name

    def start(self, command: str, file: Any = None, *options: str) -> subprocess.Popen:
        """Start a command; `file` is the text or the JSON tree of its file."""
        arguments = [*COMMAND, command]
        if file is not None:
            path = self._folder / f"{self._name}.json"
            path.write_text(file if isinstance(file, str) else json.dumps(file))
            arguments.append(str(path))
        if command != "check":
            arguments += ["--platform", self._platform]
        return subprocess.Popen(
            [*arguments, "--json", *options],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, command: str, file: Any = None, *options: str) -> Outcome:
        """Run a command to completion."""
        return finish(self.start(command, file, *options))


def finish(process: subprocess.Popen) -> Outcome:
    """Wait for a command and parse its output."""
    output, errors = process.communicate(timeout=LIMIT_S)
    answer = json.loads(output.splitlines()[-1]) if output.strip() else {}
    return Outcome(process.returncode, answer, errors)
