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
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.log_output import BoundedOutput
from hemlockswitch.core.logs import configure_logs, log_event
from hemlockswitch.version.settings_file import FileSettings

EXIT_OK = 0
EXIT_SETTINGS = 2
SETTINGS_LOOK_MS = 2_000
"""Time between two looks at the settings file: a few reads of a small file a second at most."""


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

    settings_model: ClassVar[type[FileSettings]]
    logs_to_stdout: ClassVar[bool] = False
    reloads: ClassVar[bool] = False
    """Whether the daemon has `apply_settings`, for a file that changes while it runs."""

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
        self._run(settings, path)
        return EXIT_OK

    def _run(self, settings: FileSettings, path: str) -> None:
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
        if self.reloads:
            watcher = SettingsWatcher(path, settings, daemon.apply_settings)  # type: ignore[attr-defined]
            gevent.signal_handler(signal.SIGHUP, watcher.look)
            gevent.spawn(watcher.run)
        told.wait()
        log_event(Event.PROCESS_STOPPING)
        daemon.stop()
        log_event(Event.PROCESS_STOPPED)


class SettingsWatcher:
    """Reads the settings file again when it may have changed.

    Explanation
    ===========

    A file that has mistakes changes nothing; the settings in force stay until it is mended.

    Parameters
    ==========

    path : the settings file.
    settings : the settings in force.
    apply : called with new settings.
    """

    def __init__(self, path: str, settings: FileSettings, apply: Callable[[Any], None]) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._refused = ""

    def run(self) -> None:
        """Look from time to time, for files that change without a signal."""
        while True:
            gevent.sleep(SETTINGS_LOOK_MS / MS_PER_SECOND)
            self.look()

    def look(self) -> None:
        """Take the file's settings if they differ."""
        try:
            settings = type(self._settings).from_file(self._path)
        except ConfigurationError as error:
            if error.detail != self._refused:
                log_event(Event.SETTINGS_UNUSABLE, "error", detail=error.detail)
            self._refused = error.detail
            return
        self._refused = ""
        if settings != self._settings:
            self._settings = settings
            self._apply(settings)


def run_program(program: str, command: Command) -> int:
    """Run a program that has this one command and return its exit code."""
    application = Application(program, hemlockswitch.__version__)
    application.set_display_name(program)
    application.add(command)
    # cleo has no public way to make a command the only one.
    application._default_command = command.name or program
    application._single_command = True
    return application.run()
