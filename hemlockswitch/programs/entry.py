"""``hemlock-entry``: the daemon in the callers' path."""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys

import gevent
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

import hemlockswitch
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import configure_logs, log_event
from hemlockswitch.process.entry import EntryDaemon
from hemlockswitch.version.settings import EntrySettings

EXIT_OK = 0
EXIT_SETTINGS = 2


class EntryCommand(Command):
    """The one command of the program."""

    name = "entry"
    description = "serve callers: admit, route and relay their requests"
    help = (
        "Reads a JSON settings file and serves until SIGTERM or SIGINT, which let requests in\n"
        "progress end or move to another daemon, as a reclaim notice does. Exit codes:\n"
        "0 stopped gracefully, 2 the settings have mistakes."
    )
    options = [
        option("settings", None, "JSON settings file", flag=False),
        option("check", None, "check the settings file and exit"),
    ]

    def handle(self) -> int:
        """Check the settings, then serve."""
        path = self.option("settings")
        if not path:
            self.line_error("--settings: a file is needed")
            return EXIT_SETTINGS
        try:
            settings = EntrySettings.from_file(path)
        except ConfigurationError as error:
            self.line_error(f"{path}: {error.detail}")
            return EXIT_SETTINGS
        if self.option("check"):
            self.line("settings: ok")
            return EXIT_OK
        serve(settings)
        return EXIT_OK


def serve(settings: EntrySettings) -> None:
    """Serve until the process is told to stop."""
    configure_logs(settings.name, settings.log_level)
    daemon = EntryDaemon.from_settings(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, daemon.departure.request)
    addresses = daemon.start()
    print(json.dumps({"ready": True, "addresses": addresses}), flush=True)
    log_event(Event.PROCESS_READY, addresses=addresses)
    daemon.departure.told.wait()
    log_event(Event.PROCESS_STOPPING)
    daemon.stop()
    log_event(Event.PROCESS_STOPPED)


def main() -> int:
    """Run the program and return its exit code."""
    application = Application("hemlock-entry", hemlockswitch.__version__)
    command = EntryCommand()
    application.add(command)
    application._default_command = "entry"
    application._single_command = True
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
