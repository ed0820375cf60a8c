"""``hemlock-standin``: stand-ins of external systems for tests, one process each."""

from gevent import monkey

monkey.patch_all()

import json
from pathlib import Path
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

import hemlockswitch


class StandinCommand(Command):
    """Base of the stand-ins: reads a JSON settings file and serves until it is stopped."""

    options = [option("settings", None, "JSON settings file", flag=False)]

    def handle(self) -> int:
        """Read the settings and serve."""
        self.serve(json.loads(Path(self.option("settings")).read_text()))
        return 0

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve until the process is stopped."""
        raise NotImplementedError


class EngineCommand(StandinCommand):
    """Serve a model engine."""

    name = "engine"
    description = "serve a stand-in model engine"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve a model engine."""
        from hemlockswitch.standin.engine_api import EngineSettings, serve_engine

        serve_engine(EngineSettings.model_validate(settings))


class ServiceCommand(StandinCommand):
    """Serve a plain service."""

    name = "service"
    description = "serve a stand-in plain service"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve a plain service."""
        from hemlockswitch.standin.service import ServiceSettings, serve_service

        serve_service(ServiceSettings.model_validate(settings))


class PlatformCommand(StandinCommand):
    """Serve the platform: object service, VM list, cloud API."""

    name = "platform"
    description = "serve a stand-in platform"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve the platform."""
        from hemlockswitch.standin.platform import serve_platform

        serve_platform(settings)


class ProxyCommand(StandinCommand):
    """Serve the fault-injecting proxy."""

    name = "proxy"
    description = "serve a fault-injecting TCP proxy"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve the proxy."""
        from hemlockswitch.standin.proxy import ProxySettings, serve_proxy

        serve_proxy(ProxySettings.model_validate(settings))


class GatewayStoreCommand(StandinCommand):
    """Serve the object store and cloud API of the users' platform for gateways."""

    name = "gateway-store"
    description = "serve a stand-in of the users' object store and cloud API"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve the store."""
        from hemlockswitch.standin.gateway_store import GatewayStoreSettings, serve_gateway_store

        serve_gateway_store(GatewayStoreSettings.model_validate(settings))


class RunnerCommand(StandinCommand):
    """Serve a backend server of the users' platform."""

    name = "runner"
    description = "serve a stand-in backend server of the users' platform"

    def serve(self, settings: dict[str, Any]) -> None:
        """Serve a runner."""
        from hemlockswitch.standin.runner import serve_runner
        from hemlockswitch.standin.runner_models import RunnerSettings

        serve_runner(RunnerSettings.model_validate(settings))


def main() -> int:
    """Run the command line."""
    application = Application("hemlock-standin", hemlockswitch.__version__)
    application.set_display_name("hemlock-standin")
    commands = (
        EngineCommand,
        ServiceCommand,
        PlatformCommand,
        ProxyCommand,
        GatewayStoreCommand,
        RunnerCommand,
    )
    for command in commands:
        application.add(command())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
