"""Route lookup and the split of requests between services in a serving table."""

from collections import Counter

import pytest

from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.request.dialect import RequestFacts
from hemlockswitch.request.forward_admission import admit_request
from hemlockswitch.version.serving_table import (
    CallerLimits,
    RequestKind,
    Route,
    ServiceWeight,
    ServingTable,
)


def make_route(name, prefix, kind=RequestKind.IDEMPOTENT, targets=(("s", 1),), **other):
    weights = tuple(ServiceWeight(*target) for target in targets)
    return Route(name, "a.example", prefix, kind, 100.0, 50.0, 0, weights, **other)


def make_table(*routes):
    return ServingTable(1, routes, {}, CallerLimits(), {})


def test_longest_prefix_wins_regardless_of_order():
    table = make_table(make_route("short", "/a/"), make_route("long", "/a/b/"))
    assert table.find_route("a.example", "/a/b/c").name == "long"
    assert table.find_route("a.example", "/a/c").name == "short"


def test_hosts_are_case_insensitive_and_paths_are_not():
    table = make_table(make_route("r", "/a/"))
    assert table.find_route("A.Example", "/a/x") is not None
    assert table.find_route("a.example", "/A/x") is None


def test_split_follows_the_weights_and_is_stable_per_identifier():
    route = make_route("r", "/a/", targets=(("s", 90), ("t", 10)))
    chosen = Counter(route.choose_service(f"id-{number}") for number in range(2_000))
    assert 0.07 < chosen["t"] / 2_000 < 0.13
    assert route.choose_service("id-1") == route.choose_service("id-1")


# Guards against a stream going on at another service than the one that began it.
def test_attempts_of_one_stream_go_to_the_service_of_the_first():
    targets = (("s", 50), ("t", 50))
    table = make_table(make_route("r", "/a/", RequestKind.STREAM, targets, is_resumable=True))
    request = ReceivedRequest("POST", "/a/x", ())
    for number in range(50):
        first = RequestFacts(f"first-{number}", "a.example")
        again = RequestFacts(f"again-{number}", "a.example", resumes=f"first-{number}")
        services = {admit_request(table, request, facts, None).service for facts in (first, again)}
        assert len(services) == 1


def test_service_with_weight_zero_receives_no_requests():
    route = make_route("r", "/a/", targets=(("s", 0), ("t", 5)))
    assert {route.choose_service(str(number)) for number in range(100)} == {"t"}


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (RequestKind.IDEMPOTENT, False, True),
        (RequestKind.AT_MOST_ONCE, False, False),
        (RequestKind.STREAM, False, False),
        (RequestKind.STREAM, True, True),
    ],
)
def test_kind_decides_whether_a_request_is_repeatable(kind, resumable, repeatable):
    assert make_route("r", "/", kind, is_resumable=resumable).is_repeatable is repeatable


def test_route_without_targets_is_rejected():
    with pytest.raises(ConfigurationError):
        make_route("r", "/", targets=())
