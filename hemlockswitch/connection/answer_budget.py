"""Bound on the memory that all answers being read by a process hold together.

The size of each answer is bounded, but not their number. Short answers need no reservation. A longer one reserves
what it holds, and waits for room. One answer at a time may go beyond the bound, so that those that each hold a part do
not wait for one another; as its size is bounded it ends.
"""

from types import TracebackType

from gevent.event import Event as Signal

MAX_HELD_BYTES = 32 * 1_048_576
FREE_BYTES = 16_384
"""What each answer may hold without a reservation."""
STEP_BYTES = 65_536
"""Unit of reservations."""


class AnswerBudget:
    """The reservations of all answers of a process.

    Parameters
    ==========

    max_bytes : limit on their sum, not counting what one answer takes beyond it.

    Examples
    ========

    >>> budget = AnswerBudget(max_bytes=2 * STEP_BYTES)
    >>> with budget.open_share() as share:
    ...     share.hold(FREE_BYTES + 1)
    ...     budget.held_bytes == STEP_BYTES
    True
    >>> budget.held_bytes
    0
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._beyond: AnswerShare | None = None
        self._released = Signal()

    def open_share(self) -> "AnswerShare":
        """Return the share of a new answer."""
        return AnswerShare(self)

    def reserve(self, share: "AnswerShare", size_bytes: int) -> None:
        """Reserve for a share, once there is room."""
        while self.held_bytes + size_bytes > self._max_bytes and self._beyond is not share:
            if self._beyond is None:
                self._beyond = share
                break
            self._released.clear()
            self._released.wait()
        self.held_bytes += size_bytes

    def release(self, share: "AnswerShare", size_bytes: int) -> None:
        """Release a part of what a share has reserved."""
        self.held_bytes -= size_bytes
        if self._beyond is share and self.held_bytes <= self._max_bytes:
            self._beyond = None
        self._released.set()

    def forget(self, share: "AnswerShare") -> None:
        """Let another answer go beyond the bound, as this one has ended."""
        if self._beyond is share:
            self._beyond = None
        self._released.set()


class AnswerShare:
    """What one answer has reserved; see `AnswerBudget.open_share`."""

    def __init__(self, budget: AnswerBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0
        self._is_closed = False

    def __enter__(self) -> "AnswerShare":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def hold(self, size_bytes: int) -> None:
        """Set how much the answer holds; wait if there is no room for more."""
        steps = -(-max(size_bytes - FREE_BYTES, 0) // STEP_BYTES)
        more_bytes = steps * STEP_BYTES - self._reserved_bytes
        if more_bytes == 0 or self._is_closed:
            return
        if more_bytes > 0:
            self._budget.reserve(self, more_bytes)
        else:
            self._budget.release(self, -more_bytes)
        self._reserved_bytes += more_bytes
        if self._is_closed:  # by another task during the wait
            self.close()

    def close(self) -> None:
        """Release everything, as the answer has ended."""
        self._is_closed = True
        self._release_all()
        self._budget.forget(self)

    def _release_all(self) -> None:
        if self._reserved_bytes:
            self._budget.release(self, self._reserved_bytes)
            self._reserved_bytes = 0
