"""Memory of the prompt parts that were answered lately, as evidence in case servers crash later."""

from collections.abc import Iterable

MAX_ANSWERED_PARTS = 4_096
"""Number of prompt parts that are remembered; the least recently answered are dropped."""


class AnsweredParts:
    """The fingerprints of the prompt parts of the last complete answers.

    Examples
    ========

    >>> parts = AnsweredParts()
    >>> parts.record(["part-a"])
    >>> "part-a" in parts, "part-b" in parts
    (True, False)
    """

    def __init__(self) -> None:
        self._fingerprints: dict[str, None] = {}  # the least recently answered first

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def record(self, fingerprints: Iterable[str]) -> None:
        """Record a complete answer to a request with these parts."""
        for fingerprint in fingerprints:
            self._fingerprints.pop(fingerprint, None)
            self._fingerprints[fingerprint] = None
        while len(self._fingerprints) > MAX_ANSWERED_PARTS:
            del self._fingerprints[next(iter(self._fingerprints))]
