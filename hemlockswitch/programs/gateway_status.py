"""The local state of a gateway as `hemlock-ctl gateways` shows it, and its lines."""

from dataclasses import dataclass

from hemlockswitch.core.clock import MS_PER_SECOND


@dataclass(frozen=True)
class QuarantinedTrait:
    """A content or prompt part that a gateway has quarantined because servers crashed while serving it.

    Parameters
    ==========

    ends : number of crashed servers.
    trials : number of trials since the crashes.
    trial_in_ms : time until the next trial; None if there will be no further trial.
    changed_ms_ago : time since the gateway recorded the last crash or trial.
    """

    fingerprint: str
    ends: int
    trials: int
    trial_in_ms: float | None
    changed_ms_ago: float


@dataclass(frozen=True)
class LimitedServer:
    """A backend server that limits its requests, as known to a gateway.

    Parameters
    ==========

    limit_per_s : the requests per second that it takes from all gateways together.
    source : ``own``, or the name of the gateway that reported the limit.
    limited_for_ms : time since this gateway learned that the server is limited.
    issues_permits : whether this gateway issues the permits for requests to the server.
    """

    server: str
    limit_per_s: float
    source: str
    limited_for_ms: float
    issues_permits: bool


@dataclass(frozen=True)
class BrittleServer:
    """A backend server that falls over after too many rejections, as known to a gateway.

    Parameters
    ==========

    rejections_per_s : the rejections in a second that it stands.
    source : ``own``, or the name of the gateway that reported it.
    known_for_ms : time since this gateway learned of it.
    """

    server: str
    rejections_per_s: float
    source: str
    known_for_ms: float


@dataclass(frozen=True)
class RestingServer:
    """A backend server that wants no requests from a gateway for a while.

    Parameters
    ==========

    left_ms : time until the gateway sends to it again.
    source : ``own``, or the name of the gateway that received the server's answer.
    """

    server: str
    left_ms: float
    source: str


@dataclass(frozen=True)
class LinksState:
    """The links of a gateway to the backend servers.

    Parameters
    ==========

    isolated_for_ms : time since it has not been able to connect to any server; None if it is.
    hangs : whether connections get no answer, rather than being refused.
    through : number of its connections through other gateways, by gateway.
    tunnels_for : number of connections that it makes for other gateways, by gateway.
    """

    isolated_for_ms: float | None = None
    hangs: bool = False
    through: tuple[tuple[str, int], ...] = ()
    tunnels_for: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class ServiceVersions:
    """The versions of a service's servers, each with the streams that callers may take up at it."""

    service: str
    streams: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class GatewayStatus:
    """The local state of one gateway, or the reason why it could not be read.

    Parameters
    ==========

    revision : revision of the active configuration; None before the first.
    watch_lost : whether the gateway has lost its watch on the object service.
    hears : number of peers that the gateway receives reports from.
    servers : number of backend servers that the gateway has recorded.
    held : the contents and prompt parts that the gateway has quarantined.
    limited : the backend servers that limit their requests.
    brittle : the backend servers that fall over after too many rejections.
    links : the links to the backend servers.
    versions : services with servers of several versions, each with the streams that a version has begun.
    error : empty if the gateway answered.
    store_era : the era of the object service in which its state was recorded; 0 if none is stated.
    leaving : the backend servers that stated in an answer that they leave.
    resting : the backend servers that want no requests from this gateway for a while.
    """

    address: str
    name: str = ""
    ready: bool = False
    revision: int | None = None
    watch_lost: bool = False
    hears: int = 0
    servers: int = 0
    held: tuple[QuarantinedTrait, ...] = ()
    limited: tuple[LimitedServer, ...] = ()
    brittle: tuple[BrittleServer, ...] = ()
    links: LinksState = LinksState()
    versions: tuple[ServiceVersions, ...] = ()
    error: str = ""
    store_era: int = 0
    leaving: tuple[str, ...] = ()
    resting: tuple[RestingServer, ...] = ()


def format_status(status: GatewayStatus) -> str:
    """Return one line for the gateway, and one for each quarantined trait.

    Examples
    ========

    >>> format_status(GatewayStatus("10.0.0.1:7615", "front-1", True, 7, False, 8, 16))
    '10.0.0.1:7615 front-1: ready, revision 7, hears 8 gateways, knows 16 servers'
    >>> format_status(GatewayStatus("10.0.0.1:7615", "front-1", True, 7, store_era=2))
    '10.0.0.1:7615 front-1: ready, revision 7, store era 2, hears 0 gateways, knows 0 servers'
    >>> format_status(GatewayStatus("10.0.0.1:7615", error="no answer: refused"))
    '10.0.0.1:7615: no answer: refused'
    """
    if status.error:
        return f"{status.address}: {status.error}"
    ready = "ready" if status.ready else "not ready"
    revision = "no revision" if status.revision is None else f"revision {status.revision}"
    lost = " (store not in touch)" if status.watch_lost else ""
    era = f", store era {status.store_era}" if status.store_era else ""
    counts = f"hears {status.hears} gateways, knows {status.servers} servers"
    first = f"{status.address} {status.name}: {ready}, {revision}{lost}{era}, {counts}"
    lines = format_links(status.links)
    lines += [format_quarantined(one) for one in status.held]
    lines += [format_limited(one) for one in status.limited]
    lines += [format_brittle(one) for one in status.brittle]
    lines += [f"{server} leaves, by its own answer" for server in status.leaving]
    lines += [format_resting(one) for one in status.resting]
    lines += [format_versions(one) for one in status.versions]
    return "\n".join([first, *(f"  {line}" for line in lines)])


def format_quarantined(trait: QuarantinedTrait) -> str:
    """Return one line for a quarantined content or prompt part.

    Examples
    ========

    >>> format_quarantined(QuarantinedTrait("7f3a", 4, 1, 12_000.0, 8_000.0))
    'holds back 7f3a: 4 servers ended, 1 trials, changed 8.0 s ago, next trial in 12.0 s'
    """
    changed_s = trait.changed_ms_ago / MS_PER_SECOND
    if trait.trial_in_ms is None:
        next_trial = "no further trial"
    else:
        next_trial = f"next trial in {trait.trial_in_ms / MS_PER_SECOND:.1f} s"
    counts = f"{trait.ends} servers ended, {trait.trials} trials"
    return f"holds back {trait.fingerprint}: {counts}, changed {changed_s:.1f} s ago, {next_trial}"


def format_limited(server: LimitedServer) -> str:
    """Return one line for a limited backend server.

    Examples
    ========

    >>> format_limited(LimitedServer("i-7f3a", 1.3, "front-2", 8_000.0, True))
    'i-7f3a takes 1.3 requests/s from all gateways, known for 8.0 s from front-2, permits issued here'
    """
    known_s = server.limited_for_ms / MS_PER_SECOND
    issued = ", permits issued here" if server.issues_permits else ""
    return (
        f"{server.server} takes {server.limit_per_s:g} requests/s from all gateways,"
        f" known for {known_s:.1f} s from {server.source}{issued}"
    )


def format_links(links: LinksState) -> list[str]:
    """Return the lines for the links of a gateway; none if it needs no other gateway, and helps none.

    Examples
    ========

    >>> format_links(LinksState(3_200.0, True, (("front-2", 3), ("front-5", 1))))
    ['reaches no backend server for 3.2 s (connections hang), connected by front-2 (3), front-5 (1)']
    >>> format_links(LinksState(tunnels_for=(("front-1", 4),)))
    ['connects to backend servers for front-1 (4)']
    """
    lines = []
    if links.isolated_for_ms is not None:
        how = "connections hang" if links.hangs else "connections are refused"
        by = f"connected by {_list_counts(links.through)}" if links.through else "connected by none"
        since_s = links.isolated_for_ms / MS_PER_SECOND
        lines.append(f"reaches no backend server for {since_s:.1f} s ({how}), {by}")
    elif links.through:
        lines.append(f"connected to some backend servers by {_list_counts(links.through)}")
    if links.tunnels_for:
        lines.append(f"connects to backend servers for {_list_counts(links.tunnels_for)}")
    return lines


def _list_counts(counts: tuple[tuple[str, int], ...]) -> str:
    return ", ".join(f"{name} ({count})" for name, count in counts)


def format_versions(versions: ServiceVersions) -> str:
    """Return one line for a service with servers of several versions.

    Examples
    ========

    >>> format_versions(ServiceVersions("report-models", (("v1", 12), ("v1.1", 3))))
    'report-models runs in versions v1 (12 streams begun), v1.1 (3 streams begun)'
    """
    listed = ", ".join(f"{version} ({count} streams begun)" for version, count in versions.streams)
    return f"{versions.service} runs in versions {listed}"


def format_resting(server: RestingServer) -> str:
    """Return one line for a resting backend server.

    Examples
    ========

    >>> format_resting(RestingServer("i-7f3a", 2_500.0, "own"))
    'i-7f3a gets no requests for 2.5 s, asked for by an answer to own'
    """
    left_s = server.left_ms / MS_PER_SECOND
    return f"{server.server} gets no requests for {left_s:.1f} s, asked for by an answer to {server.source}"


def format_brittle(server: BrittleServer) -> str:
    """Return one line for a brittle backend server.

    Examples
    ========

    >>> format_brittle(BrittleServer("i-7f3a", 3.0, "own", 8_000.0))
    'i-7f3a falls over after more than 3 rejections/s, known for 8.0 s from own'
    """
    known_s = server.known_for_ms / MS_PER_SECOND
    return (
        f"{server.server} falls over after more than {server.rejections_per_s:g} rejections/s,"
        f" known for {known_s:.1f} s from {server.source}"
    )
