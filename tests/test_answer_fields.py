"""Unknown header fields in backend servers' answers."""

import pytest

from hemlockswitch.core.logs import set_log_writer
from hemlockswitch.platform.answer_fields import MAX_UNKNOWN_FIELDS, UnknownFields


@pytest.fixture
def lines():
    written = []
    set_log_writer(lambda event, level, fields: written.append((event.label, fields)))
    yield written
    set_log_writer(lambda event, level, fields: None)


# Guards against a statement of a server that nobody reads and no log shows.
def test_each_unknown_field_is_logged_once(lines):
    fields = UnknownFields()
    for _ in range(3):
        fields.record([("Date", "now"), ("Server-Limit", "1.3"), ("server-limit", "2")])
    assert lines == [("answer_field_unknown", {"field": "Server-Limit", "value": "1.3"})]


def test_names_and_values_are_bounded(lines):
    fields = UnknownFields()
    for number in range(3 * MAX_UNKNOWN_FIELDS):
        fields.record([(f"X-{number}", "v" * 1_000)])
    assert len(lines) == len(fields.names) == MAX_UNKNOWN_FIELDS
    assert all(len(line["value"]) == 80 for _, line in lines)
