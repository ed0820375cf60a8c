"""The book of returns of this gateway, exchanged with the other gateways.

A refused caller returns on a new connection, mostly to another gateway. Bookings are therefore reported with the
load. A booking whose report is lost, or that exceeds the number that may be reported, lets its caller count as new
elsewhere.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.messages import BookingFields
from hemlockswitch.request.return_book import NO_LANE, Lane, ReturnBook
from hemlockswitch.request.room import Standing

MAX_REPORTED_PER_S = 200
"""Bookings that all gateways together report in a second. At some 10 bytes each, a gateway receives 2 KB a second."""


class ReturnBookings:
    """The bookings made here and at other gateways.

    Parameters
    ==========

    clock : the time.
    count_gateways : returns the number of gateways of the fleet.
    """

    def __init__(self, clock: Clock, count_gateways: Callable[[], int] = lambda: 1) -> None:
        self._clock = clock
        self._count_gateways = count_gateways
        self._book = ReturnBook()
        self._unreported: dict[int, float] = {}
        self._allowed = 1.0
        self._allowed_ms = clock.now_ms()

    @property
    def count(self) -> int:
        """Number of bookings kept here."""
        return len(self._book)

    def reserve(
        self,
        key: int,
        wait_ms: float,
        max_wait_ms: float,
        gap_ms: float,
        urgency: int,
        lane: Lane = NO_LANE,
    ) -> float:
        """Book the return of a refused caller, and return in how many ms it should return.

        Parameters
        ==========

        wait_ms : time until room is expected at the earliest.
        max_wait_ms : the longest time after which the caller would still return.
        gap_ms : time between two requests of this gateway that find room.
        urgency : of the request; 0 is the most urgent.
        lane : the service and account of the request.
        """
        now_ms = self._clock.now_ms()
        is_new = self._book.find_due_ms(key) <= now_ms
        due_ms = self._book.reserve(
            key, now_ms, now_ms + wait_ms, now_ms + max_wait_ms, gap_ms, urgency, lane
        )
        if is_new and self._book.has_place(key) and self._may_report(now_ms):
            self._unreported[key] = due_ms
        return due_ms - now_ms

    def is_known(self, key: int) -> bool:
        """Return whether a request was refused here, or booked elsewhere, and may still return."""
        return self._book.is_known(key, self._clock.now_ms())

    def find_standing(self, key: int) -> Standing:
        """Return the standing of a request."""
        return self._book.find_standing(key, self._clock.now_ms())

    def remove(self, key: int) -> None:
        """Remove the booking of an admitted request."""
        self._book.remove(key)
        self._unreported.pop(key, None)

    def pop_unreported(self) -> BookingFields:
        """Return the bookings made here since the last call, for the other gateways."""
        now_ms = self._clock.now_ms()
        self._book.drop_expired(now_ms)
        bookings = [(key, round(due_ms - now_ms)) for key, due_ms in self._unreported.items()]
        self._unreported.clear()
        return bookings

    def apply_reported(self, bookings: BookingFields) -> None:
        """Apply the bookings of another gateway."""
        now_ms = self._clock.now_ms()
        for key, in_ms in bookings:
            self._book.add(key, now_ms + in_ms)

    def _may_report(self, now_ms: float) -> bool:
        """Return whether one more booking may be reported, within this gateway's part of the fleet's rate."""
        per_ms = MAX_REPORTED_PER_S / MS_PER_SECOND / max(self._count_gateways(), 1)
        most = max(per_ms * MS_PER_SECOND, 1.0)
        self._allowed = min(self._allowed + (now_ms - self._allowed_ms) * per_ms, most)
        self._allowed_ms = now_ms
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True
