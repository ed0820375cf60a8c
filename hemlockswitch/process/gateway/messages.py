"""What gateways tell one another."""

from dataclasses import dataclass, field

from hemlockswitch.connection.messages import register_message


@register_message("gateway_report")
@dataclass(frozen=True)
class GatewayReport:
    """What a gateway tells the others.

    Parameters
    ==========

    name : the gateway.
    incarnation : differs for each start of its process.
    believed_ms : its time of day.
    loads : server name to (requests in progress, prompt tokens that wait).
    demand : service to the prompt tokens in a millisecond that it sends.
    spent : account to what it has spent since the process began.
    leads : whether it holds the duties.
    revision, servers_digest : see `process.gateway.watch_guard.StoreView`.
    outage_ms_ago : when the last outage of the object service began and ended; empty if none.
    sent : (server name, shared beginnings) of each prompt sent since the last report.
    """

    name: str
    incarnation: int
    believed_ms: float
    loads: dict[str, tuple[int, float]]
    demand: dict[str, float]
    spent: dict[str, float]
    leads: bool = False
    revision: int = 0
    servers_digest: int = 0
    outage_ms_ago: tuple[float, ...] = ()
    sent: list[tuple[str, list[tuple[int, int]]]] = field(default_factory=list)


@register_message("account_spending")
@dataclass(frozen=True)
class SpendingReport:
    """What a gateway's accounts have spent, sent at once while a limit is contended.

    Parameters
    ==========

    spent : account to what it has spent since the process began, as in `GatewayReport`.
    """

    name: str
    incarnation: int
    spent: dict[str, float]


@register_message("usage_counts")
@dataclass(frozen=True)
class UsageReport:
    """What a gateway counted in the latest windows, for the holder of the duties.

    Parameters
    ==========

    usage : window number, as text, to account to count.
    """

    name: str
    incarnation: int
    usage: dict[str, dict[str, int]]
