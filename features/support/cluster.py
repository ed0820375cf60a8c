"""A cluster of real processes for a scenario: stand-ins, entry daemons, proxies, an operator file.

Explanation
===========

Processes start in parallel: the `launch_*` methods return at once, and the first access to a
program's `addresses` waits for its ready line. `Cluster.close` ends every process. The processes
also end when the test run is killed.
"""

import json
import shutil
import tempfile
import time
from pathlib import Path
from typing import Any

from features.support.calls import ChatStream, Reply, call, get_json, make_chat, post_json
from features.support.operator_files import KEY, MODEL, SERVICE, ZONES, make_operator_file
from features.support.operators import Operator
from features.support.processes import Program, wait_until
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.version.checks import parse_file
from hemlockswitch.version.revisions import Revision

STANDIN = "hemlockswitch.programs.standin"
ENTRY = "hemlockswitch.programs.entry"
CONTROLLER = "hemlockswitch.programs.controller"
LOAD = "hemlockswitch.programs.load"


class Cluster:
    """The processes of one scenario.

    Examples
    ========

    ``cluster = Cluster(); cluster.build(); cluster.chat("two slots").read_all()`` and finally
    ``cluster.close()``.
    """

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="hemlockswitch-"))
        self.programs: dict[str, Program] = {}
        self.vms: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self._proxy: Program | None = None

    # Starting and ending processes

    def launch(
        self,
        name: str,
        command: list[str],
        settings: dict[str, Any],
        max_files: int | None = None,
    ) -> Program:
        """Start a program of the project and return at once; kill a previous one of that name."""
        program = Program(name, command, settings, self.folder, max_files)
        old = self.programs.get(name)
        if old is not None:
            old.kill()
        self.programs[name] = program
        return program

    def launch_platform(self, **settings: Any) -> Program:
        """Start the platform stand-in."""
        return self.launch("platform", [STANDIN, "platform"], {"name": "platform", **settings})

    def launch_engine(self, name: str, **settings: Any) -> Program:
        """Start a model engine; `register` lists it as a VM."""
        content = {"name": name, "models": [MODEL], **settings}
        return self.launch(name, [STANDIN, "engine"], content)

    def launch_service(self, name: str, **settings: Any) -> Program:
        """Start a plain service; `register` lists it as a VM."""
        return self.launch(name, [STANDIN, "service"], {"name": name, **settings})

    def launch_entry(self, name: str, zone: str, **settings: Any) -> Program:
        """Start an entry daemon that joins through the first running daemons."""
        return self._launch_daemon(name, zone, ENTRY, settings)

    def launch_controller(self, name: str, zone: str, **settings: Any) -> Program:
        """Start a controller."""
        return self._launch_daemon(name, zone, CONTROLLER, settings)

    def _launch_daemon(
        self, name: str, zone: str, module: str, settings: dict[str, Any]
    ) -> Program:
        content = {
            "name": name,
            "zone": zone,
            "platform": self.platform.addresses["http"],
            "seeds": self.list_seeds(),
            **settings,
        }
        return self.launch(name, [module], content)

    def list_seeds(self) -> list[str]:
        """Return the peer addresses of the first two running entry daemons, to join through."""
        addresses = [item.addresses for item in self.list_daemons()[:2]]
        return [item["peers"] for item in addresses if "peers" in item]

    def close(self) -> None:
        """End every process and remove the files."""
        for program in self.programs.values():
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def describe_logs(self) -> str:
        """Return the last log lines of every process, for failure reports."""
        parts = [f"--- {item.name}\n{item.read_log()}" for item in self.programs.values()]
        return "\n".join(parts)

    # Running programs

    @property
    def platform(self) -> Program:
        """The platform stand-in."""
        return self.programs["platform"]

    def get(self, name: str) -> Program:
        """Return a program by name."""
        return self.programs[name]

    def list_daemons(self, module: str = ENTRY, zone: str | None = None) -> list[Program]:
        """Return the running daemons of one program, in one zone or in all."""
        return [
            item
            for item in self.programs.values()
            if item.module == module and item.is_running and zone in (None, item.settings["zone"])
        ]

    # The platform's VMs and notices

    def register(self, name: str, zone: str, serves: str, **fields: Any) -> None:
        """Add a program to the VM list of the platform; `fields` as in that list."""
        address = fields.pop("address", None) or self.get(name).addresses["http"]
        vm = {"name": name, "zone": zone, "serves": serves, "address": address}
        vm = {**vm, "control_address": address, **fields}
        post_json(self.platform.addresses["http"], "/standin/vms", {"vms": [vm]})
        self.vms[name] = vm

    def reclaim(self, *names: str, notice_ms: int = 5_000) -> None:
        """Announce the reclaim of VMs to the platform and to the VMs' stand-ins."""
        body = {"vms": list(names), "notice_ms": notice_ms}
        post_json(self.platform.addresses["http"], "/standin/reclaim", body)
        for name in names:
            addresses = self.get(name).addresses if name in self.vms else {}
            if "http" in addresses:
                post_json(addresses["http"], "/standin/leaving")

    def set_platform_faults(self, **faults: Any) -> None:
        """Replace the platform's faults (``objects``, ``cloud``, ``vm_list_lag_ms``)."""
        post_json(self.platform.addresses["http"], "/standin/faults", faults)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of an engine or a service; without arguments, end them."""
        post_json(self.get(name).addresses["http"], "/standin/faults", faults)

    def read_stats(self, name: str) -> dict[str, Any]:
        """Return the counters of a stand-in."""
        return get_json(self.get(name).addresses["http"], "/standin/stats")

    # The proxy

    @property
    def proxy(self) -> Program:
        """The fault-injecting proxy, started on first use."""
        if self._proxy is None:
            self._proxy = self.launch("proxy", [STANDIN, "proxy"], {})
        return self._proxy

    def add_link(self, name: str, target: str = "", listen: str = "127.0.0.1:0") -> str:
        """Create a link through the proxy, or change its target; return its address."""
        body = {"name": name, "target": target, "listen": listen}
        return post_json(self.proxy.addresses["http"], "/links", body)["address"]

    def set_link(self, name: str, **faults: Any) -> None:
        """Replace the faults of a link; without arguments, end them."""
        post_json(self.proxy.addresses["http"], f"/links/{name}/faults", faults)

    def read_link(self, name: str) -> dict[str, Any]:
        """Return the state and the counters of a link."""
        return get_json(self.proxy.addresses["http"], f"/links/{name}")

    # Configuration

    def apply_as_operator(self, file: dict[str, Any]) -> int:
        """Apply an operator file with ``hemlock-ctl`` and return its number."""
        operator = Operator(self.folder, self.platform.addresses["http"])
        seen = ("--from", str(self.revision)) if self.revision else ()
        outcome = operator.run("apply", file, *seen)
        assert outcome.code == 0, f"apply: {outcome}"
        self.revision = outcome.answer["number"]
        return self.revision

    def apply(self, file: dict[str, Any]) -> int:
        """Write an operator file as the next revision and move the pointer; return its number.

        Explanation
        ===========

        Writes the same objects as ``hemlock-ctl apply``, which saves a process in each scenario.
        ``apply_whole.feature`` tests the command itself.
        """
        checked = parse_file(json.dumps(file))
        wall_ms = int(time.time() * 1_000)
        apply_id = make_identifier("apply")
        revision = Revision.from_checked(
            checked, self.revision + 1, apply_id, self.revision, wall_ms
        )
        address = self.platform.addresses["http"]
        self._put(address, f"/objects/revisions/{revision.number}", revision.to_value())
        self._put(address, "/objects/pointers/current", revision.to_pointer())
        self.revision = revision.number
        return revision.number

    def _put(self, address: str, path: str, value: dict[str, Any]) -> None:
        reply = call(address, "PUT", path, value)
        assert reply.status == 200, f"PUT {path}: {reply.status} {reply.body!r}"

    # Complete clusters

    def build(
        self,
        zones: tuple[str, ...] = ZONES,
        entries: int = 2,
        engines: int = 1,
        services: int = 1,
        file: dict[str, Any] | None = None,
        engine_settings: dict[str, Any] | None = None,
        entry_settings: dict[str, Any] | None = None,
        as_operator: bool = False,
    ) -> "Cluster":
        """Start a complete cluster, apply its file, and return when every entry daemon serves.

        Parameters
        ==========

        entries, engines, services : number of each in each zone. Names are ``entry-<zone>-1``,
            ``engine-<zone>-1``, ``service-<zone>-1`` and so on.
        as_operator : apply the file with ``hemlock-ctl`` instead of writing its objects.
        """
        self.launch_platform()
        names = [
            (zone, number) for zone in zones for number in range(1, 1 + max(engines, services))
        ]
        for zone, number in names:
            if number <= engines:
                self.launch_engine(f"engine-{zone}-{number}", **(engine_settings or {}))
            if number <= services:
                self.launch_service(f"service-{zone}-{number}")
        for zone, number in names:
            if number <= engines:
                self.register(f"engine-{zone}-{number}", zone, MODEL)
            if number <= services:
                self.register(f"service-{zone}-{number}", zone, SERVICE)
        apply = self.apply_as_operator if as_operator else self.apply
        apply(file or make_operator_file(zones))
        self.launch_entries(zones, entries, **(entry_settings or {}))
        return self

    def launch_entries(self, zones: tuple[str, ...], count: int, **settings: Any) -> None:
        """Start `count` entry daemons in each zone and wait until all serve."""
        for number in range(1, 1 + count):
            for zone in zones:
                self.launch_entry(f"entry-{zone}-{number}", zone, **settings)
        for program in self.list_daemons():
            self.wait_until_serving(program)

    def wait_until_serving(self, program: Program) -> None:
        """Wait until an entry daemon accepts requests."""
        address = program.addresses["callers"]
        wait_until(lambda: call(address, "GET", "/healthz").status == 200, f"{program.name} serves")

    def find_entry(self, name: str = "") -> str:
        """Return the callers' address of an entry daemon, the first by default."""
        program = self.get(name) if name else self.list_daemons()[0]
        return program.addresses["callers"]

    def chat(
        self,
        text: str,
        max_tokens: int = 16,
        entry: str = "",
        key: str = KEY,
        model: str = MODEL,
        **headers: str,
    ) -> ChatStream:
        """Open a streamed model request; in header names, ``_`` stands for ``-``."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        stream = ChatStream(
            make_chat(model, text, max_tokens), {"Authorization": f"Bearer {key}", **named}
        )
        return stream.open(self.find_entry(entry))

    def call_service(
        self,
        path: str,
        body: Any = None,
        method: str = "POST",
        entry: str = "",
        key: str = KEY,
        service: str = SERVICE,
        **headers: str,
    ) -> Reply:
        """Call the plain service through an entry daemon."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {"Authorization": f"Bearer {key}", **named}
        address = self.find_entry(entry)
        return call(address, method, f"/services/{service}{path}", body, all_headers)
