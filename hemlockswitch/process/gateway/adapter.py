"""The interfaces that an adapter implements to connect the gateway to external systems."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.backoff import Outage
from hemlockswitch.connection.store_order import StoreEra
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
    """The object service; implemented by `PlatformClient` and by the adapter's store."""

    def get_era(self) -> StoreEra:
        """Return the era of the service as known to this process."""

    @property
    def last_outage(self) -> Outage | None:
        """The last completed period in which every call failed; None if there was none."""

    def close(self) -> None:
        """Close the pooled connections."""


class DutyApi(UsageApi, ScalingApi, Protocol):
    """The interface that the holder of the duties calls."""


@dataclass(frozen=True)
class Adapter:
    """The external systems of a gateway, behind the product's own interfaces.

    Parameters
    ==========

    dialect : the message formats of callers and backend servers.
    store : the object service.
    duty_api : the cloud API; None if this gateway never takes the duties.
    config_kind, config_name : the object that contains the newest configuration.
    server_kind : the kind of the backend servers' entries.
    rollout_kind : the kind of the rollout orders.
    decode_table, decode_server, decode_rollout : decode these objects.
    encode_rollout_status : returns the stored form of an order's state.
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
