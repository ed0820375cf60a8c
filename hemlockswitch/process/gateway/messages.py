"""The messages between gateways."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.stored_objects import ObjectPage, PageSource, StoredObject

Loads = dict[str, tuple[int, float] | tuple[int, float, int, int]]
"""Server incarnation to (requests in progress, waiting prompt tokens), followed by the pace in percent that the
server has stated and the age of that statement in ms, if it is recent."""
PromptFields = tuple[str, list[tuple[int, int]]]
"""A server incarnation, and the (digest, tokens) of each shared prefix of a prompt sent there."""
RequestedFields = dict[str, dict[str, tuple[float, float]]]
"""Service to account to (newly requested work per millisecond, weight of the account)."""
BookingFields = list[tuple[int, int]]
"""The key of each booking of a return, and the time in ms until its caller returns."""
Results = dict[str, tuple[int, int]]
"""Server incarnation to the numbers of send attempts that (succeeded, failed)."""
RolloutFields = tuple[str, str, int, float, bool, float, dict[str, list[int]]]
"""A rollout's service, target and creation, its age in ms, whether it was stopped, the time in ms until
the old version ends (negative unless the sender is the holder of the duties), and by route the numbers of
answers, failures and slow answers of the new version, and of the other versions."""
ChangeFields = tuple[
    str,
    int,
    int,
    Loads,
    list[PromptFields],
    dict[str, float],
    Results,
    list[RolloutFields],
    bool,
    BookingFields,
    RequestedFields,
]
"""The fields of a `ChangeReport`."""


@register_message("gateway_report")
@dataclass(frozen=True)
class GatewayReport:
    """The complete report of a gateway.

    Parameters
    ==========

    name : the name of the gateway.
    incarnation : differs for each start of its process.
    number : sequence number of the load within the process, shared with `ChangeReport`.
    period_ms : the time within which the receiver gets the next report.
    link_mbps : speed of its VM's link; 0 if unknown.
    believed_ms : its estimate of the wall-clock time.
    loads : see `Loads`.
    demand : service to the prompt tokens per millisecond that the gateway sends; also service and route, with a line
        break between them, to those newly requested there of managed services.
    spent : account to its spending since the process began.
    leads : whether the gateway holds the duties.
    revision, servers_digest, relayed, held_digest : see `process.gateway.watch_guard.StoreView`.
    outage_ms_ago : how long ago the last outage of the object service began and ended; empty if none.
    sent : (server incarnation, shared prefixes) of each prompt sent since the last report.
    zone : its availability zone.
    unreachable : incarnations of the backend servers that it cannot connect to.
    models : service to the model of its engines (`process.gateway.service_models`).
    rollouts : the results of this process's send attempts, for each order that is not closed.
    view_age_ms : see `process.gateway.watch_guard.StoreView`.
    is_isolated : whether the gateway cannot connect to any backend server.
    tunnels : number of tunnels that it serves for other gateways.
    requested : what its accounts newly request of managed services; see `RequestedFields`.
    bookings : the returns of refused callers booked since the last report, in a small fleet.
    limited : what limited accounts request, by account and route, in the unit of their limits.
    spare : the free share of its processor or link, the smaller one; None if no service is managed there.
    """

    name: str
    incarnation: int
    believed_ms: float
    loads: Loads
    demand: dict[str, float]
    spent: dict[str, float]
    leads: bool = False
    revision: int = 0
    servers_digest: int = 0
    outage_ms_ago: tuple[float, ...] = ()
    sent: list[PromptFields] = field(default_factory=list)
    zone: str = ""
    relayed: dict[str, int] = field(default_factory=dict)
    unreachable: list[str] = field(default_factory=list)
    models: dict[str, tuple[float, float, float, float]] = field(default_factory=dict)
    number: int = 0
    period_ms: float = 0.0
    link_mbps: float = 0.0
    held_digest: int = 0
    rollouts: list[RolloutFields] = field(default_factory=list)
    view_age_ms: float = 0.0
    is_isolated: bool = False
    tunnels: int = 0
    requested: RequestedFields = field(default_factory=dict)
    bookings: BookingFields = field(default_factory=list)
    limited: RequestedFields = field(default_factory=dict)
    spare: float | None = None


@register_message("change_report")
@dataclass(frozen=True)
class ChangeReport:
    """The changes at a gateway since its last change report, for a relay in each zone.

    Parameters
    ==========

    name, incarnation, number, sent : as in `GatewayReport`.
    loads : as in `GatewayReport`, for the servers on which the load has changed since the last change
        report.
    spent : account to its spending since the process began, for the accounts that have spent since the
        last change report.
    results : server incarnation to the numbers of send attempts that (succeeded, failed) since then.
    rollouts : as in `GatewayReport`, for the orders whose counts have changed since then.
    is_isolated : as in `GatewayReport`.
    bookings : the returns of refused callers booked since the last change report.
    limited : as in `GatewayReport`; empty if it was reported lately.
    """

    name: str
    incarnation: int
    number: int
    loads: Loads
    sent: list[PromptFields]
    spent: dict[str, float]
    results: Results
    rollouts: list[RolloutFields] = field(default_factory=list)
    is_isolated: bool = False
    bookings: BookingFields = field(default_factory=list)
    limited: RequestedFields = field(default_factory=dict)

    def list_fields(self) -> ChangeFields:
        """Return the fields in the order used by `RelayedChanges`."""
        return (
            self.name,
            self.incarnation,
            self.number,
            self.loads,
            self.sent,
            self.spent,
            self.results,
            self.rollouts,
            self.is_isolated,
            self.bookings,
            self.limited,
        )


@register_message("relayed_changes")
@dataclass(frozen=True)
class RelayedChanges:
    """Changes at several gateways, relayed inside a zone.

    Parameters
    ==========

    changes : the fields of each `ChangeReport`, in their order.

    Examples
    ========

    >>> report = ChangeReport("g1", 5, 1, {"e1": (1, 400.0)}, [], {"lab": 900.0}, {"e1": (0, 1)})
    >>> RelayedChanges.from_reports([report]).to_reports() == [report]
    True
    """

    changes: list[ChangeFields]

    @classmethod
    def from_reports(cls, reports: Iterable[ChangeReport]) -> "RelayedChanges":
        """Return the message that relays reports."""
        return cls([one.list_fields() for one in reports])

    def to_reports(self) -> list[ChangeReport]:
        """Return the relayed reports."""
        return [ChangeReport(*fields) for fields in self.changes]


@register_message("account_spending")
@dataclass(frozen=True)
class SpendingReport:
    """The spending of a gateway's accounts, sent at once while a limit is contended.

    Parameters
    ==========

    spent : account to its spending since the process began, as in `GatewayReport`.
    """

    name: str
    incarnation: int
    spent: dict[str, float]


@register_message("usage_counts")
@dataclass(frozen=True)
class UsageReport:
    """The usage that a gateway counted in the latest windows, for the holder of the duties.

    Parameters
    ==========

    usage : window number, as text, to account to count.
    """

    name: str
    incarnation: int
    usage: dict[str, dict[str, int]]


@register_message("watched_page")
@dataclass(frozen=True)
class WatchedPage:
    """The page returned by a watch or a list, for gateways that do not watch themselves.

    Parameters
    ==========

    kind : the kind of the objects.
    since, version : the page contains all changes after version `since`, up to `version`.
    items : (name, version, value, whether it was deleted, status, version at its creation) of each
        changed object, in order.
    is_whole : whether these are all objects of the kind; objects that are not listed have been deleted.
    age_ms : how long ago the sender, with this page, was confirmed to match the service; None if unknown.
    sent_ms : when the message was sent, by the sender's clock (`process.gateway.transit`).

    Examples
    ========

    >>> page = ObjectPage((StoredObject("servers", "r1", 7, {"zone": "z1"}),), 8)
    >>> WatchedPage.from_object_page("servers", 5, page).to_object_page() == page
    True
    """

    kind: str
    since: int
    version: int
    items: list[tuple[str, int, Any, bool, Any, int]]
    is_whole: bool = False
    age_ms: float | None = field(default=None, compare=False)
    sent_ms: float = field(default=0.0, compare=False)

    @classmethod
    def from_object_page(
        cls, kind: str, since: int, page: ObjectPage, now_ms: float = 0.0
    ) -> "WatchedPage":
        """Return the message for the answer of a watch since a version, or of a list."""
        age_ms = None if page.confirmed_ms is None else now_ms - page.confirmed_ms
        items = [
            (item.name, item.version, item.value, item.deleted, item.status, item.created)
            for item in page.items
        ]
        return cls(kind, since, page.version, items, page.is_whole, age_ms, now_ms)

    @classmethod
    def make_notice(cls, kind: str, version: int, now_ms: float) -> "WatchedPage":
        """Return the notice that there are changes up to `version`, for which to query the service."""
        return cls(kind, version, version, [], sent_ms=now_ms)

    def to_object_page(self, arrived_ms: float = 0.0) -> ObjectPage:
        """Return the page as the object service returned it.

        Parameters
        ==========

        arrived_ms : when the message would have arrived here without a delay.
        """
        items = tuple(StoredObject(self.kind, *item) for item in self.items)
        confirmed_ms = None if self.age_ms is None else arrived_ms - self.age_ms
        return ObjectPage(items, self.version, self.is_whole, PageSource.RELAY, confirmed_ms)


@register_message("version_confirmation")
@dataclass(frozen=True)
class VersionConfirmation:
    """A confirmation by the object service that a kind has not changed, sent to all gateways.

    Parameters
    ==========

    kind : the kind of the objects.
    changed : the version of the last change, or a later one at which there was none.
    until : there is no change after `changed` up to this version.
    age_ms : how long ago the service confirmed this.
    sent_ms : when the message was sent, by the sender's clock (`process.gateway.transit`).
    is_passed_on : whether the message comes from a relay inside the zone.
    """

    kind: str
    changed: int
    until: int
    age_ms: float
    sent_ms: float
    is_passed_on: bool = False
