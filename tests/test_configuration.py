"""Tests of the configuration in force and of its dissemination.

They guard against a daemon that returns to an older revision because of a stale read or a late
message, and against one that misses a revision or requests the complete file needlessly.
"""

import json

import pytest

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import ManualClock, SystemClock
from hemlockswitch.core.errors import ConfigurationError, ErrorKind, PlatformError
from hemlockswitch.process.controller import CurrentFile
from hemlockswitch.process.gossip.state import GossipState
from hemlockswitch.process.revisions.configuration import Configuration
from hemlockswitch.process.revisions.updates import RevisionUpdater
from hemlockswitch.process.servers.watchers import Pointer
from hemlockswitch.version.checks import parse_file
from hemlockswitch.version.revisions import Revision


def make_revision(number, copies=1, models=1):
    rows = [{"name": f"m{row:05}", "licensed_copies": copies} for row in range(models)]
    text = json.dumps({"zones": ["abdoun-hall"], "models": rows})
    return Revision.from_checked(parse_file(text), number, f"apply-{number}", number - 1, 0)


def test_an_older_or_equal_revision_is_never_taken():
    configuration = Configuration(ManualClock())
    numbers = []
    configuration.add_listener(lambda revision: numbers.append(revision.number))
    taken = [configuration.adopt(make_revision(number)) for number in (2, 1, 2, 5, 3)]
    assert taken == [True, False, False, True, False]
    assert numbers == [2, 5]


def test_without_a_revision_the_file_is_refused():
    with pytest.raises(ConfigurationError) as caught:
        _ = Configuration(ManualClock()).file
    assert caught.value.kind is ErrorKind.NOT_READY


def test_a_damaged_revision_is_refused():
    value = make_revision(1).to_value()
    value["file"]["zones"] = ["other"]
    with pytest.raises(ConfigurationError, match="digest"):
        Revision.from_value(value)


class Daemon:
    """The parts of a daemon that store and disseminate revisions."""

    def __init__(self, peers=(), platform=None):
        self.configuration = Configuration(SystemClock())
        self.gossip_state = GossipState()
        self.network = PeerNetwork("c", "d")
        self.network.start()
        self.platform_reads = 0
        self.platform = platform
        self.updater = RevisionUpdater(
            self.configuration,
            self.gossip_state,
            self.network,
            lambda: [peer.network.address for peer in peers],
            self.read_platform,
            SystemClock(),
        )

    def read_platform(self):
        self.platform_reads += 1
        if self.platform is None:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
        return self.platform

    def receive_announcement(self, other):
        self.gossip_state.record(other.gossip_state.find("revision"))


@pytest.fixture
def start():
    started = []

    def start_one(*peers, platform=None):
        started.append(Daemon(peers, platform))
        return started[-1]

    yield start_one
    for daemon in started:
        daemon.network.stop()


def test_a_small_change_is_received_by_gossip(start):
    first, second = start(), start()
    for daemon in (first, second):
        daemon.configuration.adopt(make_revision(1))
    first.configuration.adopt(make_revision(2, copies=2))
    second.receive_announcement(first)
    assert second.updater.catch_up()
    assert second.configuration.digest == first.configuration.digest
    assert second.updater.counts.by_news == 1


def test_a_daemon_that_missed_revisions_gets_the_difference(start):
    first = start()
    second = start(first)
    for daemon in (first, second):
        daemon.configuration.adopt(make_revision(1))
    for number in (2, 3, 4):
        first.configuration.adopt(make_revision(number, copies=number))
    second.receive_announcement(first)
    assert second.updater.catch_up()
    assert second.configuration.revision == 4
    assert (second.updater.counts.by_difference, second.updater.counts.by_whole) == (1, 0)


def test_a_new_daemon_without_the_platform_gets_the_complete_file_from_a_peer(start):
    first = start()
    second = start(first)
    first.configuration.adopt(make_revision(7, models=2_000))
    assert not second.configuration.is_ready
    assert second.updater.catch_up()
    assert second.configuration.digest == first.configuration.digest
    assert second.updater.counts.by_whole == 1


def test_a_new_daemon_adopts_the_highest_revision_of_its_peers(start):
    behind, ahead = start(), start()
    behind.configuration.adopt(make_revision(3))
    ahead.configuration.adopt(make_revision(4))
    new = start(behind, ahead)
    assert new.updater.catch_up()
    assert [step.number for step in new.configuration.adoptions] == [4]


def test_a_daemon_without_the_announced_revision_stays_behind(start):
    behind, ahead = start(), start()
    behind.configuration.adopt(make_revision(3))
    ahead.configuration.adopt(make_revision(4))
    new = start(behind)
    new.receive_announcement(ahead)
    ahead.network.stop()
    assert not new.updater.catch_up()
    assert new.configuration.revision == 3


def test_changes_that_do_not_fit_the_revision_are_refused(start):
    first = start()
    second = start(first)
    first.configuration.adopt(make_revision(1))
    second.configuration.adopt(make_revision(1, copies=9))
    first.configuration.adopt(make_revision(2, copies=2))
    second.receive_announcement(first)
    assert second.updater.catch_up()
    assert second.configuration.digest == first.configuration.digest
    assert second.updater.counts.by_whole == 1


class StalePlatform:
    """A platform that always returns revision 1."""

    def read(self, kind, name):
        revision = make_revision(1)
        value = revision.to_pointer() if kind == "pointers" else revision.to_value()
        return StoredObject(kind, name, 1, value)


def test_a_controller_started_on_stale_reads_adopts_the_newer_file_of_the_daemons(start):
    daemon = start()
    daemon.configuration.adopt(make_revision(2, copies=5))
    network = PeerNetwork("c", "controller")
    network.start()
    current = CurrentFile(StalePlatform(), network, lambda: [daemon.network.address], SystemClock())
    assert current.refresh().models[0].licensed_copies == 5
    daemon.configuration.adopt(make_revision(3, copies=6))
    assert current.refresh().models[0].licensed_copies == 6
    network.stop()


class OldWatch:
    """A platform whose first watch returns a stale pointer with the newest list version."""

    def __init__(self):
        self.asked = 0

    def watch(self, kind, since, wait_ms, prefix=""):
        self.asked += 1
        version, number = (5, 1) if self.asked == 1 else (9, 2)
        if version <= since:
            return ObjectPage((), 9)
        value = make_revision(number).to_pointer()
        return ObjectPage((StoredObject("pointers", "current", version, value),), 9)


def test_a_change_is_not_missed_after_a_watch_that_returned_a_stale_pointer():
    seen = []
    pointer = Pointer(OldWatch(), "pointers", "current", lambda item: seen.append(item.version))
    for _ in range(3):
        pointer.query()
    assert seen == [5, 9]
