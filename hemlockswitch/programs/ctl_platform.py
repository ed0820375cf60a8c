"""Base of the commands that query the platform: its address, and the exit codes of errors."""

import json
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import MS_PER_SECOND, SystemClock
from hemlockswitch.core.errors import ConfigurationError, HemlockError, PlatformError
from hemlockswitch.process.revisions.applying import RevisionConflictError, UnknownOutcomeError
from hemlockswitch.programs.ctl_files import JSON_OPTION, ExitCode, report_mistakes
from hemlockswitch.version.checks import InvalidFileError
from hemlockswitch.version.differences import Change, describe_change
from hemlockswitch.version.mistakes import list_model_mistakes

DEFAULT_SETTINGS = "hemlock-ctl.json"
ROLE = "ctl"

PLATFORM_OPTIONS = [
    option("platform", None, "Address of the platform, ip:port.", flag=False),
    option(
        "settings",
        None,
        f'Settings file, {{"platform": "ip:port"}}; default {DEFAULT_SETTINGS} if it exists.',
        flag=False,
    ),
    option(
        "patience", None, "Seconds to keep retrying.", flag=False, default="10", value_required=True
    ),
    JSON_OPTION,
]


class CtlSettings(BaseModel):
    """The settings file of `hemlock-ctl`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = "hemlock-ctl"
    platform: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")


class PlatformCommand(Command):
    """A command that queries the platform."""

    options = PLATFORM_OPTIONS

    def handle(self) -> int:
        """Run the command and report its errors as messages and exit codes."""
        self.clock = SystemClock()
        try:
            self.client = PlatformClient.from_settings(self._read_settings(), ROLE)
            return self.run_command()
        except InvalidFileError as error:
            return report_mistakes(self, error)
        except RevisionConflictError as error:
            return report_conflict(self, error)
        except HemlockError as error:
            return report_error(self, error)

    def run_command(self) -> int:
        """Do the command's work and return its exit code."""
        raise NotImplementedError

    @property
    def retry_timeout_ms(self) -> float:
        """Total time for retries of calls to the platform."""
        return self.read_seconds("patience") * MS_PER_SECOND

    def read_seconds(self, name: str) -> float:
        """Return the value of an option in seconds."""
        try:
            return float(self.option(name))
        except ValueError as error:
            raise InvalidFileError.from_reason(f"--{name} must be a number of seconds") from error

    def read_count(self, name: str) -> int:
        """Return the value of an option that is a number of things, at least 1."""
        text = self.option(name)
        if not (text.isdecimal() and int(text) > 0):
            reason = f'--{name} must be a whole number of at least 1, not "{text}"'
            raise InvalidFileError.from_reason(reason)
        return int(text)

    def write_answer(self, answer: dict[str, Any], lines: list[str]) -> None:
        """Write the answer as JSON with ``--json``, else as lines of text."""
        if self.option("json"):
            self.line(json.dumps(answer))
            return
        for line in lines:
            self.line(line)

    def _read_settings(self) -> CtlSettings:
        address = self.option("platform")
        path = Path(self.option("settings") or DEFAULT_SETTINGS)
        try:
            if address:
                return CtlSettings(platform=address)
            return CtlSettings.model_validate_json(path.read_text(encoding="utf-8"))
        except ValidationError as error:
            raise InvalidFileError(list_model_mistakes(error)) from error
        except (OSError, UnicodeDecodeError) as error:
            reason = (
                f"no platform address: use --platform, or --settings with a readable file ({error})"
            )
            raise InvalidFileError.from_reason(reason) from error


def describe_changes(changes: tuple[Change, ...]) -> list[str]:
    """Return changes as indented lines of text."""
    return [f"  {describe_change(change)}" for change in changes] or ["  none"]


def report_conflict(command: Command, error: RevisionConflictError) -> int:
    """Write the changes of another operator and those of the file, and return the exit code."""
    answer = {
        "ok": False,
        "kind": error.kind.value,
        "seen": error.seen,
        "in_force": error.found,
        "their_changes": [describe_change(change) for change in error.their_changes],
        "our_changes": [describe_change(change) for change in error.our_changes],
    }
    if command.option("json"):
        command.line(json.dumps(answer))
        return ExitCode.CONFLICT
    command.line_error(f"conflict: {error.detail}")
    if error.their_changes:
        command.line_error(f"changed by other operators from {error.seen} to {error.found}:")
    for line in describe_changes(error.their_changes) if error.their_changes else ():
        command.line_error(line)
    command.line_error(f"your file would change in {error.found}:")
    for line in describe_changes(error.our_changes):
        command.line_error(line)
    command.line_error(
        f"merge these changes into your file, then apply it with --from {error.found}"
    )
    return ExitCode.CONFLICT


def report_error(command: Command, error: HemlockError) -> int:
    """Write an error and return its exit code."""
    answer: dict[str, Any] = {"ok": False, "kind": error.kind.value, "detail": error.detail}
    code = ExitCode.PLATFORM
    if isinstance(error, UnknownOutcomeError):
        answer |= {"number": error.number, "apply_id": error.apply_id}
        code = ExitCode.UNKNOWN_OUTCOME
    elif isinstance(error, ConfigurationError) and not isinstance(error, PlatformError):
        code = ExitCode.MISTAKES
    if command.option("json"):
        command.line(json.dumps(answer))
    else:
        command.line_error(f"{error.kind.value}: {error.detail}")
    return code
