"""Program of the tests: a server for callers in a process that may open few descriptors."""

import resource
import sys

import gevent
from gevent import monkey

monkey.patch_all()

from hemlockswitch.connection.descriptors import find_caller_limit  # noqa: E402
from hemlockswitch.connection.forward_server import ForwardServer  # noqa: E402
from hemlockswitch.core.clock import SystemClock  # noqa: E402
from hemlockswitch.version.serving_table import CallerLimits  # noqa: E402

BOUNDS = CallerLimits(
    max_head_bytes=16_384, max_body_bytes=100_000, head_timeout_ms=60_000, idle_timeout_ms=60_000
)


def answer(request, reply):
    """Answer each request, one that asks for it after two seconds."""
    if request.target == "/slow":
        gevent.sleep(2)
    reply.send(200, "OK", [], b"served")


def main():
    """Serve until the standard input ends."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv[1]), hard))
    server = ForwardServer(
        ("127.0.0.1", 0), answer, lambda: BOUNDS, SystemClock(), find_caller_limit()
    )
    print(server.start(), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == "__main__":
    main()
