"""Definitions shared by all layers: clock, errors, numbered log events and identifiers."""

from hemlockswitch.core.clock import Clock, ManualClock, SystemClock
from hemlockswitch.core.errors import ErrorKind, HemlockError, Ran

__all__ = ["Clock", "ErrorKind", "HemlockError", "ManualClock", "Ran", "SystemClock"]
