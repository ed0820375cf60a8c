"""Life cycle of a daemon process: ready line, signals, changed settings, graceful stop."""

import json
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol, TextIO

import gevent
from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.log_output import BoundedOutput
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.settings_file import FileSettings

EXIT_OK = 0
EXIT_SETTINGS = 2
SETTINGS_POLL_INTERVAL_MS = 2_000
"""The cost is at most a few reads of a small file per second."""


class Daemon(Protocol):
    """The interface of a daemon for the program that runs it."""

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks, and return the addresses that are bound."""

    def stop(self) -> None:
        """Stop gracefully."""


def serve_until_stopped(
    daemon: Daemon,
    request_stop: Callable[[], Any],
    stopping: Signal,
    output: TextIO | BoundedOutput = sys.stdout,
) -> None:
    """Run a daemon until a stop is requested, then stop it gracefully.

    Parameters
    ==========

    request_stop : called on SIGTERM and SIGINT.
    stopping : event that is set when the daemon is to stop.
    output : file that the ready line is written to.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, request_stop)
    addresses = daemon.start()
    output.write(json.dumps({"ready": True, "addresses": addresses}) + "\n")
    output.flush()
    log_event(Event.PROCESS_READY, addresses=addresses)
    stopping.wait()
    log_event(Event.PROCESS_STOPPING)
    daemon.stop()
    log_event(Event.PROCESS_STOPPED)


class SettingsWatcher:
    """Reloads the settings file when it may have changed.

    Explanation
    ===========

    An invalid file is ignored; the current settings remain active until the file is fixed.

    Parameters
    ==========

    path : the settings file.
    settings : the current settings.
    apply : called with changed settings.
    """

    def __init__(self, path: str, settings: FileSettings, apply: Callable[[Any], None]) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._reported_error = ""

    def start(self) -> None:
        """Check the file periodically and on SIGHUP."""
        gevent.signal_handler(signal.SIGHUP, self.check)
        gevent.spawn(self.run)

    def run(self) -> None:
        """Check the file periodically, since it may change without a signal."""
        while True:
            gevent.sleep(SETTINGS_POLL_INTERVAL_MS / MS_PER_SECOND)
            self.check()

    def check(self) -> None:
        """Read the file and apply its settings if they changed."""
        try:
            settings = type(self._settings).from_file(self._path)
        except ConfigurationError as error:
            if error.detail != self._reported_error:
                log_event(Event.SETTINGS_UNUSABLE, "error", detail=error.detail)
            self._reported_error = error.detail
            return
        self._reported_error = ""
        if settings != self._settings:
            self._settings = settings
            self._apply(settings)
