"""A difference applied gives the exact other file."""

import json
import random

import pytest

from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.version.differences import (
    Put,
    Remove,
    apply_changes,
    compare_trees,
    describe_change,
    pack_changes,
    unpack_changes,
)
from hemlockswitch.version.documents import digest_tree


def make_random_tree(source):
    names = sorted(source.sample(["a", "b", "c", "d", "e"], source.randint(0, 5)))
    return {
        "zones": source.sample(["x", "y", "z"], source.randint(1, 3)),
        "draining": sorted(source.sample(["p", "q", "r"], source.randint(0, 3))),
        "models": [
            {
                "name": name,
                "copies": source.randint(1, 3),
                "classes": ["r", "o"][: source.randint(0, 2)],
            }
            for name in names
        ],
        "limits": {key: source.choice([1, 1.0, None, "1", []]) for key in names},
    }


def test_every_difference_gives_the_exact_other_tree():
    source = random.Random(4)
    for _ in range(300):
        old, new = make_random_tree(source), make_random_tree(source)
        changes = unpack_changes(pack_changes(compare_trees(old, new)))
        assert digest_tree(apply_changes(old, changes)) == digest_tree(new)


def test_one_changed_account_is_one_change():
    old = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 1}]}
    new = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 2}]}
    assert compare_trees(old, new) == [Put(("accounts", "b", "rate"), 2)]
    assert describe_change(Put(("accounts", "b", "rate"), 2)) == "accounts/b/rate = 2"
    assert describe_change(Remove(("accounts", "a"))) == "accounts/a removed"


def test_the_tree_that_was_changed_stays_as_it_was_and_is_shared():
    old = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 1}]}
    kept = json.dumps(old)
    new = apply_changes(old, [Put(("accounts", "b", "rate"), 2), Put(("accounts", "b", "x"), 3)])
    assert json.dumps(old) == kept
    assert new["accounts"][0] is old["accounts"][0]
    assert new["accounts"][1] == {"name": "b", "rate": 2, "x": 3}


def test_one_more_name_in_a_sorted_list_is_one_change():
    changes = compare_trees({"draining": ["a", "c"]}, {"draining": ["a", "b", "c"]})
    assert changes == [Put(("draining", "b"), "b")]


def test_whole_numbers_and_fractions_are_told_apart():
    assert compare_trees({"a": 1}, {"a": 1.0}) == [Put(("a",), 1.0)]


@pytest.mark.parametrize(
    "change",
    [
        Remove(("a",)),
        Put(("a", "b"), 1),
        Remove(("l", "x")),
        Put(("l", "x"), 5),
        Put(("l", "x"), {"name": "y"}),
    ],
)
def test_a_change_of_a_place_that_is_not_there_is_refused(change):
    with pytest.raises(ConfigurationError):
        apply_changes({"l": []}, [change])


@pytest.mark.parametrize("rows", [[[]], [["a"]], [[[1]]], [[["a"], 1, 2]], [[[], 1]]])
def test_rows_that_are_no_changes_are_refused(rows):
    with pytest.raises(ConfigurationError):
        unpack_changes(rows)
