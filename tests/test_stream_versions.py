"""Streams of a service whose servers run two software versions go on at the version that began them.

Real gateways in one process; the stand-in servers write their version into each event.
"""

import re

import pytest

from hemlockswitch.process.gateway.stored_streams import RECORDS_KIND, Segment
from hemlockswitch.request.stream_records import StreamKey
from hemlockswitch.standin.runner_models import RunnerFaults
from tests.gateway_site import Site, tokens

LAST = 12
CUT = 3
VERSIONS = ("v1", "v1.2")
MIN_SHARE = 0.5
"""Share of the streams that callers take up again, of the new ones that begin, that must go on."""


class VersionedSite(Site):
    """A site with two servers of each of two versions."""

    def __init__(self, gateways):
        super().__init__(gateways, repeat_extra=1_000)
        for version in VERSIONS * 2:
            self.add_runner("llm", version=version)

    def add_runner(self, service, version="v1", **settings):
        runner = super().add_runner(service, version=version, **settings)
        runner.state.settings = runner.state.settings.model_copy(update={"version": version})
        return runner

    def cut_streams(self):
        """Make each server break every stream off after `CUT` events."""
        for runner in self.runners:
            runner.fail(cut_after_events=CUT)

    def cut_next_stream(self):
        """Make the server of the next stream break it off after `CUT` events."""
        faults = [RunnerFaults(cut_after_events=CUT)]
        for runner in self.runners:
            runner.state.take_faults = lambda: faults.pop() if faults else RunnerFaults()

    def restart_gateway(self, number):
        """Replace a gateway by a new process of the same name."""
        old = self.gateways[number]
        old.callers.stop_accepting()
        old._close()
        del self.gateways[number]
        self.add_gateway(old.settings.name)
        self.gateways.insert(number, self.gateways.pop())

    def replace_all_gateways(self):
        """End all gateways, and start as many new processes of the same names."""
        names = [gateway.settings.name for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.callers.stop_accepting()
            gateway._close()
        self.gateways.clear()
        for name in names:
            self.add_gateway(name)
        self.await_servers()

    def await_saved(self):
        """Wait until the records of all streams are in the object service."""
        self.wait(lambda: len(self.list_saved()) >= len(self.list_recorded()))

    def list_saved(self):
        """Return the keys of the streams that are in the object service."""
        segments = [
            Segment.from_value(entry.spec, 0.0)
            for entry in self.store.list_kind(RECORDS_KIND).values()
        ]
        return {record.key for segment in segments for record in segment.records}

    def list_recorded(self):
        """Return the keys of the streams that some gateway knows."""
        return {
            StreamKey(digest, account, "llm")
            for gateway in self.gateways
            for account, records in gateway.streams._records._by_account.items()
            for digest in records
        }

    def await_servers(self):
        """Wait until every gateway knows every server."""
        for runner in self.runners:
            self.wait(
                lambda one=runner: all(self._knows(gateway, one) for gateway in self.gateways)
            )


@pytest.fixture
def make_site():
    sites = []

    def make(gateways):
        sites.append(VersionedSite(gateways))
        return sites[-1]

    yield make
    for site in sites:
        site.close()


def list_events(body):
    """Return (number, version) of each event."""
    found = re.findall(rb"id: (\d+)\ndata: \S+ \d+ (\S+)\n\n", body)
    return [(int(number), version.decode()) for number, version in found]


class Stream:
    """A stream as its caller sees it, over all attempts."""

    def __init__(self, site, gateway):
        self.site = site
        self.first_id = ""
        self.events = []
        self.status = 0
        self.is_whole = False
        self.ask(gateway)

    def ask(self, gateway, **fields):
        """Begin the stream, or go on after its last event."""
        request_id = self.site.make_id()
        headers = tokens(LAST)
        if self.events:
            headers["Last_Event_Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.first_id
        headers.update(fields)
        reply = self.site.ask("/reply/x", request_id, gateway=gateway, **headers)
        self.status, self.is_whole = reply.status, reply.is_whole and reply.status == 200
        if reply.status == 200:
            self.events += list_events(reply.body)
        if self.events and not self.first_id:
            self.first_id = request_id

    @property
    def is_mixed(self):
        """Whether it has events of two versions."""
        return len({version for _, version in self.events}) > 1

    @property
    def is_in_order(self):
        """Whether no event is missing and none comes twice."""
        return [number for number, _ in self.events] == list(range(1, len(self.events) + 1))


def begin_streams(site, count, gateways):
    """Return streams that were broken off after their first events, begun at some gateways in turn."""
    site.cut_streams()
    streams = [Stream(site, gateways[number % len(gateways)]) for number in range(count)]
    for runner in site.runners:
        runner.fail()
    return [stream for stream in streams if stream.events]


def assert_kept(streams, *, min_share=MIN_SHARE):
    """Check that no stream mixes versions, and that enough of them went on to their end."""
    assert not [stream.events for stream in streams if stream.is_mixed]
    assert all(stream.is_in_order for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= min_share * len(streams)


# Guards against an attempt within one answer going to a server of another version than the first event's.
def test_answer_goes_on_at_the_version_of_its_first_event(make_site):
    site = make_site(3)
    streams = []
    for number in range(40):
        site.cut_next_stream()
        streams.append(Stream(site, number % 3))
    assert_kept(streams, min_share=1.0)


# Guards against a stream that its caller takes up at another gateway going on at another version.
def test_caller_goes_on_at_the_version_of_the_first_event(make_site):
    site = make_site(3)
    streams = begin_streams(site, 40, gateways=[0])
    assert len(streams) == 40
    for number, stream in enumerate(streams):
        stream.ask(1 + number % 2)
    assert_kept(streams, min_share=1.0)


# Guards against the version being forgotten when gateways end.
def test_version_is_known_after_gateways_have_been_replaced(make_site):
    site = make_site(3)
    streams = begin_streams(site, 30, gateways=[0, 1])
    for number in (0, 1):
        site.restart_gateway(number)
    site.await_servers()
    for number, stream in enumerate(streams):
        stream.ask(number % 3)
    assert_kept(streams)


# Guards against streams being refused because all gateways that knew their versions ended at once.
def test_version_is_known_after_all_gateways_have_been_replaced(make_site):
    site = make_site(3)
    streams = begin_streams(site, 30, gateways=[0, 1, 2])
    assert len(streams) == 30
    site.await_saved()
    site.replace_all_gateways()
    for number, stream in enumerate(streams):
        stream.ask(number % 3)
    assert_kept(streams, min_share=1.0)


def take_up_elsewhere(site, *, break_version):
    """Begin a stream at one gateway, change the servers of its version, and take it up at another gateway."""
    (stream,) = begin_streams(site, 1, gateways=[0])
    version = stream.events[0][1]
    break_version([runner for runner in site.runners if runner.version == version])
    request_id = site.make_id()
    fields = {"Last_Event_Id": str(stream.events[-1][0]), "Resumes": stream.first_id}
    reply = site.ask("/reply/x", request_id, gateway=1, **fields, **tokens(LAST))
    assert not any(runner.count_runs(request_id) for runner in site.runners)
    return reply


def remove(site, runners):
    """Remove the registry entries of runners, and wait until every gateway knows."""
    for runner in runners:
        site.store.remove("servers", runner.name)
    names = {runner.name for runner in runners}
    site.wait(
        lambda: not any(
            names & {one.name for one in gateway.registry.list_ready("llm")}
            for gateway in site.gateways
        )
    )


def state_limit(site, runners, limit):
    """Let runners state a rate limit, and wait until every gateway knows."""
    for gateway in site.gateways:
        for runner in runners:
            (server,) = [
                one for one in gateway.registry.list_ready("llm") if one.name == runner.name
            ]
            gateway.permits.record_answer(server, limit, gateway._clock.now_ms())


# Guards against a refusal that names the limits of servers which could not go on with the stream anyway.
def test_stream_without_a_server_of_its_version_is_refused_for_that(make_site):
    site = make_site(2)

    def break_version(same):
        remove(site, same)
        state_limit(site, [one for one in site.runners if one not in same], 0.0)

    reply = take_up_elsewhere(site, break_version=break_version)
    assert reply.status == 503
    assert reply.body.startswith(b"no_backend: no backend server of version")


# Guards against a caller being told to return when a server of another version has a permit.
def test_stream_whose_servers_are_limited_returns_when_one_of_its_version_may_take_it(make_site):
    site = make_site(2)
    reply = take_up_elsewhere(site, break_version=lambda same: state_limit(site, same, 0.0))
    assert reply.status == 503
    assert reply.body.startswith(b"overloaded: every backend server of version")
    assert float(reply.headers["retry-after"]) > 0


# Guards against callers filling the log, or their own error, with the text of a header.
def test_long_identifier_of_a_stream_is_refused_and_shown_in_part(make_site):
    site = make_site(2)
    fields = {"Last_Event_Id": "3", "Resumes": "x" * 5_000}
    reply = site.ask("/reply/x", **fields, **tokens(LAST))
    assert (reply.status, reply.body.split(b":")[0]) == (503, b"stream_version_unknown")
    assert len(reply.body) < 300
