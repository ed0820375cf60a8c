"""Compare limits divided into shares with a fixed division and with a central counter.

The admissions of eight daemons in four zones run in one process, with real peer streams over loopback and
the platform stand-in behind its HTTP interface. Callers request one and a half times the limits.
Run: ``python -m tools.measure_shares [--seconds 6] [--json FILE]``.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from hdrh.histogram import HdrHistogram

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import MS_PER_SECOND, SystemClock
from hemlockswitch.core.errors import ErrorKind, HemlockError, PeerError, PlatformError
from hemlockswitch.process.shares.parts import ShareMember
from hemlockswitch.process.shares.shares import Shares
from hemlockswitch.request.admission import Admission
from hemlockswitch.request.allowances import FixedAllowances
from hemlockswitch.request.capacity import CapacityQueue
from hemlockswitch.standin.platform import build_application
from hemlockswitch.standin.platform_state import PlatformSettings, PlatformState
from hemlockswitch.standin.server import listen
from hemlockswitch.version.models import OperatorFile
from tools.shares_baselines import BURST_S, CentralCounter

ZONES = ("abdoun-hall", "khalda-hall", "marka-hall", "sweileh-hall")
DAEMONS_PER_ZONE = 2
CUT_ZONES = frozenset(ZONES[2:])
PLATFORM_ANSWER_MS = 3.0
TOKENS = 100
HOLD_MS = {"rate": 50.0, "few": 200.0}
LIMITS = {
    "rate": {"requests_per_second": 40, "tokens_per_second": 1_000_000, "concurrent_requests": 500},
    "few": {"requests_per_second": 500, "tokens_per_second": 1_000_000, "concurrent_requests": 3},
}
OFFERED_PER_S = {"rate": 60.0, "few": 25.0}
CUT_SECONDS = 14.0
SETTLE_SECONDS = 3.0
SEED = 20_261_202


def make_file() -> OperatorFile:
    """Return an operator file with one account limited by its rate and one by its concurrency."""
    accounts = [
        {"name": name, "key_hash": "sha256:" + "0" * 64, "limits": limits}
        for name, limits in LIMITS.items()
    ]
    return OperatorFile.model_validate({"zones": ZONES, "client_accounts": accounts})


class ReachableNetwork:
    """A peer network that can be partitioned from the daemons of other zones."""

    def __init__(self, fleet: "Fleet", name: str, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone
        self.network = PeerNetwork("measure", name)

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message type."""
        self.network.handle(message_type, handler)

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Send a request to a peer, or time out if the partition separates it."""
        if not self._fleet.is_reachable(self._zone, self._fleet.zones[address]):
            gevent.sleep(timeout_ms / MS_PER_SECOND)
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "cut")
        return self.network.request(address, message, timeout_ms)


class ReachablePlatform:
    """A platform client that fails while its zone is cut off."""

    def __init__(self, fleet: "Fleet", zone: str, client: PlatformClient) -> None:
        self._fleet = fleet
        self._zone = zone
        self._client = client

    def __getattr__(self, name: str) -> Any:
        if self._fleet.cut and self._zone in CUT_ZONES:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "cut")
        return getattr(self._client, name)


@dataclass
class Phase:
    """Counts of one account in one phase."""

    offered: int = 0
    admitted: int = 0
    running: int = 0
    max_running: int = 0
    busy_ms: float = 0.0
    waits: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10_000_000, 3))


@dataclass
class Daemon:
    """A daemon with its admission."""

    name: str
    zone: str
    network: ReachableNetwork
    admission: Any
    shares: Shares | None = None


class Fleet:
    """The daemons under one method, with their counts."""

    def __init__(self, method: str, platform: str) -> None:
        self.method = method
        self.cut = False
        self.zones: dict[str, str] = {}
        self.phases: dict[str, Phase] = {}
        self.file = make_file()
        self.clock = SystemClock()
        self.daemons: list[Daemon] = []
        names = [(zone, number) for zone in ZONES for number in range(DAEMONS_PER_ZONE)]
        for zone, number in names:
            self.daemons.append(self._make_daemon(f"entry-{zone}-{number}", zone, platform))

    def _make_daemon(self, name: str, zone: str, platform: str) -> Daemon:
        network = ReachableNetwork(self, name, zone)
        address = network.network.start()
        self.zones[address] = zone
        client = PlatformClient(platform, self.method, name)
        store = ReachablePlatform(self, zone, client)
        if self.method == "central":
            return Daemon(name, zone, network, CentralCounter(store, LIMITS))
        if self.method == "fixed":
            fixed = FixedAllowances(lambda: self.file, lambda: self.count_reachable(zone))
            return Daemon(
                name, zone, network, Admission(fixed, self.clock, CapacityQueue(self.clock))
            )
        return self._make_sharing(name, zone, network, store)

    def _make_sharing(self, name: str, zone: str, network: Any, store: Any) -> Daemon:
        shares = Shares(
            name=name,
            zone=zone,
            clock=self.clock,
            store=store,
            network=network,
            find_file=lambda: self.file,
            list_members=lambda: self.list_members(zone),
        )
        admission = Admission(shares, self.clock, CapacityQueue(self.clock), starts_full=False)
        shares.set_use(admission)
        shares.start()
        return Daemon(name, zone, network, admission, shares)

    def is_reachable(self, one: str, other: str) -> bool:
        """Return whether two zones are connected."""
        return not self.cut or (one in CUT_ZONES) == (other in CUT_ZONES)

    def count_reachable(self, zone: str) -> int:
        """Return the number of daemons that are live for a daemon of `zone`."""
        return sum(self.is_reachable(zone, daemon.zone) for daemon in self.daemons) or 1

    def list_members(self, zone: str) -> list[ShareMember]:
        """Return the daemons that are live for a daemon of `zone`."""
        return [
            ShareMember(daemon.name, daemon.zone, daemon.network.network.address)
            for daemon in self.daemons
            if self.is_reachable(zone, daemon.zone)
        ]

    def run_phase(self, daemons: list[Daemon], seconds: float) -> dict[str, Any]:
        """Offer the load to `daemons` for `seconds` and return the results."""
        self.phases = {account: Phase() for account in LIMITS}
        before = self._count_traffic()
        rng = random.Random(SEED)
        loads = [gevent.spawn(self._offer, rng, account, daemons, seconds) for account in LIMITS]
        gevent.joinall(loads)
        after = self._count_traffic()
        per_daemon_s = len(self.daemons) * seconds
        result: dict[str, Any] = {
            account: summarise(account, phase, seconds) for account, phase in self.phases.items()
        }
        result["messages_per_daemon_per_s"] = round((after[0] - before[0]) / per_daemon_s, 2)
        result["bytes_per_daemon_per_s"] = round((after[1] - before[1]) / per_daemon_s, 1)
        return result

    def _count_traffic(self) -> tuple[int, int]:
        traffic = [daemon.network.network.traffic for daemon in self.daemons]
        return sum(one.messages_out for one in traffic), sum(one.bytes_out for one in traffic)

    def _offer(
        self, rng: random.Random, account: str, daemons: list[Daemon], seconds: float
    ) -> None:
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        while next_s < end_s:
            next_s += rng.expovariate(OFFERED_PER_S[account])
            gevent.sleep(max(next_s - time.monotonic(), 0))
            gevent.spawn(self._request, account, rng.choice(daemons), self.phases[account])

    def _request(self, account: str, daemon: Daemon, phase: Phase) -> None:
        phase.offered += 1
        began_s = time.monotonic()
        try:
            permit = daemon.admission.admit(account, TOKENS)
        except HemlockError:
            return
        phase.waits.record_value(max(int((time.monotonic() - began_s) * 1_000_000), 1))
        phase.admitted += 1
        phase.running += 1
        phase.max_running = max(phase.max_running, phase.running)
        gevent.sleep(HOLD_MS[account] / MS_PER_SECOND)
        phase.busy_ms += HOLD_MS[account]
        phase.running -= 1
        permit.record_tokens(TOKENS)
        permit.close()

    def stop(self) -> None:
        """Stop the daemons."""
        for daemon in self.daemons:
            if daemon.shares is not None:
                daemon.shares.stop()
            daemon.network.network.stop()


def summarise(account: str, phase: Phase, seconds: float) -> dict[str, Any]:
    """Return the figures of one account in one phase; percentages are of the limit."""
    limits = LIMITS[account]
    min_unused = 0.0
    if account == "rate":
        limit = limits["requests_per_second"] * seconds
        burst = limits["requests_per_second"] * BURST_S
        over = max(phase.admitted - limit - burst, 0) / limit
        unused = max(limit - phase.admitted, 0) / limit
    else:
        slots = limits["concurrent_requests"]
        erlangs = OFFERED_PER_S[account] * HOLD_MS[account] / MS_PER_SECOND
        min_unused = 1 - erlangs * (1 - find_blocking(erlangs, slots)) / slots
        over = max(phase.max_running - slots, 0) / slots
        unused = max(1 - phase.busy_ms / (slots * seconds * MS_PER_SECOND), 0)
    return {
        "offered": phase.offered,
        "admitted": phase.admitted,
        "most_running": phase.max_running,
        "over_admission_percent": round(over * 100, 1),
        "unused_percent": round(unused * 100, 1),
        "least_unused_percent": round(min_unused * 100, 1),
        "admit_p50_ms": phase.waits.get_value_at_percentile(50) / 1_000,
        "admit_p95_ms": phase.waits.get_value_at_percentile(95) / 1_000,
    }


def find_blocking(erlangs: float, slots: int) -> float:
    """Return the share of a random load that a pool of slots refuses, by the Erlang B formula."""
    blocking = 1.0
    for number in range(1, slots + 1):
        blocking = erlangs * blocking / (number + erlangs * blocking)
    return blocking


def measure(method: str, seconds: float) -> dict[str, Any]:
    """Run all phases with one method."""
    state = PlatformState(PlatformSettings(answer_ms=PLATFORM_ANSWER_MS))
    server, address = listen(build_application(state), "127.0.0.1:0")
    fleet = Fleet(method, address)
    gevent.sleep(SETTLE_SECONDS)
    result: dict[str, Any] = {}
    calls = count_calls(state)
    for name, daemons in (("even", fleet.daemons), ("skewed", fleet.daemons[:1])):
        result[name] = fleet.run_phase(daemons, seconds)
        now = count_calls(state)
        result[name]["platform_calls_per_s"] = round((now - calls) / seconds, 1)
        calls = now
    fleet.cut = True
    result["cut"] = fleet.run_phase(fleet.daemons, CUT_SECONDS)
    result["cut"]["platform_calls_per_s"] = round((count_calls(state) - calls) / CUT_SECONDS, 1)
    fleet.stop()
    server.stop(timeout=0)
    return result


def count_calls(state: PlatformState) -> int:
    """Return the number of calls to the platform stand-in."""
    return sum(calls.total() for calls in state.counts.by_role.values())


def print_table(results: dict[str, Any]) -> None:
    """Print one line for each method, phase and account."""
    columns = "method    phase    account  offered admitted  over%  unused%  least%  p50 ms  p95 ms"
    print(f"{columns}  msgs/daemon/s  bytes/daemon/s  platform calls/s")
    for method, phases in results.items():
        for phase, figures in phases.items():
            for account in LIMITS:
                one = figures[account]
                print(
                    f"{method:9} {phase:8} {account:8} {one['offered']:7} {one['admitted']:8}"
                    f" {one['over_admission_percent']:6} {one['unused_percent']:8}"
                    f" {one['least_unused_percent']:7}"
                    f" {one['admit_p50_ms']:7.2f} {one['admit_p95_ms']:7.2f}"
                    f" {figures['messages_per_daemon_per_s']:14}"
                    f" {figures['bytes_per_daemon_per_s']:15}"
                    f" {figures['platform_calls_per_s']:17}"
                )


def main() -> None:
    """Measure the three methods."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="length of the first phases")
    parser.add_argument("--json", default="reports/shares.json", help="where the figures go")
    options = parser.parse_args()
    results = {name: measure(name, options.seconds) for name in ("shares", "fixed", "central")}
    path = Path(options.json)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=2) + "\n")
    print_table(results)
    print(f"figures: {path}")


if __name__ == "__main__":
    main()
