"""An object store that comes back from a copy some seconds old, and hands its revisions out again.

Guards against two holders of the duties whose fencing numbers fall, and against gateways that take the new
objects for old ones until the revisions have risen above those of before: both took the store's revision for
an order that never goes back.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.connection.store_order import (
    REVISION_BITS,
    find_era,
    find_revision,
    make_version,
)
from hemlockswitch.connection.stored_objects import Conflict, Unknown, Written
from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import HistoryGoneError
from hemlockswitch.platform.store import ObjectStore
from tests.gateway_site import Site, make_manifest
from tests.return_replay import TERM_MS, Replay

LOST_CHANGES = 300
MAX_CALLS = 30
"""Number of watches of a gateway that a return and a few changes may cost; without a pause there are 80 a second."""
CALLS_AFTERWARDS = 6
"""Number of calls of duties after a return, by which the lease has changed hands if it does."""


@pytest.fixture
def site():
    one = Site(gateways=3, usage_window_s=1.0, lease_term_ms=2_000)
    one.store.era = 1
    yield one
    one.close()


def find_holder(site):
    """Return the gateway that holds the duties, or None."""
    return next((one for one in site.gateways if one.duties is not None and one.duties.leads), None)


def await_call(site, condition=lambda call: True):
    """Wait for a further call of a duty that meets a condition, and return it."""
    before = len(site.store.cloud_calls)
    site.wait(lambda: any(condition(call) for call in site.store.cloud_calls[before:]))
    return next(call for call in site.store.cloud_calls[before:] if condition(call))


def return_after_changes(site):
    """Let the store come back from a copy after many changes, renewals of the lease and calls since."""
    earlier = site.store.make_copy()
    for number in range(LOST_CHANGES):
        site.store.put("beats", "one", {"number": number})
    await_call(site, lambda call: call["fence"] > earlier.revision + LOST_CHANGES)
    site.store.return_from(earlier)


def list_falls(site):
    """Return the pairs of successive calls of one subject whose fencing numbers fall."""
    falls, last = [], {}
    for call in site.store.cloud_calls:
        body = call["body"]
        subject = call["path"], body.get("service"), body.get("zone")
        if subject in last and call["fence"] < last[subject]["fence"]:
            falls.append((last[subject], call))
        last[subject] = call
    return falls


# Guards against a holder of the duties whose fencing number is lower than one that was seen before.
def test_fencing_numbers_never_fall_over_a_return_of_the_store(site):
    site.wait(lambda: find_holder(site) is not None)
    return_after_changes(site)
    for _ in range(CALLS_AFTERWARDS):
        await_call(site)
    assert list_falls(site) == []


def count_calls(site):
    """Return the number of watches that the store has got."""
    return sum(site.store.watch_calls.values()) + sum(site.store.check_calls.values())


# Guards against gateways that follow neither the registry nor the configuration after a return, and ask without pause.
def test_gateways_follow_the_store_soon_after_its_return(site):
    site.add_runner("app", work_ms=5)
    return_after_changes(site)
    before = count_calls(site)
    site.store.put("config", "main", make_manifest(version=7))
    site.add_runner("app", work_ms=5)
    site.wait(lambda: all(one.tables.current.revision == 7 for one in site.gateways))
    assert count_calls(site) - before < MAX_CALLS * len(site.gateways)


def test_configuration_does_not_go_back(site):
    site.wait(lambda: all(one.is_ready() for one in site.gateways))
    earlier = site.store.make_copy()
    site.store.put("config", "main", make_manifest(version=3))
    site.wait(lambda: all(one.tables.current.revision == 3 for one in site.gateways))
    site.store.return_from(earlier)
    site.store.put("config", "other", {})
    site.wait(
        lambda: all(find_era(one.followed.configuration.version) == 2 for one in site.gateways)
    )
    assert [one.tables.current.revision for one in site.gateways] == [3, 3, 3]


class TestClient:
    """The versions that the client of the store returns."""

    @pytest.fixture
    def site(self):
        one = Site(gateways=0)
        one.store.era = 1
        yield one
        one.close()

    @pytest.fixture
    def client(self, site):
        one = ObjectStore(site.store_address, SystemClock())
        yield one
        one.close()

    # Guards against a write whose condition names a revision that the store has handed out again.
    def test_write_on_a_version_of_an_earlier_era_conflicts(self, site, client):
        site.store.put("notes", "a", {"number": 1})
        earlier = site.store.make_copy()
        found = client.read("notes", "a")
        assert isinstance(client.update("notes", "a", {"number": 2}, found.version), Written)
        lost = client.read("notes", "a")
        site.store.return_from(earlier)
        again = site.store.put("notes", "a", {"number": 3})
        assert again.revision == find_revision(lost.version)
        other = ObjectStore(site.store_address, SystemClock())
        assert isinstance(client.update("notes", "a", {"number": 4}, lost.version), Unknown)
        assert find_era(client.read("notes", "a").version) == 2
        assert client.update("notes", "a", {"number": 5}, lost.version) == Conflict(0)
        assert other.read("notes", "a").value == {"number": 4}
        other.close()

    # Guards against a watch that skips changes as the store has passed its revision again.
    def test_watch_from_an_earlier_era_has_lost_its_history(self, site, client):
        earlier = site.store.make_copy()
        page = client.list("servers")
        site.store.return_from(earlier)
        for number in range(5):
            site.store.put("beats", "one", {"number": number})
        with pytest.raises(HistoryGoneError):
            client.watch("servers", page.version, 10)
        later = client.list("servers")
        assert later.version > page.version
        assert client.watch("servers", later.version, 10).version >= later.version

    def test_answer_without_a_readable_era_counts_as_one_of_the_last_era(self, site, client):
        first = client.list("servers").version
        for era in (0, "", "x", -1):
            site.store.era = era
            assert find_era(client.list("servers").version) == find_era(first) == 1

    def test_store_that_states_no_era_has_plain_revisions(self, site):
        site.store.era = 0
        plain = ObjectStore(site.store_address, SystemClock())
        assert plain.list("servers").version == site.store.revision
        plain.close()


@given(
    st.integers(0, 100),
    st.integers(0, 2**REVISION_BITS - 1),
    st.integers(0, 100),
    st.integers(0, 2**REVISION_BITS - 1),
)
def test_versions_are_ordered_by_era_and_then_by_revision(era, revision, other_era, other):
    version, compared = make_version(era, revision), make_version(other_era, other)
    assert (version < compared) == ((era, revision) < (other_era, other))
    assert (find_era(version), find_revision(version)) == (era, revision)


# Guards against two holders, and against a late write that takes the lease from its holder for another one.
@pytest.mark.parametrize(
    "candidates, seed, era",
    [(3, 74, 1), (9, 112, 1), *((5, seed, seed % 2) for seed in range(12))],
)
def test_no_fencing_number_falls_or_is_shared_in_a_replay(candidates, seed, era):
    state = random.getstate()
    result = Replay(seed, candidates, era).run()
    random.setstate(state)
    assert result.returns > 0
    assert (result.falls, result.shared) == ([], [])


# Guards against a candidate that creates a lease which the store has lost while its holder still acts.
@pytest.mark.parametrize("era", [1, 2])
def test_candidate_waits_for_a_term_if_the_lease_is_missing_after_a_return(era):
    replay = Replay(seed=1, candidates=2, era=era)
    replay.service.make_copy()
    for candidate in replay.candidates:
        candidate.client.hear()
    candidate = replay.candidates[0]
    candidate.lease.run_step()
    assert not candidate.lease.is_held
    replay.clock.ms += TERM_MS
    candidate.lease.run_step()
    assert not candidate.lease.is_held
    replay.clock.ms += TERM_MS
    candidate.lease.run_step()
    assert candidate.lease.is_held
