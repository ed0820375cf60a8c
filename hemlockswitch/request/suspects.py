"""Records of the traits of requests that were in progress on crashed backend servers."""

from dataclasses import dataclass, field

SUSPECT_RETENTION_MS = 3_600_000.0
"""Retention time of a trait after its last crash or trial: the cause of the crashes may have been fixed
since."""
CLEARED_RETENTION_MS = 60_000.0
"""Retention time of a cleared trait, so that delayed reports of its crashes are not counted again."""

ANSWERED = "answered"
"""Stands among the excused crashes of a trait if any server has given a complete answer to a request with it."""

SuspectFields = tuple[str, list[str], list[str], int]
"""The fields of a `SuspectRecord`, in the order in which messages contain them."""


@dataclass(frozen=True)
class SuspectRecord:
    """A daemon's record of a trait, as sent to its peers and to the object service.

    Parameters
    ==========

    fingerprint : identifier of the trait.
    ends : incarnations of the servers that crashed while requests with the trait were in progress there.
    excused : crashes that do not count, because a complete answer followed or the server had not
        crashed after all; `ANSWERED` beside them if the trait was ever answered.
    trials : number of trials since the trait was quarantined.
    """

    fingerprint: str
    ends: tuple[str, ...] = ()
    excused: tuple[str, ...] = ()
    trials: int = 0

    def list_fields(self) -> SuspectFields:
        """Return the fields as a message contains them."""
        return (self.fingerprint, list(self.ends), list(self.excused), self.trials)

    @classmethod
    def from_fields(cls, fields: SuspectFields) -> "SuspectRecord":
        """Return the record from the fields of a message."""
        fingerprint, ends, excused, trials = fields
        return cls(fingerprint, tuple(ends), tuple(excused), trials)


@dataclass
class Suspect:
    """Mutable record of one trait.

    Parameters
    ==========

    changed_ms : when its last crash or trial was recorded.
    tried_ms : when its last trial was recorded.
    """

    ends: set[str] = field(default_factory=set)
    excused: set[str] = field(default_factory=set)
    trials: int = 0
    changed_ms: float = 0.0
    tried_ms: float = float("-inf")
    was_seen_here: bool = False

    @property
    def counted(self) -> frozenset[str]:
        """The crashes that are not excused."""
        return frozenset(self.ends - self.excused)

    @property
    def expires_ms(self) -> float:
        """Time at which the record expires."""
        return self.changed_ms + (SUSPECT_RETENTION_MS if self.counted else CLEARED_RETENTION_MS)

    @property
    def was_answered(self) -> bool:
        """Whether any server has given a complete answer to a request with the trait."""
        return ANSWERED in self.excused

    def drop_excused(self) -> set[str]:
        """Drop the excused crashes, and return them."""
        dropped = self.ends & self.excused
        self.ends -= dropped
        self.excused &= {ANSWERED}
        return dropped

    def record_trial(self, trials: int, now_ms: float) -> None:
        """Record that the trait is tried for the `trials`-th time."""
        self.trials = trials
        self.changed_ms = self.tried_ms = now_ms
