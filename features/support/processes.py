"""Child processes of the tests: start, wait until ready, freeze, stop and kill."""

import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 30
STOP_LIMIT_S = 20
POLL_S = 0.01
LOG_TAIL_LINES = 40
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


class HarnessError(AssertionError):
    """A process failed to start or stop, or a condition did not become true in time."""


def wait_until(condition: Callable[[], Any], what: str, limit_s: float = 20) -> Any:
    """Return the first truthy value of `condition`, or fail after `limit_s`.

    Explanation
    ===========

    Connection failures in `condition` count as false; any other exception is an error in the
    test and propagates.
    """
    deadline = time.monotonic() + limit_s
    last: Any = None
    while time.monotonic() < deadline:
        try:
            last = condition()
        except OSError as error:
            last = error
        else:
            if last:
                return last
        time.sleep(POLL_S * 2)
    raise HarnessError(f"{what}: not true within {limit_s} s, last result {last!r}")


def _prepare_process(max_files: int | None) -> None:
    """Prepare a new process, which ends with its parent."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if max_files is not None:
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, hard))


def write_settings(path: Path, settings: dict[str, Any]) -> None:
    """Replace a settings file in one step, as a program may read it at any moment."""
    written = path.with_suffix(".new")
    written.write_text(json.dumps(settings))
    written.replace(path)


class Program:
    """One running program of the project.

    Parameters
    ==========

    name : name in file names and messages.
    command : arguments after ``python -m``; the settings file is appended.
    settings : content of the settings file.
    folder : folder for the settings, output and log files.
    max_files : how many descriptors the program may open; None for as many as this process.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        settings: dict[str, Any],
        folder: Path,
        max_files: int | None = None,
    ) -> None:
        self.name = name
        self.module = command[0]
        self.settings = settings
        self._addresses: dict[str, str] = {}
        settings_file = folder / f"{name}.json"
        write_settings(settings_file, settings)
        self.output_file = folder / f"{name}.out"
        self.log_file = folder / f"{name}.log"
        with self.output_file.open("wb") as output, self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *command, "--settings", str(settings_file)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                preexec_fn=lambda: _prepare_process(max_files),
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses in the ready line, for which the first access waits."""
        if not self._addresses:
            self._addresses = wait_until(self._read_ready, f"{self.name} ready", READY_LIMIT_S)
        return self._addresses

    def _read_ready(self) -> dict[str, str] | None:
        for line in self.output_file.read_text().splitlines(keepends=True):
            if line.startswith('{"ready"') and line.endswith("\n"):
                return json.loads(line)["addresses"]
        if not self.is_running:
            raise HarnessError(f"{self.name} ended before it was ready:\n{self.read_log()}")
        return None

    def list_events(self, label: str) -> list[dict[str, Any]]:
        """Return the log events with a label."""
        lines = self.log_file.read_text(errors="replace").splitlines(keepends=True)
        events = [json.loads(line) for line in lines if line[0] == "{" and line.endswith("\n")]
        return [event for event in events if event.get("event") == label]

    def read_log(self, lines: int = LOG_TAIL_LINES) -> str:
        """Return the last lines that the process wrote to standard error."""
        text = self.log_file.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def freeze(self) -> None:
        """Suspend the process, as a paused VM is."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop and return at once."""
        self._process.terminate()

    def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait for the end of the process and return its exit code."""
        try:
            return self._process.wait(limit_s)
        except subprocess.TimeoutExpired:
            raise HarnessError(f"{self.name} did not end within {limit_s} s") from None

    def stop(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Stop the process gracefully and return its exit code; kill it after `limit_s` and fail."""
        self.terminate()
        try:
            return self.wait(limit_s)
        except HarnessError:
            self.kill()
            raise

    def kill(self) -> None:
        """Kill the process, suspended or not, and wait for its end."""
        if self.is_running:
            self._process.kill()
        self._process.wait()

    def read_memory_mb(self) -> float:
        """Return the resident memory in megabytes."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1_000_000
