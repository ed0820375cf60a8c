"""Connects the shares with the membership of the entry daemons and the VM records."""

from collections.abc import Callable

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.gossip.state import GossipState
from hemlockswitch.process.membership.membership import Membership
from hemlockswitch.process.servers.backends import VM_PREFIX
from hemlockswitch.process.shares.parts import ShareMember
from hemlockswitch.process.shares.shares import Shares
from hemlockswitch.version.backend import BackendState
from hemlockswitch.version.models import OperatorFile
from hemlockswitch.version.settings import EntrySettings

PLATFORM_CALL_TIMEOUT_MS = 1_000.0


def build_shares(
    settings: EntrySettings,
    cluster_state: ClusterState,
    clock: Clock,
    find_file: Callable[[], OperatorFile],
) -> Shares:
    """Return the daemon's shares of the limits, with a separate platform client."""
    store = PlatformClient(
        settings.platform, "limits", settings.name, timeout_ms=PLATFORM_CALL_TIMEOUT_MS
    )
    return Shares(
        name=settings.name,
        zone=settings.zone,
        clock=clock,
        store=store,
        network=cluster_state.network,
        find_file=find_file,
        list_members=lambda: list_share_members(cluster_state.membership),
        is_vm_removed=lambda name: is_vm_removed(cluster_state.gossip_state, name),
    )


def list_share_members(membership: Membership | None) -> list[ShareMember]:
    """Return the live daemons that serve callers; none before the membership has started."""
    return [
        ShareMember(member.name, member.zone, member.peer_address)
        for member in (membership.list_live() if membership is not None else ())
        if member.caller_address
    ]


def is_vm_removed(gossip_state: GossipState, name: str) -> bool:
    """Return whether a VM was removed from the platform's VM list after it had been listed.

    Explanation
    ===========

    Death according to the membership is not sufficient: the daemon may be disconnected and still admit
    requests.
    """
    item = gossip_state.find(f"{VM_PREFIX}{name}")
    return item is not None and item.value.get("state") == BackendState.GONE.value
