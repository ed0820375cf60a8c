"""One order of the versions of an object service that may come back from a copy.

Such a service hands its revisions out again, and counts its returns by an era. A version combines both, so that
each write has a higher version than all that were written or lost before.
"""

from dataclasses import dataclass

REVISION_BITS = 44
"""A fleet that writes 10,000 revisions a second reaches this many bits after 55 years."""
_REVISION_MASK = (1 << REVISION_BITS) - 1


@dataclass(frozen=True)
class StoreEra:
    """The era of an object service as known to this process.

    Parameters
    ==========

    number : 0 for a service that states none. Any other era may have begun with a return from a copy.
    observed_ms : when this process got the first answer of this era, by its clock; the era began earlier.
    """

    number: int = 0
    observed_ms: float = float("-inf")


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    Examples
    ========

    >>> make_version(0, 120)
    120
    >>> make_version(2, 7) > make_version(1, 120)
    True
    """
    return era << REVISION_BITS | revision


def find_era(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def find_revision(version: int) -> int:
    """Return the revision by which the object service counts.

    Examples
    ========

    >>> find_revision(make_version(3, 120))
    120
    """
    return version & _REVISION_MASK
