"""``hemlock-gateway``: forwards requests by routes on the users' platform, and takes the duties."""

from gevent import monkey

monkey.patch_all()

import sys

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.platform.cloud import CloudApi
from hemlockswitch.platform.headers import Headers
from hemlockswitch.platform.manifest import CONFIG_KIND, CONFIG_NAME, decode_manifest
from hemlockswitch.platform.servers import SERVER_KIND, decode_server
from hemlockswitch.platform.store import ObjectStore
from hemlockswitch.process.gateway.adapter import Adapter
from hemlockswitch.process.gateway.daemon import GatewayDaemon
from hemlockswitch.programs.daemon import DaemonCommand, run_program
from hemlockswitch.version.gateway_settings import GatewaySettings


def build_adapter(settings: GatewaySettings, clock: SystemClock) -> Adapter:
    """Return the users' platform behind the gateway's own interfaces."""
    cloud = settings.cloud
    return Adapter(
        dialect=Headers(),
        store=ObjectStore(settings.platform, clock),
        duty_api=CloudApi(cloud, settings.name, clock) if cloud is not None else None,
        config_kind=CONFIG_KIND,
        config_name=CONFIG_NAME,
        server_kind=SERVER_KIND,
        decode_table=decode_manifest,
        decode_server=decode_server,
    )


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
    logs_to_stdout = True
    reloads = True

    def build_daemon(self, settings: GatewaySettings) -> GatewayDaemon:
        """Return the gateway daemon."""
        clock = SystemClock()
        return GatewayDaemon(settings, build_adapter(settings, clock), clock)


def main() -> int:
    """Run the program and return its exit code."""
    return run_program("hemlock-gateway", GatewayCommand())


if __name__ == "__main__":
    sys.exit(main())
