"""The life of a daemon's process: ready line, signals, changed settings, graceful stop."""

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
SETTINGS_LOOK_MS = 2_000
"""Time between two looks at the settings file: a few reads of a small file a second at most."""


class Daemon(Protocol):
    """A long-running part of the system, as its program sees it."""

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks, and return the addresses that are bound."""

    def stop(self) -> None:
        """End gracefully."""


def serve_until_stopped(
    daemon: Daemon,
    ask_to_stop: Callable[[], Any],
    told: Signal,
    output: TextIO | BoundedOutput = sys.stdout,
) -> None:
    """Run a daemon until a signal, then end it gracefully.

    Parameters
    ==========

    ask_to_stop : called by SIGTERM and SIGINT.
    told : set once the daemon shall stop.
    output : gets the ready line.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ask_to_stop)
    addresses = daemon.start()
    output.write(json.dumps({"ready": True, "addresses": addresses}) + "\n")
    output.flush()
    log_event(Event.PROCESS_READY, addresses=addresses)
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

    def start(self) -> None:
        """Look from time to time, and at SIGHUP."""
        gevent.signal_handler(signal.SIGHUP, self.look)
        gevent.spawn(self.run)

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
