"""``hemlock-controller``: keeps the wanted copies of its zone while it holds the zone's lease."""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys

import gevent
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from gevent.event import Event as Signal

import hemlockswitch
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import configure_logs, log_event
from hemlockswitch.process.controller import ControllerDaemon
from hemlockswitch.version.settings import ControllerSettings

EXIT_OK = 0
EXIT_SETTINGS = 2


class ControllerCommand(Command):
    """The one command of the program."""

    name = "controller"
    description = "keep the wanted copies of one availability zone"
    help = (
        "Reads a JSON settings file and runs until SIGTERM or SIGINT, which give the zone's lease\n"
        "back. Exit codes: 0 stopped gracefully, 2 the settings have mistakes."
    )
    options = [
        option("settings", None, "JSON settings file", flag=False),
        option("check", None, "check the settings file and exit"),
    ]

    def handle(self) -> int:
        """Check the settings, then run."""
        path = self.option("settings")
        if not path:
            self.line_error("--settings: a file is needed")
            return EXIT_SETTINGS
        try:
            settings = ControllerSettings.from_file(path)
        except ConfigurationError as error:
            self.line_error(f"{path}: {error.detail}")
            return EXIT_SETTINGS
        if self.option("check"):
            self.line("settings: ok")
            return EXIT_OK
        run(settings)
        return EXIT_OK


def run(settings: ControllerSettings) -> None:
    """Run until the process is told to stop."""
    configure_logs(settings.name, settings.log_level)
    stopping = Signal()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    daemon = ControllerDaemon.from_settings(settings)
    addresses = daemon.start()
    print(json.dumps({"ready": True, "addresses": addresses}), flush=True)
    log_event(Event.PROCESS_READY, addresses=addresses)
    stopping.wait()
    log_event(Event.PROCESS_STOPPING)
    daemon.stop()
    log_event(Event.PROCESS_STOPPED)


def main() -> int:
    """Run the program and return its exit code."""
    application = Application("hemlock-controller", hemlockswitch.__version__)
    application.add(ControllerCommand())
    application._default_command = "controller"
    application._single_command = True
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
