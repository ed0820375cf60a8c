"""Strict models of the platform's JSON, and the conversion of validation failures into errors.

The models are `msgspec` structures. They are as strict as the pydantic models of the other programs
and load in a hundredth of a second, which matters because a gateway restarts whenever its VM is reclaimed and
callers wait for that restart.
"""

from typing import Any, TypeVar

import msgspec

from hemlockswitch.core.errors import ConfigurationError, ErrorKind

Model = TypeVar("Model", bound=msgspec.Struct)


class Body(msgspec.Struct, frozen=True):
    """Base of the models; unrecognized fields are ignored."""


def read_value(model: type[Model], value: Any, *, strict: bool = True) -> Model:
    """Convert a value from the object store to a validated model.

    Parameters
    ==========

    value : the decoded JSON; None if the stored text could not be decoded.
    strict : whether a number that is written as a string is rejected.

    Raises
    ======

    ConfigurationError : the value does not match the model; the detail names the path and the reason.
    """
    try:
        return msgspec.convert(value, model, strict=strict)
    except msgspec.ValidationError as error:
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, str(error)) from error
