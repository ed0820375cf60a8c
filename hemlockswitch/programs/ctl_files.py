"""`hemlock-ctl check`: read an operator file or a settings file and name every mistake."""

import json
from enum import IntEnum
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.version.checks import CheckedFile, InvalidFileError, parse_file
from hemlockswitch.version.documents import digest_tree

JSON_OPTION = option("json", None, "Write one JSON object to standard output.")


class ExitCode(IntEnum):
    """What a command's exit code says; documented in docs/reference/hemlock-ctl.md."""

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
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError.from_reason(f"cannot be read: {error}") from error
    return parse_file(text)


class CheckCommand(Command):
    """Name every mistake in a file, without a word to the platform."""

    name = "check"
    description = "Name every mistake in an operator file; nothing is applied."
    arguments = [argument("file", "The operator file, JSON.")]
    options = [JSON_OPTION]
    help = """Reads the whole file and names every mistake at once, each with its path and reason.

Exit codes: 0 the file can be applied, 2 it has mistakes."""

    def handle(self) -> int:
        """Run the command."""
        try:
            checked = read_file(self.argument("file"))
        except ConfigurationError as error:
            return report_mistakes(self, error)
        answer = {"ok": True, "digest": digest_tree(checked.tree), "mistakes": []}
        if self.option("json"):
            self.line(json.dumps(answer))
        else:
            self.line(f"{self.argument('file')}: no mistakes, {answer['digest']}")
        return ExitCode.DONE


def report_mistakes(command: Command, error: ConfigurationError) -> int:
    """Write the mistakes of a file and return the exit code for them."""
    mistakes = error.mistakes if isinstance(error, InvalidFileError) else ()
    rows = [{"path": mistake.path, "reason": mistake.reason} for mistake in mistakes]
    if command.option("json"):
        command.line(json.dumps({"ok": False, "mistakes": rows, "detail": error.detail}))
    else:
        for mistake in mistakes:
            command.line_error(str(mistake))
        command.line_error(f"{len(rows)} mistakes; nothing was applied")
    return ExitCode.MISTAKES
