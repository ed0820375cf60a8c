"""Gateway processes and the stand-ins of the platform that they use."""

import json
import socket
import threading
import urllib.error
import urllib.request
from typing import Any

from features.support.cluster import Cluster
from features.support.processes import Program, wait_until
from tests.gateway_site import Reply, make_entry, make_manifest, make_request, read_reply, tokens

STANDIN = "hemlockswitch.programs.standin"
GATEWAY = "hemlockswitch.programs.gateway"
ZONE = "z1"


class GatewaySite:
    """The gateways, runners and store of one scenario; the cluster ends them."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.store = cluster.launch("store", [STANDIN, "gateway-store"], {})
        self.revision = 0
        self.apply()

    @property
    def store_address(self) -> str:
        """The address of the store."""
        return self.store.addresses["http"]

    def apply(self, **changes: Any) -> None:
        """Write a manifest with the next revision number."""
        self.revision += 1
        self.put("config", "main", make_manifest(self.revision, **changes))

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object of the store."""
        self.call_store("PUT", f"/standin/objects/{kind}/{name}", spec)

    def call_store(self, method: str, path: str, body: Any = None) -> Any:
        """Call the test interface of the store stand-in."""
        return call_json(self.store_address, method, path, body)

    def launch_runner(self, name: str, service: str, **settings: Any) -> Program:
        """Start a runner and register it."""
        runner = self.cluster.launch(name, [STANDIN, "runner"], {"name": name, **settings})
        self.put("servers", name, make_entry(service, runner.addresses["http"]))
        return runner

    def launch_gateway(self, name: str) -> Program:
        """Start a gateway."""
        settings = {
            "name": name,
            "zone": ZONE,
            "zones": [ZONE],
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "platform": self.store_address,
            "cloud": self.store_address,
            "stop_grace_s": 6,
        }
        return self.cluster.launch(name, [GATEWAY], settings)

    def wait_ready(self, gateway: Program) -> None:
        """Wait until the gateway reports readiness and serves a request."""
        wait_until(lambda: is_ready(gateway), f"{gateway.name} ready")
        wait_until(lambda: self.ask(gateway, "/check/x", "probe").status == 200, "served")

    def ask(self, gateway: Program, path: str, request_id: str, **headers: str) -> Reply:
        """Send one request to a gateway."""
        host, port = gateway.addresses["listen"].split(":")
        with socket.create_connection((host, int(port)), timeout=20) as connection:
            connection.sendall(make_request(path, request_id, **headers))
            return read_reply(connection)

    def list_cloud_calls(self, path: str) -> list[dict[str, Any]]:
        """Return the calls to a path of the cloud API."""
        return [call for call in self.call_store("GET", "/standin/cloud") if call["path"] == path]

    def count_runs(self, runner: str, request_id: str) -> int:
        """Return the number of times that a runner ran a request."""
        address = self.cluster.programs[runner].addresses["http"]
        return call_json(address, "GET", "/standin/stats")["runs"].get(request_id, 0)


class Streams:
    """Concurrently read streams."""

    def __init__(self, site: GatewaySite, gateway: Program, count: int, events: int) -> None:
        self.replies: dict[str, Reply] = {}
        self._threads = [
            threading.Thread(target=self._read, args=(site, gateway, f"stream-{number}", events))
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _read(self, site: GatewaySite, gateway: Program, request_id: str, events: int) -> None:
        self.replies[request_id] = site.ask(gateway, "/draft/x", request_id, **tokens(events))

    def wait(self) -> dict[str, Reply]:
        """Return the replies once all streams have ended."""
        for thread in self._threads:
            thread.join()
        return self.replies


def call_json(address: str, method: str, path: str, body: Any = None) -> Any:
    """Make one JSON call."""
    data = json.dumps(body).encode() if body is not None else None
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(f"http://{address}{path}", data, headers, method=method)
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read() or b"null")


def is_ready(gateway: Program) -> bool:
    """Return whether the readiness page for the load balancer answers 200."""
    try:
        url = f"http://{gateway.addresses['ready']}/readyz"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.status == 200
    except urllib.error.HTTPError:
        return False
