"""``hemlock-load``: sends a seeded mix of requests and checks every answer."""

from gevent import monkey

monkey.patch_all()

import json
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import ValidationError

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.programs.daemon import run_program
from hemlockswitch.standin.load import Load
from hemlockswitch.standin.load_plan import LoadSettings

EXIT_OK = 0
EXIT_WRONG = 1
EXIT_SETTINGS = 2


class LoadCommand(Command):
    """Sends the load and writes the results."""

    name = "load"
    description = "send open-loop load and check every answer"
    help = (
        "Writes the results as JSON. Exit codes: 0 every answer received was complete and belonged\n"
        "to its caller, 1 some were not, 2 the settings have mistakes."
    )
    options = [
        option("settings", None, "JSON settings file", flag=False),
        option("results", None, "file for the results; default standard output", flag=False),
    ]

    def handle(self) -> int:
        """Run the load."""
        try:
            content = Path(self.option("settings") or "").read_bytes()
            settings = LoadSettings.model_validate_json(content)
        except (OSError, ValidationError) as error:
            self.line_error(f"settings: {error}")
            return EXIT_SETTINGS
        results = Load(settings, SystemClock()).run()
        text = json.dumps(results, indent=2) + "\n"
        if self.option("results"):
            Path(self.option("results")).write_text(text)
        else:
            sys.stdout.write(text)
        return EXIT_WRONG if results["problems"] else EXIT_OK


def main() -> int:
    """Run the program and return its exit code."""
    return run_program("hemlock-load", LoadCommand())


if __name__ == "__main__":
    sys.exit(main())
