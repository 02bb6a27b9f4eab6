"""Tests of an agent's streams to balancers, in virtual time."""

import random

import pytest

from figdrum.agent import environment
from figdrum.agent import subscription
from figdrum.balancer import control_port
from figdrum.balancer import reactor_timers
from figdrum.balancer.tests import fake_network
from figdrum.core import clock
from figdrum.messages import control
from figdrum.sync import replica as replica_lib

CLOSE_AFTER_S = (subscription.CHECKS_BEFORE_CLOSE *
                 subscription.CHECK_INTERVAL_MS / 1_000)
LIST = control.Entry('lists/fieldbook', '{"members": []}', 1, 5)
EMPTY = control.Delta(0, 0, (), -1)


class _Clock(clock.ManualClock):
    """The network's time."""

    def __init__(self, network):
        super().__init__()
        self._network = network

    def now_ms(self):
        return round(self._network.seconds() * 1_000)


class _Balancer:
    """Replies to each `Subscribe` with `answer`, or not if it is None."""

    def __init__(self, network, host):
        self.subscribed_s = []
        self.streams = []
        self.closed = 0
        self.answer = EMPTY
        self._network = network
        self.port = control_port.ControlPort(fake_network.Host(network, host),
                                             clock.ManualClock(),
                                             self._on_message, self._on_closed,
                                             lambda name: None)
        self.address = self.port.listen((host, 0))

    def _on_message(self, stream, message):
        assert isinstance(message, control.Subscribe)
        self.subscribed_s.append(self._network.seconds())
        if stream not in self.streams:
            self.streams.append(stream)
        if self.answer is not None:
            stream.send(self.answer)

    def _on_closed(self, stream):
        del stream
        self.closed += 1


class _Agent:
    """An agent's subscriptions to `balancers`."""

    def __init__(self, network, balancers):
        self.counts = []
        self.changed = 0
        self.replica = replica_lib.Replica(replica_lib.agent_scope('fieldbook'))
        env = environment.Environment(_Clock(network),
                                      reactor_timers.ReactorTimers(network),
                                      None, None, None, self, random.Random(1))
        self.streams = subscription.Subscriptions(
            fake_network.Host(network, '10.0.1.1'), env, 's-1', 'fieldbook',
            tuple(b.address for b in balancers), self.replica, self._on_changed)
        self.streams.start()

    def incr(self, name):
        """Records a counted event; this object is also the agent's metrics."""
        self.counts.append(name)

    def _on_changed(self):
        self.changed += 1


class _World:
    """One agent and some balancers."""

    def __init__(self, count):
        self.network = fake_network.FakeNetwork()
        self.balancers = [
            _Balancer(self.network, f'10.0.0.{i}') for i in range(1, count + 1)
        ]
        self.agent = _Agent(self.network, self.balancers)
        self.network.run(1)

    def subscribed(self):
        """Returns for each balancer if it received a `Subscribe`."""
        return [len(b.subscribed_s) > 0 for b in self.balancers]


def test_subscribes_to_two_balancers_and_applies_deltas():
    """Guards against an agent that depends on one balancer."""
    world = _World(3)
    assert world.subscribed() == [True, True, False]
    world.balancers[1].streams[0].send(control.Delta(0, 5, (LIST,), -1))
    world.network.run(1)
    assert world.agent.replica.service_list('fieldbook').version == 1
    assert world.agent.changed == 1


def test_stream_that_ends_moves_on_to_an_unused_balancer():
    """Guards against an agent that keeps only one stream after a loss, and
    against both streams at one balancer."""
    world = _World(3)
    world.balancers[0].streams[0].close()
    world.network.run(1)
    assert world.subscribed() == [True, True, True]
    assert [len(b.streams) for b in world.balancers] == [1, 1, 1]
    assert world.agent.counts == ['agent.stream_closed']


def test_single_balancer_is_tried_again():
    """Guards against an agent that never subscribes again to its only
    balancer."""
    world = _World(1)
    world.balancers[0].streams[0].close()
    world.network.run(1)
    assert len(world.balancers[0].streams) == 2


def test_delta_after_a_gap_is_asked_for_again():
    """Guards against an agent that waits for changes that it missed."""
    world = _World(1)
    before = len(world.balancers[0].subscribed_s)
    world.balancers[0].streams[0].send(control.Delta(3, 5, (LIST,), -1))
    world.network.run(0.5)
    assert len(world.balancers[0].subscribed_s) == before + 1
    assert not world.agent.changed


def test_silent_balancer_is_given_up_after_some_seconds():
    """Guards against an agent that receives no changes because its balancers
    stay connected but do not work."""
    world = _World(3)
    world.balancers[0].answer = None
    world.network.run(2 * CLOSE_AFTER_S)
    assert world.subscribed() == [True, True, True]
    assert world.balancers[0].closed == 1
    assert 'agent.stream_silent' in world.agent.counts
    assert [b.closed for b in world.balancers[1:]] == [0, 0]


@pytest.mark.parametrize('seconds', [30, 120])
def test_quiet_balancer_that_answers_is_kept(seconds):
    """Guards against streams that are reopened for ever while nothing changes,
    and against requests that use up the balancer's budget."""
    world = _World(2)
    world.network.run(seconds)
    assert not world.agent.counts
    for balancer in world.balancers:
        assert balancer.closed == 0
        assert len(balancer.subscribed_s
                  ) <= seconds / subscription.CHECKS_BEFORE_RESUBSCRIBE + 2


def test_stop_ends_streams_and_checks():
    """Guards against an agent that connects again after a stop."""
    world = _World(2)
    world.agent.streams.stop()
    world.network.run(2 * CLOSE_AFTER_S)
    assert [b.closed for b in world.balancers] == [1, 1]
    assert [len(b.streams) for b in world.balancers] == [1, 1]
    assert not world.network.getDelayedCalls()
