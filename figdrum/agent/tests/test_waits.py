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


class _Asking:
    """Queries and their results, in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        self.peers = _Peers()
        self.questions = peer_queries.PeerQueries(
            reactor_timers.ReactorTimers(self.clock), self.peers, REPEAT_MS,
            random.Random(1))
        self.answers = []

    def ask(self):
        """Starts a query; returns its nonce."""
        nonces = []

        def make(nonce):
            nonces.append(nonce)
            return datagram.Ping(nonce)

        self.questions.ask(ADDRESS, make,
                           TIMEOUT_MS).addCallback(self.answers.append)
        return nonces[0]

    def run(self, duration_ms):
        """Lets time pass."""
        self.clock.pump([0.01] * (duration_ms // 10))


def test_question_is_repeated_until_its_answer_and_no_longer():
    """Guards against a lost datagram that loses a claim, and against repeats
    that go on after the answer."""
    asking = _Asking()
    nonce = asking.ask()
    asking.run(3 * REPEAT_MS + 50)
    assert asking.peers.sent == [(ADDRESS, datagram.Ping(nonce))] * 4
    reply = datagram.Pong(nonce, 's-1')
    assert asking.questions.answer(nonce, reply)
    asking.run(2 * TIMEOUT_MS)
    assert asking.answers == [reply]
    assert len(asking.peers.sent) == 4
    assert not asking.clock.getDelayedCalls()


def test_question_times_out_once_and_a_late_answer_is_refused():
    """Guards against a query that waits for ever, and against a result that
    is reported twice."""
    asking = _Asking()
    nonce = asking.ask()
    asking.run(TIMEOUT_MS + 50)
    assert asking.answers == [None]
    assert not asking.questions.answer(nonce, datagram.Pong(nonce, 's-1'))
    assert asking.answers == [None]
    assert len(asking.questions) == 0
    assert not asking.clock.getDelayedCalls()


def test_answer_ends_only_the_question_with_its_nonce():
    """Guards against a reply of one member taken for that of another."""
    asking = _Asking()
    first, second = asking.ask(), asking.ask()
    assert first != second
    assert not asking.questions.answer(first ^ second ^ 1, None)
    assert asking.questions.answer(second, datagram.Pong(second, 's-1'))
    assert asking.answers == [datagram.Pong(second, 's-1')]
    assert len(asking.questions) == 1


def make_packet(list_version):
    """Returns a packet from a sender that has this list version."""
    flow = ids.FlowKey('10.0.0.1', 4000, '10.9.0.1', 5683)
    return datagram.Packet(1, list_version, 'al-sahil', 'fieldbook', flow, True,
                           ('10.0.2.1', 7001), b'x')


class _Waits:
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
    world = _Waits()
    packets = {version: make_packet(version) for version in (5, 6)}
    assert all(world.waits.park(0, packet) for packet in packets.values())
    assert world.fetched == 2
    assert world.waits.on_list(known) == tuple(packets[v] for v in ready)
    assert not world.waits.on_list(known)
    assert world.waits.expire(PARK_MS) == 2 - len(ready)


def test_packets_are_dropped_after_the_wait():
    """Guards against packets that wait for ever while no balancer responds."""
    world = _Waits()
    world.waits.park(0, make_packet(5))
    world.waits.park(1, make_packet(5))
    assert world.waits.expire(PARK_MS - 1) == 0
    assert world.waits.expire(PARK_MS) == 1
    assert len(world.waits.on_list(5)) == 1


def test_parked_packets_are_bounded():
    """Guards against memory that grows with packets while no list arrives."""
    world = _Waits()
    for _ in range(list_waits.MAX_PARKED):
        assert world.waits.park(0, make_packet(5))
    assert not world.waits.park(0, make_packet(5))
    assert world.waits.expire(PARK_MS) == list_waits.MAX_PARKED


@pytest.mark.parametrize('end', ['list', 'time'])
def test_question_of_a_newer_list_goes_on_with_it_or_in_vain(end):
    """Guards against a claim that gets no reply, and against one that is
    evaluated by an older list before the time limit."""
    world = _Waits()
    fired = []
    world.waits.wait(0, 5).addCallback(fired.append)
    assert world.fetched == 1
    world.waits.on_list(4)
    world.waits.expire(PARK_MS - 1)
    assert not fired
    if end == 'list':
        world.waits.on_list(5)
    world.waits.expire(PARK_MS)
    assert fired == [None]
