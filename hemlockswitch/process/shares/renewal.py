"""Periodic renewal of a daemon's shares at the anchor."""

from collections.abc import Callable

import gevent
from gevent.event import Event as Wake

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.shares.anchor import ShareAnchor
from hemlockswitch.process.shares.book import ShareBook
from hemlockswitch.process.shares.messages import LoanNetwork
from hemlockswitch.process.shares.parts import ShareParts
from hemlockswitch.process.shares.record import (
    PARTS,
    RenewShares,
    SharesRenewed,
    decode_grants,
    encode_grants,
)
from hemlockswitch.process.shares.terms import TERM_MS, Granted
from hemlockswitch.process.shares.units import Units

RENEW_INTERVAL_MS = TERM_MS / 3
RENEW_RETRY_INTERVAL_MS = 500.0
MIN_RENEW_INTERVAL_MS = 300.0
RENEW_TIMEOUT_MS = 2_000.0
FIRST_GRANT_MS = 3_000.0
FAST_RENEWAL_MS = 3_000.0


class ShareRenewal:
    """Sends renewals with the units that this daemon keeps to the anchor, and applies the grants.

    Parameters
    ==========

    parts : computes this daemon's even part.
    book : the daemon's record.
    anchor : this daemon's anchor, which writes to the platform directly.
    network : the peer network, for renewals through the zone's writers.
    clock : the process's clock.
    count_running : returns the slots that an account's demand at this daemon needs.
    """

    def __init__(
        self,
        parts: ShareParts,
        book: ShareBook,
        anchor: ShareAnchor,
        network: LoanNetwork,
        clock: Clock,
        count_running: Callable[[str], int],
    ) -> None:
        self.incarnation = make_identifier("shares")
        self._parts = parts
        self._book = book
        self._anchor = anchor
        self._network = network
        self._clock = clock
        self._count_running = count_running
        self._wake = Wake()
        self._counter = 0
        self._complete = False
        self._started_ms: float | None = None
        self._names: frozenset[str] = frozenset()
        self._fast_renewal_until_ms = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the even part was granted, or `FIRST_GRANT_MS` has passed.

        Units that are missing after that time can be borrowed.
        """
        if not self._complete and self._started_ms is not None:
            waited = self._clock.now_ms() - self._started_ms > FIRST_GRANT_MS
            self._complete = waited or self._has_part()
        return self._complete

    def renew_soon(self) -> None:
        """Renew soon, because the anchor should receive a change."""
        self._wake.set()

    def renew(self) -> bool:
        """Send one renewal; return whether it was stored."""
        self._counter += 1
        reduced = self._book.reduce_to(self._find_retained())
        sent_ms = self._clock.now_ms()
        request = RenewShares(
            member=self._parts.name,
            incarnation=self.incarnation,
            counter=self._counter,
            kept=encode_grants(reduced.grants),
            floors=encode_grants(reduced.floors),
            lendable=encode_grants(reduced.lendable),
            leaving=self._parts.leaving,
        )
        reply = self._send(request)
        if reply is None or reply.counter != self._counter:
            return False
        held = Granted(*(decode_grants(getattr(reply, part)) for part in PARTS))
        self._book.set_grants(held, sent_ms + TERM_MS)
        return True

    def run(self) -> None:
        """Renew periodically until killed."""
        self._started_ms = self._clock.now_ms()
        was_in_term = False
        while True:
            self._wake.clear()
            renewed = self.renew()
            in_term = self._book.in_term
            if in_term != was_in_term:
                event = Event.SHARES_GRANTED if in_term else Event.SHARES_EXPIRED
                log_event(event, "info" if in_term else "warning", zone=self._parts.zone)
            was_in_term = in_term
            self._wait(RENEW_INTERVAL_MS if renewed else RENEW_RETRY_INTERVAL_MS)

    def _wait(self, max_wait_ms: float) -> None:
        """Wait until the next renewal is due, which is soon after the set of the zone's daemons changed."""
        until_ms = self._clock.now_ms() + max_wait_ms
        gevent.sleep(MIN_RENEW_INTERVAL_MS / MS_PER_SECOND)
        while self._clock.now_ms() < until_ms:
            if self._wake.wait(timeout=RENEW_RETRY_INTERVAL_MS / MS_PER_SECOND):
                return
            names = self._parts.list_names()
            if names != self._names:
                self._names = names
                self._fast_renewal_until_ms = self._clock.now_ms() + FAST_RENEWAL_MS
            if self._clock.now_ms() < self._fast_renewal_until_ms:
                return

    def _send(self, request: RenewShares) -> SharesRenewed | None:
        for address in self._parts.list_writers():
            try:
                if not address:
                    return self._anchor.renew(request)
                return self._network.request(address, request, RENEW_TIMEOUT_MS)
            except HemlockError:
                # The next writer may reach the platform; if none does, the expiry of the term is logged.
                continue
        return None

    def _find_retained(self) -> dict[str, Units]:
        """Return the units to keep: at least the even part and the units lent or in use."""
        kept = {}
        for account, part in self._parts.find_own().items():
            in_use = Units(slots=self._count_running(account))
            bound = self._book.count_given(account) + in_use
            kept[account] = part.raise_to(bound).limit(self._book.count_keepable(account))
        return kept

    def _has_part(self) -> bool:
        # A process that replaces another one receives half at once, and the remaining units later.
        return self._book.in_term and all(
            self._book.find_grant(account).raise_to(part - part.halve())
            == self._book.find_grant(account)
            for account, part in self._parts.find_own().items()
        )
