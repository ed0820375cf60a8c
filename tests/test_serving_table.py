"""Routes, services and accounts of one configuration revision."""

from collections import Counter

import pytest

from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.version.serving_table import (
    CallerBounds,
    RequestKind,
    Route,
    ServiceWeight,
    ServingTable,
)


def make_route(name, prefix, kind=RequestKind.IDEMPOTENT, targets=(("s", 1),), **other):
    weights = tuple(ServiceWeight(*target) for target in targets)
    return Route(name, "a.example", prefix, kind, 100.0, 50.0, 0, weights, **other)


def make_table(*routes):
    return ServingTable(1, routes, {}, CallerBounds(), {})


def test_the_longest_prefix_wins_whatever_the_order():
    table = make_table(make_route("short", "/a/"), make_route("long", "/a/b/"))
    assert table.find_route("a.example", "/a/b/c").name == "long"
    assert table.find_route("a.example", "/a/c").name == "short"


def test_a_host_is_compared_without_case_and_a_path_with():
    table = make_table(make_route("r", "/a/"))
    assert table.find_route("A.Example", "/a/x") is not None
    assert table.find_route("a.example", "/A/x") is None


def test_a_split_follows_the_weights_and_stays_for_an_identifier():
    route = make_route("r", "/a/", targets=(("s", 90), ("t", 10)))
    chosen = Counter(route.choose_service(f"id-{number}") for number in range(2_000))
    assert 0.07 < chosen["t"] / 2_000 < 0.13
    assert route.choose_service("id-1") == route.choose_service("id-1")


def test_a_service_with_weight_zero_gets_nothing():
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
def test_what_may_be_repeated_follows_from_the_kind(kind, resumable, repeatable):
    assert make_route("r", "/", kind, is_resumable=resumable).is_repeatable is repeatable


def test_a_route_without_a_service_is_refused():
    with pytest.raises(ConfigurationError):
        make_route("r", "/", targets=())
