"""Access to the settings file of a program, and the interface of its settings."""

from pathlib import Path
from typing import Literal, Protocol, Self

from hemlockswitch.core.errors import ConfigurationError, ErrorKind


class FileSettings(Protocol):
    """Validated settings of a program; independent of the validation library."""

    @property
    def name(self) -> str:
        """The name of the process."""

    @property
    def log_level(self) -> Literal["debug", "info", "warning"]:
        """The lowest level that is logged."""

    @classmethod
    def from_file(cls, path: Path | str) -> Self:
        """Read and validate a settings file."""

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Validate the JSON text of a settings file."""


def read_settings_file(path: Path | str) -> bytes:
    """Return the content of a settings file.

    Raises
    ======

    ConfigurationError : the file cannot be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
