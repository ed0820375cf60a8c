"""Boundaries of server-sent events, however the bytes of a stream are split into pieces."""

import random
import re

import pytest

from hemlockswitch.request.event_stream import EventSplitter

PARTS = (
    b"\n",
    b"\r",
    b"\r\n",
    b"\n\n",
    b"\r\n\r\n",
    b"\r\r",
    b"a",
    b"id: 1",
    b"data: b c",
    b": note",
)
LINE = re.compile(rb"([^\r\n]*)(\r\n|\r|\n|$)")
STREAMS = 3_000


def is_inside_event(stream):
    """Return whether a stream ends inside an event, by a reading of its lines one by one."""
    is_inside, last_end = False, b""
    for line, end in LINE.findall(stream):
        if line:
            is_inside = True
        elif end:
            is_half_end = end == b"\r" and stream.endswith(b"\r") and last_end in (b"\n", b"\r\n")
            is_last = len(stream) - len(end) == stream.rfind(b"\r")
            is_inside = is_inside and is_half_end and is_last
        last_end = end
    return is_inside


def split(stream, generator):
    """Return the bytes of a stream in random pieces."""
    pieces = []
    while stream:
        size = generator.randint(1, min(len(stream), 6))
        pieces.append(stream[:size])
        stream = stream[size:]
    return pieces


def feed(pieces, **kwargs):
    """Return a splitter after some pieces, and all that it returned."""
    splitter = EventSplitter(**kwargs)
    return splitter, b"".join([splitter.feed(piece).data for piece in pieces])


# Guards against an end between the two bytes of a line end, or between two pieces, being missed or invented.
def test_boundaries_do_not_depend_on_the_pieces():
    generator = random.Random(7)
    for _ in range(STREAMS):
        stream = b"".join(generator.choices(PARTS, k=generator.randint(1, 12)))
        pieces = split(stream, generator)
        splitter, passed = feed(pieces)
        assert stream.startswith(passed)
        assert len(passed) + splitter.open_bytes == len(stream), (stream, pieces)
        assert splitter.is_inside_event is is_inside_event(stream), (stream, pieces)
        assert splitter.is_inside_event is (splitter.open_bytes > 0)
        assert not is_inside_event(passed) or passed.endswith(b"\r")
        observer, observed = feed(pieces, holds_back=False)
        assert observed == stream
        assert observer.is_inside_event is splitter.is_inside_event
        assert observer.open_bytes == splitter.open_bytes


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_event_is_passed_on_as_soon_as_its_last_byte_arrives(line_end):
    event = b"id: 3" + line_end + b"data: x" + line_end + line_end
    splitter, passed = feed([event[position : position + 1] for position in range(len(event))])
    assert passed == event
    assert not splitter.is_inside_event and splitter.has_event


def test_blank_lines_alone_are_no_event():
    splitter, _ = feed([b"\n\r\n", b"\n"])
    assert not splitter.has_event and not splitter.is_inside_event
