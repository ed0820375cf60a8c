"""Quarantine of request contents that crash backend servers.

Some requests crash the server that runs them. The caller retries at any daemon under a new identifier,
and each retry costs another server and everything in progress there. Crashes are therefore counted by
request content (`request.fingerprint`) over all daemons. A content with several crashes is quarantined:
it is no longer forwarded, except for a few trials at increasing intervals.

A crash is counted against every content in progress on the server, so harmless contents are counted too.
A complete answer to any daemon clears a content at once. A trial gives a quarantined content the
opportunity to be answered; it goes to the server with the fewest requests in progress, where a crash
costs least.

Daemons merge their records as growing sets (crashes, and crashes that are excused), so messages may be
lost, delayed, duplicated or reordered. There is no overhead while no server crashes.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import xxhash

from hemlockswitch.core.clock import Clock

MIN_CRASHES = 3
"""Number of crashes at which a content is quarantined. A single crash is weak evidence, as it counts
against everything in progress on the server; few harmless contents are in progress on three crashed
servers."""
CAREFUL_CRASHES = MIN_CRASHES - 1
"""Number of crashes from which a content is sent to the server with the fewest requests in progress: the
next crash may be the one that quarantines it."""
TRIAL_INTERVALS_MS = (2_000.0, 20_000.0, 200_000.0)
"""Time from the last crash or trial to the next trial. The first trial comes when crashed servers have
restarted, and lets a harmless content through while its caller still waits. A harmful content costs a
server at every trial, so trials are few and their intervals increase."""
SUSPECT_RETENTION_MS = 3_600_000.0
"""Retention time of a content after its last crash or trial: the cause of the crashes may have been
fixed since."""
CLEARED_RETENTION_MS = 60_000.0
"""Retention time of a cleared content, so that delayed reports of its crashes are not counted again."""
MAX_SUSPECTS = 4_096
"""Limits memory: a content takes about a kilobyte. Those with the fewest and oldest crashes are evicted
first."""
MAX_SERVERS_PER_SUSPECT = 16
"""Servers recorded for one content; excused crashes are evicted first."""

SuspectFields = tuple[str, list[str], list[str], int]
"""The fields of a `SuspectRecord`, in the order in which messages contain them."""


@dataclass(frozen=True)
class SuspectRecord:
    """A daemon's record of a content, as sent to its peers and to the object service.

    Parameters
    ==========

    fingerprint : identifier of the content.
    ends : incarnations of the servers that crashed while the content was in progress there.
    excused : crashes that do not count, because a complete answer followed or the server had not
        crashed after all.
    trials : number of trials since the content was quarantined.
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
class _Suspect:
    """Mutable record of one content."""

    ends: set[str] = field(default_factory=set)
    excused: set[str] = field(default_factory=set)
    trials: int = 0
    changed_ms: float = 0.0  # when its last crash or trial was recorded
    was_seen_here: bool = False

    @property
    def counted(self) -> int:
        """Number of crashes that are not excused."""
        return len(self.ends - self.excused)

    @property
    def expires_ms(self) -> float:
        """Time at which the record expires."""
        return self.changed_ms + (SUSPECT_RETENTION_MS if self.counted else CLEARED_RETENTION_MS)


@dataclass(frozen=True)
class QuarantineStatus:
    """The current quarantine status of a content.

    Parameters
    ==========

    ends : number of crashes that are not excused.
    is_quarantined : whether the content is quarantined.
    trial_in_ms : time until the next trial; 0 if one is allowed now, None if no trials are left.
    expires_in_ms : time until the record expires.
    """

    ends: int = 0
    is_quarantined: bool = False
    trial_in_ms: float | None = 0.0
    expires_in_ms: float = 0.0

    @property
    def is_careful(self) -> bool:
        """Whether to send it to the server with the fewest requests in progress."""
        return self.ends >= CAREFUL_CRASHES


NOT_SUSPECTED = QuarantineStatus()


class Quarantine:
    """Records of the request contents that were in progress on crashed backend servers.

    Parameters
    ==========

    clock : the process's clock.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> quarantine = Quarantine(ManualClock())
    >>> for server in ("s1", "s2", "s3"):
    ...     quarantine.record_crash("content", server)
    >>> quarantine.find_status("content").is_quarantined
    True
    >>> quarantine.record_answer("content")
    >>> quarantine.find_status("content").is_quarantined
    False
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: set[str] = set()
        self._by_server: dict[str, set[str]] = defaultdict(set)
        self._crashed_ms: dict[str, float] = {}  # when the crash of a server was recorded
        self._unsent: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Whether there are no records, in which case no request has to be checked."""
        return not self._suspects

    @property
    def has_unsent(self) -> bool:
        """Whether there are local changes that have not been sent to the peers."""
        return bool(self._unsent)

    def find_status(self, fingerprint: str) -> QuarantineStatus:
        """Return the current quarantine status of a content."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return NOT_SUSPECTED
        now_ms = self._clock.now_ms()
        ends = suspect.counted
        trial_in_ms = None
        if suspect.trials < len(TRIAL_INTERVALS_MS):
            trial_in_ms = max(suspect.changed_ms + TRIAL_INTERVALS_MS[suspect.trials] - now_ms, 0.0)
        expires_in_ms = max(suspect.expires_ms - now_ms, 0.0)
        return QuarantineStatus(ends, ends >= MIN_CRASHES, trial_in_ms, expires_in_ms)

    def record_crash(self, fingerprint: str, server: str) -> None:
        """Record that this daemon saw a server crash while the content was in progress there."""
        if self._add(fingerprint, (server,)):
            self._unsent.add(fingerprint)
        self._suspects[fingerprint].was_seen_here = True

    def was_seen_here(self, fingerprint: str) -> bool:
        """Return whether this daemon itself saw a server crash while the content was in progress."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.was_seen_here

    def record_answer(self, fingerprint: str) -> None:
        """Record a complete answer to the content, which excuses all its crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.ends <= suspect.excused:
            return
        suspect.excused |= suspect.ends
        suspect.trials = 0
        self._unsent.add(fingerprint)
        self._update_quarantined(fingerprint)

    def record_alive(self, server: str, sent_ms: float) -> None:
        """Record an answer of a server to a request sent at `sent_ms`.

        If a crash of the server was reported before that time, the report was wrong and is excused.
        """
        crashed_ms = self._crashed_ms.get(server)
        if crashed_ms is None or sent_ms <= crashed_ms:
            return
        for fingerprint in self._by_server[server]:
            suspect = self._suspects[fingerprint]
            if server not in suspect.excused:
                suspect.excused.add(server)
                self._unsent.add(fingerprint)
                self._update_quarantined(fingerprint)

    def record_trial(self, fingerprint: str, trials: int) -> None:
        """Record that a content is tried, here or at a peer, for the `trials`-th time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trials >= trials:
            return
        suspect.trials = trials
        suspect.changed_ms = self._clock.now_ms()
        self._unsent.add(fingerprint)

    def merge(self, record: SuspectRecord) -> None:
        """Merge a record from a peer or from the object service."""
        self._add(record.fingerprint, record.ends)
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            return
        # Peers still count crashes that are excused here until they receive the excuse.
        suspect.excused.update(record.excused[:MAX_SERVERS_PER_SUSPECT])
        if record.trials > suspect.trials and suspect.counted:
            suspect.trials = record.trials
            suspect.changed_ms = self._clock.now_ms()
        if not suspect.counted:
            suspect.trials = 0
        self._update_quarantined(record.fingerprint)

    def get_record(self, fingerprint: str) -> SuspectRecord:
        """Return the record of a content."""
        suspect = self._suspects.get(fingerprint, _Suspect())
        ends, excused = tuple(sorted(suspect.ends)), tuple(sorted(suspect.excused))
        return SuspectRecord(fingerprint, ends, excused, suspect.trials)

    def pop_unsent(self) -> list[SuspectRecord]:
        """Return the records changed since the last call, to be sent to the peers."""
        unsent, self._unsent = self._unsent, set()
        return [self.get_record(one) for one in sorted(unsent) if one in self._suspects]

    def list_records(self) -> list[SuspectRecord]:
        """Return the records of all contents, in descending order of crashes."""
        return [self.get_record(fingerprint) for fingerprint in self._list_ranked()]

    def list_quarantined(self) -> list[str]:
        """Return the quarantined contents."""
        return sorted(self._quarantined)

    def hash_quarantined(self) -> int:
        """Return a digest of the quarantined contents; 0 if there are none."""
        digest = 0
        for fingerprint in self._quarantined:
            digest ^= xxhash.xxh32_intdigest(fingerprint.encode())
        return digest

    def remove_expired(self) -> list[str]:
        """Delete expired records, and return the contents that were quarantined until now."""
        now_ms = self._clock.now_ms()
        old = [name for name, one in self._suspects.items() if now_ms >= one.expires_ms]
        quarantined = [name for name in old if name in self._quarantined]
        for fingerprint in old:
            self._drop(fingerprint)
        return quarantined

    def describe(self) -> list[dict[str, Any]]:
        """Return the records for the status page, in descending order of crashes."""
        return [self._describe(fingerprint) for fingerprint in self._list_ranked()]

    def _describe(self, fingerprint: str) -> dict[str, Any]:
        suspect = self._suspects[fingerprint]
        status = self.find_status(fingerprint)
        return {
            "fingerprint": fingerprint,
            "held": status.is_quarantined,
            "ends": sorted(suspect.ends - suspect.excused),
            "trials": suspect.trials,
            "trial_in_ms": status.trial_in_ms,
            "changed_ms_ago": round(self._clock.now_ms() - suspect.changed_ms),
        }

    def _add(self, fingerprint: str, servers: Iterable[str]) -> bool:
        """Add crashes; return whether any of them was added."""
        suspect = self._suspects.get(fingerprint) or _Suspect()
        new = [server for server in servers if server not in suspect.ends]
        if not new:
            return False
        if len(suspect.ends) + len(new) > MAX_SERVERS_PER_SUSPECT:
            self._drop_excused(fingerprint, suspect)
            new = new[: MAX_SERVERS_PER_SUSPECT - len(suspect.ends)]
        if fingerprint not in self._suspects:
            self._make_room()
            self._suspects[fingerprint] = suspect
        now_ms = self._clock.now_ms()
        suspect.changed_ms = now_ms
        for server in new:
            suspect.ends.add(server)
            self._by_server[server].add(fingerprint)
            self._crashed_ms.setdefault(server, now_ms)
        self._update_quarantined(fingerprint)
        return True

    def _update_quarantined(self, fingerprint: str) -> None:
        """Quarantine or release a content, according to its number of crashes."""
        if self._suspects[fingerprint].counted >= MIN_CRASHES:
            self._quarantined.add(fingerprint)
        else:
            self._quarantined.discard(fingerprint)

    def _make_room(self) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
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
        self._quarantined.discard(fingerprint)
        self._unsent.discard(fingerprint)
        self._unlink(fingerprint, suspect.ends)

    def _unlink(self, fingerprint: str, servers: Iterable[str]) -> None:
        for server in servers:
            self._by_server[server].discard(fingerprint)
            if not self._by_server[server]:
                del self._by_server[server]
                del self._crashed_ms[server]
