"""Streams on which an agent receives changes from two balancers.

Explanation
===========

The agent keeps two streams to different balancers. When a stream ends or cannot
be opened, it is replaced by one to the next configured balancer that the other
stream does not use. A balancer responds to a repeated `Subscribe` at once, so
this message also fetches new changes and shows whether a silent balancer still
works. A stream is closed if its balancer stays connected but does not respond.
Silence is measured in checks instead of time: after a pause of this process,
unread messages are handled before the next check.
"""

import collections.abc
import typing

from twisted.internet import protocol

from figdrum.agent import environment
from figdrum.balancer import control_stream
from figdrum.core import ids
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.sync import replica as replica_lib
from figdrum.telemetry import logs

STREAM_COUNT = 2
CONNECT_TIMEOUT_S = 1
# A burst of packets with a newer list must not use up the balancer's budget of
# control bytes.
FETCH_INTERVAL_MS = 100
INITIAL_BACKOFF_MS = 200
MAX_BACKOFF_MS = 2_000
CHECK_INTERVAL_MS = 1_000
# Checks without a delta after which the agent subscribes again.
CHECKS_BEFORE_RESUBSCRIBE = 3
# Checks without a delta after which a stream is closed. The agent subscribes
# again twice before that.
CHECKS_BEFORE_CLOSE = 8

_log = logs.part('sync')


class _Link:
    """A stream to one of the balancers; a `control_stream.StreamOwner`."""

    def __init__(self, owner: 'Subscriptions', index: int):
        self._owner = owner
        self.index = index
        self.stream: control_stream.ControlStream | None = None
        self.last_fetch_ms: int | None = None
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.silent_checks = 0
        self.check_timer: typing.Any = None

    def on_opened(self, stream: control_stream.ControlStream) -> None:
        """Subscribes; see `StreamOwner`."""
        self.stream = stream
        self.silent_checks = 0
        self.last_fetch_ms = None
        self._owner.on_opened(self)

    def on_message(self, stream: control_stream.ControlStream,
                   message: codec.Message) -> None:
        """Handles a delta; see `StreamOwner`."""
        del stream
        self._owner.on_message(self, message)

    def on_closed(self, stream: control_stream.ControlStream) -> None:
        """Connects to another balancer; see `StreamOwner`."""
        del stream
        self.stream = None
        if self.check_timer is not None:
            self.check_timer.cancel()
            self.check_timer = None
        self._owner.on_closed(self)

    def count_error(self, name: str) -> None:
        """Counts an error under the agent's name; see `StreamOwner`."""
        self._owner.count_error(name.replace('balancer.', 'agent.', 1))


class _Factory(protocol.ClientFactory):
    """Builds the stream of a link."""
    noisy = False

    def __init__(self, link: _Link):
        self._link = link

    def buildProtocol(self, addr):
        return control_stream.ControlStream(self._link)

    def clientConnectionFailed(self, connector, reason):
        self._link.on_closed(None)


class Subscriptions:
    """Keeps an agent subscribed to balancers.

    Args:
      reactor: Twisted's reactor.
      env: Ports of the agent.
      name: The agent's name.
      service: Its service.
      balancers: Control addresses of the balancers.
      replica: Stores the received changes.
      on_changed: Called after the replica changed.
    """

    def __init__(self, reactor: typing.Any, env: environment.Environment,
                 name: ids.AgentName, service: ids.ServiceName,
                 balancers: tuple[ids.Address,
                                  ...], replica: replica_lib.Replica,
                 on_changed: collections.abc.Callable[[], None]):
        self._reactor = reactor
        self._env = env
        self._name = name
        self._service = service
        self._balancers = balancers
        self._replica = replica
        self._on_changed = on_changed
        self._links = [
            _Link(self, i) for i in range(min(STREAM_COUNT, len(balancers)))
        ]
        self._stopped = False

    def start(self) -> None:
        """Opens the streams."""
        for link in self._links:
            self._connect(link)

    def stop(self) -> None:
        """Closes the streams for good."""
        self._stopped = True
        for link in self._links:
            if link.stream is not None:
                link.stream.close()

    def fetch(self) -> None:
        """Requests new changes, at most once in 100 ms on each stream."""
        now_ms = self._env.clock.now_ms()
        for link in self._links:
            if link.stream is None or (link.last_fetch_ms is not None and
                                       now_ms - link.last_fetch_ms
                                       < FETCH_INTERVAL_MS):
                continue
            link.last_fetch_ms = now_ms
            self._subscribe(link)

    def on_opened(self, link: _Link) -> None:
        """Subscribes and starts the checks for silence."""
        self.fetch()
        self._schedule_check(link)

    def on_message(self, link: _Link, message: codec.Message) -> None:
        """Applies a delta."""
        if not isinstance(message, control.Delta):
            self.count_error('agent.unexpected_control_message')
            return
        link.silent_checks = 0
        link.backoff_ms = INITIAL_BACKOFF_MS
        if not self._replica.accepts(message):
            link.last_fetch_ms = None
            self.fetch()
        elif self._replica.apply(message):
            self._on_changed()

    def on_closed(self, link: _Link) -> None:
        """Opens a stream to another balancer after a backoff."""
        if self._stopped:
            return
        self.count_error('agent.stream_closed')
        used_indexes = {
            other.index for other in self._links if other is not link
        }
        for step in range(1, len(self._balancers) + 1):
            index = (link.index + step) % len(self._balancers)
            if index not in used_indexes:
                link.index = index
                break
        jitter = self._env.rng.uniform(0.5, 1)
        self._env.timers.call_later(int(link.backoff_ms * jitter),
                                    lambda: self._connect(link))
        link.backoff_ms = min(MAX_BACKOFF_MS, 2 * link.backoff_ms)

    def count_error(self, name: str) -> None:
        """Counts an error."""
        self._env.metrics.incr(name)

    def _subscribe(self, link: _Link) -> None:
        link.stream.send(
            control.Subscribe(self._name, self._service,
                              self._replica.revision))

    def _schedule_check(self, link: _Link) -> None:
        link.check_timer = self._env.timers.call_later(
            CHECK_INTERVAL_MS, lambda: self._check(link))

    def _check(self, link: _Link) -> None:
        """Subscribes again on a silent stream; closes it in the end."""
        link.check_timer = None
        link.silent_checks += 1
        if link.silent_checks >= CHECKS_BEFORE_CLOSE:
            self.count_error('agent.stream_silent')
            _log.warning('balancer %s:%d does not answer',
                         *self._balancers[link.index])
            link.stream.close()
            return
        if link.silent_checks % CHECKS_BEFORE_RESUBSCRIBE == 0:
            self._subscribe(link)
        self._schedule_check(link)

    def _connect(self, link: _Link) -> None:
        if self._stopped:
            return
        host, port = self._balancers[link.index]
        self._reactor.connectTCP(host, port, _Factory(link), CONNECT_TIMEOUT_S)
