"""Measure the load that claims put on the platform, for four storage schemes.

The claim stores of eight daemons run in one process and use HTTP to a platform stand-in in a separate
process with its default rates (400 writes and 2,000 reads per second). Arrivals are open-loop and seeded;
every call has its own key and a service time of 20 ms.
Run: ``python -m tools.measure_claims [--seconds 5] [--json FILE]``.
"""

from gevent import monkey

monkey.patch_all()

import argparse
import json
import random
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import gevent

from features.support.calls import get_json, post_json
from features.support.processes import Program
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.stored_objects import Written
from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.logs import configure_logs
from hemlockswitch.process.claims import writer as claim_writer
from hemlockswitch.process.claims.routes import ClaimPeer
from hemlockswitch.process.claims.store import ClaimStore
from hemlockswitch.process.claims.writer import Pace
from hemlockswitch.request.claims import Claim, Outcome, StoredAnswer, digest_key

DAEMONS = 8
RATES_PER_S = (10, 50, 200, 600)
SERVICE_S = 0.02
RETENTION_MS = 3_600_000
SEED = 7
ANSWER = StoredAnswer(201, {"content-type": "application/json"}, b'{"slot": 7}' * 20)
USUAL_BATCH = claim_writer.MAX_BATCH


class ObjectPerKey:
    """Baseline scheme: one object per key, created before the call and updated after it."""

    def __init__(self, name: str, platform: PlatformClient) -> None:
        self._name = name
        self._platform = platform
        self._clock = SystemClock()

    def run_once(
        self, account: str, key: str, fingerprint: str, dispatch: Callable[[], StoredAnswer]
    ) -> StoredAnswer:
        """Claim the key, dispatch the call, and write its outcome in the background."""
        digest = digest_key(account, key)
        claim = Claim.make(fingerprint, self._name, self._clock.wall_ms(), 60_000)
        try:
            placed = self._platform.create("claims", digest, claim.to_value())
        except Exception as error:
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, str(error)) from error
        if not isinstance(placed, Written):
            raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, repr(placed))
        answer = dispatch()
        value = {**claim.to_value(), "outcome": Outcome.from_answer(answer).to_value()}
        gevent.spawn(self._record, digest, value, placed.version)
        return answer

    def stop(self) -> None:
        """Does nothing: there is no background task."""

    def _record(self, digest: str, value: Any, version: int) -> None:
        for pause_s in (0, 0.5, 1, 2, 4):
            gevent.sleep(pause_s)
            try:
                self._platform.update("claims", digest, value, version)
                return
            except Exception:  # noqa: S112 - retried after the next pause
                continue


Store = ObjectPerKey | ClaimStore


@dataclass
class Figures:
    """Figures of one run; `way` is the storage scheme."""

    way: str
    offered_per_s: int
    ran: int = 0
    refused: int = 0
    writes_per_s: float = 0
    reads_per_s: float = 0
    conflicts_per_s: float = 0
    written_kb_per_s: float = 0
    writes_per_call: float = 0
    claim_p50_ms: float = 0
    claim_p95_ms: float = 0
    waits_ms: list[float] = field(default_factory=list, repr=False)


def make_stores(way: str, address: str) -> list[Store]:
    """Return the claim stores of the daemons for one storage scheme."""
    clients = [
        PlatformClient(address, "claims", f"d{number}", timeout_ms=1_000)
        for number in range(DAEMONS)
    ]
    if way == "object per key":
        return [ObjectPerKey(f"d{number}", client) for number, client in enumerate(clients)]
    is_unbatched = way == "partitions, one claim a write"
    claim_writer.MAX_BATCH = 1 if is_unbatched else USUAL_BATCH
    pace = Pace(0, 0, 0) if is_unbatched else Pace()
    networks = [PeerNetwork("measure", f"d{number}") for number in range(DAEMONS)]
    peers: list[ClaimPeer] = []
    if way == "grouped, through a home":
        peers = [
            ClaimPeer(network.name, f"z{number % 2}", network.start())
            for number, network in enumerate(networks)
        ]
    return [
        ClaimStore.from_config(
            f"d{number}",
            f"z{number % 2}",
            clients[number],
            SystemClock(),
            lambda: RETENTION_MS,
            peers=networks[number],
            list_peers=lambda own=f"d{number}": [peer for peer in peers if peer.name != own],
            pace=pace,
        )
        for number in range(DAEMONS)
    ]


WAYS = (
    "object per key",
    "partitions, one claim a write",
    "grouped, each daemon itself",
    "grouped, through a home",
)


def offer_calls(stores: list[Store], figures: Figures, seconds: float) -> None:
    """Send calls at random times, each with its own key, and wait for all of them."""
    arrivals = random.Random(SEED)
    tasks = []
    began = due = time.monotonic()
    number = 0
    while due < began + seconds:
        due += arrivals.expovariate(figures.offered_per_s)
        gevent.sleep(max(due - time.monotonic(), 0))
        tasks.append(gevent.spawn(make_call, stores[number % DAEMONS], f"k{number}", due, figures))
        number += 1
    gevent.joinall(tasks)


def make_call(store: Store, key: str, due: float, figures: Figures) -> None:
    """Make one call and record the delay until its dispatch."""

    def dispatch() -> StoredAnswer:
        figures.waits_ms.append((time.monotonic() - due) * 1_000)
        gevent.sleep(SERVICE_S)
        return ANSWER

    try:
        store.run_once("front-desk", key, "fingerprint", dispatch)
        figures.ran += 1
    except RequestError:
        figures.refused += 1


def measure(way: str, rate: int, seconds: float) -> Figures:
    """Measure one storage scheme at one rate with a new platform stand-in."""
    folder = Path(tempfile.mkdtemp(prefix="hemlockswitch-claims-"))
    platform = Program("platform", ["hemlockswitch.programs.standin", "platform"], {}, folder)
    figures = Figures(way, rate)
    try:
        address = platform.addresses["http"]
        stores = make_stores(way, address)
        warm_up(stores)
        post_json(address, "/standin/stats/reset")
        offer_calls(stores, figures, seconds)
        gevent.sleep(1)
        read_counts(figures, get_json(address, "/standin/stats")["calls"], seconds)
        for store in stores:
            store.stop()
    finally:
        platform.kill()
        shutil.rmtree(folder, ignore_errors=True)
    return figures


def warm_up(stores: list[Store]) -> None:
    """Make a few calls at every daemon, so that connections are open and partitions are read."""
    calls = [
        gevent.spawn(make_call, store, f"warm{number}-{index}", time.monotonic(), Figures("", 1))
        for index, store in enumerate(stores)
        for number in range(4)
    ]
    gevent.joinall(calls)
    gevent.sleep(1)


def read_counts(figures: Figures, calls: dict[str, Any], seconds: float) -> None:
    """Compute the figures from the counts of the platform."""
    counts: Counter[str] = Counter(calls["by_role"].get("claims", {}))
    figures.writes_per_s = round((counts["write"] + counts["delete"]) / seconds, 1)
    figures.reads_per_s = round((counts["read"] + counts["list"]) / seconds, 1)
    figures.conflicts_per_s = round(sum(calls["conflicts_by_kind"].values()) / seconds, 1)
    figures.written_kb_per_s = round(calls["written_bytes"] / 1_000 / seconds, 1)
    figures.writes_per_call = round(counts["write"] / max(figures.ran, 1), 2)
    waits = sorted(figures.waits_ms) or [0.0]
    figures.claim_p50_ms = round(waits[len(waits) // 2], 1)
    figures.claim_p95_ms = round(waits[int(len(waits) * 0.95)], 1)


def main() -> None:
    """Measure all storage schemes at all rates; print a table and write JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--json")
    options = parser.parse_args()
    configure_logs("measure_claims")
    print(
        f"{'way':32} {'calls/s':>7} {'ran':>5} {'refused':>7} {'writes/s':>8} {'a call':>6} "
        f"{'reads/s':>7} {'confl/s':>7} {'KB/s':>7} {'p50 ms':>6} {'p95 ms':>6}"
    )
    results = []
    for way in WAYS:
        for rate in RATES_PER_S:
            row = measure(way, rate, options.seconds)
            print(
                f"{row.way:32} {row.offered_per_s:7} {row.ran:5} {row.refused:7} "
                f"{row.writes_per_s:8} {row.writes_per_call:6} {row.reads_per_s:7} "
                f"{row.conflicts_per_s:7} {row.written_kb_per_s:7} {row.claim_p50_ms:6} "
                f"{row.claim_p95_ms:6}",
                flush=True,
            )
            results.append({**asdict(row), "waits_ms": None})
    if options.json:
        Path(options.json).write_text(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
