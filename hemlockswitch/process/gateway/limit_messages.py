"""The messages between gateways about limited backend servers."""

from dataclasses import dataclass, field

from hemlockswitch.connection.messages import register_message

StatementFields = tuple[str, str, int, float | None]
"""A server's incarnation and availability zone, and the number and limit per second of its statement; None for
no limit."""


@register_message("permit_request")
@dataclass(frozen=True)
class PermitRequest:
    """The request for a permit to send one request to a limited server.

    Parameters
    ==========

    urgency : of the request to be sent; 0 is the most urgent.
    statement : the newest statement that the sender knows.
    """

    urgency: int
    statement: StatementFields


@register_message("permit_reply")
@dataclass(frozen=True)
class PermitReply:
    """The reply to a `PermitRequest`.

    Parameters
    ==========

    verdict, retry_ms, pause_ms : see `request.permits.Decision`.
    statement : the newest statement that the issuer knows.
    """

    verdict: str
    retry_ms: float
    pause_ms: float
    statement: StatementFields


@register_message("limit_observations")
@dataclass(frozen=True)
class LimitObservations:
    """Changed limits that a gateway observed, for the gateway that issues the servers' permits."""

    name: str
    statements: list[StatementFields]


@register_message("limit_broadcast")
@dataclass(frozen=True)
class LimitBroadcast:
    """Changed limits, sent by the gateway that issues the permits to all others.

    Parameters
    ==========

    is_relayed : whether a gateway of the receiver's zone relays the message.
    """

    name: str
    statements: list[StatementFields] = field(default_factory=list)
    is_relayed: bool = False
