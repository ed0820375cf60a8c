"""``hemlock-controller``: maintains the wanted copies of its zone while it holds the lease."""

from gevent import monkey

monkey.patch_all()

import sys

from hemlockswitch.process.controller import ControllerDaemon
from hemlockswitch.programs.daemon import DaemonCommand, run_program
from hemlockswitch.version.settings import ControllerSettings


class ControllerCommand(DaemonCommand):
    """Runs the controller of one availability zone."""

    name = "controller"
    description = "maintain the wanted copies of one availability zone"
    help = (
        "Reads a JSON settings file and runs until SIGTERM or SIGINT, then releases the lease of\n"
        "the zone. Exit codes: 0 stopped gracefully, 2 the settings have mistakes."
    )
    settings_model = ControllerSettings

    def build_daemon(self, settings: ControllerSettings) -> ControllerDaemon:
        """Return the controller."""
        return ControllerDaemon.from_settings(settings)


def main() -> int:
    """Run the program and return its exit code."""
    return run_program("hemlock-controller", ControllerCommand())


if __name__ == "__main__":
    sys.exit(main())
