"""Tests of waits for replies of other agents and for a newer list."""

import random

import pytest
from twisted.internet import task

from figdrum.agent import list_waits
from figdrum.agent import peer_queries
from figdrum.balancer import reactor_timers
from figdrum.core import ids
from figdrum.core import ports
from figdrum.messages import codec
from figdrum.messages import datagram

ADDRESS = ('10.0.1.2', 7100)
REPEAT_MS = 100
TIMEOUT_MS = 1_000
PARK_MS = 1_000


class _Peers(ports.PeerPort):
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, datagram):  # pylint: disable=redefined-outer-name
        self.sent.append((address, codec.decode(datagram)))


class _QueryHarness:
    """Queries and their results, in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        self.peers = _Peers()
        self.queries = peer_queries.PeerQueries(
            reactor_timers.ReactorTimers(self.clock), self.peers, REPEAT_MS,
            random.Random(1))
        self.results = []

    def send_query(self):
        """Starts a query; returns its nonce."""
        nonces = []

        def make_message(nonce):
            nonces.append(nonce)
            return datagram.Ping(nonce)

        self.queries.send_query(ADDRESS, make_message,
                                TIMEOUT_MS).addCallback(self.results.append)
        return nonces[0]

    def run(self, duration_ms):
        """Lets time pass."""
        self.clock.pump([0.01] * (duration_ms // 10))


def test_query_is_repeated_until_its_reply_and_no_longer():
    """Guards against a lost datagram that loses a claim, and against repeats
    that continue after the reply."""
    harness = _QueryHarness()
    nonce = harness.send_query()
    harness.run(3 * REPEAT_MS + 50)
    assert harness.peers.sent == [(ADDRESS, datagram.Ping(nonce))] * 4
    reply = datagram.Pong(nonce, 's-1')
    assert harness.queries.complete(nonce, reply)
    harness.run(2 * TIMEOUT_MS)
    assert harness.results == [reply]
    assert len(harness.peers.sent) == 4
    assert not harness.clock.getDelayedCalls()


def test_query_times_out_once_and_a_late_reply_is_refused():
    """Guards against a query that waits for ever, and against a result that
    is reported twice."""
    harness = _QueryHarness()
    nonce = harness.send_query()
    harness.run(TIMEOUT_MS + 50)
    assert harness.results == [None]
    assert not harness.queries.complete(nonce, datagram.Pong(nonce, 's-1'))
    assert harness.results == [None]
    assert len(harness.queries) == 0
    assert not harness.clock.getDelayedCalls()


def test_reply_completes_only_the_query_with_its_nonce():
    """Guards against a reply of one member taken for that of another."""
    harness = _QueryHarness()
    first, second = harness.send_query(), harness.send_query()
    assert first != second
    assert not harness.queries.complete(first ^ second ^ 1, None)
    assert harness.queries.complete(second, datagram.Pong(second, 's-1'))
    assert harness.results == [datagram.Pong(second, 's-1')]
    assert len(harness.queries) == 1


def make_packet(list_version):
    """Returns a packet from a sender that has this list version."""
    flow = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
    return datagram.Packet(1, list_version, 'al-sahil', 'fieldbook', flow, True,
                           ('10.0.2.1', 7001), b'x')


class _ListWaitsHarness:
    """List waits, with a count of their requests for the list."""

    def __init__(self):
        self.fetched = 0
        self.waits = list_waits.ListWaits(PARK_MS, self._fetch)

    def _fetch(self):
        self.fetched += 1


@pytest.mark.parametrize('known,ready', [(4, []), (5, [5]), (6, [5, 6]),
                                         (9, [5, 6])])
def test_packets_wait_for_a_list_as_new_as_theirs(known, ready):
    """Guards against a packet that is decided by an older list than its
    sender's, or that is decided twice."""
    harness = _ListWaitsHarness()
    packets = {version: make_packet(version) for version in (5, 6)}
    assert all(harness.waits.park(0, packet) for packet in packets.values())
    assert harness.fetched == 2
    assert harness.waits.on_list(known) == tuple(packets[v] for v in ready)
    assert not harness.waits.on_list(known)
    assert harness.waits.expire(PARK_MS) == 2 - len(ready)


def test_packets_are_dropped_after_the_wait():
    """Guards against packets that wait for ever while no balancer responds."""
    harness = _ListWaitsHarness()
    harness.waits.park(0, make_packet(5))
    harness.waits.park(1, make_packet(5))
    assert harness.waits.expire(PARK_MS - 1) == 0
    assert harness.waits.expire(PARK_MS) == 1
    assert len(harness.waits.on_list(5)) == 1


def test_parked_packets_are_bounded():
    """Guards against memory that grows with packets while no list arrives."""
    harness = _ListWaitsHarness()
    for _ in range(list_waits.MAX_PARKED):
        assert harness.waits.park(0, make_packet(5))
    assert not harness.waits.park(0, make_packet(5))
    assert harness.waits.expire(PARK_MS) == list_waits.MAX_PARKED


@pytest.mark.parametrize('end', ['list', 'time'])
def test_wait_ends_with_the_list_or_after_the_time_limit(end):
    """Guards against a claim that gets no reply, and against one that is
    evaluated by an older list before the time limit."""
    harness = _ListWaitsHarness()
    fired = []
    harness.waits.wait(0, 5).addCallback(fired.append)
    assert harness.fetched == 1
    harness.waits.on_list(4)
    harness.waits.expire(PARK_MS - 1)
    assert not fired
    if end == 'list':
        harness.waits.on_list(5)
    harness.waits.expire(PARK_MS)
    assert fired == [None]
