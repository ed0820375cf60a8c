"""Attribution of server crashes to the traits of requests that explain them.

A crash is recorded against every trait of every request in progress on the server, so that harmless traits
are recorded too. A trait to which no server has given a complete answer is a likely cause after a few crashes.
A prompt part that has been answered is harmless if a likely cause explains its crashes: it was in progress
beside that cause.
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

Crashes = frozenset[str]
"""Incarnations of the servers that crashed while requests with a trait were in progress."""
MAX_UNEXPLAINED = 1
"""Number of crashes that an explanation may leave over: servers also crash for reasons unrelated to requests."""
MAX_EXPLANATIONS = 64
"""Number of causes that are compared with each answered part; those with the most crashes are."""
MIN_CONTENT_RATIO = 0.5
"""Least ratio of the crashes of a content to those of a prompt part that it explains. If a part crashes servers,
contents that their callers send again meet a few of these crashes."""


@dataclass(frozen=True)
class Accusation:
    """The crashes of a trait.

    Parameters
    ==========

    crashes : the crashes that count.
    is_part : whether the trait is a prompt part; otherwise it is a content.
    was_answered : whether any server has given a complete answer to a request with the trait.
    """

    crashes: Crashes
    is_part: bool = True
    was_answered: bool = False

    @property
    def is_likely(self) -> bool:
        """Whether the trait is a likely cause even if others explain its crashes."""
        return not (self.is_part and self.was_answered)

    def may_explain(self, other: "Accusation") -> bool:
        """Return whether the trait is likelier to be the cause of common crashes than an answered part."""
        if not self.is_part:
            return len(self.crashes) >= MIN_CONTENT_RATIO * len(other.crashes)
        return self.is_likely


def attribute_crashes(
    accusations: Mapping[str, Accusation], min_crashes: int
) -> dict[str, Crashes]:
    """Return the traits that are likely causes, with all their crashes.

    Each content, and each unanswered part, with `min_crashes` crashes is a cause; an answered part is one unless
    a single one of those explains its crashes. Answered parts do not explain each other.

    Examples
    ========

    >>> shared = Accusation(frozenset("abcd"), was_answered=True)
    >>> other = Accusation(frozenset("xyz"), was_answered=True)
    >>> deadly = Accusation(frozenset("abcd"))
    >>> sorted(attribute_crashes({"shared": shared, "deadly": deadly, "other": other}, min_crashes=3))
    ['deadly', 'other']
    """
    accused = {trait: one for trait, one in accusations.items() if len(one.crashes) >= min_crashes}
    likely = {trait: one for trait, one in accused.items() if one.is_likely}
    strongest = heapq.nlargest(MAX_EXPLANATIONS, likely.values(), key=lambda one: len(one.crashes))
    return {
        trait: one.crashes
        for trait, one in accused.items()
        if one.is_likely or not _is_explained(one, strongest)
    }


def _is_explained(part: Accusation, explanations: list[Accusation]) -> bool:
    return any(
        len(part.crashes - one.crashes) <= MAX_UNEXPLAINED
        for one in explanations
        if one.may_explain(part)
    )


def find_unexplained(
    crashes: Crashes, suspected: Iterable[str], causes: Mapping[str, Crashes]
) -> Crashes:
    """Return the crashes that no cause except the suspected ones explains.

    Examples
    ========

    >>> causes = {"shared": frozenset("abc"), "deadly": frozenset("abcd")}
    >>> find_unexplained(causes["shared"], ["shared"], causes)
    frozenset()
    >>> find_unexplained(causes["deadly"], ["deadly"], causes)
    frozenset({'d'})
    """
    excluded = set(suspected)
    return crashes.difference(*(causes[trait] for trait in causes if trait not in excluded))
