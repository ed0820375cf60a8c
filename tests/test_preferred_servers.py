"""The cached preferred servers of shared prompt parts always equal those of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.request.preferred_servers import (
    CACHED_RANKS,
    PREFERRED_COUNT,
    PreferredServers,
    rank_preferred_servers,
)

NAMES = [f"server-{number}" for number in range(40)]


@given(st.lists(st.sets(st.sampled_from(NAMES), min_size=1), min_size=1, max_size=8))
def test_cached_ranks_match_the_present_servers(server_sets):
    """Servers are added, removed and added again; some are excluded from a request."""
    preferred = PreferredServers()
    for present in server_sets:
        for key in ("part-1", "part-2"):
            expected = rank_preferred_servers(key, present)
            assert preferred.rank(key, sorted(present)) == {
                name: rank for rank, name in enumerate(expected)
            }


def test_part_is_ranked_once_while_servers_are_unchanged(monkeypatch):
    preferred = PreferredServers()
    preferred.rank("part", NAMES)
    monkeypatch.setattr("hemlockswitch.request.preferred_servers.rank_preferred_servers", None)
    assert len(preferred.rank("part", NAMES[3:])) == PREFERRED_COUNT


def test_removed_servers_are_evicted():
    preferred = PreferredServers()
    for generation in range(200):
        names = [f"{generation}-{number}" for number in range(CACHED_RANKS)]
        preferred.rank("part", names)
    assert len(preferred._ranked_names) <= 6 * CACHED_RANKS
