"""What the command lines of the daemons share: settings, ready line, graceful stop."""

import json
import signal
import sys
from collections.abc import Callable
from typing import Any, ClassVar, Protocol

import gevent
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from gevent.event import Event as Signal

import hemlockswitch
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.log_output import BoundedOutput
from hemlockswitch.core.logs import configure_logs, log_event
from hemlockswitch.version.settings import ProgramSettings

EXIT_OK = 0
EXIT_SETTINGS = 2


class Daemon(Protocol):
    """A long-running part of the system, as its program sees it."""

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks, and return the addresses that are bound."""

    def stop(self) -> None:
        """End gracefully."""


class DaemonCommand(Command):
    """The one command of a daemon's program.

    Explanation
    ===========

    A subclass names the settings' model and builds the daemon; both are class attributes so that
    the command line itself stays the same for every daemon.
    """

    settings_model: ClassVar[type[ProgramSettings]]
    logs_to_stdout: ClassVar[bool] = False

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
        self._run(settings)
        return EXIT_OK

    def _run(self, settings: ProgramSettings) -> None:
        output = BoundedOutput(sys.stdout.fileno()) if self.logs_to_stdout else None
        configure_logs(settings.name, settings.log_level, output)
        daemon = self.build_daemon(settings)
        ask_to_stop, told = self.find_stop(daemon)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, ask_to_stop)
        addresses = daemon.start()
        ready_line = json.dumps({"ready": True, "addresses": addresses})
        print(ready_line, file=output or sys.stdout, flush=True)
        log_event(Event.PROCESS_READY, addresses=addresses)
        told.wait()
        log_event(Event.PROCESS_STOPPING)
        daemon.stop()
        log_event(Event.PROCESS_STOPPED)


def run_program(program: str, command: Command) -> int:
    """Run a program that has this one command and return its exit code."""
    application = Application(program, hemlockswitch.__version__)
    application.set_display_name(program)
    application.add(command)
    # cleo has no public way to make a command the only one.
    application._default_command = command.name or program
    application._single_command = True
    return application.run()
