"""``hemlock-entry``: the daemon that receives the requests of callers."""

from gevent import monkey

monkey.patch_all()

import sys
from collections.abc import Callable
from typing import Any

from gevent.event import Event as Signal

from hemlockswitch.process.entry import EntryDaemon
from hemlockswitch.programs.daemon import DaemonCommand, run_program
from hemlockswitch.version.settings import EntrySettings


class EntryCommand(DaemonCommand):
    """Runs the entry daemon."""

    name = "entry"
    description = "serve callers: admit, route and relay their requests"
    help = (
        "Reads a JSON settings file and serves until SIGTERM, SIGINT or a reclaim notice; requests\n"
        "in progress then finish or move to another daemon. Exit codes:\n"
        "0 stopped gracefully, 2 the settings have mistakes."
    )
    settings_model = EntrySettings

    def build_daemon(self, settings: EntrySettings) -> EntryDaemon:
        """Return the entry daemon."""
        return EntryDaemon.from_settings(settings)

    def find_stop(self, daemon: EntryDaemon) -> tuple[Callable[[], Any], Signal]:
        """Return the request and the event of the daemon's departure.

        A reclaim notice starts the departure in the same way as a signal.
        """
        return daemon.departure.request, daemon.departure.stop_requested


def main() -> int:
    """Run the program and return its exit code."""
    return run_program("hemlock-entry", EntryCommand())


if __name__ == "__main__":
    sys.exit(main())
