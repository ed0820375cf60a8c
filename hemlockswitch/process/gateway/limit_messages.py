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


@register_message("brittle_observations")
@dataclass(frozen=True)
class BrittleObservations(LimitObservations):
    """As `LimitObservations`, for the rejections per second after which brittle servers fall over."""


@register_message("brittle_broadcast")
@dataclass(frozen=True)
class BrittleBroadcast(LimitBroadcast):
    """As `LimitBroadcast`, for the rejections per second after which brittle servers fall over."""


@register_message("slot_request")
@dataclass(frozen=True)
class SlotRequest:
    """The request for a permit to have one more request in progress on a brittle server.

    Parameters
    ==========

    name : the name of the requesting gateway.
    permit : identifier of the permit.
    hold_ms : for how long the request may last.
    urgency : of the request to be sent; 0 is the most urgent.
    statement : the newest statement that the sender knows.
    """

    name: str
    permit: str
    hold_ms: float
    urgency: int
    statement: StatementFields


@register_message("slot_release")
@dataclass(frozen=True)
class SlotRelease:
    """The return of a permit.

    Parameters
    ==========

    was_rejected : whether the server turned the request away.
    """

    server: str
    permit: str
    was_rejected: bool = False
