"""A seeded load of a large site: many gateways that receive their peers' attempts half a second late.

61 gateways report every 600 ms at unsynchronized times. There are 147 model requests per second of three
kinds, with the shares, sizes and objectives of a booking assistant; half of them do not declare the
shared parts of their prompts. Engines process 50 tokens per millisecond, one prompt at a time.
"""

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.request.dialect import Prompt, PromptPart
from hemlockswitch.request.overload import QueueBound, find_retry_delay_ms
from hemlockswitch.request.placement import choose_server
from tests.placement_replay import CAPACITY_TOKENS, make_server

GATEWAYS = 61
REPORT_MS = 600
FIRST_STEP_MS = 60
STATED_SHARE = 0.5


class Kind(NamedTuple):
    """One kind of request of the site."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    prefixes: int
    objective_ms: float
    rank: int
    worth: float


KINDS = (
    Kind("package", 57.5, 13_300, 3_720, 588, 1_263, 1, 3.0),
    Kind("group", 24.7, 6_300, 2_890, 168, 1_045, 0, 2.5),
    Kind("note", 64.7, 350, 1_110, 993, 1_026, 2, 0.36),
)


@dataclass(frozen=True)
class Result:
    """Result of one request; `wait_ms` is None if it was refused."""

    at_ms: float
    kind: Kind
    wait_ms: float | None

    @property
    def in_time(self):
        return self.wait_ms is not None and self.wait_ms <= self.kind.objective_ms


def draw_tokens(rng, mean):
    """Return a size around `mean` with the wide distribution observed at the site."""
    return int(min(mean * math.exp(rng.gauss(0, 0.85) - 0.36), 16 * mean))


class HerdReplay:
    """Places the load on engines; `lost` of them are removed after `lost_at_ms`.

    Parameters
    ==========

    draws : whether a sample of the servers, rather than all, is compared for each request.
    gateways, report_ms : number of gateways, and their report period.
    load : fraction of the site's requests to simulate.
    large_ms : a prompt that takes at least this time to process is reported immediately.
    gap_ms : minimum interval between reports of changes of a gateway's load; None reports no changes.
    relay_ms : time that a report is in transit.
    """

    def __init__(
        self,
        seed,
        engines,
        *,
        draws,
        lost=0,
        lost_at_ms=0.0,
        gateways=GATEWAYS,
        report_ms=REPORT_MS,
        load=1.0,
        large_ms=math.inf,
        gap_ms=None,
        relay_ms=0.0,
    ):
        self.rng = random.Random(seed)
        self.draws = draws
        self.clock = ManualClock()
        self.servers = [make_server(f"e{number}") for number in range(engines)]
        self.lost = lost
        self.lost_at_ms = lost_at_ms
        self.report_ms = report_ms
        self.load = load
        self.large_ms = large_ms
        self.gap_ms = gap_ms
        self.relay_ms = relay_ms
        self.in_transit = deque()
        period = ReportPeriod(report_ms)
        self.loads = [
            ServerLoads(self.clock, lambda: period, partial(self._note_change, number))
            for number in range(gateways)
        ]
        self.report_at_ms = [self.rng.uniform(0, report_ms) for _ in range(gateways)]
        self.reported_ms = [-math.inf] * gateways
        self.free_at_ms = dict.fromkeys((one.name for one in self.servers), 0.0)
        self.cached = set()
        self.shared_tokens = {}
        self.reading = []
        self.results = []
        self.placed = 0

    def run(self, until_ms):
        per_s = self.load * sum(kind.per_s for kind in KINDS)
        while self.clock.now_ms() < until_ms:
            self.clock.advance(self.rng.expovariate(per_s) * 1_000)
            self._finish()
            self._report()
            if self.lost and self.clock.now_ms() >= self.lost_at_ms:
                self.servers, self.lost = self.servers[self.lost :], 0
            self._place(self.rng.choices(KINDS, [kind.per_s for kind in KINDS])[0])
        return self

    def find_worth(self, from_ms=0.0):
        """Return the fraction of the requests' total worth whose first event was in time."""
        results = [one for one in self.results if one.at_ms >= from_ms]
        served = sum(one.kind.worth for one in results if one.in_time)
        return served / sum(one.kind.worth for one in results)

    def count_refused(self):
        return sum(one.wait_ms is None for one in self.results)

    def _draw_prompt(self, kind):
        prefix = (kind.name, self.rng.randrange(kind.prefixes))
        if prefix not in self.shared_tokens:
            self.shared_tokens[prefix] = draw_tokens(self.rng, kind.shared_tokens)
        shared, own = self.shared_tokens[prefix], draw_tokens(self.rng, kind.own_tokens)
        self.placed += 1
        parts = (PromptPart(str(prefix), shared), PromptPart(f"own-{self.placed}", own))
        if self.rng.random() >= STATED_SHARE:
            parts = ()
        return prefix, Prompt(parts, shared + own, 120)

    def _place(self, kind):
        prefix, prompt = self._draw_prompt(kind)
        number = self.rng.randrange(len(self.loads))
        loads = self.loads[number]
        rng = self.rng if self.draws else None
        candidates = loads.build_candidates(self.servers, prompt, rng=rng)
        placement = choose_server(prompt, candidates)
        now_ms = self.clock.now_ms()
        if find_retry_delay_ms(placement, QueueBound(kind.objective_ms, kind.rank)) is not None:
            self.results.append(Result(now_ms, kind, None))
            return
        server = placement.candidate.server
        ready_ms = self._read(server.name, prefix, prompt.input_tokens)
        ticket = loads.begin(server, prompt, placement.uncached_tokens, CAPACITY_TOKENS)
        if placement.uncached_tokens / 50 >= self.large_ms:
            self.report_at_ms[number] = min(self.report_at_ms[number], now_ms)
        heapq.heappush(self.reading, (ready_ms, self.placed, ticket))
        self.results.append(Result(now_ms, kind, ready_ms - now_ms + FIRST_STEP_MS))

    def _read(self, name, prefix, tokens):
        """Return when an engine has processed a prompt; it caches the shared part."""
        if (name, prefix) in self.cached:
            tokens -= self.shared_tokens[prefix]
        self.cached.add((name, prefix))
        ready_ms = max(self.free_at_ms[name], self.clock.now_ms()) + tokens / 50
        self.free_at_ms[name] = ready_ms
        return ready_ms

    def _finish(self):
        while self.reading and self.reading[0][0] <= self.clock.now_ms():
            _, _, ticket = heapq.heappop(self.reading)
            ticket.record_first_event()
            ticket.end(False)

    def _report(self):
        for number, loads in enumerate(self.loads):
            if self.report_at_ms[number] > self.clock.now_ms():
                continue
            self.report_at_ms[number] = self.clock.now_ms() + self.report_ms
            self.reported_ms[number] = self.clock.now_ms()
            arrives_ms = self.clock.now_ms() + self.relay_ms
            self.in_transit.append((arrives_ms, number, loads.describe_own(), loads.pop_sent()))
        while self.in_transit and self.in_transit[0][0] <= self.clock.now_ms():
            _, number, report, sent = self.in_transit.popleft()
            for other in self.loads:
                if other is not self.loads[number]:
                    other.apply_report(f"g{number}", report, sent)

    def _note_change(self, number):
        if self.gap_ms is not None:
            soonest_ms = max(self.reported_ms[number] + self.gap_ms, self.clock.now_ms())
            self.report_at_ms[number] = min(self.report_at_ms[number], soonest_ms)
