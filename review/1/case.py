"""Runners that crashed under a request and came back at their address end its quarantine."""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import Gateways, Record, Runner, Store, call, finish, make_manifest, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEEPS_ADDRESS = os.environ.get("KEEPS_ADDRESS", "1") != "0"  # 0: a control, new addresses
STABLE_S = 3.0
MAX_RETRIES = 3  # the rule's bound
RUNNERS = 6
DOWN_S = 3.0  # a crashed runner is back after some seconds
SILENT_S = 3.6  # three intervals of 1.2 s, after which the platform removes an entry
LENGTH_S = 40.0
DEADLY = b"deadly content"


class Site:
    def __init__(self):
        self.record = Record(FOLDER / "record.txt")
        self.store = Store(self.record)
        self.crashes = []
        self.reached = []
        self.third_at = None
        self._number = 0
        self._lock = threading.Lock()
        routes = {"check": {"kind": "idempotent", "service": "app", "max_attempts": 1}}
        self.store.put("config", "main", make_manifest(3, routes, ["app"]))
        for _ in range(RUNNERS):
            self.start_runner()

    def start_runner(self, port=0):
        with self._lock:
            self._number += 1
            name = f"i-{self._number:04x}"
        runner = Runner(self.store, self.record, name, "app", port, handle=self.handle)
        self.record.write(f"{name}: starts at {runner.address}")

    def handle(self, runner, first, headers, body):
        """Crash on the deadly content; the runner is back after some seconds, with a new id."""
        if body != DEADLY or not TROUBLE:
            return False
        at = now()
        self.reached.append(at)
        self.crashes.append(at)
        if len(self.crashes) == 3:
            self.third_at = at
        self.record.write(f"{runner.name}: crashes (crash {len(self.crashes)})")
        threading.Timer(SILENT_S, self.store.remove, ("servers", runner.name)).start()
        port = int(runner.address.rpartition(":")[2]) if KEEPS_ADDRESS else 0
        threading.Timer(DOWN_S, self.start_runner, (port,)).start()
        runner.end()
        return None


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
    number = 0
    while now() - began < LENGTH_S:
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
        time.sleep(0.03)


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
    """Count the retries that reached a runner later than `stable_ms` after the third crash."""
    if site.third_at is None:
        if TROUBLE:
            raise RuntimeError("the content crashed fewer than three runners")
        site.record.write("verdict: no crash")
        return False
    later = [at for at in site.reached if at > site.third_at + STABLE_S]
    text = f"{len(site.crashes)} crashes; {len(later)} retries reached a runner later than stable_ms"
    site.record.write(f"verdict: {text} after the third crash; {MAX_RETRIES} allowed")
    print(text)
    return len(later) > MAX_RETRIES


finish(run, 110)
