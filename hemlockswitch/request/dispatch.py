"""Assignment of the slots of a group of servers to waiting requests.

Answers the load of more requests than the servers of a plain service have slots, from accounts of which one
requests many times as much as the others. All requests to a group are ordered in one place, so that an account gets
no larger part by sending more, or to more gateways, and no request is refused beside a free slot.
Pure decisions: times are passed in, and the caller passes the decisions on.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.request.fair_shares import AccountDemand, divide_capacity
from hemlockswitch.request.placement import PRIOR_CALL_MS, Placement
from hemlockswitch.request.return_book import ReturnBook
from hemlockswitch.request.room import BEYOND_PART_SHARE, Action, Need, Room, Standing, decide

MAX_GROUP = 16
"""Servers in a group. One process decides on all requests to a group, so this bounds the requests that it handles."""
MAX_QUEUED = 1_000
"""Bound on the memory of a queue, beyond the bound that the longest wait of each request sets."""
MAX_HOLD_MS = 30_000.0
"""Lifetime of an assigned slot whose release was lost, unless its request ends earlier."""
REJECTED_MS = 1_000.0
"""How long a server that rejected a request beside a free slot gets one slot less."""
HONOURED_SHARE = 1 / 3
"""Fraction of the time that a caller has left which it spends on waiting as told; later returns are not booked."""
ATTEMPTS_PER_ANSWER = 1.7
"""Attempts for an answer at which the booked returns of an account aim. Callers should need no more than two, and
requests that wait too long in the queue add to the estimate."""
BOOKED_SHARES = (0.1, 0.9)
"""Bounds on the fraction of an account's part that is booked for returns. The remainder is left to its new requests;
booked returns even out the demand of an account that requests little more than its part."""
DEMAND_MS = 3_000.0
"""Time constant of the measured demand. With 1 s, the random arrivals of an account that requests 26 a second let it
seem to be beyond its part now and then: the least served of nine such accounts got 0.936 of its part, with 3 s 0.956."""
CREDIT_MS = 2_000.0
"""An account that requested less than its part lately may make up for as much as its part of this time. Without it, an
account that requests its part on average got 0.932 of it, as it is refused what it requests beyond it for a moment."""
PARTS_LIFETIME_MS = 50.0
"""How long the computed parts are used: they change slowly relative to the rate of requests."""
CALL_SMOOTHING = 0.1
MIN_DEMAND = 1e-7
"""Requests per ms below which an account is forgotten."""


class Verdict(StrEnum):
    """The result of a request for a slot.

    ASSIGNED : the request gets a slot of the named server.
    QUEUED : it waits; the result follows.
    REFUSED : it cannot be served in time.
    UNDISPATCHED : nobody assigns the slots; the request is sent as if the service were not short of room.
    """

    ASSIGNED = "assigned"
    QUEUED = "queued"
    REFUSED = "refused"
    UNDISPATCHED = "undispatched"


@dataclass(frozen=True)
class ServerRoom:
    """The slots of a server.

    Parameters
    ==========

    slots : number of requests that may be in progress.
    pace : factor by which work takes longer than usual there.
    """

    incarnation: str
    slots: int
    pace: float = 1.0


@dataclass(frozen=True)
class SlotAsk:
    """A request for a slot.

    Parameters
    ==========

    holder : the gateway that asks.
    permit : identifies the request.
    account : empty for requests without an account, which count as one.
    weight : relative part of the slots that the account is entitled to.
    urgency : 0 is the most urgent.
    max_wait_ms : the longest wait after which the request can be answered in time.
    hold_ms : the time that the caller has left.
    key : of the request's content; see `return_book.make_key`.
    excluded : incarnations of servers that must not get the request.
    """

    holder: str
    permit: str
    account: str
    max_wait_ms: float
    hold_ms: float
    weight: float = 1.0
    urgency: int = 0
    key: int = 0
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Decision:
    """The decision on a request for a slot, with its inputs.

    Parameters
    ==========

    server : incarnation of the assigned server.
    retry_ms : in how many ms the caller of a refused request should return.
    wait_ms : predicted wait when the request arrived.
    allowed_ms : the wait that was allowed.
    waited_ms : time in the queue.
    free : number of slots that are still free.
    """

    permit: str
    holder: str
    verdict: Verdict
    server: str = ""
    retry_ms: float = 0.0
    wait_ms: float = 0.0
    allowed_ms: float = 0.0
    waited_ms: float = 0.0
    is_within_part: bool = True
    standing: Standing = Standing.NEW
    free: int = 0


@dataclass(frozen=True)
class Dispatched:
    """What a gateway learned about a request for a slot.

    Parameters
    ==========

    placement : the server with its slot as a permit; None unless the verdict is `Verdict.ASSIGNED`.
    dispatcher : the gateway that decided; empty if none did.
    """

    verdict: Verdict
    dispatcher: str = ""
    placement: Placement | None = None
    retry_ms: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class _Queued:
    """A waiting request."""

    ask: SlotAsk
    since_ms: float
    wait_ms: float
    allowed_ms: float
    is_within_part: bool
    standing: Standing

    @property
    def until_ms(self) -> float:
        return self.since_ms + self.ask.max_wait_ms


@dataclass(frozen=True)
class _Held:
    """An assigned slot, with the work in ms that its account was charged."""

    ask: SlotAsk
    server: str
    until_ms: float
    charged_ms: float


@dataclass
class _Server:
    room: ServerRoom
    undispatched: int = 0
    rejected_ms: float = -math.inf


@dataclass
class _Account:
    """An account's work, as the virtual time of start-time fair queueing, and its demand in requests per ms."""

    weight: float = 1.0
    finish: float = 0.0
    demand: float = 0.0
    measured_ms: float = 0.0
    next_due_ms: dict[int, float] = field(default_factory=dict)  # by urgency

    def record(self, now_ms: float, count: int) -> None:
        """Count new requests; `count` 0 only lets the demand decay."""
        self.demand *= math.exp(-(now_ms - self.measured_ms) / DEMAND_MS)
        self.demand += count / DEMAND_MS
        self.measured_ms = now_ms


class SlotDispatcher:
    """Assigns the slots of a group of servers.

    Parameters
    ==========

    usual_ms : the usual time of a call before one has ended.

    Examples
    ========

    >>> dispatcher = SlotDispatcher(usual_ms=100)
    >>> dispatcher.update_servers([ServerRoom("s@1", slots=1)])
    >>> asks = [SlotAsk("g1", name, "hall", 250, hold_ms=900, key=ord(name)) for name in "abcd"]
    >>> [dispatcher.ask(0, ask).verdict.value for ask in asks]
    ['assigned', 'queued', 'queued', 'refused']
    >>> dispatcher.release(100, "a", took_ms=100)
    >>> [(one.permit, one.server) for one in dispatcher.advance(100)]
    [('b', 's@1')]
    """

    def __init__(self, usual_ms: float = PRIOR_CALL_MS) -> None:
        self._usual_ms = usual_ms
        self._servers: dict[str, _Server] = {}
        self._held: dict[str, _Held] = {}
        self._in_use: Counter[str] = Counter()
        self._queues: dict[tuple[int, int], dict[str, deque[_Queued]]] = {}
        self._queued: dict[str, _Queued] = {}
        self._accounts: dict[str, _Account] = {}
        self._virtual = 0.0
        self._credit = 0.0
        self._bookings = ReturnBook()
        self._told = ReturnBook()  # returns later than callers wait, for which no slot is kept
        self._parts: dict[str, float] = {}
        self._beyond: set[str] = set()  # accounts that request more than their parts
        self._parts_ms = -math.inf

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queued)

    @property
    def held(self) -> int:
        """Number of assigned slots."""
        return len(self._held)

    @property
    def usual_ms(self) -> float:
        """The usual time of a call."""
        return self._usual_ms

    def count_free(self, now_ms: float) -> int:
        """Return the number of free slots."""
        return sum(max(self._find_free(one, now_ms), 0) for one in self._servers.values())

    def update_servers(self, rooms: Iterable[ServerRoom]) -> None:
        """Apply the servers of the group; what was assigned on removed ones is dropped."""
        servers: dict[str, _Server] = {}
        for room in rooms:
            server = self._servers.get(room.incarnation) or _Server(room)
            server.room = room
            servers[room.incarnation] = server
        gone = self._servers.keys() - servers.keys()
        self._servers = servers
        if gone:
            self._drop(name for name, held in self._held.items() if held.server in gone)

    def record_undispatched(self, incarnation: str, in_progress: int) -> None:
        """Record how many requests are in progress on a server, by the reports of all gateways.

        Those beyond the assigned slots were sent without one.
        """
        server = self._servers.get(incarnation)
        if server is not None:
            server.undispatched = max(in_progress - self._in_use[incarnation], 0)

    def reduce_undispatched(self, incarnation: str, in_progress: int) -> None:
        """Record the same while slots are assigned: the number can only fall, as reports are late."""
        server = self._servers.get(incarnation)
        if server is not None:
            beyond = max(in_progress - self._in_use[incarnation], 0)
            server.undispatched = min(server.undispatched, beyond)

    def list_undispatched(self) -> list[str]:
        """Return the servers on which requests without an assigned slot may be in progress."""
        return [name for name, one in self._servers.items() if one.undispatched]

    def ask(self, now_ms: float, ask: SlotAsk) -> Decision:
        """Decide on a request for a slot; one that waits is decided on by a later call of `advance`."""
        standing = self._find_standing(ask.key, now_ms)
        account = self._accounts.setdefault(ask.account, _Account(measured_ms=now_ms))
        account.weight = max(ask.weight, MIN_DEMAND)
        if standing is Standing.NEW:
            account.record(now_ms, 1)
        is_within = self._is_within_part(ask.account, now_ms)
        server = self._choose(ask, now_ms)
        wait_ms = self._predict_wait_ms(now_ms, ask, standing, is_within) if not server else 0.0
        need = Need(ask.max_wait_ms, is_within, standing=standing)
        action = decide(Room(wait_ms), need)
        share = 1.0 if is_within or standing is Standing.DUE else BEYOND_PART_SHARE
        queued = _Queued(ask, now_ms, wait_ms, ask.max_wait_ms * share, is_within, standing)
        if server is not None and action is Action.NOW:
            return self._assign(now_ms, queued, server)
        if action is Action.REFUSED or len(self._queued) >= MAX_QUEUED:
            return self._refuse(now_ms, queued)
        queues = self._queues.setdefault((ask.urgency, standing), {})
        queues.setdefault(ask.account, deque()).append(queued)
        self._queued[ask.permit] = queued
        return self._describe(now_ms, queued, Verdict.QUEUED)

    def release(
        self,
        now_ms: float,
        permit: str,
        took_ms: float,
        pace: float = 1.0,
        *,
        was_rejected: bool = False,
    ) -> None:
        """Free the slot of a request that has ended; a repeated call has no effect.

        Parameters
        ==========

        took_ms : time for which the slot was in use.
        pace : of the server.
        was_rejected : whether the server rejected the request as full.
        """
        held = self._held.get(permit)
        if held is None:
            return
        self._drop([permit])
        work_ms = took_ms / max(pace, 0.1)
        account = self._accounts.get(held.ask.account)
        if account is not None:
            account.finish += (work_ms - held.charged_ms) / account.weight
        if was_rejected:
            self._servers[held.server].rejected_ms = now_ms
        else:
            self._usual_ms += CALL_SMOOTHING * (work_ms - self._usual_ms)

    def withdraw(self, permit: str) -> None:
        """Remove a request whose caller has left, or free its slot."""
        queued = self._queued.get(permit)
        if queued is not None:
            self._remove(queued)
        self._drop([permit] if permit in self._held else [])

    def drop_holders(self, running: Collection[str]) -> None:
        """Remove the requests of gateways that have ended, and free their slots."""
        for queued in [one for one in self._queued.values() if one.ask.holder not in running]:
            self._remove(queued)
        self._drop(name for name, held in self._held.items() if held.ask.holder not in running)

    def advance(self, now_ms: float) -> list[Decision]:
        """Return the decisions on waiting requests: those that get a slot, and those that waited too long."""
        self._drop(name for name, held in self._held.items() if held.until_ms <= now_ms)
        decisions: list[Decision] = []
        while self._queued and self.count_free(now_ms):
            found = self._find_next(now_ms)
            if found is None:
                break
            queued, server = found
            self._remove(queued)
            decisions.append(self._assign(now_ms, queued, server))
        for queued in [one for one in self._queued.values() if one.until_ms < now_ms]:
            self._remove(queued)
            decisions.append(self._refuse(now_ms, queued))
        return decisions

    def abandon(self, now_ms: float) -> list[Decision]:
        """Return the decisions on all waiting requests when this process no longer assigns the slots."""
        waiting = list(self._queued.values())
        return [self._describe(now_ms, queued, Verdict.UNDISPATCHED) for queued in waiting]

    def drop_expired(self, now_ms: float) -> None:
        """Drop the bookings of callers that have not returned, and the accounts that request nothing."""
        self._bookings.drop_expired(now_ms)
        self._told.drop_expired(now_ms)
        busy = {queued.ask.account for queued in self._queued.values()}
        for name, account in list(self._accounts.items()):
            account.record(now_ms, 0)
            if account.demand < MIN_DEMAND and name not in busy:
                del self._accounts[name]

    def describe(self, now_ms: float) -> dict[str, object]:
        """Return the state for the status page."""
        parts = self._find_parts(now_ms)
        return {
            "queued": self.queued,
            "in_use": {name: self._in_use[name] for name in sorted(self._servers)},
            "undispatched": {name: self._servers[name].undispatched for name in self._servers},
            "free": self.count_free(now_ms),
            "usual_ms": round(self._usual_ms, 1),
            "bookings": len(self._bookings),
            "accounts": {
                name: {
                    "demand_per_s": round(one.demand * 1_000, 2),
                    "part_per_s": round(parts.get(name, 0.0) * 1_000, 2),
                    "work": round(one.finish - self._virtual),
                }
                for name, one in sorted(self._accounts.items())
            },
        }

    def _find_allowed(self, server: _Server, now_ms: float) -> int:
        is_less = now_ms - server.rejected_ms < REJECTED_MS
        return max(server.room.slots - is_less, 1)

    def _find_free(self, server: _Server, now_ms: float) -> int:
        used = self._in_use[server.room.incarnation] + server.undispatched
        return self._find_allowed(server, now_ms) - used

    def _choose(self, ask: SlotAsk, now_ms: float) -> str | None:
        """Return the server with a free slot that gets a request, the slow ones last; None if there is none."""
        best: tuple[float, float, str] | None = None
        for name, server in self._servers.items():
            if name in ask.excluded or self._find_free(server, now_ms) <= 0:
                continue
            used = (self._in_use[name] + server.undispatched) / server.room.slots
            key = (round(server.room.pace, 1), used, name)
            best = key if best is None else min(best, key)
        return None if best is None else best[2]

    def _find_next(self, now_ms: float) -> tuple[_Queued, str] | None:
        """Return the first waiting request in order for which a server has a free slot, and that server."""
        for key in sorted(self._queues):
            queues = self._queues[key]
            for account in sorted(queues, key=self._find_start):
                for queued in queues[account]:
                    server = self._choose(queued.ask, now_ms)
                    if server is not None:
                        return queued, server
        return None

    def _find_start(self, account: str) -> float:
        """Return the virtual start of an account's next request: the least work for its weight goes first."""
        return max(self._accounts[account].finish, self._virtual - self._credit)

    def _assign(self, now_ms: float, queued: _Queued, server: str) -> Decision:
        ask = queued.ask
        start = self._find_start(ask.account)
        waiting = {name for queues in self._queues.values() for name in queues}
        self._virtual = max(self._virtual, min([start, *map(self._find_start, waiting)]))
        account = self._accounts[ask.account]
        account.finish = start + self._usual_ms / account.weight
        until_ms = now_ms + min(ask.hold_ms, MAX_HOLD_MS)
        self._held[ask.permit] = _Held(ask, server, until_ms, self._usual_ms)
        self._in_use[server] += 1
        self._bookings.remove(ask.key)
        self._told.remove(ask.key)
        return self._describe(now_ms, queued, Verdict.ASSIGNED, server=server)

    def _refuse(self, now_ms: float, queued: _Queued) -> Decision:
        due_ms = self._book(now_ms, queued)
        return self._describe(now_ms, queued, Verdict.REFUSED, retry_ms=due_ms - now_ms)

    def _book(self, now_ms: float, queued: _Queued) -> float:
        """Return when a refused caller should return.

        Returns are booked for each account at the rate of its part: callers that return as told go before new
        ones of other accounts, which must not thereby lose their parts.
        """
        ask = queued.ask
        for book in (self._bookings, self._told):
            if book.find_standing(ask.key, now_ms) is Standing.EARLY:
                return book.reserve(ask.key, now_ms, now_ms, now_ms, 0.0, ask.urgency)
        account = self._accounts[ask.account]
        gap_ms = 1 / self._find_booked_rate(ask.account, now_ms)
        due_ms = now_ms + max(queued.wait_ms - queued.allowed_ms, gap_ms)
        taken_ms = [at for other, at in account.next_due_ms.items() if other <= ask.urgency]
        due_ms = max([due_ms, *taken_ms])
        if due_ms > now_ms + ask.hold_ms * HONOURED_SHARE:
            self._told.add(ask.key, due_ms)
            return due_ms
        account.next_due_ms[ask.urgency] = due_ms + gap_ms
        self._bookings.add(ask.key, due_ms)
        return due_ms

    def _find_standing(self, key: int, now_ms: float) -> Standing:
        standing = self._bookings.find_standing(key, now_ms)
        if standing is Standing.NEW and self._told.find_standing(key, now_ms) is Standing.EARLY:
            return Standing.EARLY
        return standing

    def _predict_wait_ms(
        self, now_ms: float, ask: SlotAsk, standing: Standing, is_within: bool
    ) -> float:
        """Return the time until a slot is expected to become free for a new request.

        An account beyond its part waits for its own earlier requests and booked returns at the rate of its part,
        since requests of other accounts that arrive later go before its own.
        """
        ahead = sum(1 for _ in self._list_ahead(ask, standing))
        wait_ms = (ahead + 1) / self._find_capacity(now_ms)
        if is_within or standing is Standing.DUE:
            return wait_ms
        rate = self._find_rate(ask.account, now_ms)
        own = sum(len(queues.get(ask.account, ())) for queues in self._queues.values())
        until_ms = now_ms + ask.max_wait_ms * BEYOND_PART_SHARE
        next_due_ms = self._accounts[ask.account].next_due_ms.get(ask.urgency, now_ms)
        booked = max(min(next_due_ms, until_ms) - now_ms, 0.0) * self._find_booked_rate(
            ask.account, now_ms
        )
        account = self._accounts[ask.account]
        ahead_of_others = (self._find_start(ask.account) - self._virtual) * account.weight
        return max(wait_ms, (own + booked + ahead_of_others / self._usual_ms) / rate)

    def _list_ahead(self, ask: SlotAsk, standing: Standing) -> Iterator[_Queued]:
        """Yield the waiting requests that go before a new one."""
        own_key = (ask.urgency, standing)
        own = len(self._queues.get(own_key, {}).get(ask.account, ()))
        step = self._usual_ms
        start = self._find_start(ask.account) + own * step / self._accounts[ask.account].weight
        for key, queues in self._queues.items():
            if key > own_key:
                continue
            for name, queue in queues.items():
                if key < own_key or name == ask.account:
                    yield from queue
                    continue
                before = (start - self._find_start(name)) * self._accounts[name].weight / step
                yield from list(queue)[: max(math.ceil(before), 0)]

    def _find_capacity(self, now_ms: float) -> float:
        """Return the requests per ms that the servers can process."""
        slots = sum(
            self._find_allowed(one, now_ms) / one.room.pace for one in self._servers.values()
        )
        return max(slots, 1.0) / max(self._usual_ms, 1.0)

    def _find_parts(self, now_ms: float) -> dict[str, float]:
        """Return the part of each account, in requests per ms."""
        if now_ms - self._parts_ms > PARTS_LIFETIME_MS:
            self._parts_ms = now_ms
            for account in self._accounts.values():
                account.record(now_ms, 0)
            demands = {
                name: AccountDemand(one.demand, one.weight) for name, one in self._accounts.items()
            }
            capacity = self._find_capacity(now_ms)
            self._parts = divide_capacity(capacity, demands)
            self._beyond = {
                name for name, part in self._parts.items() if part < demands[name].offered
            }
            weights = sum(one.weight for one in self._accounts.values()) or 1.0
            self._credit = CREDIT_MS * capacity * self._usual_ms / weights
        return self._parts

    def _is_within_part(self, account: str, now_ms: float) -> bool:
        """Return whether an account requests no more than its part."""
        self._find_parts(now_ms)
        return account not in self._beyond

    def _find_rate(self, account: str, now_ms: float) -> float:
        """Return the rate at which an account may be served, in requests per ms."""
        parts = self._find_parts(now_ms)
        entitled = self._find_capacity(now_ms) * self._accounts[account].weight
        entitled /= sum(one.weight for one in self._accounts.values())
        return max(parts.get(account, 0.0), entitled)

    def _find_booked_rate(self, account: str, now_ms: float) -> float:
        """Return the rate of an account's booked returns, in requests per ms.

        If an account requests r times its part, of which the fraction b is answered at the second attempt, it makes
        b + r attempts for an answer.
        """
        rate = self._find_rate(account, now_ms)
        least, most = BOOKED_SHARES
        share = ATTEMPTS_PER_ANSWER - self._accounts[account].demand / rate
        return rate * min(max(share, least), most)

    def _remove(self, queued: _Queued) -> None:
        key, account = (queued.ask.urgency, int(queued.standing)), queued.ask.account
        queues = self._queues[key]
        queues[account].remove(queued)
        if not queues[account]:
            del queues[account]
        if not queues:
            del self._queues[key]
        del self._queued[queued.ask.permit]

    def _drop(self, permits: Iterable[str]) -> None:
        for permit in list(permits):
            self._in_use[self._held.pop(permit).server] -= 1

    def _describe(
        self,
        now_ms: float,
        queued: _Queued,
        verdict: Verdict,
        server: str = "",
        retry_ms: float = 0.0,
    ) -> Decision:
        return Decision(
            permit=queued.ask.permit,
            holder=queued.ask.holder,
            verdict=verdict,
            server=server,
            retry_ms=max(retry_ms, 0.0),
            wait_ms=queued.wait_ms,
            allowed_ms=queued.allowed_ms,
            waited_ms=now_ms - queued.since_ms,
            is_within_part=queued.is_within_part,
            standing=queued.standing,
            free=self.count_free(now_ms),
        )


def divide_servers(service: str, names: Sequence[str]) -> dict[str, int]:
    """Return the group of each server of a service, by its name.

    Each server joins the first group, in its own rendezvous order, that has room.

    Examples
    ========

    >>> groups = divide_servers("ledger", [f"s{number}" for number in range(40)])
    >>> max(Counter(groups.values()).values()) <= MAX_GROUP, len(set(groups.values()))
    (True, 3)
    >>> divide_servers("ledger", ["s1", "s2"])
    {'s1': 0, 's2': 0}
    """
    count = math.ceil(len(names) / MAX_GROUP)
    if count == 1:
        return dict.fromkeys(sorted(names), 0)
    sizes: Counter[int] = Counter()
    groups: dict[str, int] = {}
    labels = [str(number) for number in range(count)]
    for name in sorted(names):
        order = map(int, rank_rendezvous(f"{service}/{name}", labels))
        groups[name] = next(group for group in order if sizes[group] < MAX_GROUP)
        sizes[groups[name]] += 1
    return groups
