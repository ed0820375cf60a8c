"""The settings file of `hemlock-gateway`: JSON, checked with the path of the first mistake.

The model is a `msgspec` structure and not one of pydantic, for the time that a start takes; see
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
    """Settings of `hemlock-gateway`; those of every daemon are described at `ProgramSettings`.

    Parameters
    ==========

    listen : where callers reach it.
    ready_listen, ready_path : where the balancer asks whether it is ready.
    cloud : the cloud API's address; no duties are taken when it is absent.
    zones : the availability zones of the site.
    stop_grace_s : how long after a stop signal the process is ended by force.
    repeat_ratio, repeat_extra, repeat_window_s : the fleet's budget of repeated sends, for each
        service: in a window, `repeat_ratio` for each request and `repeat_extra` more.
    limit_slack : by how much the use of an account may exceed its limit over all gateways, in the
        limit's unit; bounds what accounts get anew when all gateways restart.
    lease_term_ms : how long one renewal of the duties' lease lasts.
    usage_window_s : length of a window of the usage reports.
    rollout_share, rollout_slack : bound of the requests that a version gets before it is judged: this
        part of a service's requests and this many more, over all gateways. Orders of roll-outs are
        followed only where the share is given.
    link_mbps : speed of this VM's network link; the gateways of a zone with the fastest ones watch and
        pass changes on for the others. 0 where it is not known.

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
    link_mbps: _NotNegative = 0.0

    @classmethod
    def from_file(cls, path: Path | str) -> Self:
        """Read and check a settings file.

        Raises
        ======

        ConfigurationError : the file cannot be read or has a mistake; the detail names its path.
        """
        return cls.from_json(read_settings_file(path))

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Check the JSON text of a settings file.

        Raises
        ======

        ConfigurationError : it has a mistake; the detail names its path.
        """
        try:
            return msgspec.json.decode(content, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
