"""Base of the daemons' command lines: options, validation of settings, exit codes."""

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
    """The single command of a daemon's program.

    Explanation
    ===========

    A subclass sets `settings_model` and overrides `build_daemon`; the command line is then
    identical for every daemon.
    """

    settings_model: ClassVar[type[FileSettings]]

    options = [
        option("settings", None, "JSON settings file", flag=False),
        option("check", None, "check the settings file and exit"),
    ]

    def build_daemon(self, settings: Any) -> Daemon:
        """Return the daemon for `settings`."""
        raise NotImplementedError

    def find_stop(self, daemon: Any) -> tuple[Callable[[], Any], Signal]:
        """Return the function that signals call, and the event that is set to stop the daemon."""
        stopping = Signal()
        return stopping.set, stopping

    def handle(self) -> int:
        """Validate the settings, then run the daemon until it is stopped."""
        path = self.option("settings")
        if not path:
            self.line_error("--settings: a file is required")
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
        """Run the daemon until it is stopped."""
        configure_logs(settings.name, settings.log_level)
        daemon = self.build_daemon(settings)
        serve_until_stopped(daemon, *self.find_stop(daemon))


def run_program(program: str, command: Command) -> int:
    """Run a program with a single command and return its exit code."""
    application = Application(program, hemlockswitch.__version__)
    application.set_display_name(program)
    application.add(command)
    # cleo has no public interface for an application with a single command.
    application._default_command = command.name or program
    application._single_command = True
    return application.run()
