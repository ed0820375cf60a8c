"""Permits that a gateway's view requests for a chosen server."""

from types import SimpleNamespace

import gevent
import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.view import GatewayView
from hemlockswitch.request.permits import Permit
from hemlockswitch.version.backend import BackendServer

SERVER = BackendServer("s1", "z1", "127.0.0.1:1", "app")


class LimitedPermits:
    """Permits of a server that is brittle and has a rate limit, whose permit the caller does not await."""

    def __init__(self):
        self.released = 0
        self.slots = SimpleNamespace(needs_permit=lambda server: True, take=self._take_slot)

    def is_limited(self, server):
        return True

    def take(self, server, urgency):
        raise gevent.GreenletExit

    def _take_slot(self, server, left_ms, urgency):
        return Permit(float("inf"), self._release)

    def _release(self):
        self.released += 1


# Guards against slots of brittle servers that a caller occupies after it has left.
def test_slot_is_released_if_the_wait_for_the_permit_of_the_rate_ends():
    view = object.__new__(GatewayView)
    view._permits = permits = LimitedPermits()
    view._clock = ManualClock()
    with pytest.raises(gevent.GreenletExit):
        view._take_permit(SERVER, SimpleNamespace(deadline_ms=1_000.0, urgency=0))
    assert permits.released == 1
