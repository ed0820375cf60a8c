"""A seeded load with the traffic pattern of the sites, for tests of placement and overload.

A prompt shares 13,300 of its 17,000 tokens with other prompts of its kind (the most valuable request of
both sites). An engine processes about 50 tokens per millisecond, so a cache miss costs 270 ms.
"""

import random

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.request.dialect import Prompt, PromptPart
from hemlockswitch.request.overload import find_retry_delay_ms
from hemlockswitch.request.placement import choose_server
from hemlockswitch.version.backend import BackendServer

SHARED_TOKENS, OWN_TOKENS = 13_300, 3_720
CAPACITY_TOKENS = 400_000
GATEWAYS, ENGINES, PREFIXES = 8, 6, 60


def make_server(name, zone="z1", slots=128):
    return BackendServer(name, zone, f"127.0.0.1:{hash(name) % 1000 + 1}", "llm", slots=slots)


SERVERS = [make_server(f"e{number}") for number in range(ENGINES)]


def make_prompt(prefix, own="x"):
    parts = (PromptPart(f"p{prefix}", SHARED_TOKENS), PromptPart(own, OWN_TOKENS))
    return Prompt(parts, SHARED_TOKENS + OWN_TOKENS, 120)


class Replay:
    """Gateways that place a seeded stream of prompts on engines that process one prompt at a time.

    Simulates the decisions only: engines process 50 tokens per millisecond and cache all of them;
    gateways receive the load of their peers 200 ms late. With a `bound` on the queue, requests that
    would wait longer are refused and not retried.
    """

    def __init__(self, choose, seed, servers=SERVERS, bound=None):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.choose = choose
        self.loads = [ServerLoads(self.clock) for _ in range(GATEWAYS)]
        self.servers = servers
        self.bound = bound
        self.refused = 0
        self.free_at_ms = {server.name: 0.0 for server in servers}
        self.cached = {server.name: set() for server in servers}
        self.tickets = []
        self.waits_ms = []
        self.read_tokens = 0

    def run(self, requests, per_s):
        next_report_ms = 0.0
        for _ in range(requests):
            self.clock.advance(self.random.expovariate(per_s) * 1_000)
            self._finish()
            if self.clock.now_ms() >= next_report_ms:
                self._report()
                next_report_ms = self.clock.now_ms() + 200
            self._place(self.random.randrange(PREFIXES))
        self.waits_ms.sort()
        return self

    def count_within(self, objective_ms):
        """Return the number of requests whose first event was in time."""
        return sum(wait_ms <= objective_ms for wait_ms in self.waits_ms)

    @property
    def p95_ms(self):
        return self.waits_ms[int(len(self.waits_ms) * 0.95)]

    def _place(self, prefix):
        loads = self.random.choice(self.loads)
        prompt = make_prompt(prefix)
        rng = self.random if self.choose is choose_ours else None
        candidates = loads.build_candidates(self.servers, prompt, rng=rng)
        placement = self.choose(self.random, candidates, prompt)
        if self.bound is not None and find_retry_delay_ms(placement, self.bound) is not None:
            self.refused += 1
            return
        server = placement.candidate.server
        hit = prefix in self.cached[server.name]
        tokens = OWN_TOKENS + (0 if hit else SHARED_TOKENS)
        self.cached[server.name].add(prefix)
        now_ms = self.clock.now_ms()
        ready_ms = max(self.free_at_ms[server.name], now_ms) + tokens / 50
        self.free_at_ms[server.name] = ready_ms
        ticket = loads.begin(server, prompt, placement.uncached_tokens, CAPACITY_TOKENS)
        self.tickets.append((ready_ms, ticket))
        self.waits_ms.append(ready_ms - now_ms)
        self.read_tokens += tokens

    def _finish(self):
        for entry in [one for one in self.tickets if one[0] <= self.clock.now_ms()]:
            entry[1].record_first_event()
            entry[1].end(False)
            self.tickets.remove(entry)

    def _report(self):
        reports = [(loads.describe_own(), loads.pop_sent()) for loads in self.loads]
        for number, loads in enumerate(self.loads):
            for other, (report, sent) in enumerate(reports):
                if other != number:
                    loads.apply_report(f"g{other}", report, sent)


def choose_ours(rng, candidates, prompt):
    return choose_server(prompt, candidates)
