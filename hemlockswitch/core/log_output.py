"""Non-blocking output of log lines through a bounded queue."""

import os
from collections import deque

MAX_QUEUED_LINES = 2_000
"""Queue bound while the reader is slow: a few seconds of a busy daemon, under a megabyte."""


class BoundedOutput:
    """A text file whose `write` never blocks; when the queue is full, the oldest lines are dropped.

    Parameters
    ==========

    descriptor : a file descriptor; it is set to non-blocking mode.
    max_lines : maximum number of queued lines.

    `dropped` counts the lines that were dropped.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_QUEUED_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._queue: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Queue `text` and write as much as the descriptor accepts."""
        self._queue.append(text.encode())
        self.flush()
        while len(self._queue) > self._max_lines:
            # The first entry may be partly written; dropping it would join two lines.
            del self._queue[1]
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Write as much of the queue as the descriptor accepts without blocking."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._queue.clear()  # The reader has closed the pipe; the error cannot be reported.
                return
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()
