"""The time in the ``Retry-After`` field of a runner's answer."""

import re
from datetime import UTC
from email.utils import parsedate_to_datetime

from hemlockswitch.core.clock import MS_PER_SECOND

_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")


def parse_retry_after_ms(value: str, date: str, now_unix_ms: float) -> float | None:
    """Return the stated time in ms; None if the value is malformed.

    Parameters
    ==========

    value : seconds, which may have a fraction, or an HTTP date.
    date : the ``Date`` field of the same answer, which an HTTP date is compared with; may be empty.
    now_unix_ms : the time that it is compared with otherwise.

    Examples
    ========

    >>> parse_retry_after_ms("1.5", "", 0)
    1500.0
    >>> parse_retry_after_ms("Thu, 01 Jan 1970 00:00:03 GMT", "", 1_000)
    2000.0
    >>> parse_retry_after_ms("soon", "", 0) is None
    True
    """
    if _SECONDS.fullmatch(value):
        return float(value) * MS_PER_SECOND
    until_unix_ms = _parse_date_ms(value)
    if until_unix_ms is None:
        return None
    sent_unix_ms = _parse_date_ms(date)
    since_unix_ms = now_unix_ms if sent_unix_ms is None else sent_unix_ms
    return max(until_unix_ms - since_unix_ms, 0.0)


def _parse_date_ms(value: str) -> float | None:
    try:
        parsed = parsedate_to_datetime(value)
    except (ValueError, OverflowError):
        return None
    in_utc = parsed if parsed.tzinfo is not None else parsed.replace(tzinfo=UTC)
    return in_utc.timestamp() * MS_PER_SECOND
