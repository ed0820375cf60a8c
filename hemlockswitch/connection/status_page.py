"""What a daemon says of itself, put together from one part for each area."""

from collections.abc import Callable
from typing import Any

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StatusPart = Callable[[], Any]


class StatusPage:
    """The daemon's state as JSON-ready values.

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
        """Show the JSON-ready result of `part` under `name`; never a secret."""
        self._parts[name] = part

    def describe(self) -> dict[str, Any]:
        """Return all parts as they are now."""
        return {name: part() for name, part in self._parts.items()}
