"""Reading of the platform's JSON: strict models, and one place that turns mistakes into errors.

The models are `msgspec` structures: as strict as those of pydantic, which the other programs use,
but loaded in a hundredth of a second. A gateway starts again whenever its VM is reclaimed, and
callers wait for that start.
"""

from typing import Any, TypeVar

import msgspec

from hemlockswitch.core.errors import ConfigurationError, ErrorKind

Model = TypeVar("Model", bound=msgspec.Struct)


class Body(msgspec.Struct, frozen=True):
    """Base of the wire's models; fields that are not read here are passed over."""


def read_value(model: type[Model], value: Any, *, strict: bool = True) -> Model:
    """Return a value that lay in the object store as a checked model.

    Parameters
    ==========

    value : what `json` made of the stored text; None where that text could not be read.
    strict : whether a number as text is a mistake.

    Raises
    ======

    ConfigurationError : the value does not fit; the detail names the place and the reason.
    """
    try:
        return msgspec.convert(value, model, strict=strict)
    except msgspec.ValidationError as error:
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
