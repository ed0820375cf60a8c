"""Unknown header fields in backend servers' answers."""

import pytest

from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from hemlockswitch.platform.answer_fields import MAX_UNKNOWN_FIELDS, UnknownFields


@pytest.fixture
def lines():
    written = []
    set_log_writer(lambda event, level, fields: written.append((event.label, fields)))
    yield written
    set_log_writer(_write_by_structlog)


# Guards against a statement of a server that nobody reads and no log shows.
def test_each_unknown_field_is_logged_once(lines):
    fields = UnknownFields(frozenset({"date"}))
    for _ in range(3):
        fields.record([("Date", "now"), ("Server-Mood", "1.3"), ("server-mood", "2")])
    assert lines == [("answer_field_unknown", {"field": "Server-Mood", "value": "1.3"})]


def test_names_and_values_are_bounded(lines):
    fields = UnknownFields(frozenset({"date"}))
    for number in range(3 * MAX_UNKNOWN_FIELDS):
        fields.record([(f"X-{number}", "v" * 1_000)])
    assert len(lines) == len(fields.names) == MAX_UNKNOWN_FIELDS
    assert all(len(line["value"]) == 80 for _, line in lines)
