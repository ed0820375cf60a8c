"""The file that holds a program's settings, and what every program reads of it."""

from pathlib import Path
from typing import Literal, Protocol, Self

from hemlockswitch.core.errors import ConfigurationError, ErrorKind


class FileSettings(Protocol):
    """Checked settings of a program, whichever library checks them."""

    @property
    def name(self) -> str:
        """The process's name."""

    @property
    def log_level(self) -> Literal["debug", "info", "warning"]:
        """How much is logged."""

    @classmethod
    def from_file(cls, path: Path | str) -> Self:
        """Read and check a settings file."""

    @classmethod
    def from_json(cls, content: bytes | str) -> Self:
        """Check the JSON text of a settings file."""


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
