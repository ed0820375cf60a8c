"""An object store that comes back from a copy some seconds old, and hands its revisions out again.

Guards against two holders of the duties whose fencing numbers fall, and against gateways that take the new
objects for old ones until the revisions have risen above those of before: both took the store's revision for
an order that never goes back.
"""

import pytest

from tests.gateway_site import Site

LOST_CHANGES = 300
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
