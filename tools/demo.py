"""The demo: a whole small system as processes, one model request and one service call.

Run it with ``make demo``. It ends with ``demo: ok`` and exit code 0 when both answers are whole.
"""

import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.calls import ChatStream, Reply
from features.support.cluster import Cluster
from features.support.operator_files import MODEL, SERVICE, ZONES

TEXT = "please draft a birthday party package for twelve children on Saturday"
TOKENS = 24
CONFIRMATION = {"family": "Haddad", "slot": "Saturday 15:00"}


def make_trace_parent() -> str:
    """Return a ``traceparent`` header: the demo is the caller, so the trace begins here."""
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-01"


def describe_identifiers(headers: dict[str, str]) -> str:
    """Return the request id and the trace that an answer names."""
    trace = headers.get("traceparent") or headers.get("x-trace-id", "not named")
    return f"request {headers.get('x-request-id', 'none')}, trace in the answer {trace}"


def show_chat(cluster: Cluster) -> list[str]:
    """Send one streamed model request; return what is wrong with its answer."""
    parent = make_trace_parent()
    stream: ChatStream = cluster.chat(TEXT, TOKENS, traceparent=parent).read_all()
    print(f"caller's span {parent}")
    print(f"model request: {stream.status}, {describe_identifiers(stream.reply_headers)}")
    if stream.reply is not None:
        return [f"model request refused: {stream.reply.body!r}"]
    problems = stream.check.list_problems()
    print(f"  {stream.check.tokens} tokens of {TOKENS}, usage {stream.check.usage}")
    for name in list_standins(cluster, "engine"):
        for stream_id, span in cluster.read_stats(name)["trace_parents"].items():
            print(f"  run by {name} as {stream_id}, span {span}")
    return problems + ([f"connection lost: {stream.lost}"] if stream.lost else [])


def show_service_call(cluster: Cluster) -> list[str]:
    """Send one call of the plain service; return what is wrong with its answer."""
    parent = make_trace_parent()
    reply: Reply = cluster.call_service("/confirmations", CONFIRMATION, traceparent=parent)
    print(f"caller's span {parent}")
    print(f"service call: {reply.status}, {describe_identifiers(reply.headers)}")
    if reply.status != 200:
        return [f"service call: {reply.status} {reply.body!r}"]
    print(f"  run by {reply.json['service']}, span {reply.json['traceparent']}")
    runs = [cluster.read_stats(name)["runs"] for name in list_standins(cluster, "service")]
    return [] if sum(runs) == 1 else [f"the call ran {sum(runs)} times"]


def list_standins(cluster: Cluster, kind: str) -> list[str]:
    """Return the names of the stand-ins of a kind."""
    return [name for name in cluster.programs if name.startswith(f"{kind}-")]


def main() -> int:
    """Run the demo and return its exit code."""
    cluster = Cluster()
    try:
        cluster.build()
        print(f"{len(cluster.programs)} processes in zones {', '.join(ZONES)}")
        print(f"revision {cluster.revision} applied: model {MODEL}, service {SERVICE}")
        problems = show_chat(cluster) + show_service_call(cluster)
    finally:
        cluster.close()
    for problem in problems:
        print("wrong:", problem)
    print("demo: failed" if problems else "demo: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
