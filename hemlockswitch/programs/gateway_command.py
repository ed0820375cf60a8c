"""The whole command line of ``hemlock-gateway``, for any arguments but a settings file alone."""

from hemlockswitch.programs.daemon import DaemonCommand, run_program
from hemlockswitch.programs.gateway import serve
from hemlockswitch.version.gateway_settings import GatewaySettings


class GatewayCommand(DaemonCommand):
    """Serves callers on the users' platform."""

    name = "gateway"
    description = "forward requests by routes, and take the duties when it is this daemon's turn"
    help = (
        "Reads a JSON settings file and serves until SIGTERM or SIGINT; requests in progress are\n"
        "finished within stop_grace_s. Exit codes: 0 stopped gracefully, 2 the settings have\n"
        "mistakes."
    )
    settings_model = GatewaySettings

    def serve(self, settings: GatewaySettings, path: str) -> None:
        """Run the gateway until it is told to stop."""
        serve(settings, path)


def run_command() -> int:
    """Run the program by its command line and return its exit code."""
    return run_program("hemlock-gateway", GatewayCommand())
