"""Runners that crashed under a prompt part and came back at their address end its quarantine."""

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
MAX_REQUESTS = 3  # the rule's bound
COUNTED_CRASHES = 5
RUNNERS = 12
SENDERS = 8  # of sound requests
DOWN_S = 3.0  # a crashed runner is back after some seconds
SILENT_S = 3.6  # three intervals of 1.2 s, after which the platform removes an entry
LENGTH_S = 55.0
DEADLY = "dead01"  # identifier of the part that crashes runners


class Site:
    def __init__(self):
        self.record = Record(FOLDER / "record.txt")
        self.store = Store(self.record)
        self.crashes = []
        self.reached = []
        self.fifth_at = None
        self._number = 0
        self._lock = threading.Lock()
        routes = {"draft": {"kind": "stream", "service": "llm", "max_attempts": 1}}
        self.store.put("config", "main", make_manifest(3, routes, ["llm"]))
        for _ in range(RUNNERS):
            self.start_runner()

    def start_runner(self, port=0):
        with self._lock:
            self._number += 1
            name = f"i-{self._number:04x}"
        runner = Runner(self.store, self.record, name, "llm", port, handle=self.handle)
        self.record.write(f"{name}: starts at {runner.address}")

    def handle(self, runner, first, headers, body):
        """Crash on the deadly part; the runner is back after some seconds, with a new id."""
        if DEADLY not in headers["hemlockswitch-prompt-prefix"] or not TROUBLE:
            return answer_stream(headers["hemlockswitch-request-id"])
        at = now()
        self.reached.append(at)
        self.crashes.append(at)
        if len(self.crashes) == COUNTED_CRASHES:
            self.fifth_at = at
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
    for sender in range(SENDERS):
        threading.Thread(target=send_sound, args=(site, ports, stop, sender), daemon=True).start()
    number = 0
    while now() - began < LENGTH_S:
        number += 1
        send(site, ports[number % 2], f"deadly{number:04d}", DEADLY)
        time.sleep(1.0)
    stop.set()
    return began


def send_sound(site, ports, stop, sender):
    number = 0
    while not stop.is_set():
        number += 1
        send(site, ports[number % 2], f"sound{sender}{number:05d}", f"part{number % 17}")
        time.sleep(0.03)


def answer_stream(request_id):
    """Return a whole stream of three events."""
    time.sleep(0.02)
    fields = {"Content-Type": "text/event-stream", "Hemlockswitch-Request-Id": request_id}
    fields["Hemlockswitch-Response-Seal"] = f"seal-{request_id}"
    events = "".join(f"id: {number}\ndata: {request_id}\n\n" for number in (1, 2, 3))
    return 200, fields, events.encode()


def send(site, port, request_id, part):
    """Send a request; all share their caller and their first part, and no two are alike."""
    headers = {
        "Hemlockswitch-Request-Id": request_id,
        "Hemlockswitch-Deadline-Ms": "8000",
        "Hemlockswitch-Model": "m",
        "Hemlockswitch-Token-Counts": "900,6",
        "Hemlockswitch-Prompt-Prefix": f"c0de:300,{part}:300,own{request_id}:300",
        "X-Api-Key": "key-of-hall",
    }
    site.record.write(f"client: sends {request_id} to port {port}")
    try:
        status, _, _ = call(port, "POST", "/draft/x", headers, b"prompt of " + request_id.encode())
    except OSError as error:
        status = repr(error)
    site.record.write(f"client: {request_id} is answered {status}")


def judge(site, began):
    """Count the requests that reached a runner later than `stable_ms` after the fifth crash."""
    if site.fifth_at is None:
        if TROUBLE:
            raise RuntimeError("the part crashed fewer than five runners")
        site.record.write("verdict: no crash")
        return False
    later = [at for at in site.reached if at > site.fifth_at + STABLE_S]
    text = f"{len(site.crashes)} crashes; {len(later)} requests reached a runner later than stable_ms"
    site.record.write(f"verdict: {text} after the fifth crash; {MAX_REQUESTS} allowed")
    print(text)
    return len(later) > MAX_REQUESTS


finish(run, 110)
