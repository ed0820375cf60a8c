"""Replay of the lease, without a network, while the object service comes back from copies.

``python -m tests.return_replay --seeds 200 --candidates 9`` prints what was seen. The candidates are killed,
frozen and cut off from the service meanwhile, answers are lost, and writes are executed late.
"""

import argparse
import contextlib
import heapq
import random
from dataclasses import dataclass, field

from hemlockswitch.connection.store_order import (
    StoreEra,
    find_era,
    find_revision,
    make_version,
)
from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Unknown, Written
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.gateway.duties import make_lease_times
from hemlockswitch.process.lease import Lease, LeaseError

TERM_MS = 4_000
TICK_MS = 50.0
LENGTH_MS = 60_000.0
MAX_COPY_AGE_MS = 8_000.0
COPY_INTERVAL_MS = 500.0
REGAIN_MS = 2 * TERM_MS
"""Time within which duties are done again after a fault: the term of the last holder, and a margin."""


class SimulatedClock:
    """The time of the replay."""

    def __init__(self):
        self.ms = 0.0

    def now_ms(self):
        """Return the time."""
        return self.ms


@dataclass
class Contents:
    """What the service stores: one lease, and the revision of the last write."""

    revision: int = 0
    lease: tuple | None = None  # (revision, value)


class ReturningService:
    """An object service that comes back from copies."""

    def __init__(self, clock, era):
        self.era = era
        self.contents = Contents()
        self.copies = []
        self.is_away = False
        self._clock = clock

    def make_copy(self):
        """Keep a copy of the contents; the newest seconds of copies are kept."""
        now_ms = self._clock.now_ms()
        self.copies.append((now_ms, Contents(self.contents.revision, self.contents.lease)))
        self.copies = [one for one in self.copies if one[0] >= now_ms - MAX_COPY_AGE_MS]

    def return_from(self, rng):
        """Go back to one of the copies."""
        _, copied = rng.choice(self.copies)
        self.contents = Contents(copied.revision, copied.lease)
        self.copies = []
        self.make_copy()
        self.era += 1

    def write(self, value, revision):
        """Write the lease if it has a revision; None if it must not exist. Return whether it was written."""
        present = None if self.contents.lease is None else self.contents.lease[0]
        if present != revision:
            return False
        self.contents.revision += 1
        self.contents.lease = (self.contents.revision, value)
        return True


class Client:
    """The calls of one process to the service; its links are cut, lose answers, or delay writes."""

    def __init__(self, service, clock, rng, late):
        self.is_cut = False
        self.loses = 0.0
        self._service = service
        self._clock = clock
        self._rng = rng
        self._late = late
        self._era = StoreEra()

    def get_era(self):
        """Return the newest era that an answer has stated."""
        return self._era

    def hear(self):
        """Hear of the era by another call of the process, if the service answers."""
        if self.is_cut or self._service.is_away:
            return
        if self._service.era > self._era.number:
            self._era = StoreEra(self._service.era, self._clock.now_ms())

    def read(self, kind, name):
        """Return the lease."""
        self._check()
        self.hear()
        lease = self._service.contents.lease
        if lease is None:
            return None
        return StoredObject(kind, name, make_version(self._service.era, lease[0]), lease[1])

    def create(self, kind, name, value):
        """Create the lease."""
        return self._write(value, None, self._era.number)

    def update(self, kind, name, value, version):
        """Replace the lease if it has a version."""
        if find_era(version) < self._era.number:
            return Conflict(0)
        return self._write(value, find_revision(version), find_era(version))

    def _write(self, value, revision, era):
        self._check()
        if self._rng.random() < self.loses:
            if self._rng.random() < 0.5:
                self._late.append((value, revision, self._clock.now_ms()))
            else:
                self._service.write(value, revision)
            return Unknown("lost")
        was_written = self._service.write(value, revision)
        self.hear()
        lease = self._service.contents.lease
        if not was_written:
            return Conflict(make_version(self._service.era, lease[0]) if lease else 0)
        if revision is not None and self._service.era != era:
            return Unknown("another era")
        return Written(make_version(self._service.era, lease[0]))

    def _check(self):
        if self.is_cut or self._service.is_away:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "away")


@dataclass
class Candidate:
    """One process, or its successor at the same address."""

    name: str
    client: Client
    lease: Lease
    next_step_ms: float = 0.0
    frozen_until_ms: float = 0.0
    cut_until_ms: float = 0.0


@dataclass
class Result:
    """What a replay has seen.

    `falls` has the pairs of successive calls with falling numbers, `shared` the numbers that two processes used,
    `gaps_ms` the times without a call that are longer than allowed.
    """

    calls: int = 0
    returns: int = 0
    falls: list = field(default_factory=list)
    shared: list = field(default_factory=list)
    longest_gap_ms: float = 0.0


class Replay:
    """One seed."""

    def __init__(self, seed, candidates, era=0):
        random.seed(seed)  # the lease spreads its polls by the module's generator
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.service = ReturningService(self.clock, era)
        self.result = Result()
        self._late = []
        self._processes = 0
        self._holders = {}
        self._highest = (-1, "")
        self._last_call_ms = 0.0
        self._disturbed_until_ms = 0.0
        self.candidates = [self.start(f"gateway-{number}") for number in range(candidates)]

    def start(self, name):
        """Start a process."""
        self._processes += 1
        client = Client(self.service, self.clock, self.rng, self._late)
        lease = Lease(
            client,
            self.clock,
            "duties",
            name,
            make_lease_times(TERM_MS),
            lambda: len(self.candidates),
            lambda: name,
            client.get_era,
        )
        return Candidate(name, client, lease, self.clock.now_ms() + self.rng.uniform(0, 1_000))

    def run(self):
        """Play the seed and return what was seen."""
        faults = self._plan_faults()
        while self.clock.ms < LENGTH_MS:
            self.clock.ms += TICK_MS
            if self.clock.ms % COPY_INTERVAL_MS < TICK_MS and not self.service.is_away:
                self.service.make_copy()
            while faults and faults[0][0] <= self.clock.ms:
                self._apply(heapq.heappop(faults))
            self._execute_late()
            for candidate in self.candidates:
                self._step(candidate)
        return self.result

    def _plan_faults(self):
        rng, faults = self.rng, []
        at_ms = 6_000.0
        while at_ms < LENGTH_MS - 15_000:
            heapq.heappush(faults, (at_ms, "return", rng.uniform(0, 2_500)))
            for _ in range(rng.randint(0, 3)):
                kind = rng.choice(["kill", "freeze", "cut", "lose", "kill holder", "freeze holder"])
                heapq.heappush(faults, (at_ms + rng.uniform(-3_000, 4_000), kind, 0.0))
            if rng.random() < 0.4:  # a second return, soon after the first
                heapq.heappush(faults, (at_ms + rng.uniform(100, 6_000), "return", 300.0))
            at_ms += rng.uniform(8_000, 16_000)
        return faults

    def _apply(self, fault):
        _, kind, value = fault
        victims = self.candidates
        if kind.endswith("holder"):
            victims = [one for one in victims if one.lease.is_held] or victims
        victim = self.rng.choice(victims)
        if kind == "return":
            self.service.is_away = True
            self._late.append((None, None, self.clock.ms + value))
        elif kind.startswith("kill"):
            self.candidates[self.candidates.index(victim)] = self.start(victim.name)
        elif kind.startswith("freeze"):
            victim.frozen_until_ms = self.clock.ms + self.rng.uniform(500, 9_000)
        elif kind == "cut":
            victim.cut_until_ms = self.clock.ms + self.rng.uniform(500, 9_000)
        else:
            for one in self.candidates:
                one.client.loses = 0.5 if self.rng.random() < 0.5 else 0.0
        self._disturbed_until_ms = self.clock.ms + 15_000

    def _execute_late(self):
        """Execute the delayed writes that are due, and let the service return when its time has come."""
        waiting, self._late[:] = list(self._late), []
        for value, revision, at_ms in waiting:
            if value is None and at_ms <= self.clock.ms:
                self.service.is_away = False
                self.service.return_from(self.rng)
                self.result.returns += 1
            elif value is None or at_ms + 2_000 > self.clock.ms or self.service.is_away:
                self._late.append((value, revision, at_ms))
            else:
                self.service.write(value, revision)

    def _step(self, candidate):
        now_ms = self.clock.ms
        if candidate.frozen_until_ms > now_ms:
            return
        candidate.client.is_cut = candidate.cut_until_ms > now_ms
        if self.rng.random() < 0.1:
            candidate.client.hear()
        if now_ms >= candidate.next_step_ms:
            candidate.next_step_ms = now_ms + candidate.lease.run_step()
        with contextlib.suppress(LeaseError):
            self._record_call(candidate, candidate.lease.get_fencing())

    def _record_call(self, candidate, fencing):
        result, now_ms = self.result, self.clock.ms
        result.calls += 1
        holder = self._holders.setdefault(fencing, candidate.client)
        if holder is not candidate.client:
            result.shared.append((now_ms, fencing, candidate.name))
        if fencing < self._highest[0]:
            result.falls.append((now_ms, fencing, candidate.name, self._highest))
        self._highest = max(self._highest, (fencing, candidate.name))
        gap_ms = now_ms - self._last_call_ms
        if now_ms > self._disturbed_until_ms:
            result.longest_gap_ms = max(result.longest_gap_ms, gap_ms)
        self._last_call_ms = now_ms


def main():
    """Play seeds and print the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--candidates", type=int, default=9)
    parser.add_argument("--era", type=int, default=0, help="of the service before its first return")
    options = parser.parse_args()
    broken, returns, calls, gap_ms = [], 0, 0, 0.0
    for seed in range(options.first, options.first + options.seeds):
        result = Replay(seed, options.candidates, options.era).run()
        returns += result.returns
        calls += result.calls
        gap_ms = max(gap_ms, result.longest_gap_ms)
        if result.falls or result.shared:
            broken.append(seed)
            print(seed, result.falls[:2], result.shared[:2])
    print(f"{options.seeds} seeds, {returns} returns, {calls} calls, broken: {broken}")
    print(f"longest time without a call outside disturbances: {gap_ms:.0f} ms")


if __name__ == "__main__":
    main()
