"""`hemlock-ctl check`: report the mistakes in an operator file or a settings file."""

import json
from enum import IntEnum
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from pydantic import ValidationError

from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.version.checks import CheckedFile, InvalidFileError, parse_file
from hemlockswitch.version.documents import digest_tree
from hemlockswitch.version.gateway_settings import GatewaySettings
from hemlockswitch.version.mistakes import list_model_mistakes
from hemlockswitch.version.settings import ControllerSettings, EntrySettings, ProgramSettings

SETTINGS: dict[str, type[ProgramSettings]] = {
    "entry": EntrySettings,
    "controller": ControllerSettings,
}
JSON_OPTION = option("json", None, "Write one JSON object to standard output.")


class ExitCode(IntEnum):
    """Exit codes of the commands; documented in docs/reference/hemlock-ctl.md."""

    DONE = 0
    WRONG_USE = 1
    MISTAKES = 2
    CONFLICT = 3
    PLATFORM = 4
    UNKNOWN_OUTCOME = 5
    NOT_IN_FORCE = 6


def read_file(path: str) -> CheckedFile:
    """Return the configuration in the file at `path`.

    Raises
    ======

    ConfigurationError : the file cannot be read, or has mistakes.
    """
    return parse_file(read_text(path))


def read_text(path: str) -> str:
    """Return the text of a file.

    Raises
    ======

    InvalidFileError : the file cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError.from_reason(f"cannot be read: {error}") from error


class CheckCommand(Command):
    """Report every mistake in a file; the platform is not contacted."""

    name = "check"
    description = "Report every mistake in an operator or settings file; nothing is applied."
    arguments = [argument("file", "The file, JSON.")]
    options = [
        JSON_OPTION,
        option(
            "kind",
            None,
            "Kind of the file: operator, entry, controller or gateway.",
            flag=False,
            default="operator",
        ),
    ]
    help = """Reads the complete file and reports all mistakes at once, each with its path and reason.
For the settings of a gateway only the first mistake is reported.

Exit codes: 0 the file is valid, 2 it has mistakes."""

    def handle(self) -> int:
        """Run the command."""
        path = self.argument("file")
        try:
            answer = self._check(path)
        except ConfigurationError as error:
            return report_mistakes(self, error)
        if self.option("json"):
            self.line(json.dumps({"ok": True, "mistakes": [], **answer}))
        else:
            self.line(" ".join([f"{path}: no mistakes", *answer.values()]))
        return ExitCode.DONE

    def _check(self, path: str) -> dict[str, str]:
        kind = self.option("kind")
        if kind == "operator":
            return {"digest": digest_tree(read_file(path).tree)}
        if kind == "gateway":
            return self._check_gateway(path)
        if kind not in SETTINGS:
            raise InvalidFileError.from_reason(
                f"--kind {kind!r} is not operator, entry, controller or gateway"
            )
        try:
            SETTINGS[kind].model_validate_json(read_text(path))
        except ValidationError as error:
            raise InvalidFileError(list_model_mistakes(error)) from error
        return {}

    @staticmethod
    def _check_gateway(path: str) -> dict[str, str]:
        try:
            GatewaySettings.from_json(read_text(path))
        except ConfigurationError as error:
            raise InvalidFileError.from_reason(error.detail) from error
        return {}


def report_mistakes(command: Command, error: ConfigurationError) -> int:
    """Write the mistakes of a file and return the exit code for them."""
    mistakes = error.mistakes if isinstance(error, InvalidFileError) else ()
    rows = [{"path": mistake.path, "reason": mistake.reason} for mistake in mistakes]
    if command.option("json"):
        command.line(json.dumps({"ok": False, "mistakes": rows, "detail": error.detail}))
    else:
        for mistake in mistakes:
            command.line_error(str(mistake))
        command.line_error(f"mistakes: {len(rows)}; nothing was changed")
    return ExitCode.MISTAKES
