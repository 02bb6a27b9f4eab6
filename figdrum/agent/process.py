"""Runs an agent on Twisted's reactor until SIGTERM."""

import random
import signal
import typing

from twisted.internet import defer
from twisted.internet import task

from figdrum.agent import core as core_lib
from figdrum.agent import drain
from figdrum.agent import environment
from figdrum.agent import frame_port
from figdrum.agent import subscription
from figdrum.balancer import reactor_timers
from figdrum.coap import http_client
from figdrum.core import clock as clock_lib
from figdrum.core import ids
from figdrum.object_api import http_store
from figdrum.sync import replica as replica_lib
from figdrum.telemetry import logs
from figdrum.telemetry import metrics as metrics_lib
from figdrum.telemetry import trace as trace_lib

# If the leave cannot be published within this time, the other members find the
# agent silent and publish it as lost.
LEAVE_TIMEOUT_MS = 3_000

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = logs.part('agent')


class AgentProcess:
    """Connects an agent to sockets and timers, and shuts it down.

    Args:
      cfg: Settings, see `figdrum.settings.schema.Settings`.
      reactor: Twisted's reactor.

    Attributes:
      core: The agent without sockets.
      address: Address of the frame port.
      done: Fires when the agent has left.
    """

    def __init__(self, cfg: typing.Any, reactor: typing.Any):
        self._cfg = cfg
        self._reactor = reactor
        self._metrics = _make_metrics(cfg)
        self._frame_port = frame_port.FramePort(self._metrics.incr)
        self._listener = reactor.listenUDP(cfg.agent.frame_port,
                                           self._frame_port,
                                           interface=cfg.agent.frame_host,
                                           maxPacketSize=65_536)
        self.address: ids.Address = (cfg.agent.frame_host,
                                     self._listener.getHost().port)
        self._target = http_client.HttpTarget(reactor, cfg.agent.target)
        self._store = http_store.HttpStore(reactor, cfg.platform.url,
                                           cfg.process.name,
                                           cfg.platform.timeout_ms)
        env = environment.Environment(clock_lib.SystemClock(),
                                      reactor_timers.ReactorTimers(reactor),
                                      self._frame_port,
                                      self._target, self._store, self._metrics,
                                      random.Random())
        self._replica = replica_lib.Replica(
            replica_lib.agent_scope(cfg.agent.service))
        self._subscriptions = subscription.Subscriptions(
            reactor, env, cfg.process.name, cfg.agent.service,
            cfg.agent.balancers, self._replica, self._on_replica)
        self._trace = trace_lib.open_trace(cfg.process.record,
                                           cfg.process.record_limit_bytes)
        self.core = core_lib.AgentCore(cfg, self.address, env,
                                       self._subscriptions.fetch, self._trace)
        self._frame_port.on_datagram = self._on_datagram
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._is_leaving = False
        self.done: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Subscribes to balancers, joins the service and starts the timer."""
        _log.info('frame port %s:%d', *self.address)
        self._subscriptions.start()
        self.core.start()
        self._ticker.start(self._cfg.agent.tick_ms / clock_lib.MS_PER_S)

    def drain(self) -> None:
        """Leaves gracefully; `done` fires at the end."""
        _log.info('leaving')
        self.core.start_drain()

    @defer.inlineCallbacks
    def stop(self):
        """Closes all sockets and timers at once, without a drain."""
        if self._ticker.running:
            self._ticker.stop()
        self.core.stop()
        self._subscriptions.stop()
        yield defer.maybeDeferred(self._listener.stopListening)
        if isinstance(self._trace, trace_lib.TraceWriter):
            self._trace.close()

    def _on_replica(self) -> None:
        self.core.on_replica(
            self._replica.service_list(self._cfg.agent.service),
            self._replica.contracts)

    def _on_datagram(self, address: ids.Address, data: bytes) -> None:
        try:
            self.core.on_datagram(address, data)
        except Exception:  # pylint: disable=broad-exception-caught
            # A datagram must not end the process; the error is counted and
            # logged.
            self._metrics.incr('agent.failed')
            _log.exception('error in handling a datagram')

    def _tick(self) -> None:
        try:
            self.core.tick()
        except Exception:  # pylint: disable=broad-exception-caught
            # A tick that raises would end the looping call for good.
            self._metrics.incr('agent.failed')
            _log.exception('error in a tick')
        if self.core.drain.phase is drain.Phase.DONE and not self._is_leaving:
            self._is_leaving = True
            self._leave()

    @defer.inlineCallbacks
    def _leave(self):
        published = self.core.publish_leave()
        published.addTimeout(LEAVE_TIMEOUT_MS / clock_lib.MS_PER_S,
                             self._reactor)
        published.addErrback(lambda failure: _log.warning(
            'leave not published: %s', failure.getErrorMessage()))
        yield published
        yield self.stop()
        _log.info('left')
        self.done.callback(None)


def _make_metrics(cfg: typing.Any) -> metrics_lib.Metrics:
    if cfg.statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.StatsdMetrics((cfg.statsd.host, cfg.statsd.port),
                                     cfg.statsd.prefix)


def run(cfg: typing.Any) -> int:
    """Runs an agent; returns 0 after a graceful leave."""
    # The reactor is installed on import, so only a running process imports it.
    from twisted.internet import reactor  # pylint: disable=import-outside-toplevel
    process = AgentProcess(cfg, reactor)
    reactor.callWhenRunning(process.start)
    process.done.addCallback(lambda _: reactor.stop())

    def on_signal(*_) -> None:
        for number in _STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        reactor.callFromThread(process.drain)

    for number in _STOP_SIGNALS:
        signal.signal(number, on_signal)
    reactor.run(installSignalHandlers=False)
    return 0
