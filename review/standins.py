"""Stand-ins of the platform and of runners for the review's scripts, with the standard library only.

They run as threads of a script. The gateways are separate processes, started with the command of
deploy/system.toml.
"""

import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
ZONE = "zone-a"
RESET = struct.pack("ii", 1, 0)
PORTS = (12_000, 30_000)  # below those that the kernel gives to outgoing connections
_USED_PORTS = set()


def now():
    """Return monotonic seconds."""
    return time.monotonic()


def find_port():
    """Return a free port of the loopback address, which no outgoing connection takes meanwhile."""
    while True:
        port = random.randrange(*PORTS)
        if port in _USED_PORTS:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _USED_PORTS.add(port)
        return port


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = now()

    def write(self, text):
        with self._lock:
            self._file.write(f"{now() - self._began:8.3f} {text}\n")
            self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server with kept connections, which can be ended like a process."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, port or find_port()))
        self._listener.listen(256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._connections = set()
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self):
        """Close the listening socket, and reset all connections, as the end of a process does."""
        self.is_open = False
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _accept(self):
        while self.is_open:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if not self.is_open:
                connection.close()
                return
            self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while self.is_open:
                request = read_message(stream)
                if request is None:
                    return
                answer = self._handle(*request)
                if answer is None or not self.is_open:
                    return
                status, headers, body = answer
                connection.sendall(encode_answer(status, headers, body))
        except OSError:
            return
        finally:
            self._connections.discard(connection)
            connection.close()


def read_message(stream):
    """Return the first line, the headers by lower-case name, and the body; None at the end."""
    first = stream.readline()
    if not first.strip():
        return None
    headers = {}
    while line := stream.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's object store, with its watches, and the cloud API at the same address."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self.era = 1
        self.revision = 10
        self.oldest = 10
        self.objects = {}
        self.history = []
        self.is_away = False
        self.server = HttpServer(self._handle)
        self.address = self.server.address

    def put(self, kind, name, spec):
        """Write an object as the operator or a runner does."""
        with self._changed:
            self._store(kind, name, spec)

    def remove(self, kind, name):
        """Remove an object as the platform does."""
        with self._changed:
            if name in self.objects.get(kind, {}):
                self._remove(kind, name)

    def make_copy(self):
        """Return a copy of the present contents."""
        with self._changed:
            return copy.deepcopy((self.revision, self.objects))

    def return_from(self, kept, own_kinds):
        """Come back from a copy; what the operator and the runners wrote is written again."""
        with self._changed:
            written = {kind: dict(self.objects.get(kind, {})) for kind in own_kinds}
            lost = {kind: sorted(self.objects.get(kind, {})) for kind in self.objects}
            self.era += 1
            self.revision, self.objects = copy.deepcopy(kept)
            self.oldest, self.history = self.revision, []
            for kind, entries in written.items():
                for name in set(self.objects.get(kind, {})) - set(entries):
                    self._remove(kind, name)
                for name, entry in entries.items():
                    if self.objects.get(kind, {}).get(name, {}).get("spec") != entry["spec"]:
                        self._store(kind, name, entry["spec"])
            for kind, names in lost.items():
                gone = [name for name in names if name not in self.objects.get(kind, {})]
                if gone:
                    self._record.write(f"store: came back without {kind} {gone}")
            self._changed.notify_all()

    def _store(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created_rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        status = known["status"] if known else None
        entry = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = entry
        self.history.append((self.revision, kind, False, entry))
        self._changed.notify_all()
        return entry

    def _remove(self, kind, name):
        self.revision += 1
        entry = self.objects[kind].pop(name)
        self.history.append((self.revision, kind, True, entry))
        self._changed.notify_all()

    def _handle(self, first, headers, body):
        method, target, _ = first.split(" ")
        if self.is_away:
            return None
        with self._changed:
            status, content = self._answer(method, target, body)
            if self.is_away:
                return None
            fields = {"Content-Type": "application/json", "Store-Era": self.era}
            return status, fields, json.dumps(content).encode()

    def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        if method == "POST" and path in ("/usage", "/scale"):
            return 200, {}
        parts = [urllib.parse.unquote(one) for one in path.split("/")[3:]]
        fields = dict(urllib.parse.parse_qsl(query))
        sent = json.loads(body) if body else {}
        if method == "GET" and len(parts) == 1:
            return self._list(parts[0], fields)
        if method == "POST":
            return self._create(parts[0], sent)
        kind, name = parts[0], parts[1]
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        wanted = sent.get("metadata", {}).get("revision", fields.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self._remove(kind, name)
            return 200, {}
        if len(parts) == 3:
            return 200, known
        return 200, self._store(kind, name, sent["spec"])

    def _create(self, kind, sent):
        name = sent["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if known is not None:
            return 409, known
        return 200, self._store(kind, name, sent["spec"])

    def _list(self, kind, fields):
        if "watch" in fields:
            return self._watch(kind, int(fields["watch"]), float(fields.get("wait_ms", 0)) / 1000)
        after = fields.get("after", "")
        entries = sorted(self.objects.get(kind, {}).items())
        items = [entry for name, entry in entries if name > after]
        return 200, {"items": items, "has_more": False, "store_revision": self.revision}

    def _watch(self, kind, since, wait_s):
        until, era = now() + wait_s, self.era
        while True:
            if self.era != era or not self.oldest <= since <= self.revision:
                return 410, {}
            found = [one for one in self.history if one[0] > since and one[1] == kind]
            if found or now() >= until or self.is_away:
                break
            self._changed.wait(min(until - now(), 0.1))
        events = [{"tombstone": gone, "object": entry} for _, _, gone, entry in found]
        return 200, {"events": events, "store_revision": self.revision}


class Runner:
    """A runner of a plain service; `handle` may take over a request before it is answered."""

    def __init__(self, store, record, name, service, port=0, handle=None, version="1", slots=8):
        self._store = store
        self._record = record
        self.name, self.service, self.version, self.slots = name, service, version, slots
        self._custom = handle
        self.born = int(time.time() * 1000)
        self.server = HttpServer(self._handle, port)
        self.address = self.server.address
        self.register("ready")

    def register(self, state):
        entry = {"service": self.service, "address": self.address, "zone": ZONE}
        entry |= {"version": self.version, "slots": self.slots, "state": state}
        entry |= {"cold_left_ms": 0, "sequence": 1, "born": self.born}
        self._store.put("servers", self.name, entry)

    def end(self):
        self.server.end()

    def _handle(self, first, headers, body):
        request_id = headers.get("hemlockswitch-request-id", "")
        if "hemlockswitch-expect-instance" not in headers:
            fields = {"Hemlockswitch-Instance-Id": self.name}
            return 200, fields, b""
        if headers["hemlockswitch-expect-instance"] != self.name:
            return 421, {"Hemlockswitch-Request-Id": request_id}, b""
        self._record.write(f"{self.name}: gets {request_id} {first}")
        if self._custom is not None:
            answer = self._custom(self, first, headers, body)
            if answer is not False:
                return answer
        time.sleep(0.01)
        fields = {"Hemlockswitch-Request-Id": request_id}
        fields["Hemlockswitch-Response-Seal"] = f"seal-{request_id}"
        return 200, fields, b"answer to " + request_id.encode()


class Gateways:
    """The gateway processes of a run, started with the command of the deploy file."""

    def __init__(self, store, record, names):
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes = {}
        self.listen, self.ready = {}, {}
        for name in names:
            self.listen[name], self.ready[name] = find_port(), find_port()
            self._write_settings(name, store.address)
            self.start(name)

    def _write_settings(self, name, store):
        settings = {
            "name": name,
            "zone": ZONE,
            "region": "region",
            "zones": [ZONE],
            "listen": f"{HOST}:{self.listen[name]}",
            "ready_listen": f"{HOST}:{self.ready[name]}",
            "ready_path": "/hemlockswitch/readyz",
            "peer_listen": f"{HOST}:{find_port()}",
            "control_listen": f"{HOST}:{find_port()}",
            "platform": store,
            "cloud": store,
            "stop_grace_s": 8,
            "repeat_ratio": 0.2,
            "repeat_extra": 56,
            "repeat_window_s": 10,
            "limit_slack": 190000,
            "usage_window_s": 5,
            "link_mbps": 1000,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def start(self, name):
        command = ["python3", "-m", "hemlockswitch.programs.gateway", "--settings"]
        command.append(str(self.folder / f"{name}.json"))
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = os.pathsep.join(paths)
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._record.write(f"{name}: started")

    def send_signal(self, name, number):
        self._record.write(f"{name}: gets {signal.Signals(number).name}")
        self._processes[name].send_signal(number)

    def wait_ended(self, name):
        self._processes[name].wait(timeout=15)

    def await_ready(self, limit_s=30):
        until = now() + limit_s
        for name, port in self.ready.items():
            while not self._is_ready(port):
                if now() > until or self._processes[name].poll() is not None:
                    tail = self.read_log(name)[-500:]
                    raise RuntimeError(f"{name} did not become ready: {tail}")
                time.sleep(0.05)
            self._record.write(f"{name}: is ready")

    @staticmethod
    def _is_ready(port):
        try:
            status, _, _ = call(port, "GET", "/hemlockswitch/readyz", {}, limit_s=1)
        except OSError:
            return False
        return status == 200

    def read_log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(port, method, path, headers, body=b"", limit_s=10):
    """Make one call on a connection of its own; return status, headers and body."""
    with socket.create_connection((HOST, port), timeout=limit_s) as connection:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in {"Host": "site.example", **headers}.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        stream = connection.makefile("rb")
        message = read_message(stream)
        if message is None:
            raise ConnectionResetError("closed without an answer")
        first, fields, content = message
        return int(first.split(" ")[1]), fields, content


def make_manifest(version, routes, services):
    """Return a manifest with one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "site.example",
                "path_prefix": f"/{name}/",
                "timeout_ms": 5_000,
                "goal_ms": 500,
                "priority": 1,
                **fields,
            }
            for name, fields in routes.items()
        ],
        "services": [{"name": name, "health_path": "/healthz", "max_conns": 100} for name in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "hall", "api_keys": ["key-of-hall"]}],
    }


def _stop_late(number, _frame):
    raise RuntimeError(f"ended by {signal.Signals(number).name}")


def finish(run, seconds):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGALRM, _stop_late)
    signal.signal(signal.SIGTERM, _stop_late)
    signal.alarm(seconds)
    try:
        is_broken = run()
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.stderr.flush()
        os._exit(2)
    sys.stdout.flush()
    os._exit(1 if is_broken else 0)
