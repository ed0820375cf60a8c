"""Settings files of the programs: JSON, checked by pydantic with the path of each mistake."""

from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.models import Name

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Examples
    ========

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class ProgramSettings(BaseModel):
    """What every program of an entry VM needs to know.

    Parameters
    ==========

    name : the process's name, one of its own in the whole system.
    zone : its availability zone.
    region : groups zones that are near one another; empty when there is one region.
    peer_listen : where it listens for the system's other processes; port 0 takes any free port.
    peer_advertise : where the others reach it, when that is not where it listens.
    platform : the platform's address.
    seeds : peer addresses of processes to join through.
    log_level : ``debug``, ``info`` or ``warning``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    zone: Name
    region: str = ""
    control_listen: Address = "127.0.0.1:0"
    peer_listen: Address = "127.0.0.1:0"
    peer_advertise: Address | None = None
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
        try:
            content = Path(path).read_bytes()
        except OSError as error:
            raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
        return cls.from_json(content)

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


class ControllerSettings(ProgramSettings):
    """Settings of `hemlock-controller`."""


def describe_mistakes(error: ValidationError) -> str:
    """Return one line with the path and the reason of each mistake."""
    mistakes = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(str(step) for step in mistake['loc']) or 'file'}: {mistake['msg']}"
        for mistake in mistakes
    )
