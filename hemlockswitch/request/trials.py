"""When a request with quarantined traits is sent as a trial, and which of its traits the trial tests."""

from collections.abc import Mapping

from hemlockswitch.request.attribution import MAX_UNEXPLAINED, Crashes, find_unexplained
from hemlockswitch.request.fingerprint import is_part, is_shared_part
from hemlockswitch.request.suspects import Suspect

TRIAL_INTERVALS_MS = (2_000.0, 20_000.0, 200_000.0)
"""Time from the last crash or trial to the next trial. The first trial comes when crashed servers have
restarted, and lets a harmless content through while its caller still waits. A harmful content costs a
server at every trial, so trials are few and their intervals increase."""
EXPLAINED_TRIAL_INTERVAL_MS = 2_000.0
"""Time between two trials of traits whose crashes other quarantined traits would explain as well."""
MAX_EXPLAINED_TRIALS = 3
"""Number of trials after which traits are tried at `TRIAL_INTERVALS_MS` only."""


def order_causes(suspects: Mapping[str, Suspect]) -> tuple[str, ...]:
    """Return the quarantined traits of a request, the likeliest part first and contents last.

    Many contents may share a part, and must not be tried at the same time.
    """

    def make_key(trait: str) -> tuple[bool, bool, int, str]:
        suspect = suspects[trait]
        return not is_part(trait), suspect.was_answered, -len(suspect.counted), trait

    return tuple(sorted(suspects, key=make_key))


def list_tested(suspects: Mapping[str, Suspect]) -> list[str]:
    """Return those of a request's quarantined traits that a trial of the request tests.

    If the request has an unanswered part, its crash says little about the answered ones; requests without the
    unanswered part test them.
    """
    likely = [trait for trait, one in suspects.items() if not _is_answered_part(trait, one)]
    return likely if any(is_part(trait) for trait in likely) else list(suspects)


def find_trial_delay_ms(
    suspects: Mapping[str, Suspect], causes: Mapping[str, Crashes], now_ms: float
) -> float | None:
    """Return the time until traits may be tried together, or None if any of them has no trials left.

    Parameters
    ==========

    suspects : the quarantined traits of a request.
    causes : all quarantined traits with their crashes.
    """
    if _are_explained(suspects, causes):
        tried_ms = max(one.tried_ms for one in suspects.values())
        return max(tried_ms + EXPLAINED_TRIAL_INTERVAL_MS - now_ms, 0.0)
    due_ms = 0.0
    for trait, suspect in suspects.items():
        interval_ms = _find_interval_ms(trait, suspect)
        if interval_ms is None:
            return None
        due_ms = max(due_ms, suspect.changed_ms + interval_ms)
    return max(due_ms - now_ms, 0.0)


def _find_interval_ms(trait: str, suspect: Suspect) -> float | None:
    """Return the time to the next trial of a trait.

    An answered part, which many requests need, has no last one. Nor has a part at any service, which trials at
    other services must not hold back for good; the trials of the part at this service are limited.
    """
    if suspect.trials < len(TRIAL_INTERVALS_MS):
        return TRIAL_INTERVALS_MS[suspect.trials]
    has_last = not (is_shared_part(trait) or _is_answered_part(trait, suspect))
    return None if has_last else TRIAL_INTERVALS_MS[-1]


def _are_explained(suspects: Mapping[str, Suspect], causes: Mapping[str, Crashes]) -> bool:
    """Return whether other quarantined traits would explain the crashes of these.

    Contents do not explain those of a part: the contents with a deadly part would.
    """
    if max(one.trials for one in suspects.values()) >= MAX_EXPLAINED_TRIALS:
        return False
    if any(is_part(trait) for trait in suspects):
        causes = {trait: crashes for trait, crashes in causes.items() if is_part(trait)}
    return all(
        len(find_unexplained(one.counted, suspects, causes)) <= MAX_UNEXPLAINED
        for one in suspects.values()
    )


def _is_answered_part(trait: str, suspect: Suspect) -> bool:
    return is_part(trait) and suspect.was_answered
