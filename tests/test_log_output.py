"""Log lines never wait for their reader, and take a bounded amount of memory."""

import os

from hemlockswitch.core.log_output import BoundedOutput


def test_a_reader_that_does_not_read_costs_no_waiting_and_bounded_memory():
    reading, writing = os.pipe()
    output = BoundedOutput(writing, most_lines=50)
    for number in range(20_000):
        output.write(f"line {number}\n")
    assert output.dropped > 10_000
    assert len(output._queue) <= 51
    os.close(reading)
    os.close(writing)


def test_a_reader_that_comes_late_gets_whole_lines():
    reading, writing = os.pipe()
    output = BoundedOutput(writing, most_lines=50)
    for number in range(20_000):
        output.write(f"line {number}\n")
    received = b""
    while output._queue:
        received += os.read(reading, 65_536)
        output.flush()
    received += os.read(reading, 65_536)
    lines = received.decode().splitlines()
    assert all(line.startswith("line ") and line[5:].isdigit() for line in lines)
    assert lines[-1] == "line 19999"
    os.close(reading)
    os.close(writing)


def test_a_reader_that_is_gone_is_no_error():
    reading, writing = os.pipe()
    output = BoundedOutput(writing)
    os.close(reading)
    output.write("line\n")
    os.close(writing)
