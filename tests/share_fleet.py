"""Daemons that share limits, simulated in one process with a fake network and object service."""

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Unknown, Written
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PeerError, PlatformError
from hemlockswitch.process.shares.parts import ShareMember
from hemlockswitch.process.shares.shares import Shares
from hemlockswitch.process.shares.units import NOTHING, Units
from hemlockswitch.request.admission import Admission
from hemlockswitch.request.capacity import CapacityQueue
from hemlockswitch.version.models import OperatorFile

KEY_HASH = "sha256:" + "0" * 64


def make_file(zones=("a", "b"), requests=8, tokens=4_000, concurrent=4):
    limits = {
        "requests_per_second": requests,
        "tokens_per_second": tokens,
        "concurrent_requests": concurrent,
    }
    account = {"name": "abdoun", "key_hash": KEY_HASH, "limits": limits}
    return OperatorFile.model_validate({"zones": zones, "client_accounts": [account]})


class DriftingClock:
    """The clock of one daemon, with an offset and a slightly different rate."""

    def __init__(self, base, offset_ms, rate):
        self._base = base
        self._offset_ms = offset_ms
        self._rate = rate

    def now_ms(self):
        return self._base.now_ms() * self._rate + self._offset_ms

    def sleep_ms(self, duration_ms):
        self._base.advance(duration_ms)


class FakeStore:
    """An object service with conditional updates, which may be down or lose the answers of writes."""

    def __init__(self):
        self.objects = {}
        self.down = False
        self.lose_answers = False
        self.calls = 0

    def _call(self):
        self.calls += 1
        if self.down:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    def read(self, kind, name):
        self._call()
        return self.objects.get((kind, name))

    def create(self, kind, name, value):
        return self.update(kind, name, value, 0)

    def update(self, kind, name, value, version):
        self._call()
        known = self.objects.get((kind, name))
        if (known.version if known else 0) != version:
            return Conflict(known.version if known else 0)
        self.objects[kind, name] = StoredObject(kind, name, version + 1, value)
        return Unknown("the answer was lost") if self.lose_answers else Written(version + 1)


class FakeNetwork:
    """One daemon's network; `fleet.cut` has the disconnected pairs of zones, `lose_reply` loses replies."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self._handlers = {}

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def request(self, address, message, timeout_ms):
        self._fleet.messages += 1
        if not self._fleet.is_linked(self._name, address):
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "cut")
        reply = self._fleet.daemons[address].network.serve(self._name, message)
        if self._fleet.lose_reply():
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "the reply was lost")
        return reply

    def serve(self, sender, message):
        return self._handlers[type(message)](sender, message)


class Daemon:
    """One daemon's shares and admission."""

    def __init__(self, fleet, name, zone, clock):
        self.name, self.zone, self.clock = name, zone, clock
        self.frozen = False
        self.network = FakeNetwork(fleet, name)
        self.store = FakeStore()
        self.store.objects = fleet.store.objects
        self.shares = Shares(
            name=name,
            zone=zone,
            clock=clock,
            store=self.store,
            network=self.network,
            find_file=lambda: fleet.file,
            list_members=fleet.list_members,
            is_vm_removed=lambda gone: gone in fleet.gone,
            batch_ms=0,
        )
        self.admission = Admission(self.shares, clock, CapacityQueue(clock), starts_full=False)
        self.shares.set_use(self.admission)
        self.shares.anchor.start()

    def held(self):
        return self.shares.book.count_held("abdoun")


class Fleet:
    """Daemons by name, with drifting clocks and faults."""

    def __init__(self, file=None, make_clock=None):
        self.base = ManualClock()
        self.file = file or make_file()
        self.store = FakeStore()
        self.daemons = {}
        self.cut = set()
        self.gone = set()
        self.messages = 0
        self.lose_reply = lambda: False
        self._make_clock = make_clock or (lambda base: DriftingClock(base, 0, 1.0))

    def add(self, name, zone):
        self.daemons[name] = Daemon(self, name, zone, self._make_clock(self.base))
        return self.daemons[name]

    def kill(self, name):
        self.daemons.pop(name).shares.stop()

    def is_linked(self, one, other):
        if other not in self.daemons or self.daemons[other].frozen:
            return False
        zones = {self.daemons[one].zone, self.daemons[other].zone}
        return len(zones) == 1 or frozenset(zones) not in self.cut

    def list_members(self):
        return [
            ShareMember(daemon.name, daemon.zone, daemon.name)
            for daemon in self.daemons.values()
            if not daemon.frozen
        ]

    def renew_all(self, rounds=1):
        for _ in range(rounds):
            for daemon in list(self.daemons.values()):
                if not daemon.frozen:
                    daemon.shares.renewal.renew()

    def tick(self, duration_ms, step_ms=500.0, renew_every=6):
        """Advance the time, with loan extensions every step and renewals every `renew_every` steps (3 s)."""
        for number in range(int(duration_ms / step_ms)):
            self.base.advance(step_ms)
            for daemon in list(self.daemons.values()):
                if not daemon.frozen:
                    daemon.shares.borrower.extend_loans()
            if number % renew_every == renew_every - 1:
                self.renew_all()

    def sum_held(self):
        total = NOTHING
        for daemon in self.daemons.values():
            total += daemon.held()
        return total

    @property
    def limit(self):
        return Units.from_limits(self.file.client_accounts[0].limits)
