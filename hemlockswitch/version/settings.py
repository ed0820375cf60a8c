"""Settings files of the programs: JSON, checked by pydantic with the path of each mistake."""

from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hemlockswitch.core.addresses import ADDRESS_PATTERN
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.models import Name
from hemlockswitch.version.settings_file import read_settings_file

Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]


class ProgramSettings(BaseModel):
    """What every program of an entry VM needs to know.

    Parameters
    ==========

    name : the process's name, one of its own in the whole system.
    zone : its availability zone.
    region : groups zones that are near one another; empty when there is one region.
    cluster : the system's name; processes of another are refused.
    peer_listen : where the system's other processes reach it; port 0 takes any free port.
    peer_advertise : the address that they use, when it is not the one listened on.
    probe_period_ms : how often the processes probe one another; the time in which a lost one is
        found is four times as long.
    platform : the platform's address.
    seeds : peer addresses of processes to join through.
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
        """Read and check a settings file.

        Raises
        ======

        ConfigurationError : the file cannot be read or has mistakes; the detail names the path
            of each.
        """
        return cls.from_json(read_settings_file(path))

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Check the JSON text of a settings file.

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

    listen : where callers reach it.
    control_listen : metrics and status; must not be reachable by callers.
    traces : where spans go; ``off`` keeps them inside the process.
    stop_grace_ms : how long a graceful stop waits for requests in progress.
    caller_timeout_ms : how long a caller may take for one read or write.
    """

    listen: Address = "127.0.0.1:0"
    traces: Literal["off", "log"] = "off"
    stop_grace_ms: int = Field(default=120_000, ge=0)
    caller_timeout_ms: int = Field(default=10_000, gt=0)


class LeaseSettings(BaseModel):
    """The durations that all controllers of a zone share.

    Parameters
    ==========

    term_ms : how long one write of the lease lasts.
    renew_ms : time between two renewals.
    stop_before_ms : no order is given in this last part of the term.
    margin_ms : what a successor waits beyond the term.
    look_ms : time between two looks at the lease, over all candidates of the zone together.
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
    """How the controller plans copies.

    Parameters
    ==========

    pass_ms : time between two comparisons of what is wanted with what there is.
    replace_ms : expected time from a reclaim to a serving replacement.
    shrink_after_ms : how long the demand stays low before a copy is stopped.
    gone_after_ms : how long a VM is missing from the VM list before it counts as gone.
    parallel_starts : copies of one target that load their weights at once in a zone.
    report_ms : an unchanged summary for the other zones is written again after this time.
    risk_window_ms : how far back reclaim waves count for the expected rate.
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

    lease : durations that all controllers of the zone share.
    copies : how copies are planned.
    order_timeout_ms : the whole time that one order may take.
    candidates : how many controllers the zone has, about; spreads their looks at the lease.
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
    """Return one line with the path and the reason of each mistake."""
    mistakes = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(str(step) for step in mistake['loc']) or 'file'}: {mistake['msg']}"
        for mistake in mistakes
    )
