"""Every error kind has an answer; a kind without one would raise `KeyError` when it is raised."""

from hemlockswitch.core.errors import ANSWERS, ErrorKind


def test_every_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)
