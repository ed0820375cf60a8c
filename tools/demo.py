"""Demo: start a small system of real processes, and send one model request and one service call.

Run it with ``make demo``. It prints ``demo: ok`` and exits with code 0 if both answers are complete.
"""

import secrets
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.calls import ChatStream, Reply
from features.support.cluster import Cluster
from features.support.operator_files import MODEL, SERVICE, ZONES
from features.support.processes import wait_until

TEXT = "please draft a birthday party package for twelve children on Saturday"
TOKENS = 24
CONFIRMATION = {"family": "Haddad", "slot": "Saturday 15:00"}


def make_trace_parent() -> str:
    """Return a ``traceparent`` header for a new trace."""
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-01"


def list_spans(cluster: Cluster, trace_id: str) -> list[dict[str, Any]]:
    """Return the spans of a trace that the entry daemons logged."""
    logged = [span for item in cluster.list_daemons() for span in item.list_events("span_ended")]
    return [span for span in logged if span["trace_id"] == trace_id]


def has_child(spans: list[dict[str, Any]], parent_id: str) -> bool:
    """Return whether a child span of `parent_id` has ended, which it does after all its descendants."""
    return any(span["parent_id"] == parent_id for span in spans)


def show_spans(cluster: Cluster, parent: str) -> None:
    """Print the spans of a trace."""
    _, trace_id, caller_span, _ = parent.split("-")
    print(f"  trace {trace_id}")
    print(f"  span {caller_span} the caller")
    wait_until(lambda: has_child(list_spans(cluster, trace_id), caller_span), "the daemon's span")
    for span in list_spans(cluster, trace_id):
        print(
            f"  span {span['span_id']} under {span['parent_id']}: {span['span']}, "
            f"{span['duration_ms']} ms, by {span['process']}"
        )


def show_chat(cluster: Cluster) -> list[str]:
    """Send one streamed model request; return the problems found in its answer."""
    parent = make_trace_parent()
    stream: ChatStream = cluster.chat(TEXT, TOKENS, traceparent=parent).read_all()
    print(f"model request: {stream.status}, {stream.reply_headers['x-request-id']}")
    if stream.reply is not None:
        return [f"model request refused: {stream.reply.body!r}"]
    problems = stream.check.list_problems()
    print(f"  {stream.check.tokens} tokens of {TOKENS}, usage {stream.check.usage}")
    for name in list_standins(cluster, "engine"):
        for stream_id, span in cluster.read_stats(name)["trace_parents"].items():
            print(f"  run by {name} as {stream_id}, called under span {span.split('-')[2]}")
    show_spans(cluster, parent)
    return problems + ([f"connection lost: {stream.lost}"] if stream.lost else [])


def show_service_call(cluster: Cluster) -> list[str]:
    """Send one call of the plain service; return the problems found in its answer."""
    parent = make_trace_parent()
    headers = {"Idempotency_Key": "demo-1", "traceparent": parent}
    reply: Reply = cluster.call_service("/confirmations", CONFIRMATION, **headers)
    print(f"service call: {reply.status}, {reply.headers['x-request-id']}")
    if reply.status != 200:
        return [f"service call: {reply.status} {reply.body!r}"]
    span = reply.json["traceparent"].split("-")[2]
    print(f"  run by {reply.json['service']}, called under span {span}")
    show_spans(cluster, parent)
    runs = [cluster.read_stats(name)["runs"] for name in list_standins(cluster, "service")]
    return [] if sum(runs) == 1 else [f"the call ran {sum(runs)} times"]


def list_standins(cluster: Cluster, kind: str) -> list[str]:
    """Return the names of the stand-ins of a kind."""
    return [name for name in cluster.programs if name.startswith(f"{kind}-")]


def main() -> int:
    """Run the demo and return its exit code."""
    cluster = Cluster()
    try:
        cluster.build(entry_settings={"traces": "log"}, as_operator=True)
        print(f"{len(cluster.programs)} processes in zones {', '.join(ZONES)}")
        print(
            f"revision {cluster.revision} applied by hemlock-ctl: model {MODEL}, service {SERVICE}"
        )
        problems = show_chat(cluster) + show_service_call(cluster)
    finally:
        cluster.close()
    for problem in problems:
        print("wrong:", problem)
    print("demo: failed" if problems else "demo: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
