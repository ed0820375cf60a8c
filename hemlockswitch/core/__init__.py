"""What every layer shares: the clock, the errors, the numbered events and the identifiers."""

from hemlockswitch.core.clock import Clock, ManualClock, SystemClock
from hemlockswitch.core.errors import ErrorKind, HemlockError, Ran

__all__ = ["Clock", "ErrorKind", "HemlockError", "ManualClock", "Ran", "SystemClock"]
