"""Where log lines go: a file descriptor that is never waited on, with a bounded queue."""

import os
from collections import deque

MOST_QUEUED_LINES = 2_000
"""Lines kept while nobody reads: a few seconds of a busy daemon, under a megabyte."""


class BoundedOutput:
    """A text file whose `write` never blocks; the oldest lines are dropped when nobody reads.

    Parameters
    ==========

    descriptor : a file descriptor; it is made non-blocking.
    most_lines : bound of the queue.

    `dropped` counts the lines that were lost.
    """

    def __init__(self, descriptor: int, most_lines: int = MOST_QUEUED_LINES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._most_lines = most_lines
        self._queue: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Queue `text` and write what the reader takes."""
        self._queue.append(text.encode())
        self.flush()
        while len(self._queue) > self._most_lines:
            # The first entry may be half written; dropping it would join two lines.
            del self._queue[1]
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._queue.clear()  # The reader is gone for good; there is nobody to tell.
                return
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()
