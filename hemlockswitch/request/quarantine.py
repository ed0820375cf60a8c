"""Quarantine of requests that crash backend servers.

Some requests crash the server that runs them. The caller retries at any daemon under a new identifier,
and each retry costs another server and everything in progress there. Crashes are therefore counted by
the traits of requests over all daemons: by content, and by each part of a prompt that other requests may
contain too (`request.fingerprint`). Both are counted over all services and at the service of the request:
a trait may crash servers of several services, or those of one service only, while others answer it. Traits that are likely causes of several crashes (`request.attribution`)
are quarantined: requests with them are no longer forwarded, except for a few trials.

A crash is counted against every trait in progress on the server, so harmless traits are counted too.
A complete answer that began after a crash, at any daemon, excuses the crash. A trial gives a quarantined
trait the opportunity to be answered; it goes to the server with the fewest requests in progress, where a
crash costs least.

Daemons merge their records as growing sets (crashes, and crashes that are excused), so messages may be
lost, delayed, duplicated or reordered. While no server crashes, only the answered prompt parts are noted.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

from hemlockswitch.connection.process_spans import MIN_RESTART_MS
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.request.answered_parts import AnsweredParts
from hemlockswitch.request.attribution import (
    Accusation,
    Crashes,
    attribute_crashes,
    find_unexplained,
)
from hemlockswitch.request.fingerprint import is_part
from hemlockswitch.request.suspects import ANSWERED, Suspect, SuspectRecord
from hemlockswitch.request.trials import find_trial_delay_ms, list_tested, order_causes

MIN_CRASHES = 3
"""Number of unexplained crashes at which a trait is quarantined. A single crash is weak evidence, as it counts
against everything in progress on the server; few harmless contents are in progress on three crashed
servers."""
CAREFUL_CRASHES = MIN_CRASHES - 1
"""Number of unexplained crashes from which a request is sent to the server with the fewest requests in
progress: the next crash may be the one that quarantines it."""
MAX_SUSPECTS = 8_192
"""Limits memory: a trait takes about a kilobyte. Those with the fewest and oldest crashes are evicted
first."""
EVICTION_BATCH = 256
"""Number of traits that are ranked at once for eviction; a crash may add hundreds of prompt parts."""
MAX_SERVERS_PER_SUSPECT = 16
"""Servers recorded for one trait; excused crashes are evicted first."""


@dataclass(frozen=True)
class QuarantineStatus:
    """The current quarantine status of a trait, or of all traits of a request.

    Parameters
    ==========

    ends : number of crashes that are not excused.
    is_quarantined : whether the trait, or any trait of the request, is quarantined.
    is_careful : whether to send the request to the server with the fewest requests in progress.
    trial_in_ms : time until the next trial; 0 if one is allowed now, None if no trials are left.
    expires_in_ms : time until the record expires.
    held : the quarantined traits.
    """

    ends: int = 0
    is_quarantined: bool = False
    is_careful: bool = False
    trial_in_ms: float | None = 0.0
    expires_in_ms: float = 0.0
    held: tuple[str, ...] = ()


NOT_SUSPECTED = QuarantineStatus()


class Quarantine:
    """Records of the traits of requests that were in progress on crashed backend servers.

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
        self._suspects: dict[str, Suspect] = {}
        self._accused: set[str] = set()  # traits with at least `MIN_CRASHES` crashes
        self._causes: dict[str, Crashes] | None = {}  # None if they have to be found again
        self._by_server: dict[str, set[str]] = defaultdict(set)
        self._crashed_ms: dict[str, float] = {}  # when the crash of a server was recorded
        self._seen_ms: dict[str, float] = {}  # the same, if this daemon itself saw it
        self._unsent: set[str] = set()
        self._answered_parts = AnsweredParts()
        # The lowest ranks when they were last listed.
        self._evictable: list[tuple[tuple[int, float], str]] = []

    @property
    def is_empty(self) -> bool:
        """Whether there are no records, in which case no request has to be checked."""
        return not self._suspects

    @property
    def has_unsent(self) -> bool:
        """Whether there are local changes that have not been sent to the peers."""
        return bool(self._unsent)

    def find_status(self, fingerprint: str) -> QuarantineStatus:
        """Return the current quarantine status of a trait."""
        return self.judge((fingerprint,))

    def judge(self, traits: Iterable[str]) -> QuarantineStatus:
        """Return the current quarantine status of a request with these traits."""
        suspects = {trait: self._suspects[trait] for trait in traits if trait in self._suspects}
        if not suspects:
            return NOT_SUSPECTED
        causes = self._find_causes()
        held = {trait: one for trait, one in suspects.items() if trait in causes}
        now_ms = self._clock.now_ms()
        shown = (held or suspects).values()
        return QuarantineStatus(
            ends=max(len(one.counted) for one in shown),
            is_quarantined=bool(held),
            is_careful=any(
                len(find_unexplained(one.counted, [trait], causes)) >= CAREFUL_CRASHES
                for trait, one in suspects.items()
            ),
            trial_in_ms=find_trial_delay_ms(held or suspects, causes, now_ms),
            expires_in_ms=max(max(one.expires_ms - now_ms, 0.0) for one in shown),
            held=order_causes(held),
        )

    def list_tested(self, held: Iterable[str]) -> list[str]:
        """Return those of a request's quarantined traits that a trial of the request tests."""
        return list_tested({trait: self._suspects[trait] for trait in held})

    def _find_causes(self) -> dict[str, Crashes]:
        """Return the quarantined traits with their crashes."""
        if self._causes is None:
            accused = {trait: self._suspects[trait] for trait in self._accused}
            accusations = {
                trait: Accusation(one.counted, is_part(trait), one.was_answered)
                for trait, one in accused.items()
            }
            self._causes = attribute_crashes(accusations, MIN_CRASHES)
        return self._causes

    def record_crash(self, fingerprint: str, server: str) -> None:
        """Record that this daemon saw a server crash while the trait was in progress there."""
        if self._add(fingerprint, (server,)):
            self._unsent.add(fingerprint)
        if server in self._crashed_ms:
            self._seen_ms.setdefault(server, self._clock.now_ms())
        suspect = self._suspects[fingerprint]
        suspect.was_seen_here = True
        if fingerprint in self._answered_parts and not suspect.was_answered:
            suspect.excused.add(ANSWERED)
            self._unsent.add(fingerprint)
            self._update_accused(fingerprint)

    def record_answered_parts(self, fingerprints: Iterable[str]) -> None:
        """Remember that requests with these prompt parts have been answered, in case servers crash later."""
        self._answered_parts.record(fingerprints)

    def was_seen_here(self, fingerprint: str) -> bool:
        """Return whether this daemon itself saw a server crash while the trait was in progress."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.was_seen_here

    def record_answer(self, fingerprint: str, began_ms: float = math.inf) -> None:
        """Record a complete answer that began at `began_ms`, which excuses the crashes recorded before."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        refuted = {one for one in suspect.counted if self._crashed_ms[one] < began_ms}
        if not refuted:
            return
        suspect.excused |= refuted | {ANSWERED}
        if not suspect.counted:
            suspect.trials = 0
        self._unsent.add(fingerprint)
        self._update_accused(fingerprint)

    def name_end(self, server: str, since_ms: float | None) -> str:
        """Return the name by which a crash is recorded.

        If a crash of the server was recorded before the process that has crashed now was seen running, this is
        another process, whose entry has not been read.

        Parameters
        ==========

        since_ms : since when the process has been running at least; None if its name identifies it.
        """
        name, number = server, 0
        latest_ms = -math.inf if since_ms is None else since_ms - MIN_RESTART_MS
        while latest_ms >= self._crashed_ms.get(name, math.inf):
            number += 1
            name = f"{server}#{number}"
        return name

    def list_crashes(self) -> dict[str, float]:
        """Return the servers with recorded crashes, and when these were recorded."""
        return dict(self._crashed_ms)

    def list_traits(self, server: str) -> dict[str, bool]:
        """Return the traits that a crash counts against, and whether each was ever answered."""
        suspects = {trait: self._suspects[trait] for trait in self._by_server.get(server, ())}
        return {
            trait: one.was_answered for trait, one in suspects.items() if server not in one.excused
        }

    def has_seen_crash(self, server: str) -> bool:
        """Return whether this daemon itself saw a crash."""
        return server in self._seen_ms

    def record_alive(self, server: str, sent_ms: float, since_ms: float | None = None) -> None:
        """Record an answer of a server to a request sent at `sent_ms`.

        If a crash of the server was reported before that time, the report was wrong and is excused; unless
        another process may have answered by the same name, which was not seen running before the crash.

        Parameters
        ==========

        since_ms : since when the process has been running at least; None if its name identifies it.
        """
        known_ms = self._crashed_ms if since_ms is None else self._seen_ms
        crashed_ms = known_ms.get(server)
        if crashed_ms is None or sent_ms <= crashed_ms:
            return
        if since_ms is None or since_ms < crashed_ms:
            self.excuse_crash(server)

    def excuse_crash(self, server: str) -> None:
        """Excuse the crash of a server that has turned out to be running."""
        for fingerprint in self._by_server.get(server, ()):
            suspect = self._suspects[fingerprint]
            if server not in suspect.excused:
                suspect.excused.add(server)
                self._unsent.add(fingerprint)
                self._update_accused(fingerprint)

    def has_crash(self, server: str) -> bool:
        """Return whether a crash of a server is recorded that no later answer of it has withdrawn."""
        return any(
            server not in self._suspects[one].excused for one in self._by_server.get(server, ())
        )

    def record_trial(self, fingerprint: str, trials: int) -> None:
        """Record that a trait is tried, here or at a peer, for the `trials`-th time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trials >= trials:
            return
        suspect.record_trial(trials, self._clock.now_ms())
        self._unsent.add(fingerprint)

    def merge(self, record: SuspectRecord) -> None:
        """Merge a record from a peer or from the object service."""
        self._add(record.fingerprint, record.ends)
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            return
        # Peers still count crashes that are excused here until they receive the excuse.
        suspect.excused.update(record.excused[:MAX_SERVERS_PER_SUSPECT])
        suspect.excused.update({ANSWERED}.intersection(record.excused))
        if record.trials > suspect.trials and suspect.counted:
            suspect.record_trial(record.trials, self._clock.now_ms())
        if not suspect.counted:
            suspect.trials = 0
        self._update_accused(record.fingerprint)

    def get_record(self, fingerprint: str) -> SuspectRecord:
        """Return the record of a trait."""
        suspect = self._suspects.get(fingerprint, Suspect())
        ends, excused = tuple(sorted(suspect.ends)), tuple(sorted(suspect.excused))
        return SuspectRecord(fingerprint, ends, excused, suspect.trials)

    def pop_unsent(self) -> list[SuspectRecord]:
        """Return the records changed since the last call, to be sent to the peers."""
        unsent, self._unsent = self._unsent, set()
        return [self.get_record(one) for one in sorted(unsent) if one in self._suspects]

    def list_records(self) -> list[SuspectRecord]:
        """Return the records of all traits, in descending order of crashes."""
        return [self.get_record(fingerprint) for fingerprint in self._list_ranked()]

    def explain(self, held: Iterable[str]) -> str:
        """Return for each quarantined trait of a request the number and the age of its crashes."""
        now_ms = self._clock.now_ms()
        texts = []
        for trait in held:
            crashes = self._suspects[trait].counted
            age_ms = now_ms - max((self._crashed_ms[one] for one in crashes), default=now_ms)
            age = f"the last {age_ms / MS_PER_SECOND:.1f} s ago"
            texts.append(f"{len(crashes)} servers have crashed while running {trait}, {age}")
        return "; ".join(texts)

    def list_quarantined(self) -> list[str]:
        """Return the quarantined traits."""
        return sorted(self._find_causes())

    def is_accused(self, fingerprint: str) -> bool:
        """Return whether a trait has enough crashes, whether or not other traits explain them."""
        return fingerprint in self._accused

    def list_accused(self) -> list[str]:
        """Return the traits with enough crashes, whether or not other traits explain them."""
        return sorted(self._accused)

    def hash_quarantined(self) -> int:
        """Return a digest of the accused and the quarantined traits; 0 if there are none."""
        digest = 0
        for fingerprint in self._accused:
            digest ^= xxhash.xxh32_intdigest(fingerprint.encode())
        for fingerprint in self._find_causes():
            digest ^= xxhash.xxh32_intdigest(f"quarantined {fingerprint}".encode())
        return digest

    def remove_expired(self) -> list[str]:
        """Delete expired records, and return the traits that were accused until now."""
        now_ms = self._clock.now_ms()
        old = [name for name, one in self._suspects.items() if now_ms >= one.expires_ms]
        accused = [name for name in old if name in self._accused]
        for fingerprint in old:
            self._drop(fingerprint)
        return accused

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
        suspect = self._suspects.get(fingerprint) or Suspect()
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
        self._update_accused(fingerprint)
        return True

    def _update_accused(self, fingerprint: str) -> None:
        """Accuse or clear a trait, according to its number of crashes."""
        was_accused = fingerprint in self._accused
        if len(self._suspects[fingerprint].counted) >= MIN_CRASHES:
            self._accused.add(fingerprint)
        else:
            self._accused.discard(fingerprint)
        if was_accused or fingerprint in self._accused:
            self._causes = None

    def _make_room(self) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
            if not self._evictable:
                ranked = ((self._rank(trait), trait) for trait in self._suspects)
                self._evictable = heapq.nsmallest(EVICTION_BATCH, ranked)
                self._evictable.sort(reverse=True)
            rank, trait = self._evictable.pop()
            if trait in self._suspects and self._rank(trait) == rank:
                self._drop(trait)

    def _list_ranked(self) -> list[str]:
        return sorted(self._suspects, key=self._rank, reverse=True)

    def _rank(self, fingerprint: str) -> tuple[int, float]:
        suspect = self._suspects[fingerprint]
        return len(suspect.counted), suspect.changed_ms

    def _drop_excused(self, fingerprint: str, suspect: Suspect) -> None:
        self._unlink(fingerprint, suspect.drop_excused())

    def _drop(self, fingerprint: str) -> None:
        suspect = self._suspects.pop(fingerprint)
        if fingerprint in self._accused:
            self._accused.discard(fingerprint)
            self._causes = None
        self._unsent.discard(fingerprint)
        self._unlink(fingerprint, suspect.ends)

    def _unlink(self, fingerprint: str, servers: Iterable[str]) -> None:
        for server in servers:
            self._by_server[server].discard(fingerprint)
            if not self._by_server[server]:
                del self._by_server[server]
                del self._crashed_ms[server]
                self._seen_ms.pop(server, None)
