"""The error table is complete."""

from hemlockswitch.core.errors import ANSWERS, ErrorKind


def test_every_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)
