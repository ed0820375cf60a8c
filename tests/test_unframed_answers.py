"""Answers with neither a length nor chunks, which end with the connection of their server."""

import pytest

from tests.gateway_site import Site, make_entry, tokens
from tests.scripted_server import End, Script, ScriptedServer
from tests.server_links import REFUSE, ServerLinks

OUTCOME_UNKNOWN_STATUS = 502
LAST = 6
BEGUN = 3
HTTP_VERSIONS = ("1.1", "1.0")
STREAMS = {"/draft/x": False, "/reply/x": True}
"""Stream routes, and whether their streams are resumable."""
CUTS = {
    "one byte": ("\n", "i"),
    "half a line": ("\n", "id: 4\ndata: no"),
    "an identifier": ("\n", "id: 4\n"),
    "no blank line": ("\n", "id: 4\ndata: no\n"),
    "a comment": ("\n", ": no\n"),
    "no blank line, CR LF": ("\r\n", "id: 4\r\ndata: no\r\n"),
    "between CR and LF": ("\r\n", "id: 4\r\ndata: no\r\n\r"),
    "no blank line, CR": ("\r", "id: 4\rdata: no\r"),
}
"""For each cut inside an event: the line end of the stream, and the bytes after the last whole event."""


def make_events(first, last, line_end="\n"):
    """Return events of a stream, each as a piece."""
    return tuple(
        f"id: {number}{line_end}data: event {number}{line_end}{line_end}".encode()
        for number in range(first, last + 1)
    )


def continue_stream(request, line_end="\n"):
    """Return the rest of the stream that a request asks for."""
    return make_events(int(request.get("last-event-id", "0")) + 1, LAST, line_end)


class FirstCut:
    """Chooses a script that is cut short for the first request, and a whole answer for any other."""

    def __init__(self, cut, make_whole):
        self._cut = cut
        self._make_whole = make_whole
        self._asked = 0

    def __call__(self, request):
        self._asked += 1
        return self._cut if self._asked == 1 else Script(self._make_whole(request))


class Bench:
    """A site with two scripted servers of a service."""

    def __init__(self, service, choose, http="1.1", gateways=1):
        self.site = Site(gateways)
        self.servers = [
            ScriptedServer(self.site, f"scripted-{number}", service, choose, http)
            for number in (1, 2)
        ]

    def ask(self, path, **headers):
        """Send a request and return its reply."""
        return self.site.ask(path, "id-1", **headers)

    def count_runs(self):
        """Return how many requests ran."""
        return sum(len(server.runs) for server in self.servers)

    def close(self):
        """Stop all processes."""
        for server in self.servers:
            server.close()
        self.site.close()


@pytest.fixture
def make_bench():
    benches = []

    def make(*args, **kwargs):
        benches.append(Bench(*args, **kwargs))
        return benches[-1]

    yield make
    for bench in benches:
        bench.close()


def find_stream_fault(bench, path, line_end):
    """Return what is wrong with the reply to a request whose first answer was cut short."""
    reply = bench.ask(path, **tokens(LAST))
    whole = b"".join(make_events(1, LAST, line_end))
    if not STREAMS[path]:
        if reply.is_whole and reply.status != OUTCOME_UNKNOWN_STATUS:
            return "framed as complete"
        return "" if bench.count_runs() == 1 else "sent again"
    if not reply.is_whole:
        return "broken off"
    return "" if reply.body == whole else f"framed as complete: {reply.body!r}"


# Guards against a clean end of the server's connection inside an event counting as the end of the stream.
def test_stream_that_ends_inside_an_event_is_not_complete(make_bench):
    faults = {}
    for http in HTTP_VERSIONS:
        for path in STREAMS:
            for cut, (line_end, torn) in CUTS.items():
                pieces = (*make_events(1, BEGUN, line_end), torn.encode())
                choose = FirstCut(
                    Script(pieces), lambda request, end=line_end: continue_stream(request, end)
                )
                fault = find_stream_fault(make_bench("llm", choose, http), path, line_end)
                if fault:
                    faults[http, path, cut] = fault
    assert not faults


# Guards against an answer being completed that ended because its server crashed between two events, before the
# first one, or within a plain body.
def test_answer_of_a_crashed_server_is_not_complete(make_bench):
    faults = {}
    for http in HTTP_VERSIONS:
        for path in STREAMS:
            for pieces, end in ((make_events(1, BEGUN), End.DEATH), ((), End.CLOSE)):
                choose = FirstCut(Script(pieces, end), continue_stream)
                fault = find_stream_fault(make_bench("llm", choose, http), path, "\n")
                if fault:
                    faults[http, path, len(pieces)] = fault
        for path, status in (("/check/x", 200), ("/hold/x", 502)):
            choose = FirstCut(Script((b"half ",), End.DEATH), lambda _: (b"half ", b"and half"))
            reply = make_bench("app", choose, http).ask(path)
            if reply.status != status or (status == 200 and reply.body != b"half and half"):
                faults[http, path] = (reply.status, reply.body)
    assert not faults


class LeavingCut(FirstCut):
    """As `FirstCut`, and lets the server that is asked first announce that it leaves, or be removed, before it answers."""

    def __init__(self, announce, cut, make_whole):
        super().__init__(cut, make_whole)
        self.bench = None
        self._announce = announce

    def __call__(self, request):
        if not self._asked:
            (server,) = [one for one in self.bench.servers if request in one.runs]
            self._announce(self.bench.site, server)
            self.bench.site.wait(lambda: not self._is_listed(server))
        return super().__call__(request)

    def _is_listed(self, server):
        gateways = self.bench.site.gateways
        ready = [one.name for gateway in gateways for one in gateway.registry.list_ready("llm")]
        return server.name in ready


def announce_draining(site, server):
    """Let a server announce that it leaves."""
    entry = make_entry(server.service, server.address, state="draining")
    site.store.put("servers", server.name, entry)


def remove_entry(site, server):
    """Remove the entry of a server, which goes on serving."""
    site.store.remove("servers", server.name)


# Guards against an answer being completed that ended because a server which is leaving ended between two events.
@pytest.mark.parametrize("announce", [announce_draining, remove_entry])
@pytest.mark.parametrize("path", STREAMS)
def test_answer_of_a_server_that_ends_while_leaving_is_not_complete(make_bench, announce, path):
    cut = Script(make_events(1, BEGUN), End.DEATH)
    choose = LeavingCut(announce, cut, continue_stream)
    choose.bench = make_bench("llm", choose)
    assert find_stream_fault(choose.bench, path, "\n") == ""
    assert choose.bench.site.gateways[0].guard.counts.ends == 0


# Guards against announced ends of servers counting as lost links of the gateway.
@pytest.mark.parametrize("announce", [announce_draining, remove_entry])
def test_end_of_a_server_that_is_leaving_raises_no_suspicion(make_bench, announce):
    choose = LeavingCut(announce, Script(make_events(1, BEGUN), End.DEATH), continue_stream)
    choose.bench = make_bench("llm", choose)
    gateway = choose.bench.site.gateways[0]
    failed = []
    record = gateway.reachability.record_unreachable
    gateway.reachability.record_unreachable = lambda server, **fields: (
        failed.append(server.name),
        record(server, **fields),
    )
    choose.bench.ask("/draft/x", **tokens(LAST))
    assert gateway.guard._crash_detector._ended
    assert not failed


# Guards against a whole answer being broken off because its server is leaving.
@pytest.mark.parametrize("announce", [announce_draining, remove_entry])
@pytest.mark.parametrize("path", STREAMS)
def test_whole_answer_of_a_server_that_is_leaving_is_complete(make_bench, announce, path):
    choose = LeavingCut(announce, Script(make_events(1, LAST)), continue_stream)
    choose.bench = make_bench("llm", choose)
    reply = choose.bench.ask(path, **tokens(LAST))
    assert reply.is_whole and reply.body == b"".join(make_events(1, LAST))
    assert choose.bench.count_runs() == 1


# Guards against one crash counting twice: when the end of the answer is checked, and when the attempt fails.
@pytest.mark.parametrize("torn", [b"", b"id: 4\nda"])
def test_crash_at_the_end_of_an_answer_counts_once(make_bench, torn):
    cut = Script((*make_events(1, BEGUN), torn), End.DEATH)
    bench = make_bench("llm", FirstCut(cut, continue_stream))
    assert bench.ask("/reply/x", **tokens(LAST)).is_whole
    assert bench.site.gateways[0].guard.counts.ends == 1


# Guards against an end being judged differently if the connection to the server leads through another gateway.
@pytest.mark.parametrize("path", STREAMS)
@pytest.mark.parametrize(
    "cut",
    [
        Script((*make_events(1, BEGUN), b"id: 4\n")),
        Script(make_events(1, BEGUN), End.DEATH),
        Script(make_events(1, BEGUN), End.RESET),
    ],
)
def test_answer_that_is_cut_short_behind_a_tunnel_is_not_complete(make_bench, path, cut):
    bench = make_bench("llm", FirstCut(cut, continue_stream), gateways=2)
    links = ServerLinks()
    links.attach(bench.site.gateways[0])
    links.cut(bench.site.gateways[0], REFUSE)
    bench.site.wait(
        lambda: bench.site.gateways[0].links.detours._list_candidates(includes_isolated=False)
    )
    assert find_stream_fault(bench, path, "\n") == ""
    assert bench.site.gateways[0].links.detours.verdicts["open"] > 0


# Guards against all answers of a server being broken off after it had once been taken for ended.
@pytest.mark.parametrize("path", STREAMS)
def test_answers_of_a_server_that_was_wrongly_taken_for_ended_are_complete(make_bench, path):
    bench = make_bench("llm", lambda request: Script(continue_stream(request)))
    detector = bench.site.gateways[0].guard._crash_detector
    refuses = detector._refuses
    detector._refuses = lambda server: True
    bench.ask(path, **tokens(LAST))
    detector._refuses = refuses
    assert detector._ended
    replies = [bench.ask(path, **tokens(LAST)) for _ in range(4)]
    assert all(reply.is_whole for reply in replies)
    bodies = {reply.body for reply in replies}
    assert bodies == {b"".join(make_events(1, LAST))}
    assert bench.site.gateways[0].quarantine.list_accused() == []


# Guards against the check for a crash opening connections while the server is running.
def test_check_for_a_crash_reuses_connections(make_bench):
    bench = make_bench("llm", lambda request: Script(continue_stream(request)))
    answers = 20
    for _ in range(answers):
        assert bench.site.ask("/draft/x", **tokens(LAST)).is_whole
    opened = bench.site.gateways[0].observer.metrics.connections
    assert opened <= answers + len(bench.servers)


def test_crash_is_found_while_connections_to_the_server_are_idle(make_bench):
    choose = FirstCut(Script(make_events(1, BEGUN), End.DEATH), continue_stream)
    bench = make_bench("llm", choose)
    gateway = bench.site.gateways[0]
    for server in bench.servers:
        gateway.pool.preconnect(server.address, 1_000)
    assert find_stream_fault(bench, "/reply/x", "\n") == ""


# Guards against a framed answer of another type being taken for a stream that ended inside an event.
@pytest.mark.parametrize("path", STREAMS)
def test_framed_answer_of_another_type_is_complete(make_bench, path):
    body = b'{"status": "done"}\n'
    headers = ("Content-Type: application/json", f"Content-Length: {len(body)}")
    bench = make_bench("llm", lambda _: Script((body,), headers=headers))
    reply = bench.ask(path, **tokens(LAST))
    assert (reply.status, reply.body, reply.is_whole) == (200, body, True)


@pytest.mark.parametrize("path", STREAMS)
def test_framed_stream_that_ends_inside_an_event_is_not_complete(make_bench, path):
    torn = (*make_events(1, BEGUN), b"id: 4\nda")
    headers = ("Content-Type: text/event-stream", f"Content-Length: {sum(map(len, torn))}")
    choose = FirstCut(Script(torn, headers=headers), continue_stream)
    assert find_stream_fault(make_bench("llm", choose), path, "\n") == ""


def test_whole_answers_without_length_arrive_whole(make_bench):
    for http in HTTP_VERSIONS:
        for path in STREAMS:
            bench = make_bench("llm", lambda request: Script(continue_stream(request)), http)
            reply = bench.ask(path, **tokens(LAST))
            assert reply.is_whole and reply.body == b"".join(make_events(1, LAST))
            assert bench.count_runs() == 1
        for path in ("/check/x", "/hold/x"):
            bench = make_bench("app", lambda _: Script((b"whole ", b"answer")), http)
            reply = bench.ask(path)
            assert (reply.status, reply.body, reply.is_whole) == (200, b"whole answer", True)
            assert bench.count_runs() == 1


def test_log_states_how_the_end_of_an_answer_was_marked(make_bench):
    bench = make_bench("llm", lambda request: Script(continue_stream(request)))
    seen = []
    observer = bench.site.gateways[0].observer
    report = observer.request_ended
    observer.request_ended = lambda progress: (seen.append(progress), report(progress))
    bench.ask("/draft/x", **tokens(LAST))
    bench.site.wait(lambda: seen)
    assert (seen[0].answer_end, seen[0].unfinished_bytes) == ("connection", 0)
