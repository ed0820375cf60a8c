"""Relay of plain gevent sockets without HTTP: a lower bound for the cost of relaying bytes.

Started by ``tools/measure_relay.py``: ``python -m tools.bare_relay --settings FILE`` with
``{"targets": ["ip:port", ...]}``. Each new connection goes to the next target.
"""

from gevent import monkey

monkey.patch_all()

import itertools
import json
import sys
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BYTES = 65_536


def copy(source: Any, sink: Any) -> None:
    """Copy bytes in one direction until the source is closed."""
    try:
        while data := source.recv(READ_BYTES):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return


def main() -> None:
    """Serve until the process is killed."""
    settings = json.loads(Path(sys.argv[sys.argv.index("--settings") + 1]).read_text())
    targets = itertools.cycle(settings["targets"])

    def serve(caller: Any, _: Any) -> None:
        host, _, port = next(targets).rpartition(":")
        with socket.create_connection((host, int(port))) as target:
            for side in (caller, target):
                side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            upward = gevent.spawn(copy, caller, target)
            copy(target, caller)
            upward.kill()

    server = StreamServer(("127.0.0.1", 0), serve, backlog=1_024)
    server.start()
    address = f"{server.server_host}:{server.server_port}"
    print(json.dumps({"ready": True, "addresses": {"callers": address}}), flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
