"""A store that comes back from a copy lets a request that crashes runners through again."""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import Gateways, Record, Runner, Store, call, finish, make_manifest, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = 3.0
MAX_RETRIES = 3  # the rule's bound
RUNNERS = 6
DOWN_S = 3.0  # a crashed runner is back after some seconds
SILENT_S = 3.6  # three intervals of 1.2 s, after which the platform removes an entry
COPY_AGE_S = 5.0  # the copy is some seconds old
AWAY_S = 1.0
LENGTH_S = 50.0
DEADLY = b"deadly content"


class Site:
    def __init__(self):
        self.record = Record(FOLDER / "record.txt")
        self.store = Store(self.record)
        self.crashes = []
        self.reached = []
        self.drill_ended = None
        self.third_at = None
        self._number = 0
        self._lock = threading.Lock()
        routes = {"check": {"kind": "idempotent", "service": "app", "max_attempts": 1}}
        self.store.put("config", "main", make_manifest(3, routes, ["app"]))
        for _ in range(RUNNERS):
            self.start_runner()

    def start_runner(self):
        with self._lock:
            self._number += 1
            name = f"i-{self._number:04x}"
        Runner(self.store, self.record, name, "app", handle=self.handle)

    def handle(self, runner, first, headers, body):
        """Crash on the deadly content; the runner is back with a new id at another address."""
        if body != DEADLY:
            return False
        at = now()
        self.reached.append(at)
        self.crashes.append(at)
        if len(self.crashes) == 3:
            self.third_at = at
        self.record.write(f"{runner.name}: crashes (crash {len(self.crashes)})")
        threading.Timer(SILENT_S, self.store.remove, ("servers", runner.name)).start()
        threading.Timer(DOWN_S, self.start_runner).start()
        runner.end()
        return None

    def hold_drill(self):
        """Let the store be away for a moment and come back from a copy some seconds old."""
        while self.third_at is None:
            time.sleep(0.02)
        time.sleep(max(self.third_at + COPY_AGE_S - AWAY_S - now() - 0.5, 0))
        self.record.write("store: goes away")
        self.store.is_away = True
        time.sleep(AWAY_S)
        self.store.return_from(self.kept, ("config", "servers"))
        self.store.is_away = False
        self.drill_ended = now()
        self.record.write("store: is back from the copy, in the next era")


def run():
    site = Site()
    gateways = Gateways(site.store, site.record, ["front-1", "front-2"])
    try:
        gateways.await_ready()
        time.sleep(4)
        return judge(site, play(site, gateways))
    finally:
        gateways.close()


def play(site, gateways):
    ports = list(gateways.listen.values())
    began = now()
    stop = threading.Event()
    threading.Thread(target=send_sound, args=(site, ports, stop), daemon=True).start()
    if TROUBLE:
        threading.Thread(target=site.hold_drill, daemon=True).start()
    number = 0
    while now() - began < LENGTH_S:
        if len(site.crashes) < 2:
            site.kept = site.store.make_copy()  # older than the third crash
        number += 1
        send(site, ports[number % 2], f"deadly{number:04d}", DEADLY)
        time.sleep(1.0)
    stop.set()
    return began


def send_sound(site, ports, stop):
    number = 0
    while not stop.is_set():
        number += 1
        send(site, ports[number % 2], f"sound{number:05d}", b"sound %d" % number)
        time.sleep(0.1)


def send(site, port, request_id, body):
    headers = {
        "Hemlockswitch-Request-Id": request_id,
        "Hemlockswitch-Deadline-Ms": "2500",
        "X-Api-Key": "key-of-hall",
    }
    path = "/check/deadly" if body == DEADLY else "/check/sound"
    site.record.write(f"client: sends {request_id} to port {port}")
    try:
        status, _, _ = call(port, "POST", path, headers, body)
    except OSError as error:
        status = repr(error)
    site.record.write(f"client: {request_id} is answered {status}")


def judge(site, began):
    """Count the retries that reached a runner, by machines in touch, after the third crash."""
    if site.third_at is None:
        raise RuntimeError("the content crashed fewer than three runners")
    if TROUBLE and site.drill_ended is None:
        raise RuntimeError("the drill did not take place")
    in_touch = max(site.third_at, site.drill_ended or 0.0) + STABLE_S
    later = [at for at in site.reached if at > in_touch]
    text = f"{len(site.crashes)} crashes; {len(later)} retries reached a runner later than stable_ms"
    site.record.write(f"verdict: {text} after the third crash and the drill; {MAX_RETRIES} allowed")
    print(text)
    return len(later) > MAX_RETRIES


finish(run, 110)
