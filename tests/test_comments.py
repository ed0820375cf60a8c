"""Comments in the package state reasons; they do not report how a value was chosen."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "hemlockswitch"
STORIES = {
    "a run with seeds": r"\bseeds? \d",
    "what a trial earned": r"\bearned 0\.\d",
    "a replay": r"\bin the replay\b",
    "a bench": r"\bbench(es|mark)?\b(?!-)",
    "a played day": r"\b(that|played|quiet|standard) day\b|\bdays? of the sheets?\b",
    "a date": r"\b20\d\d-\d\d-\d\d\b(?!T)",
    "an issue": r"\bissue #?\d",
    "a site": r"\b(qafza|driftwood|tegangan)-\w+",
    "how a value was found": r"\b(chosen,? not measured|measured,? not chosen|chosen by (trial|hand))\b",
    "a verb of people for a machine": (
        r"\b(daemon|gateway|server|process|controller|watcher|member|peer|engine|client|service|store)s? "
        r"(has |have )?(hears?|heard|tells?|told|knows?|knew|believes?|believed|wishes|forgets?|forgot)\b"
    ),
    "figures of one run": r"\b(took|gave|came to|left) \d[\d.,]* (of the|requests|ms of)\b",
}


def list_texts():
    """Return (position, line) of each line of the package that is not a doc string example."""
    for path in sorted(PACKAGE.rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if not line.lstrip().startswith((">>>", "...")):
                yield f"{path.relative_to(PACKAGE)}:{number}", line


@pytest.mark.parametrize("story", STORIES)
def test_comments_do_not_report_how_a_value_was_chosen(story):
    pattern = re.compile(STORIES[story], re.IGNORECASE)
    assert [place for place, line in list_texts() if pattern.search(line)] == []


@pytest.mark.parametrize(
    ("story", "line"),
    [
        ("a run with seeds", "In tests/herd_replay.py, seeds 1 to 3, it rises."),
        ("what a trial earned", "0.4 earned 0.346 of the worth"),
        ("a site", "as on qafza-book"),
        ("how a value was found", "Chosen, not measured."),
        ("a verb of people for a machine", "while other gateways have heard nothing"),
        ("a verb of people for a machine", "What the daemon knows of its zone."),
        ("figures of one run", "it took 0.9 ms of the 1.9 ms"),
    ],
)
def test_patterns_match_such_comments(story, line):
    assert re.search(STORIES[story], line, re.IGNORECASE)
