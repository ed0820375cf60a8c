"""Requests under which backend servers end, and when one of them may be sent again.

Some content ends the server that runs it. Its caller comes again, to any daemon and under a new
identifier, and each arrival costs another server with everything that runs there. So the ends are counted
by content (`request.fingerprint`), over all daemons, and a content under which a few servers have ended
is not sent on any more, but for a few trials with growing pauses.

Everything that was in progress on a server ends with it, so other contents are counted too. A complete
answer clears a content at once, whichever daemon saw it, and a trial gives it the chance of one: on the
server with the least in progress, where a failure costs least.

What daemons know is merged as sets that only grow (ends, and the ends that do not count), so messages
may be lost, late, doubled and out of order. It costs nothing while no server ends.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import xxhash

from hemlockswitch.core.clock import Clock

MOST_ENDS = 3
"""Servers that may end under a content before it is held back. One end says little, as everything in
progress there is counted; few contents in progress on three servers that ended are harmless ones."""
CAREFUL_ENDS = MOST_ENDS - 1
"""From so many ends on a content goes where least is in progress: the next end may be the last one."""
TRIAL_PAUSES_MS = (2_000.0, 20_000.0, 200_000.0)
"""Time from the last end, or the last trial, to the next trial. The first comes when servers that ended
are back and lets a harmless content through while its caller still waits; a deadly one takes a server at
each of them, so they are few, and each is rarer than the one before."""
LIFE_MS = 3_600_000.0
"""How long after its last end or trial a content is remembered: what made servers end may be mended."""
CLEARED_LIFE_MS = 60_000.0
"""How long a cleared content is remembered, so that late word of its ends does not count again."""
MOST_SUSPECTS = 4_096
"""Contents remembered at a time, about a kilobyte each; those with the fewest and oldest ends go first."""
MOST_NAMES = 16
"""Servers remembered for one content; those that do not count are forgotten first."""

SuspectFields = tuple[str, list[str], list[str], int]
"""The fields of a `SuspectRecord`."""


@dataclass(frozen=True)
class SuspectRecord:
    """What a daemon knows of a content, for other daemons and for the object service.

    Parameters
    ==========

    fingerprint : names the content.
    ends : incarnations of the servers that ended while it was in progress there.
    excused : those that do not count: a complete answer followed, or the server has not ended after all.
    trials : how often it was tried since it is held back.
    """

    fingerprint: str
    ends: tuple[str, ...] = ()
    excused: tuple[str, ...] = ()
    trials: int = 0

    def list_fields(self) -> SuspectFields:
        """Return the fields, as messages have them."""
        return (self.fingerprint, list(self.ends), list(self.excused), self.trials)

    @classmethod
    def from_fields(cls, fields: SuspectFields) -> "SuspectRecord":
        """Return the record that a message has."""
        fingerprint, ends, excused, trials = fields
        return cls(fingerprint, tuple(ends), tuple(excused), trials)


@dataclass
class _Suspect:
    """What is known of one content."""

    ends: set[str] = field(default_factory=set)
    excused: set[str] = field(default_factory=set)
    trials: int = 0
    changed_ms: float = 0.0  # when its last end or trial was learned
    was_seen_here: bool = False

    @property
    def counted(self) -> int:
        """How many ends count against it."""
        return len(self.ends - self.excused)

    @property
    def forgotten_ms(self) -> float:
        """When it is forgotten."""
        return self.changed_ms + (LIFE_MS if self.counted else CLEARED_LIFE_MS)


@dataclass(frozen=True)
class Standing:
    """What holds for a content now.

    Parameters
    ==========

    ends : servers that ended under it and count.
    is_held : whether it is held back.
    trial_in_ms : how long until it may be tried; 0 if it may now, None if it was tried often enough.
    forgotten_in_ms : how long until it is forgotten.
    """

    ends: int = 0
    is_held: bool = False
    trial_in_ms: float | None = 0.0
    forgotten_in_ms: float = 0.0

    @property
    def is_careful(self) -> bool:
        """Whether it goes where least is in progress."""
        return self.ends >= CAREFUL_ENDS


UNSUSPECTED = Standing()


class Quarantine:
    """The contents under which backend servers have ended.

    Parameters
    ==========

    clock : the time.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> quarantine = Quarantine(ManualClock())
    >>> for server in ("s1", "s2", "s3"):
    ...     quarantine.note_end("content", server)
    >>> quarantine.find_standing("content").is_held
    True
    >>> quarantine.note_answer("content")
    >>> quarantine.find_standing("content").is_held
    False
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}
        self._held: set[str] = set()
        self._by_server: dict[str, set[str]] = defaultdict(set)
        self._ended_ms: dict[str, float] = {}  # when the end of a server was learned
        self._untold: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected, so that no request needs a look."""
        return not self._suspects

    @property
    def has_untold(self) -> bool:
        """Whether something has changed here that other daemons were not told."""
        return bool(self._untold)

    def find_standing(self, fingerprint: str) -> Standing:
        """Return what holds for a content now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return UNSUSPECTED
        now_ms = self._clock.now_ms()
        ends = suspect.counted
        trial_in_ms = None
        if suspect.trials < len(TRIAL_PAUSES_MS):
            trial_in_ms = max(suspect.changed_ms + TRIAL_PAUSES_MS[suspect.trials] - now_ms, 0.0)
        forgotten_in_ms = max(suspect.forgotten_ms - now_ms, 0.0)
        return Standing(ends, ends >= MOST_ENDS, trial_in_ms, forgotten_in_ms)

    def note_end(self, fingerprint: str, server: str) -> None:
        """A server ended while the content was in progress there, seen here."""
        if self._add(fingerprint, (server,)):
            self._untold.add(fingerprint)
        self._suspects[fingerprint].was_seen_here = True

    def was_seen_here(self, fingerprint: str) -> bool:
        """Return whether this daemon itself saw a server end under the content."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.was_seen_here

    def note_answer(self, fingerprint: str) -> None:
        """The content was answered completely: it does not end servers."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.ends <= suspect.excused:
            return
        suspect.excused |= suspect.ends
        suspect.trials = 0
        self._untold.add(fingerprint)
        self._note_counted(fingerprint)

    def note_alive(self, server: str, sent_ms: float) -> None:
        """A server has answered what was sent at `sent_ms`; if its end was told before, that was wrong."""
        ended_ms = self._ended_ms.get(server)
        if ended_ms is None or sent_ms <= ended_ms:
            return
        for fingerprint in self._by_server[server]:
            suspect = self._suspects[fingerprint]
            if server not in suspect.excused:
                suspect.excused.add(server)
                self._untold.add(fingerprint)
                self._note_counted(fingerprint)

    def note_trial(self, fingerprint: str, trials: int) -> None:
        """A content is tried, or was elsewhere, for the `trials`-th time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trials >= trials:
            return
        suspect.trials = trials
        suspect.changed_ms = self._clock.now_ms()
        self._untold.add(fingerprint)

    def take(self, record: SuspectRecord) -> None:
        """Take what another daemon or the object service knows."""
        self._add(record.fingerprint, record.ends)
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            return
        # Ends that do not count here any more may still count elsewhere, until it is told.
        suspect.excused.update(record.excused[:MOST_NAMES])
        if record.trials > suspect.trials and suspect.counted:
            suspect.trials = record.trials
            suspect.changed_ms = self._clock.now_ms()
        if not suspect.counted:
            suspect.trials = 0
        self._note_counted(record.fingerprint)

    def get_record(self, fingerprint: str) -> SuspectRecord:
        """Return what is known of a content."""
        suspect = self._suspects.get(fingerprint, _Suspect())
        ends, excused = tuple(sorted(suspect.ends)), tuple(sorted(suspect.excused))
        return SuspectRecord(fingerprint, ends, excused, suspect.trials)

    def pop_untold(self) -> list[SuspectRecord]:
        """Return what has changed here since the last call, for other daemons."""
        untold, self._untold = self._untold, set()
        return [self.get_record(one) for one in sorted(untold) if one in self._suspects]

    def list_records(self) -> list[SuspectRecord]:
        """Return what is known of all contents, those with the most ends first."""
        return [self.get_record(fingerprint) for fingerprint in self._list_ranked()]

    def list_held(self) -> list[str]:
        """Return the contents that are held back."""
        return sorted(self._held)

    def hash_held(self) -> int:
        """Return a digest of the contents that are held back; 0 if there are none."""
        digest = 0
        for fingerprint in self._held:
            digest ^= xxhash.xxh32_intdigest(fingerprint.encode())
        return digest

    def forget_old(self) -> list[str]:
        """Forget what is over, and return the contents that were held back."""
        now_ms = self._clock.now_ms()
        old = [name for name, one in self._suspects.items() if now_ms >= one.forgotten_ms]
        held = [name for name in old if name in self._held]
        for fingerprint in old:
            self._drop(fingerprint)
        return held

    def describe(self) -> list[dict[str, Any]]:
        """Return the suspects for the status page, those held back first."""
        return [self._describe(fingerprint) for fingerprint in self._list_ranked()]

    def _describe(self, fingerprint: str) -> dict[str, Any]:
        suspect = self._suspects[fingerprint]
        standing = self.find_standing(fingerprint)
        return {
            "fingerprint": fingerprint,
            "held": standing.is_held,
            "ends": sorted(suspect.ends - suspect.excused),
            "trials": suspect.trials,
            "trial_in_ms": standing.trial_in_ms,
            "changed_ms_ago": round(self._clock.now_ms() - suspect.changed_ms),
        }

    def _add(self, fingerprint: str, servers: Iterable[str]) -> bool:
        """Add ends; return whether one of them is new."""
        suspect = self._suspects.get(fingerprint) or _Suspect()
        new = [server for server in servers if server not in suspect.ends]
        if not new:
            return False
        if len(suspect.ends) + len(new) > MOST_NAMES:
            self._drop_excused(fingerprint, suspect)
            new = new[: MOST_NAMES - len(suspect.ends)]
        if fingerprint not in self._suspects:
            self._make_room()
            self._suspects[fingerprint] = suspect
        now_ms = self._clock.now_ms()
        suspect.changed_ms = now_ms
        for server in new:
            suspect.ends.add(server)
            self._by_server[server].add(fingerprint)
            self._ended_ms.setdefault(server, now_ms)
        self._note_counted(fingerprint)
        return True

    def _note_counted(self, fingerprint: str) -> None:
        """Hold a content back or release it, by how many ends count against it now."""
        if self._suspects[fingerprint].counted >= MOST_ENDS:
            self._held.add(fingerprint)
        else:
            self._held.discard(fingerprint)

    def _make_room(self) -> None:
        while len(self._suspects) >= MOST_SUSPECTS:
            self._drop(min(self._suspects, key=self._rank))

    def _list_ranked(self) -> list[str]:
        return sorted(self._suspects, key=self._rank, reverse=True)

    def _rank(self, fingerprint: str) -> tuple[int, float]:
        suspect = self._suspects[fingerprint]
        return suspect.counted, suspect.changed_ms

    def _drop_excused(self, fingerprint: str, suspect: _Suspect) -> None:
        self._unlink(fingerprint, suspect.ends & suspect.excused)
        suspect.ends -= suspect.excused
        suspect.excused.clear()

    def _drop(self, fingerprint: str) -> None:
        suspect = self._suspects.pop(fingerprint)
        self._held.discard(fingerprint)
        self._untold.discard(fingerprint)
        self._unlink(fingerprint, suspect.ends)

    def _unlink(self, fingerprint: str, servers: Iterable[str]) -> None:
        for server in servers:
            self._by_server[server].discard(fingerprint)
            if not self._by_server[server]:
                del self._by_server[server]
                del self._ended_ms[server]
