"""An invalid operator file is rejected, and all its mistakes are reported at once.

A mistake that is missed reaches every daemon as an invalid configuration. One that is reported
without its path, or only after another is fixed, makes the operator search for it.
"""

import json
from pathlib import Path

import pytest

from hemlockswitch.version.checks import MAX_VALUE_BYTES, InvalidFileError, parse_file
from hemlockswitch.version.documents import digest_tree

KEY_HASH = "sha256:" + "a" * 64
EXAMPLES = sorted((Path(__file__).resolve().parent.parent / "docs" / "examples").glob("*.json"))
LIMITS = {"requests_per_second": 1, "tokens_per_second": 1, "concurrent_requests": 1}


def make_account(**changes):
    return {"name": "desk", "key_hash": KEY_HASH, "limits": LIMITS} | changes


def make_file(**changes):
    base = {
        "zones": ["abdoun-hall"],
        "client_accounts": [make_account()],
        "models": [{"name": "assistant-llm", "licensed_copies": 6}],
        "services": [{"name": "booking-app", "operations": [{"path": "/notes"}]}],
    }
    return base | changes


def list_mistakes(**changes):
    with pytest.raises(InvalidFileError) as caught:
        parse_file(json.dumps(make_file(**changes)))
    return {mistake.path: mistake.reason for mistake in caught.value.mistakes}


def test_valid_file_is_accepted():
    assert parse_file(json.dumps(make_file())).file.models[0].min_copies == 1


@pytest.mark.parametrize(
    ("changes", "path", "word"),
    [
        ({"zones": ["a", "a"]}, "zones[1]", "already"),
        ({"models": [{"name": "m", "licensed_copies": 0}]}, "models[0].licensed_copies", "greater"),
        ({"models": [{"name": "m", "licensed_copies": "6"}]}, "models[0].licensed_copies", "int"),
        (
            {"models": [{"name": "m", "licensed_copies": 2, "min_copies": 3}]},
            "models[0].min_copies",
            "licence allows 2",
        ),
        ({"models": [{"name": "booking-app", "licensed_copies": 1}]}, "services[0].name", "alread"),
        (
            {"models": [{"name": "m", "licensed_copies": 1, "max_tokens": 9000}]},
            "models[0].max_tokens",
            "context of 8192",
        ),
        (
            {"client_accounts": [make_account(uses=["other"])]},
            "client_accounts[0].uses[0]",
            "no mo",
        ),
        ({"draining": ["llm-1", "llm-1"]}, "draining[1]", "already"),
        ({"draining": ["abdoun-hall"]}, "draining[0]", "names zones[0]"),
        ({"speed": 1}, "speed", "extra"),
        (
            {"client_accounts": [make_account(), make_account(name="other")]},
            "client_accounts[1].key_hash",
            "already",
        ),
        (
            {"services": [{"name": "s", "operations": [{"path": "/a"}, {"path": "/a"}]}]},
            "services[0].operations[1].path",
            "already",
        ),
    ],
)
def test_mistake_is_reported_with_path_and_reason(changes, path, word):
    assert word in list_mistakes(**changes)[path]


def test_all_mistakes_are_reported_at_once():
    found = list_mistakes(
        zones="abdoun-hall",
        models=[{"name": "m", "licensed_copies": 1, "min_copies": 2}, {"name": "m"}],
        draining=["m"],
    )
    paths = {"zones", "models[0].min_copies", "models[1].name", "models[1].licensed_copies"}
    assert paths | {"draining[0]"} == set(found)


def test_file_above_the_value_size_limit_is_rejected():
    names = [f"vm-{number:050}" for number in range(MAX_VALUE_BYTES // 50)]
    assert str(MAX_VALUE_BYTES) in list_mistakes(draining=names)[""]


def test_duplicate_key_is_a_mistake():
    with pytest.raises(InvalidFileError, match="limits.queue_length: duplicate key"):
        parse_file('{"zones": ["a"], "limits": {"queue_length": 1, "queue_length": 2}}')


@pytest.mark.parametrize("text", ["", "{", "[1, NaN]", '["\\ud800"]', "[1e999]", "[" * 100_000])
def test_invalid_json_is_rejected(text):
    with pytest.raises(InvalidFileError, match="not JSON"):
        parse_file(text)


def test_digest_does_not_depend_on_the_order_of_named_lists():
    one = parse_file(json.dumps(make_file(zones=["a", "b"])))
    other = parse_file(json.dumps(make_file(zones=["b", "a"])))
    assert digest_tree(one.tree) == digest_tree(other.tree)


def test_mistake_does_not_disclose_the_value():
    found = list_mistakes(client_accounts=[make_account(key_hash="the-plain-key")])
    assert "the-plain-key" not in str(found)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_files_are_valid(path):
    assert len(parse_file(path.read_text()).file.zones) == 4


def test_account_may_call_only_listed_models_and_services():
    file = parse_file(json.dumps(make_file(client_accounts=[make_account(uses=["booking-app"])])))
    account = file.file.client_accounts[0]
    assert account.may_use("booking-app")
    assert not account.may_use("assistant-llm")
