"""`hemlock-ctl gateways`: the local state of gateways, read from their status pages."""

import json
from dataclasses import asdict

from pydantic import BaseModel, ConfigDict

from hemlockswitch.programs.ctl_files import ExitCode
from hemlockswitch.programs.gateway_status import (
    BrittleServer,
    GatewayStatus,
    LimitedServer,
    LinksState,
    QuarantinedTrait,
    RestingServer,
    ServiceVersions,
    format_status,
)
from hemlockswitch.programs.status_pages import (
    TIMEOUT_MS,
    StatusPageError,
    StatusPagesCommand,
    read_status_page,
)


class _ConfigurationBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    revision: int | None = None
    watch_lost: bool = False


class _SuspectBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    fingerprint: str
    held: bool
    ends: list[str]
    trials: int
    trial_in_ms: float | None
    changed_ms_ago: float


class _LimitBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    server: str
    limit_per_s: float
    source: str
    limited_for_ms: float
    issues_permits: bool


class _LinksBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    is_isolated: bool = False
    for_ms: float = 0.0
    hangs: bool = False
    through: dict[str, int] = {}
    tunnels_for: dict[str, int] = {}


class _BrittleBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    server: str
    limit_per_s: float
    source: str
    limited_for_ms: float


class _FollowedBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    era: int = 0


class _RestBody(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    server: str
    left_ms: float
    source: str


class _StatusBody(BaseModel):
    """The fields of a gateway's status page that this command uses; all others are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    ready: bool
    configuration: _ConfigurationBody
    gateways: dict[str, dict[str, object]]
    backend_servers: int
    quarantine: list[_SuspectBody] = []
    limited_servers: list[_LimitBody] = []
    brittle_servers: list[_BrittleBody] = []
    followed: dict[str, _FollowedBody] = {}
    leaving_servers: list[str] = []
    resting_servers: list[_RestBody] = []
    links: _LinksBody = _LinksBody()
    streams: dict[str, dict[str, int]] = {}


class GatewaysCommand(StatusPagesCommand):
    """Show the local state of gateways."""

    name = "gateways"
    description = "Show the state of gateways: readiness, revision, gateways, servers, quarantine, limits, departures, rests."
    help = """Reads the status pages of all addresses concurrently and shows a line for each gateway,
followed by a line for each content and each prompt part that it has quarantined because servers crashed
while serving it, for each backend server that limits its requests or is brittle, and for each service
whose servers run several versions. A gateway that cannot connect to any backend server is shown with the
gateways that connect it. Gateways that differ in revision or in the number of servers for longer than a
few seconds are cut off from the store or from one another.

Exit codes: 0 every gateway answered, 2 an address or the time-out is wrong, 4 one did not answer."""

    def handle(self) -> int:
        """Read the status pages and write the result."""
        statuses = self.query_all(read_gateway_status)
        if statuses is None:
            return ExitCode.MISTAKES
        if self.option("json"):
            self.line(json.dumps({"gateways": [asdict(status) for status in statuses]}))
        else:
            for status in statuses:
                self.line(format_status(status))
        return ExitCode.PLATFORM if any(status.error for status in statuses) else ExitCode.DONE


def read_gateway_status(host: str, port: int, timeout_ms: float = TIMEOUT_MS) -> GatewayStatus:
    """Return the local state of the gateway at a control address."""
    address = f"{host}:{port}"
    try:
        body = read_status_page(_StatusBody, host, port, timeout_ms)
    except StatusPageError as error:
        return GatewayStatus(address, error=str(error))
    return GatewayStatus(
        address,
        body.name,
        body.ready,
        body.configuration.revision,
        body.configuration.watch_lost,
        len(body.gateways),
        body.backend_servers,
        _list_quarantined(body.quarantine),
        tuple(LimitedServer(**one.model_dump()) for one in body.limited_servers),
        tuple(
            BrittleServer(one.server, one.limit_per_s, one.source, one.limited_for_ms)
            for one in body.brittle_servers
        ),
        _read_links(body.links),
        _list_versions(body.streams),
        store_era=max((one.era for one in body.followed.values()), default=0),
        leaving=tuple(body.leaving_servers),
        resting=tuple(RestingServer(**one.model_dump()) for one in body.resting_servers),
    )


def _list_versions(streams: dict[str, dict[str, int]]) -> tuple[ServiceVersions, ...]:
    """Return the services with servers of several versions."""
    return tuple(
        ServiceVersions(service, tuple(sorted(counts.items())))
        for service, counts in sorted(streams.items())
        if len(counts) > 1
    )


def _read_links(body: _LinksBody) -> LinksState:
    return LinksState(
        body.for_ms if body.is_isolated else None,
        body.hangs,
        tuple(sorted(body.through.items())),
        tuple(sorted(body.tunnels_for.items())),
    )


def _list_quarantined(suspects: list[_SuspectBody]) -> tuple[QuarantinedTrait, ...]:
    return tuple(
        QuarantinedTrait(
            one.fingerprint, len(one.ends), one.trials, one.trial_in_ms, one.changed_ms_ago
        )
        for one in suspects
        if one.held
    )
