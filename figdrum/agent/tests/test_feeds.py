"""Tests of the polling of observed paths."""

from twisted.internet import defer

from figdrum.agent import feeds
from figdrum.coap import codes
from figdrum.coap import request
from figdrum.coap import server
from standins import world

CONTENT = codes.Response(69, b'1')


class _FeedsHarness:
    """Feeds whose polls and notifications are recorded."""

    def __init__(self):
        self.polls = []
        self.notified = []
        self.feeds = feeds.Feeds(
            1000, self._poll, lambda *notified: self.notified.append(notified))

    def _poll(self, flow, customer, req):
        done = defer.Deferred()
        self.polls.append((flow, customer, req.path, done))
        return done

    def add(self, number, path='/roster', customer='al', token=b't'):
        """Adds an observer."""
        req = request.Request('GET', path, b'', '', 1, 0, None, None, b'')
        self.feeds.add(
            0, customer,
            server.ObservationRegistered(world.flow_of(number), token, req))


def test_observers_of_one_path_share_a_poll():
    """Guards against polls that grow in number with the observers."""
    harness = _FeedsHarness()
    for number in range(50):
        harness.add(number)
    harness.add(50, customer='other')
    harness.feeds.tick(999)
    assert not harness.polls
    harness.feeds.tick(1000)
    assert [poll[1] for poll in harness.polls] == ['al', 'other']
    harness.polls[0][3].callback(CONTENT)
    assert len(harness.notified) == 50


def test_slow_poll_is_not_started_twice():
    """Guards against polls that pile up at a slow target."""
    harness = _FeedsHarness()
    harness.add(1)
    for now_ms in range(0, 10_000, 100):
        harness.feeds.tick(now_ms)
    assert len(harness.polls) == 1
    harness.polls[0][3].callback(CONTENT)
    harness.feeds.tick(11_000)
    assert len(harness.polls) == 2


def test_failed_poll_tells_observers_nothing():
    """Guards against a feed that ends because a target was busy."""
    harness = _FeedsHarness()
    harness.add(1)
    for now_ms, result in ((1000, codes.Response(163, b'did-not-run')),
                           (2000, RuntimeError('fault')),
                           (3000, codes.Response(157))):
        harness.feeds.tick(now_ms)
        done = harness.polls[-1][3]
        if isinstance(result, Exception):
            done.errback(result)
        else:
            done.callback(result)
    assert not harness.notified
    harness.feeds.tick(4000)
    harness.polls[-1][3].callback(codes.Response(132))
    assert harness.notified == [(world.flow_of(1), b't', codes.Response(132))]


def test_last_observer_ends_the_polls():
    """Guards against polls that nobody waits for."""
    harness = _FeedsHarness()
    harness.add(1)
    harness.add(2)
    harness.add(2, path='/other')
    assert len(harness.feeds) == 2
    for number in (1, 2, 2):
        harness.feeds.remove(world.flow_of(number), b't')
    assert len(harness.feeds) == 0
    harness.feeds.tick(5000)
    assert not harness.polls
