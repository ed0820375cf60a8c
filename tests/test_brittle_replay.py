"""A whole fleet on a simulated clock while the servers of a service are brittle; see `tests.brittle_replay`.

Guards against falls that follow one another when gateways restart, stand still or are cut off.
"""

import pytest

from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from tests.brittle_replay import find_allowed_falls, play
from tests.limit_replay import Setting

MIN_SERVED = 0.75
"""The servers are offered three quarters of what they can serve, and gateways end with their requests."""

MAX_LOSS_COST = 0.03
"""How much less of the requests may be served when every hundredth message is lost."""


@pytest.fixture(autouse=True)
def silent_log():
    set_log_writer(lambda event, level, fields: None)
    yield
    set_log_writer(_write_by_structlog)


@pytest.mark.parametrize(
    ("seed", "setting"),
    [(1, Setting(faults=0)), (2, Setting()), (3, Setting()), (1, Setting(gateways=40))],
)
def test_brittle_servers_seldom_fall_over(seed, setting):
    result = play(seed, setting)
    assert result.falls
    assert max(result.falls) <= find_allowed_falls(setting)
    assert result.served >= MIN_SERVED * result.asked


# Guards against lost releases of permits that occupy slots until the deadlines of their requests.
def test_lost_messages_seldom_cost_callers_their_slots():
    lossy, sound = (play(1, Setting(faults=0, loss=loss)) for loss in (0.01, 0.0))
    assert lossy.served / lossy.asked >= sound.served / sound.asked - MAX_LOSS_COST
