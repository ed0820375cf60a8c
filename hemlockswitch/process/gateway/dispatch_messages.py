"""The messages between gateways about the slots of plain services; see `request.dispatch`."""

from dataclasses import dataclass, field

from hemlockswitch.connection.messages import register_message


@register_message("dispatch_request")
@dataclass(frozen=True)
class DispatchRequest:
    """The request for a slot of a group of servers.

    Parameters
    ==========

    name : the gateway that asks.
    permit : identifies the request.
    account, weight, urgency, max_wait_ms, hold_ms, excluded : see `request.dispatch.SlotAsk`.
    fingerprint : key of the request's content, see `request.return_book.make_key`.
    """

    name: str
    permit: str
    service: str
    group: int
    account: str
    weight: float
    urgency: int
    max_wait_ms: float
    hold_ms: float
    fingerprint: int
    excluded: list[str] = field(default_factory=list)


@register_message("dispatch_reply")
@dataclass(frozen=True)
class DispatchReply:
    """The reply to a `DispatchRequest`; sent a second time, one way, about a request that had to wait.

    Parameters
    ==========

    verdict, server, retry_ms, wait_ms, allowed_ms, waited_ms, is_within_part, free : see
        `request.dispatch.Decision`.
    standing : its name in lower case.
    """

    permit: str
    verdict: str
    server: str = ""
    retry_ms: float = 0.0
    wait_ms: float = 0.0
    allowed_ms: float = 0.0
    waited_ms: float = 0.0
    is_within_part: bool = True
    standing: str = "new"
    free: int = 0


@register_message("dispatch_release")
@dataclass(frozen=True)
class DispatchRelease:
    """The end of a request that had a slot; sent twice.

    Parameters
    ==========

    took_ms : time for which the slot was in use.
    pace_percent : pace of its server.
    was_rejected : whether the server rejected the request as full.
    """

    service: str
    group: int
    permit: str
    took_ms: float
    pace_percent: int = 100
    was_rejected: bool = False


@register_message("dispatch_withdraw")
@dataclass(frozen=True)
class DispatchWithdraw:
    """The end of a request that waits for a slot, or may have got one that it does not use."""

    permit: str
