"""The outside systems as the gateway sees them: the interfaces that an adapter implements."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.backoff import Outage
from hemlockswitch.connection.stored_objects import ListedStore, StoredObject
from hemlockswitch.process.gateway.follower import WatchedStore
from hemlockswitch.process.gateway.rollout_duty import StatusStore
from hemlockswitch.process.gateway.scaling import ScalingApi
from hemlockswitch.process.gateway.usage import UsageApi
from hemlockswitch.request.dialect import Dialect
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.rollout import RolloutOrder, RolloutState
from hemlockswitch.version.serving_table import ServingTable


class GatewayStore(WatchedStore, ListedStore, StatusStore, Protocol):
    """The object service; `PlatformClient` and the adapter's store both are one."""

    @property
    def last_outage(self) -> Outage | None:
        """The last time in which every call failed, once it was over."""

    def close(self) -> None:
        """Close the kept connections."""


class DutyApi(UsageApi, ScalingApi, Protocol):
    """Takes what the holder of the duties sends."""


@dataclass(frozen=True)
class Adapter:
    """The outside systems of a gateway, behind the product's own interfaces.

    Parameters
    ==========

    dialect : messages of callers and backend servers.
    store : the object service.
    duty_api : the cloud API; None where no duties are taken.
    config_kind, config_name : the object that holds the newest configuration.
    server_kind : the kind of the backend servers' entries.
    rollout_kind : the kind of the orders of roll-outs.
    decode_table, decode_server, decode_rollout : read these objects.
    encode_rollout_status : returns what to write of an order's state.
    """

    dialect: Dialect
    store: GatewayStore
    duty_api: DutyApi | None
    config_kind: str
    config_name: str
    server_kind: str
    decode_table: Callable[[StoredObject], ServingTable]
    decode_server: Callable[[StoredObject], BackendServer]
    rollout_kind: str
    decode_rollout: Callable[[StoredObject], RolloutOrder]
    encode_rollout_status: Callable[[RolloutOrder, RolloutState], dict[str, Any]]
