"""`hemlock-ctl`: the command for operators, which changes the system only by applying files."""

from gevent import monkey

monkey.patch_all()

import sys

from cleo.application import Application

import hemlockswitch
from hemlockswitch.programs.ctl_apply import ApplyCommand, DiffCommand
from hemlockswitch.programs.ctl_events import EventsCommand
from hemlockswitch.programs.ctl_files import CheckCommand
from hemlockswitch.programs.ctl_gateways import GatewaysCommand
from hemlockswitch.programs.ctl_requests import RequestsCommand
from hemlockswitch.programs.ctl_rollouts import RolloutsCommand
from hemlockswitch.programs.ctl_status import HistoryCommand, StatusCommand

COMMANDS = (
    CheckCommand,
    DiffCommand,
    ApplyCommand,
    StatusCommand,
    HistoryCommand,
    EventsCommand,
    GatewaysCommand,
    RolloutsCommand,
    RequestsCommand,
)


def make_application() -> Application:
    """Return the application with all its commands."""
    application = Application("hemlock-ctl", hemlockswitch.__version__)
    application.set_display_name("hemlock-ctl")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run one command and return its exit code."""
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
