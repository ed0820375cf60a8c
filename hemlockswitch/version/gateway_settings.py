"""The settings file of `hemlock-gateway`: JSON, validated up to the first mistake.

The model uses `msgspec` instead of pydantic to shorten the start of the gateway; see
docs/explanation/start.md.
"""

from pathlib import Path
from typing import Annotated, Literal, Self

import msgspec

from hemlockswitch.core.addresses import ADDRESS_PATTERN
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.settings_file import read_settings_file

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of `hemlock-gateway`; see `ProgramSettings` for those that all daemons share.

    Parameters
    ==========

    listen : address for callers.
    ready_listen, ready_path : address and path of the readiness check of the load balancer.
    cloud : address of the cloud API; without it, the gateway never takes the duties.
    zones : the availability zones of the site.
    stop_grace_s : time from a stop signal until the process is killed.
    repeat_ratio, repeat_extra, repeat_window_s : the retry budget of each service over all gateways:
        in one window, `repeat_ratio` retries per request and `repeat_extra` more.
    limit_slack : amount by which an account may exceed its limit over all gateways, in the unit of
        the limit; bounds the allowance that accounts receive again when all gateways restart.
    lease_term_ms : validity of one renewal of the lease on the duties.
    usage_window_s : length of a window of the usage reports.
    rollout_share, rollout_slack : bound of the requests sent to a new version before the verdict on
        it: this share of the service's requests plus this number, over all gateways. Without a share,
        rollout orders are not followed.
    admission_control : which services are managed, so that competing accounts share their room and requests wait
        in order (docs/design/hard-load.md): ``stated``, those whose servers state their pace; ``always`` or ``never``.
    link_mbps : speed of this VM's network link, 0 if unknown; the gateways of a zone with the fastest
        links watch the object service and relay its changes to their peers.

    Examples
    ========

    >>> GatewaySettings.from_json('{"name": "gateway-1", "zone": 4}')
    Traceback (most recent call last):
    ...
    hemlockswitch.core.errors.ConfigurationError: invalid_configuration: Expected `str`, got `int` - at `$.zone`
    """

    name: Name
    zone: Name
    region: str = ""
    control_listen: Address = "127.0.0.1:0"
    cluster: Name = "hemlockswitch"
    peer_listen: Address = "127.0.0.1:0"
    peer_advertise: Address | None = None
    probe_period_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)] = 2_000
    platform: Address
    seeds: tuple[Address, ...] = ()
    log_level: Literal["debug", "info", "warning"] = "info"
    listen: Address
    ready_listen: Address
    ready_path: str = "/readyz"
    cloud: Address | None = None
    zones: tuple[Name, ...] = ()
    stop_grace_s: _NotNegative = 8.0
    repeat_ratio: _NotNegative = 0.2
    repeat_extra: _NotNegative = 50.0
    repeat_window_s: _Positive = 10.0
    limit_slack: _NotNegative = 0.0
    lease_term_ms: Annotated[int, msgspec.Meta(ge=2_000)] = 4_000
    usage_window_s: _Positive = 5.0
    rollout_share: Annotated[float, msgspec.Meta(gt=0, lt=1)] | None = None
    rollout_slack: _NotNegative = 0.0
    admission_control: Literal["stated", "always", "never"] = "stated"
    link_mbps: _NotNegative = 0.0

    @classmethod
    def from_file(cls, path: Path | str) -> Self:
        """Read and validate a settings file.

        Raises
        ======

        ConfigurationError : the file cannot be read, or has a mistake; the detail gives the path of
            the first mistake.
        """
        return cls.from_json(read_settings_file(path))

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Validate the JSON text of a settings file.

        Raises
        ======

        ConfigurationError : the text has a mistake; the detail gives the path of the first one.
        """
        try:
            return msgspec.json.decode(content, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
