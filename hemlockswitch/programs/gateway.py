"""``hemlock-gateway``: forwards requests by routes on the users' platform, and takes the duties.

This module imports only what the start needs, since callers wait for the start after every restart.
All sockets are gevent's own, so the standard library is not patched.
"""

import sys

from gevent.event import Event as Signal

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.log_lines import LineWriter
from hemlockswitch.core.log_output import BoundedOutput
from hemlockswitch.core.logs import set_log_writer
from hemlockswitch.platform.cloud import CloudApi
from hemlockswitch.platform.headers import Headers
from hemlockswitch.platform.manifest import CONFIG_KIND, CONFIG_NAME, decode_manifest
from hemlockswitch.platform.rollouts import (
    ROLLOUT_KIND,
    decode_rollout,
    encode_rollout_status,
)
from hemlockswitch.platform.servers import SERVER_KIND, decode_server
from hemlockswitch.platform.store import ObjectStore
from hemlockswitch.process.gateway.adapter import Adapter
from hemlockswitch.process.gateway.daemon import GatewayDaemon
from hemlockswitch.programs.service import (
    EXIT_OK,
    EXIT_SETTINGS,
    SettingsWatcher,
    serve_until_stopped,
)
from hemlockswitch.version.gateway_settings import GatewaySettings


def build_adapter(settings: GatewaySettings, clock: SystemClock) -> Adapter:
    """Return the adapter between the gateway's interfaces and the users' platform."""
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
        rollout_kind=ROLLOUT_KIND,
        decode_rollout=decode_rollout,
        encode_rollout_status=encode_rollout_status,
    )


def serve(settings: GatewaySettings, path: str) -> None:
    """Run the gateway with `settings`, read from `path`, until it is stopped."""
    output = BoundedOutput(sys.stdout.fileno())
    set_log_writer(LineWriter(settings.name, settings.log_level, output))
    clock = SystemClock()
    daemon = GatewayDaemon(settings, build_adapter(settings, clock), clock)
    watcher = SettingsWatcher(path, settings, daemon.apply_settings)
    watcher.start()
    stopping = Signal()
    serve_until_stopped(daemon, stopping.set, stopping, output)


def start(path: str) -> int:
    """Run the gateway with the settings file at `path` and return the exit code."""
    try:
        settings = GatewaySettings.from_file(path)
    except ConfigurationError as error:
        print(f"{path}: {error.detail}", file=sys.stderr)
        return EXIT_SETTINGS
    serve(settings, path)
    return EXIT_OK


def main() -> int:
    """Run the program and return its exit code."""
    match sys.argv[1:]:
        case ["--settings", path]:
            return start(path)
    # Only help and checks need the command line framework; importing it would delay the start.
    from hemlockswitch.programs.gateway_command import run_command

    return run_command(serve)


if __name__ == "__main__":
    sys.exit(main())
