"""Stand-ins of the platform, of runners and of clients for the scripts of the second review.

They need the standard library only and run in one event loop of the script's process. The gateways are
separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PORTS = (12_000, 30_000)  # below the range of outgoing connections
BLOCK_PORTS = 500
_HOLDERS = []
_FREE_PORTS = []
ROLE = "gateway"
SETTINGS_PATH = "/etc/hemlockswitch/boot.json"
BEAT_S = 1.2
SILENT_BEATS = 3
STORE_DELAY_S = 0.004
RUN_S = 0.02
"""Until a request's first event, or the crash that it causes."""
TOKENS_PER_S = 56_100
"""Prompt tokens that an engine reads in a second."""
PART_TOKENS = 300
SHARED_PARTS = 24
"""Parts with which the clients' prompts begin."""
STABLE_S = 3.0
GRACE_S = 8
READ_BYTES = 65_536
READY_TIMEOUT_S = 15.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Busy",
}


class NotRunError(Exception):
    """The case could not run."""


def now():
    """Return monotonic seconds."""
    return time.monotonic()


def _claim_ports():
    """Return the ports of a block that no other script uses; its first port is held by this process."""
    starts = list(range(*PORTS, BLOCK_PORTS))
    for start in random.sample(starts, len(starts)):
        holder = socket.socket()
        try:
            holder.bind((HOST, start))
        except OSError:
            holder.close()
            continue
        _HOLDERS.append(holder)
        return list(range(start + 1, start + BLOCK_PORTS))
    raise NotRunError("no block of ports is free")


def find_port():
    """Return a free port of the loopback address, each only once."""
    if not _HOLDERS:
        _FREE_PORTS.extend(_claim_ports())
    while True:
        port = _FREE_PORTS.pop()
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = now()

    def write(self, text):
        self._file.write(f"{now() - self._began:8.3f} {text}\n")

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the first line, the headers by lower-case name, and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


class Server:
    """A small HTTP/1.1 server that can be ended as the end of a process ends one."""

    def __init__(self, port=0):
        self.port = port or find_port()
        self.address = f"{HOST}:{self.port}"
        self.is_open = False
        self._server = None
        self._writers = set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True, backlog=512
        )
        self.is_open = True

    def end(self):
        self.is_open = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while self.is_open:
                message = await read_message(reader)
                if message is None:
                    break
                await self.handle(*message, reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def handle(self, first, headers, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's object store, and the cloud API at the same address."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._changed = asyncio.Condition()
        self.revision = 10
        self.objects = {}
        self.history = []

    async def put(self, kind, name, spec):
        """Write an object as the operator or a runner does."""
        before = self.objects.get(kind, {}).get(name)
        if before is not None and before["spec"] == spec:
            return
        await self._store(kind, name, spec, (before or {}).get("status"), before)

    async def remove(self, kind, name):
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            gone = json.loads(json.dumps(found))
            gone["metadata"]["revision"] = self.revision
            await self._tell(kind, gone, True)

    async def _store(self, kind, name, spec, status, before):
        self.revision += 1
        created = before["metadata"]["created_rev"] if before else self.revision
        metadata = {"name": name, "revision": self.revision, "created_rev": created}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = stored
        await self._tell(kind, stored, False)
        return stored

    async def _tell(self, kind, stored, is_removed):
        event = {"object": stored, "tombstone": is_removed}
        self.history.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, first, headers, body, reader, writer):
        method, target, _ = first.split(" ", 2)
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        status, answer = await self._answer(method, path, options, body)
        await asyncio.sleep(STORE_DELAY_S)
        text = json.dumps(answer).encode()
        fields = {"Content-Type": "application/json", "Content-Length": len(text)}
        writer.write(encode_head(status, fields) + text)
        await writer.drain()

    async def _answer(self, method, path, options, body):
        parts = [urllib.parse.unquote(one) for one in path.strip("/").split("/")]
        if parts[:2] != ["hemlockswitch", "objects"]:
            return 200, {}
        kind, *rest = parts[2:]
        value = json.loads(body) if body else {}
        if not rest:
            if method == "POST":
                return await self._create(kind, value)
            if "watch" in options:
                return await self._watch(
                    kind, int(options["watch"]), int(options.get("wait_ms", 0))
                )
            names = sorted(
                one for one in self.objects.get(kind, {}) if one > options.get("after", "")
            )
            items = [self.objects[kind][one] for one in names[:500]]
            return 200, {
                "items": items,
                "has_more": len(names) > 500,
                "store_revision": self.revision,
            }
        found = self.objects.get(kind, {}).get(rest[0])
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        wanted = value.get("metadata", {}).get("revision", options.get("revision"))
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            await self.remove(kind, rest[0])
            return 200, found
        if rest[1:] == ["status"]:
            return 200, await self._store(kind, rest[0], found["spec"], value.get("status"), found)
        if found["spec"] == value.get("spec"):
            return 200, found
        return 200, await self._store(kind, rest[0], value.get("spec"), found.get("status"), found)

    async def _create(self, kind, value):
        name = value["metadata"]["name"]
        found = self.objects.get(kind, {}).get(name)
        if found is not None:
            return 409, found
        return 200, await self._store(kind, name, value.get("spec"), None, None)

    async def _watch(self, kind, since, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            events = [
                event for revision, of, event in self.history if of == kind and revision > since
            ]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)


class Runner(Server):
    """A process of a model runner, registered in the store for as long as it runs.

    A request that is deadly by `Site.is_deadly` crashes it when it begins to run it.

    Parameters
    ==========

    site : has the store, the record and the list of arrivals.
    """

    def __init__(self, site, name, service, zone, port=0, version="1"):
        super().__init__(port)
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.running = 0
        self.crashed = asyncio.Event()
        self.is_leaving = False
        self._kept = set()
        self._sequence = 0
        self._beats = None

    async def start(self, first_beat_s=0.0):
        """Listen, and register with the first heartbeat."""
        self.born = int(time.time() * 1000)
        await self.open()
        self.site.record.write(
            f"{self.name}: process born {self.born} of version {self.version} listens at {self.address}"
        )
        self._beats = asyncio.ensure_future(self._beat(first_beat_s))

    def crash(self):
        if not self.is_open:
            return
        self.end()
        self._beats.cancel()
        self.site.record.write(f"{self.name}: process born {self.born} crashes")
        self.crashed.set()

    async def drain(self):
        """Report that the runner leaves, and return once the store has acknowledged that; go on serving."""
        self.is_leaving = True
        await self._register()

    async def _beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            await self._register()
            await asyncio.sleep(BEAT_S)

    async def _register(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": "draining" if self.is_leaving else "ready",
            "cold_left_ms": 0,
            "born": self.born,
        }
        await self.site.register(self, entry, self._sequence)

    async def handle(self, first, headers, body, reader, writer):
        request_id = headers.get("hemlockswitch-request-id", "")
        if first.startswith("GET "):
            await self._reply(writer, 200, request_id, b"ok")
            return
        if headers.get("hemlockswitch-expect-instance", self.name) != self.name:
            self.site.record.write(f"{self.name}: answers 421 to {request_id}")
            await self._reply(writer, 421, request_id, b"", {"Hemlockswitch-Not-Executed": "1"})
            return
        is_deadly = self.site.record_arrival(self, request_id, headers, body)
        self.running += 1
        try:
            await asyncio.sleep(
                RUN_S + self._read_prompt(headers.get("hemlockswitch-prompt-prefix", ""))
            )
            if is_deadly:
                self.crash()
                return
            await self._stream(writer, request_id, int(headers.get("last-event-id", "0")))
        finally:
            self.running -= 1

    def _read_prompt(self, prefix):
        """Keep the parts of a prompt, and return how long it takes to read those that were not kept."""
        seconds = 0.0
        for entry in prefix.split(",") if prefix else ():
            part, _, tokens = entry.partition(":")
            if part not in self._kept:
                seconds += int(tokens) / TOKENS_PER_S
                self._kept.add(part)
        return seconds

    async def _stream(self, writer, request_id, last_id):
        fields = self._build_fields(request_id) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, fields))
        for number in range(last_id + 1, self.site.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.site.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _reply(self, writer, status, request_id, body, more=None):
        fields = self._build_fields(request_id) | {"Content-Length": len(body)} | (more or {})
        writer.write(encode_head(status, fields) + body)
        await writer.drain()

    def _build_fields(self, request_id):
        fields = {
            "Hemlockswitch-Request-Id": request_id,
            "Hemlockswitch-Response-Seal": "3e1b.07.5a2",
            "Hemlockswitch-Instance-Id": self.name,
            "Hemlockswitch-Instance-Load": f"{self.running},0,64",
        }
        return fields | ({"Server-Leaving": "1"} if self.is_leaving else {})


class Gateway:
    """A gateway process, started with the command of the deploy file and a small deployment's settings."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        self.zone = zone
        self.ports = {one: find_port() for one in ("front", "ready", "peer", "control")}
        self.process = None
        self.started = None
        self.restarts = 0

    @property
    def address(self):
        return HOST, self.ports["front"]

    def start(self):
        folder = self.site.folder / self.name
        folder.mkdir(exist_ok=True)
        settings = folder / "boot.json"
        settings.write_text(json.dumps(self._build_settings()))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][ROLE]
        words = [str(settings) if one == SETTINGS_PATH else one for one in role["run"].split()]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        kept["PYTHONPATH"] = str(ROOT / "target/deps")
        kept["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(folder / "log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=kept, stdout=log, stderr=log)
        self.started = now()
        self.site.record.write(
            f"{self.name}: process {self.process.pid} starts, callers at port {self.ports['front']}"
        )

    def send_signal(self, number):
        self.site.record.write(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        """Signal the process, and wait for its end."""
        self.send_signal(number)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def restart(self, number=signal.SIGKILL, down_s=0.3):
        await self.end(number)
        await asyncio.sleep(down_s)
        self.start()

    def is_in_touch(self):
        """Return whether the process has run for `STABLE_S` without a disturbance."""
        return self.started is not None and now() - self.started >= STABLE_S

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["ready"])
            writer.write(
                b"GET /hemlockswitch/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def _build_settings(self):
        return {
            "name": self.name,
            "zone": self.zone,
            "region": "klang-valley",
            "zones": self.site.zones,
            "listen": f"{HOST}:{self.ports['front']}",
            "ready_listen": f"{HOST}:{self.ports['ready']}",
            "ready_path": "/hemlockswitch/readyz",
            "peer_listen": f"{HOST}:{self.ports['peer']}",
            "control_listen": f"{HOST}:{self.ports['control']}",
            "platform": self.site.store.address,
            "cloud": self.site.store.address,
            "stop_grace_s": GRACE_S,
            "repeat_ratio": 0.2,
            "repeat_extra": 54,
            "repeat_window_s": 10,
            "limit_slack": 140000,
            "usage_window_s": 5,
            "link_mbps": 1000.0,
        }


@dataclass(frozen=True)
class Arrival:
    """A request that reached a runner and began to run.

    Parameters
    ==========

    at : when, in monotonic seconds.
    is_in_touch : whether the gateway that sent it was in touch then.
    """

    at: float
    request_id: str
    runner: Runner
    is_in_touch: bool


class Site:
    """A small deployment: store, runners, gateways, and what clients and runners have seen."""

    def __init__(self, record, manifest):
        self.record = record
        self.manifest = manifest
        self.zones = ["kv-a", "kv-b", "kv-c", "kv-d"]
        self.store = Store(record)
        self.gateways = []
        self.runners = {}
        self.runs = []  # arrivals of all requests at runners
        self.arrivals = []  # those of deadly requests
        self.senders = {}  # request id to the gateway that the client sent it to
        self.is_deadly = lambda headers, body: b"deadly" in body
        self.folder = None
        self.events = 5  # of each stream
        self.event_s = 0.02  # between two events
        self._last_beats = {}

    async def start(self, folder, gateways, runners):
        """Start everything; `runners` lists pairs of service and number."""
        self.folder = Path(folder)
        await self.store.open()
        await self.store.put("config", "main", self.manifest)
        asyncio.ensure_future(self._lapse())
        for service, count in runners:
            for number in range(count):
                runner = Runner(
                    self, f"i-{service}-{number}", service, self.zones[number % len(self.zones)]
                )
                self.runners[runner.name] = runner
                await runner.start()
        for number in range(gateways):
            gateway = Gateway(self, f"front-{number + 1}", self.zones[number % len(self.zones)])
            self.gateways.append(gateway)
            gateway.start()
        await self.await_ready()

    async def await_ready(self):
        until = now() + READY_TIMEOUT_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if gateway.process.poll() is not None or now() > until:
                    raise NotRunError(f"{gateway.name} was not ready in time")
                await asyncio.sleep(0.05)

    async def register(self, runner, entry, sequence):
        """Write a runner's entry, and keep the time of the write."""
        await asyncio.sleep(STORE_DELAY_S)
        self._last_beats[runner.name] = now()
        await self.store.put("servers", runner.name, entry | {"sequence": sequence})

    async def _lapse(self):
        """Remove the entries of runners that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self._last_beats.items()):
                if now() - at > SILENT_BEATS * BEAT_S:
                    del self._last_beats[name]
                    self.record.write(f"store: removes the entry of {name}")
                    await self.store.remove("servers", name)

    async def revive(self, runner, back_s, *, keeps_id=False, version=None, first_beat_s=0.0):
        """Start a runner again at its address whenever it has crashed, under a new id or its own.

        Parameters
        ==========

        version : of the software that is there then; None for the same.
        first_beat_s : its first heartbeat comes at a random time within so long after it listens.
        """
        number = 0
        while True:
            await runner.crashed.wait()
            await asyncio.sleep(back_s)
            number += 1
            name = runner.name if keeps_id else f"{runner.name.partition('.')[0]}.{number}"
            version = version or runner.version
            runner = Runner(self, name, runner.service, runner.zone, runner.port, version)
            self.runners[name] = runner
            await runner.start(random.uniform(0, first_beat_s))

    async def send(self, request_id, parts, body, kind):
        """Send a client's request to any gateway; return its status, 0 without a complete answer."""
        status, _ = await self.call(request_id, parts, body, kind)
        return status

    async def call(self, request_id, parts, body, kind):
        """Send a client's request to any gateway; return its status and body as `call` does."""
        gateway = random.choice(self.gateways)
        self.record.write(f"client: sends {kind} {request_id} to {gateway.name}")
        self.senders[request_id] = gateway
        status, answer = await call(gateway, "/draft/x", build_headers(request_id, parts), body)
        self.record.write(f"client: {kind} {request_id} is answered {status}")
        return status, answer

    def record_arrival(self, runner, request_id, headers, body):
        """Record a request that a runner begins to run; return whether it crashes the runner."""
        is_deadly = self.is_deadly(headers, body)
        self.record.write(f"{runner.name}: runs {'deadly ' if is_deadly else ''}{request_id}")
        arrival = Arrival(now(), request_id, runner, self.senders[request_id].is_in_touch())
        self.runs.append(arrival)
        if is_deadly:
            self.arrivals.append(arrival)
        return is_deadly

    async def stop(self):
        """End all processes and servers."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        for runner in self.runners.values():
            if runner.is_open:
                runner.end()
        self.store.end()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)


async def call(gateway, path, headers, body, timeout_s=15.0):
    """Send one request on a new connection; return the status, 0 without a complete answer, and what was read."""
    rest = b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*gateway.address)
            fields = {
                "Host": "lab.example",
                **headers,
                "Content-Length": len(body),
                "Connection": "close",
            }
            lines = [
                f"POST {path} HTTP/1.1",
                *(f"{name}: {value}" for name, value in fields.items()),
                "",
                "",
            ]
            writer.write("\r\n".join(lines).encode() + body)
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                while more := await reader.read(READ_BYTES):
                    rest += more
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, rest.decode("latin-1")
    status = int(head.split(b" ", 2)[1])
    if b"chunked" in head.lower() and not rest.endswith(b"0\r\n\r\n"):
        status = 0
    return status, rest.decode("latin-1")


def make_manifest(services, *, split=None, resumable=False):
    """Return a manifest with one route of streams to the first service, or to several by weight."""
    route = {
        "name": "draft",
        "host": "lab.example",
        "path_prefix": "/draft/",
        "kind": "stream",
        "timeout_ms": 15000,
        "goal_ms": 1200,
        "gap_target_ms": 400,
        "priority": 0,
        "max_attempts": 2,
        "sticky": True,
        "resumable": resumable,
    }
    if split is None:
        route["service"] = services[0]
    else:
        route["split"] = split
    engine = {"slots": 64, "kv_capacity_tokens": 700000}
    return {
        "version": 3,
        "routes": [route],
        "services": [
            {"name": name, "max_conns": 590, "health_path": "/healthz", "engine": engine}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        },
        "tenants": [
            {
                "name": "lab",
                "api_keys": ["i9n73hh2b9wu3fexd9dn"],
                "unit": "token_stream",
                "plain_tokens": 10,
            }
        ],
    }


def build_headers(request_id, parts):
    """Return the headers of a client's request; `parts` has the tokens of each part of its prompt, or lists parts."""
    tokens = parts if isinstance(parts, dict) else dict.fromkeys(parts, PART_TOKENS)
    return {
        "Hemlockswitch-Request-Id": request_id,
        "Hemlockswitch-Model": "m",
        "Hemlockswitch-Token-Counts": f"{sum(tokens.values())},80",
        "Hemlockswitch-Prompt-Prefix": ",".join(
            f"{part}:{count}" for part, count in tokens.items()
        ),
        "Hemlockswitch-Deadline-Ms": "15000",
        "X-Api-Key": "i9n73hh2b9wu3fexd9dn",
    }


class Clients:
    """Clients that send sound requests all the time, each to any gateway.

    Parameters
    ==========

    interval_s : time between two requests.
    shared_parts : number of parts of which each prompt begins with one.
    shared_tokens : tokens of such a part.
    """

    def __init__(self, site, interval_s=0.05, shared_parts=SHARED_PARTS, shared_tokens=PART_TOKENS):
        self.site = site
        self.interval_s = interval_s
        self.shared_parts = shared_parts
        self.shared_tokens = shared_tokens
        self.statuses = {}
        self._number = 0

    async def run(self):
        while True:
            self._number += 1
            asyncio.ensure_future(self._send(f"{self._number:08x}"))
            await asyncio.sleep(self.interval_s)

    async def _send(self, number):
        shared = f"5c1e{random.randrange(self.shared_parts):04x}"
        parts = {shared: self.shared_tokens, f"aa{number}": PART_TOKENS}
        status = await self.site.send(f"50{number}", parts, f"text {number}".encode(), "sound")
        self.statuses[status] = self.statuses.get(status, 0) + 1


def judge_late(site, crashes, allowed):
    """Return whether at most `allowed` deadly requests reached runners late after this number of crashes."""
    if len(site.arrivals) < crashes:
        site.record.write(f"verdict: {len(site.arrivals)} deadly requests reached runners")
        return True
    since = site.arrivals[crashes - 1].at + STABLE_S
    late = [one.request_id for one in site.arrivals if one.at > since and one.is_in_touch]
    site.record.write(
        f"verdict: {len(site.arrivals)} deadly requests reached runners; later than stable_ms after crash {crashes},"
        f" from machines in touch, {len(late)}: {', '.join(late)}; {allowed} are allowed"
    )
    return len(late) <= allowed


def run_case(folder, play):
    """Run `play(record, folder, has_trouble)`, which returns whether the rule held; return the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(play(record, scratch, has_trouble))
            code = EXIT_HELD if held else EXIT_BROKEN
        except (NotRunError, OSError) as error:
            record.write(f"could not run: {error}")
            print(f"could not run: {error}", file=sys.stderr)
            for log in Path(scratch).glob("*/log"):
                record.write(f"{log.parent.name}: {log.read_text()[-500:]}")
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                import shutil

                shutil.copytree(scratch, keep, dirs_exist_ok=True)
    record.write(f"exit {code}")
    record.close()
    return code
