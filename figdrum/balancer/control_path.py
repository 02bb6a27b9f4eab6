"""Executes the decisions of the sync controllers.

Explanation
===========

Control messages, responses of the platform and timer events go to the gossip
and subscription controllers; their actions go to the streams and the platform.
A stream to an agent that cannot take a message is closed, because the
controller relies on the order of the messages that it published. The agent then
subscribes again.
"""

import collections.abc
import typing

from twisted.internet import defer

from figdrum.balancer import control_port
from figdrum.balancer import control_stream
from figdrum.balancer import counters
from figdrum.core import clock
from figdrum.core import errors
from figdrum.messages import codec
from figdrum.messages import control
from figdrum.messages import datagram
from figdrum.object_api import loader
from figdrum.object_api import store
from figdrum.sync import actions as actions_lib
from figdrum.sync import gossip
from figdrum.sync import subscriptions
from figdrum.telemetry import logs

_log = logs.part('balancer')

OnChanged = collections.abc.Callable[[tuple[str, ...]], None]


class ControlPath:
    """The balancer's control path."""

    def __init__(self, gossip_controller: gossip.GossipController,
                 subscription_controller: subscriptions.SubscriptionController,
                 db: store.Store, port: control_port.ControlPort,
                 time_source: clock.Clock, on_changed: OnChanged,
                 counts: counters.Counters):
        """Initializes the path.

        Args:
            gossip_controller: Decides on gossip and on reads of the platform.
            subscription_controller: Decides which messages agents are sent.
            db: The platform's object API.
            port: Sends messages to other balancers.
            time_source: Source of the time.
            on_changed: Called with the keys of objects that changed.
            counts: Counts errors.
        """
        self._gossip = gossip_controller
        self._subscriptions = subscription_controller
        self._db = db
        self._port = port
        self._clock = time_source
        self._on_changed = on_changed
        self._counts = counts
        self._stopped = False

    def stop(self) -> None:
        """Starts no further reads of the platform and ignores pending ones."""
        self._stopped = True

    def on_message(self, stream: control_stream.ControlStream,
                   message: codec.Message) -> None:
        """Handles a message from another balancer or an agent."""
        now_ms = self._clock.now_ms()
        if isinstance(message, control.Digest):
            actions = self._gossip.on_digest(now_ms, message)
        elif isinstance(message, control.Delta):
            actions = self._gossip.on_delta(now_ms, message)
        elif isinstance(message, control.Pull):
            actions = self._gossip.on_pull(now_ms, message)
        elif isinstance(message, control.Subscribe):
            actions = self._subscriptions.on_subscribe(now_ms, stream, message)
        else:
            self._counts.incr('balancer.unexpected_control_message')
            return
        self._run(actions, stream)

    def on_closed(self, stream: control_stream.ControlStream) -> None:
        """Handles the end of a stream."""
        self._subscriptions.on_closed(stream)

    def on_stale(self, now_ms: int, stale: datagram.Stale) -> None:
        """Handles an agent's report that this balancer has stale data."""
        known = self._gossip.replica.service_list(stale.service).version
        actions = self._gossip.on_change_reported(now_ms, stale.change)
        if stale.list_version > known:
            actions += self._gossip.pull_now(now_ms)
        self._run(actions)

    def on_tick(self, now_ms: int) -> None:
        """Runs the actions that are due; call it every 100 ms."""
        self._run(self._gossip.on_tick(now_ms))
        self._run(self._subscriptions.on_tick(now_ms))

    def _run(self,
             actions: tuple[actions_lib.Action, ...],
             stream: control_stream.ControlStream | None = None) -> None:
        for action in actions:
            if isinstance(action, actions_lib.Send):
                self._port.send(action.address, action.message)
            elif isinstance(action, actions_lib.Reply):
                stream.send(action.message)
            elif isinstance(action, actions_lib.Publish):
                typing.cast(control_stream.ControlStream,
                            action.stream).send_in_order(action.message)
            elif isinstance(action, actions_lib.Load):
                self._start_read(loader.load, action.prefixes)
            elif isinstance(action, actions_lib.Watch):
                self._start_read(loader.watch, action.since_revision,
                                 action.timeout_ms)
            else:
                self._on_changed(action.keys)
                self._run(self._subscriptions.on_tick(self._clock.now_ms()))

    def _start_read(self, read, *args) -> None:
        if self._stopped:
            return
        started_ms = self._clock.now_ms()
        result = defer.maybeDeferred(read, self._db, *args)
        result.addCallback(lambda delta: self._finish_read(started_ms, delta))
        result.addErrback(self._fail_read, started_ms)

    def _fail_read(self, failure, started_ms: int) -> None:
        if failure.check(errors.FigdrumError):
            self._counts.incr('balancer.platform_read_failed')
        else:
            # The error must not escape: without a result the controller
            # would never read again.
            self._counts.incr('balancer.internal_error')
            _log.error('error in reading the platform: %s',
                       failure.getTraceback())
        self._finish_read(started_ms, None)

    def _finish_read(self, started_ms: int,
                     delta: control.Delta | None) -> None:
        if not self._stopped:
            self._run(
                self._gossip.on_store_result(
                    self._clock.now_ms(),
                    actions_lib.StoreResult(started_ms, delta)))
