"""What the command lines of the daemons share: options, checked settings, exit codes."""

from collections.abc import Callable
from typing import Any, ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from gevent.event import Event as Signal

import hemlockswitch
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.logs import configure_logs
from hemlockswitch.programs.service import (
    EXIT_OK,
    EXIT_SETTINGS,
    Daemon,
    serve_until_stopped,
)
from hemlockswitch.version.settings_file import FileSettings


class DaemonCommand(Command):
    """The one command of a daemon's program.

    Explanation
    ===========

    A subclass names the settings' model and builds the daemon; both are class attributes so that
    the command line itself stays the same for every daemon.
    """

    settings_model: ClassVar[type[FileSettings]]

    options = [
        option("settings", None, "JSON settings file", flag=False),
        option("check", None, "check the settings file and exit"),
    ]

    def build_daemon(self, settings: Any) -> Daemon:
        """Return the daemon that `settings` describe."""
        raise NotImplementedError

    def find_stop(self, daemon: Any) -> tuple[Callable[[], Any], Signal]:
        """Return what a signal calls, and what is set once the daemon shall stop."""
        stopping = Signal()
        return stopping.set, stopping

    def handle(self) -> int:
        """Check the settings, then run until told to stop."""
        path = self.option("settings")
        if not path:
            self.line_error("--settings: a file is needed")
            return EXIT_SETTINGS
        try:
            settings = self.settings_model.from_file(path)
        except ConfigurationError as error:
            self.line_error(f"{path}: {error.detail}")
            return EXIT_SETTINGS
        if self.option("check"):
            self.line("settings: ok")
            return EXIT_OK
        self.serve(settings, path)
        return EXIT_OK

    def serve(self, settings: Any, path: str) -> None:
        """Run the daemon until it is told to stop."""
        configure_logs(settings.name, settings.log_level)
        daemon = self.build_daemon(settings)
        serve_until_stopped(daemon, *self.find_stop(daemon))


def run_program(program: str, command: Command) -> int:
    """Run a program that has this one command and return its exit code."""
    application = Application(program, hemlockswitch.__version__)
    application.set_display_name(program)
    application.add(command)
    # cleo has no public way to make a command the only one.
    application._default_command = command.name or program
    application._single_command = True
    return application.run()
