"""The times at which refused callers were told to return, one after the other.

Answers the load of callers that are refused together and would return together. Each of them gets a time of its
own, at the rate at which room becomes free, and keeps its place in the order of arrival. The book is kept in
memory: after the end of its process, callers that return count as new. Pure: times are passed in.
"""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass

from hemlockswitch.request.permits import ReturnSchedule
from hemlockswitch.request.room import Standing

EARLY_TOLERANCE_MS = 50.0
"""How much earlier than told a caller may return: it measures the time from when the refusal arrives."""
GRACE_MS = 1_000.0
"""How long after its time a booking is kept: a new connection, and the queue of the balancer, take time."""
MAX_BOOKINGS = 4_096
"""Bound on the memory of a book; beyond it the oldest bookings are dropped, and their callers count as new."""


Lane = tuple[str, str]
"""The service and account of a request: refused requests of an account return at the rate of its part."""
NO_LANE: Lane = ("", "")
KEY_CHARACTERS = 8
"""Hexadecimal characters of a fingerprint that make a key of 32 bits: bookings are few and short-lived."""


def make_key(fingerprint: str) -> int:
    """Return the key of a request with this fingerprint (`request.fingerprint`).

    Examples
    ========

    >>> make_key("0000002a" + 24 * "f")
    42
    """
    return int(fingerprint[:KEY_CHARACTERS], 16)


@dataclass(frozen=True)
class _Booking:
    """A time at which a caller returns.

    Parameters
    ==========

    has_place : whether room is expected for it then.
    """

    due_ms: float
    has_place: bool = True


class ReturnBook:
    """Bookings of refused requests, by a key of their content (`make_key`).

    Examples
    ========

    >>> book = ReturnBook()
    >>> [book.reserve(key, 0, 200, 2_000, gap_ms=50, urgency=1) for key in (7, 8, 9)]
    [200, 250, 300]
    >>> book.find_standing(8, 100).name, book.find_standing(8, 260).name
    ('EARLY', 'DUE')
    >>> book.find_standing(10, 260).name
    'NEW'
    """

    def __init__(self) -> None:
        self._bookings: OrderedDict[int, _Booking] = OrderedDict()
        self._schedules: dict[Lane, ReturnSchedule] = defaultdict(ReturnSchedule)

    def __len__(self) -> int:
        return len(self._bookings)

    def reserve(
        self,
        key: int,
        now_ms: float,
        earliest_ms: float,
        latest_ms: float,
        gap_ms: float,
        urgency: int,
        lane: Lane = NO_LANE,
    ) -> float:
        """Return the time at which a refused caller should return; one that returns early keeps its time.

        If each time until the latest one is taken, the caller is told that time, and counts as new then.

        Parameters
        ==========

        earliest_ms : when room is expected at the earliest.
        latest_ms : the latest time at which the caller would still return.
        gap_ms : time between two requests that find room.
        urgency : of the request; 0 is the most urgent.
        lane : requests of different lanes do not delay one another.
        """
        booking = self._bookings.get(key)
        if booking is not None and booking.due_ms > now_ms:
            return booking.due_ms
        due_ms = self._schedules[lane].find(earliest_ms, latest_ms, gap_ms, urgency)
        self._add(key, _Booking(latest_ms if due_ms is None else due_ms, due_ms is not None))
        return self._bookings[key].due_ms

    def add(self, key: int, due_ms: float) -> None:
        """Add a booking that was made elsewhere."""
        self._add(key, _Booking(due_ms))

    def _add(self, key: int, booking: _Booking) -> None:
        self._bookings[key] = booking
        self._bookings.move_to_end(key)
        if len(self._bookings) > MAX_BOOKINGS:
            self._bookings.popitem(last=False)

    def find_due_ms(self, key: int) -> float:
        """Return when a caller was told to return; minus infinity if it was not."""
        booking = self._bookings.get(key)
        return booking.due_ms if booking is not None else float("-inf")

    def has_place(self, key: int) -> bool:
        """Return whether room is expected for a refused request at the time of its return."""
        booking = self._bookings.get(key)
        return booking is not None and booking.has_place

    def is_known(self, key: int, now_ms: float) -> bool:
        """Return whether a request was refused and its caller is expected or waits to return."""
        return now_ms <= self.find_due_ms(key) + GRACE_MS

    def find_standing(self, key: int, now_ms: float) -> Standing:
        """Return the standing of a request."""
        if not self.is_known(key, now_ms):
            return Standing.NEW
        booking = self._bookings[key]
        if now_ms < booking.due_ms - EARLY_TOLERANCE_MS:
            return Standing.EARLY
        return Standing.DUE if booking.has_place else Standing.NEW

    def remove(self, key: int) -> None:
        """Remove the booking of a request that was admitted."""
        self._bookings.pop(key, None)

    def drop_expired(self, now_ms: float) -> None:
        """Drop the bookings of callers that have not returned."""
        expired = [key for key, one in self._bookings.items() if now_ms > one.due_ms + GRACE_MS]
        for key in expired:
            del self._bookings[key]
