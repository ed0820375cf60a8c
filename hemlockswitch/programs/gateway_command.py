"""The complete command line of ``hemlock-gateway``.

`hemlockswitch.programs.gateway` handles ``--settings FILE`` alone without this module.
"""

from collections.abc import Callable

from hemlockswitch.programs.daemon import DaemonCommand, run_program
from hemlockswitch.version.gateway_settings import GatewaySettings

Serve = Callable[[GatewaySettings, str], None]
"""Runs a gateway with settings that were read from a path until it is stopped."""


class GatewayCommand(DaemonCommand):
    """Runs the gateway on the users' platform.

    Parameters
    ==========

    serve : function that runs the gateway.
    """

    name = "gateway"
    description = "forward requests by routes, and take the duties while holding their lease"
    help = (
        "Reads a JSON settings file and serves until SIGTERM or SIGINT; requests in progress are\n"
        "finished within stop_grace_s. Exit codes: 0 stopped gracefully, 2 the settings have\n"
        "mistakes."
    )
    settings_model = GatewaySettings

    def __init__(self, serve: Serve) -> None:
        super().__init__()
        self._serve = serve

    def serve(self, settings: GatewaySettings, path: str) -> None:
        """Run the gateway until it is stopped."""
        self._serve(settings, path)


def run_command(serve: Serve) -> int:
    """Run the program with its command line and return its exit code."""
    return run_program("hemlock-gateway", GatewayCommand(serve))
