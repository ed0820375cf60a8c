"""Streams of a service whose servers run two software versions go on at the version that began them.

Real gateways in one process; the stand-in servers write their version into each event.
"""

import re

import pytest

from hemlockswitch.standin.runner import RunnerFaults
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
