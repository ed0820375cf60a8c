"""Settings files of the programs: JSON, validated by pydantic with the path of each mistake."""

from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hemlockswitch.core.addresses import ADDRESS_PATTERN
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.models import Name
from hemlockswitch.version.settings_file import read_settings_file

Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]


class ProgramSettings(BaseModel):
    """Settings that the entry daemon and the controller share.

    Parameters
    ==========

    name : name of the process, unique in the whole system.
    zone : availability zone of the process.
    region : groups zones with low latency between them; empty if there is only one region.
    cluster : name of the system; connections from processes of another system are refused.
    peer_listen : address for peers; port 0 selects a free port.
    peer_advertise : address that peers connect to, if it differs from `peer_listen`.
    probe_period_ms : time between the probes that a process sends to its peers; a lost process is
        detected within four periods.
    platform : address of the platform.
    seeds : peer addresses of processes through which this one joins the cluster.
    log_level : ``debug``, ``info`` or ``warning``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    zone: Name
    region: str = ""
    control_listen: Address = "127.0.0.1:0"
    cluster: Name = "hemlockswitch"
    peer_listen: Address = "127.0.0.1:0"
    peer_advertise: Address | None = None
    probe_period_ms: int = Field(default=2_000, ge=100, le=60_000)
    platform: Address
    seeds: tuple[Address, ...] = ()
    log_level: Literal["debug", "info", "warning"] = "info"

    @classmethod
    def from_file(cls, path: Path | str) -> Self:
        """Read and validate a settings file.

        Raises
        ======

        ConfigurationError : the file cannot be read, or has mistakes; the detail gives the path
            of each.
        """
        return cls.from_json(read_settings_file(path))

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Validate the JSON text of a settings file.

        Examples
        ========

        >>> EntrySettings.from_json('{"name": "entry-1", "zone": "abdoun-hall"}')
        Traceback (most recent call last):
        ...
        hemlockswitch.core.errors.ConfigurationError: invalid_configuration: platform: Field required
        """
        try:
            return cls.model_validate_json(content)
        except ValidationError as error:
            raise ConfigurationError(
                ErrorKind.INVALID_CONFIGURATION, describe_mistakes(error)
            ) from error


class EntrySettings(ProgramSettings):
    """Settings of `hemlock-entry`.

    Parameters
    ==========

    listen : address for callers.
    control_listen : address for metrics and status; must not be reachable by callers.
    traces : destination of trace spans; with ``off`` they do not leave the process.
    stop_grace_ms : maximum time that a graceful stop waits for requests in progress.
    caller_timeout_ms : time-out of one read from or write to a caller.
    """

    listen: Address = "127.0.0.1:0"
    traces: Literal["off", "log"] = "off"
    stop_grace_ms: int = Field(default=120_000, ge=0)
    caller_timeout_ms: int = Field(default=10_000, gt=0)


class LeaseSettings(BaseModel):
    """Durations of the zone's lease; all controllers of a zone must use equal values.

    Parameters
    ==========

    term_ms : validity of one write of the lease.
    renew_ms : time between two renewals.
    stop_before_ms : final part of the term, in which the holder sends no orders.
    margin_ms : time that a successor waits after the end of the term.
    look_ms : time between two reads of the lease, over all candidates of the zone together.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    term_ms: int = Field(default=10_000, gt=0)
    renew_ms: int = Field(default=3_000, gt=0)
    stop_before_ms: int = Field(default=2_500, gt=0)
    margin_ms: int = Field(default=1_000, gt=0)
    look_ms: int = Field(default=2_500, gt=0)

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        if self.renew_ms * 2 > self.term_ms - self.stop_before_ms:
            raise ValueError("two renewals must fit into term_ms less stop_before_ms")
        return self


class CopySettings(BaseModel):
    """Settings for the planning of copies by the controller.

    Parameters
    ==========

    pass_ms : time between two reconciliation passes, which compare the wanted with the actual copies.
    replace_ms : expected time from a reclaim until a replacement serves requests.
    shrink_after_ms : time for which the demand must be low before a copy is stopped.
    gone_after_ms : time for which a VM must be absent from the VM list to count as removed.
    parallel_starts : maximum number of copies of one target that load their weights at the same time
        in a zone.
    report_ms : interval at which an unchanged summary for the other zones is written again.
    risk_window_ms : length of the history of reclaim waves that determines the expected rate.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    pass_ms: int = Field(default=1_000, gt=0)
    replace_ms: int = Field(default=60_000, gt=0)
    shrink_after_ms: int = Field(default=300_000, gt=0)
    gone_after_ms: int = Field(default=10_000, gt=0)
    parallel_starts: int = Field(default=2, gt=0)
    report_ms: int = Field(default=10_000, gt=0)
    risk_window_ms: int = Field(default=3_600_000, gt=0)


class ControllerSettings(ProgramSettings):
    """Settings of `hemlock-controller`.

    Parameters
    ==========

    lease : durations of the zone's lease.
    copies : settings for the planning of copies.
    order_timeout_ms : total time-out of one order.
    candidates : approximate number of controllers of the zone; spreads their reads of the lease.
    """

    lease: LeaseSettings = LeaseSettings()
    copies: CopySettings = CopySettings()
    order_timeout_ms: int = Field(default=1_000, gt=0)
    candidates: int = Field(default=2, gt=0)

    @model_validator(mode="after")
    def _check_order_timeout(self) -> Self:
        if self.order_timeout_ms >= self.lease.stop_before_ms:
            raise ValueError("order_timeout_ms must be less than lease.stop_before_ms")
        return self


def describe_mistakes(error: ValidationError) -> str:
    """Return the paths and reasons of all mistakes as one line."""
    mistakes = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(str(step) for step in mistake['loc']) or 'file'}: {mistake['msg']}"
        for mistake in mistakes
    )
