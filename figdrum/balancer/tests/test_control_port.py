"""Tests of control streams and their limits."""

from twisted.internet import testing

from figdrum.balancer import control_port
from figdrum.balancer import control_stream
from figdrum.balancer.tests import fake_network
from figdrum.core import clock
from figdrum.messages import codec
from figdrum.messages import control

PULL = control.Pull(7)
DATA = codec.encode(PULL)


class _Node:
    """A control port that records the messages it receives."""

    def __init__(self, network, host):
        self.counts = []
        self.received = []
        self.closed = []
        self.clock = clock.ManualClock()
        self.port = control_port.ControlPort(
            fake_network.Host(network, host), self.clock,
            lambda stream, message: self.received.append(message),
            self.closed.append, self.counts.append)
        self.address = self.port.listen((host, 0))


class _Transport(testing.StringTransport):
    """A transport that records what is written."""

    def setTcpKeepAlive(self, enabled):  # pylint: disable=invalid-name
        """Does nothing."""

    def setTcpNoDelay(self, enabled):  # pylint: disable=invalid-name
        """Does nothing."""


def _stream(node):
    stream = control_stream.ControlStream(node.port)
    stream.makeConnection(_Transport())
    return stream


def test_messages_wait_for_the_connection_and_share_it():
    """Guards against a lost first message, and against a connection for each
    message."""
    network = fake_network.FakeNetwork()
    one, two = (_Node(network, f'10.0.0.{i}') for i in (1, 2))
    for _ in range(3):
        one.port.send(two.address, PULL)
    network.run(1)
    one.port.send(two.address, PULL)
    network.run(1)
    assert two.received == [PULL] * 4
    one.clock.advance(control_port.IDLE_TIMEOUT_MS)
    one.port.close_idle()
    network.run(1)
    assert len(one.closed) == len(two.closed) == 1


def test_streams_are_bounded_in_number():
    """Guards against file descriptors that run out when many peers connect."""
    network = fake_network.FakeNetwork()
    hub = _Node(network, '10.0.0.1')
    others = [
        _Node(network, f'10.0.{1 + i % 2}.{i // 2}')
        for i in range(control_port.MAX_INCOMING + 5)
    ]
    for other in others:
        other.port.send(hub.address, PULL)
        hub.port.send(other.address, PULL)
    network.run(1)
    assert len(hub.received) == control_port.MAX_INCOMING
    assert hub.counts.count('balancer.too_many_streams') == 5
    opened = sum(len(other.received) - len(other.closed) for other in others)
    assert opened == control_port.MAX_OUTGOING
    assert others[-1].received == [PULL]


def test_a_peer_that_is_gone_is_forgotten():
    """Guards against messages queued for a dead balancer."""
    network = fake_network.FakeNetwork()
    one, two = (_Node(network, f'10.0.0.{i}') for i in (1, 2))
    network.disconnected_hosts.add('10.0.0.2')
    for _ in range(20):
        one.port.send(two.address, PULL)
    network.run(2)
    assert 'balancer.peer_not_reached' in one.counts
    network.disconnected_hosts.clear()
    one.port.send(two.address, PULL)
    network.run(1)
    assert two.received == [PULL]


def test_a_peer_that_does_not_read_gets_no_gossip():
    """Guards against memory that a stalled peer fills."""
    node = _Node(fake_network.FakeNetwork(), '10.0.0.1')
    stream = _stream(node)
    stream.pauseProducing()
    assert not stream.send(PULL)
    stream.resumeProducing()
    assert stream.send(PULL)
    assert stream.transport.value() == DATA


def test_a_subscriber_that_does_not_read_is_cut_off():
    """Guards against a gap in the published objects, and against memory that a
    stalled agent fills."""
    node = _Node(fake_network.FakeNetwork(), '10.0.0.1')
    stream = _stream(node)
    entry = control.Entry('lists/fieldbook', 'x' * 400_000, 1, 1)
    message = control.Delta(0, 1, (entry,), -1)
    stream.pauseProducing()
    for _ in range(2):
        stream.send_in_order(message)
    assert len(stream.transport.value()) > 800_000
    assert not stream.transport.disconnecting
    stream.send_in_order(message)
    assert stream.transport.disconnecting
    assert 'balancer.slow_subscriber' in node.counts


def test_messages_of_another_release_are_skipped():
    """Guards against releases that cannot communicate during a rollout."""
    node = _Node(fake_network.FakeNetwork(), '10.0.0.1')
    stream = _stream(node)
    later = b'\x93' + bytes([codec.FORMAT_VERSION]) + b'\x7f\x01'
    for split in range(len(DATA)):
        stream.dataReceived(later + DATA[:split])
        stream.dataReceived(DATA[split:])
    assert node.received == [PULL] * len(DATA)
    assert set(node.counts) == {'balancer.control_message_of_other_version'}
