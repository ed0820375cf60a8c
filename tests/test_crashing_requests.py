"""A request that ends each backend server that runs it.

Callers saw a third of their requests fail, in bursts of some ten seconds: in each of them one server of a
service after another ended, up to 24, and each took the requests in progress with it. One client
account had sent a request under which a server ends, and its client came again and again, to any
gateway. Every bound on repeats was kept for one attempt of a caller or in one process, so each arrival
began with nothing and took one or two more servers. Proof: on each of the 40 servers whose end was
logged a request of that route and account was in progress, of no other one; and the test below, which
brings the same about with one content, whose failed sends all bear one fingerprint.
"""

import gevent
import pytest

from tests.crashing_runners import DEADLY, CrashingSite

MOST_ENDS = 3
MOST_RETRIES = 3
"""After three servers have ended under a request, it may be sent this often once that is known."""
SETTLED_S = 1.0
"""When every gateway that is in touch knows of it."""
COMES_AGAIN_S = 0.15


@pytest.fixture
def site():
    one = CrashingSite()
    yield one
    one.close()


def come_again(site, path, content, for_s):
    """Send a content again and again, to each gateway in turn, with a new identifier each time."""
    replies = []
    for turn in range(int(for_s / COMES_AGAIN_S)):
        asked = gevent.spawn(site.ask_for, path, content, turn)
        replies.append(asked)
        gevent.sleep(COMES_AGAIN_S)
    gevent.joinall(replies, timeout=10)
    return [one.value for one in replies]


@pytest.mark.parametrize("path", ["/check/x", "/hold/x", "/reply/x", "/draft/x"])
def test_a_request_under_which_servers_end_is_sent_a_few_times_only(site, path):
    come_again(site, path, DEADLY, for_s=5)
    assert len(site.ends) >= MOST_ENDS, "it did end servers"
    assert site.count_late_retries(MOST_ENDS, SETTLED_S) <= MOST_RETRIES
