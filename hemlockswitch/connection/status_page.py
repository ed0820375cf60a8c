"""The status of a daemon, assembled from named parts."""

from collections.abc import Callable
from typing import Any

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StatusPart = Callable[[], Any]


class StatusPage:
    """The daemon's status as JSON-serializable values.

    Examples
    ========

    >>> page = StatusPage()
    >>> page.add("revision", lambda: 7)
    >>> page.describe()
    {'revision': 7}
    """

    def __init__(self) -> None:
        self._parts: dict[str, StatusPart] = {}

    def add(self, name: str, part: StatusPart) -> None:
        """Include the JSON-serializable result of `part` under `name`; it must contain no secret."""
        self._parts[name] = part

    def describe(self) -> dict[str, Any]:
        """Return the current values of all parts."""
        return {name: part() for name, part in self._parts.items()}
