"""Applying the difference of two configurations gives exactly the second one.

Daemons receive a new revision as a difference; a wrong one would give daemons different
configurations under one revision number.
"""

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


def test_applied_difference_equals_the_new_tree():
    source = random.Random(4)
    for _ in range(300):
        old, new = make_random_tree(source), make_random_tree(source)
        changes = unpack_changes(pack_changes(compare_trees(old, new)))
        assert digest_tree(apply_changes(old, changes)) == digest_tree(new)


def test_change_of_one_account_is_a_single_change():
    old = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 1}]}
    new = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 2}]}
    assert compare_trees(old, new) == [Put(("accounts", "b", "rate"), 2)]
    assert describe_change(Put(("accounts", "b", "rate"), 2)) == "accounts/b/rate = 2"
    assert describe_change(Remove(("accounts", "a"))) == "accounts/a removed"


def test_applying_changes_neither_modifies_nor_copies_unchanged_subtrees():
    old = {"accounts": [{"name": "a", "rate": 1}, {"name": "b", "rate": 1}]}
    kept = json.dumps(old)
    new = apply_changes(old, [Put(("accounts", "b", "rate"), 2), Put(("accounts", "b", "x"), 3)])
    assert json.dumps(old) == kept
    assert new["accounts"][0] is old["accounts"][0]
    assert new["accounts"][1] == {"name": "b", "rate": 2, "x": 3}


def test_insertion_into_a_sorted_list_is_a_single_change():
    changes = compare_trees({"draining": ["a", "c"]}, {"draining": ["a", "b", "c"]})
    assert changes == [Put(("draining", "b"), "b")]


def test_integer_and_float_of_equal_value_differ():
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
def test_change_of_a_missing_path_is_rejected(change):
    with pytest.raises(ConfigurationError):
        apply_changes({"l": []}, [change])


@pytest.mark.parametrize("rows", [[[]], [["a"]], [[[1]]], [[["a"], 1, 2]], [[[], 1]]])
def test_malformed_change_rows_are_rejected(rows):
    with pytest.raises(ConfigurationError):
        unpack_changes(rows)
