"""The balancer process.

Explanation
===========

`Process` connects the controllers to sockets, timers and the platform on one
event loop. On SIGTERM or SIGINT it removes its registry entry, continues to
forward for `linger_ms` and exits with code 0. A balancer holds no flows, so its
end breaks none.

Each packet, message and tick is handled behind a guard: an unexpected error is
logged and counted, and the process continues.
"""

import collections.abc
import functools
import random
import signal
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import reactor as default_reactor

from figdrum.balancer import control_path
from figdrum.balancer import control_port
from figdrum.balancer import counters
from figdrum.balancer import fabric_port
from figdrum.balancer import frame_port
from figdrum.balancer import packet_path
from figdrum.balancer import reactor_timers
from figdrum.balancer import registration
from figdrum.balancer import status_report
from figdrum.core import clock
from figdrum.core import errors
from figdrum.core import ids
from figdrum.membership import registry_writer
from figdrum.object_api import http_store
from figdrum.object_api import store
from figdrum.routing import router
from figdrum.routing import serving
from figdrum.routing import suspicion
from figdrum.settings import schema
from figdrum.sync import gossip
from figdrum.sync import registry as registry_lib
from figdrum.sync import replica
from figdrum.sync import subscriptions
from figdrum.sync import token_bucket
from figdrum.telemetry import logs
from figdrum.telemetry import metrics
from figdrum.telemetry import trace

TICK_MS = suspicion.TICK_MS
REPORT_INTERVAL_MS = 1000

# Size of the largest UDP datagram; a smaller buffer would truncate it.
_DATAGRAM_BYTES = 65_536

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = logs.part('balancer')


class Addresses(typing.NamedTuple):
    """Addresses on which a balancer listens, with the bound ports.

    Attributes:
        packets: UDP, for packets from the fabric.
        frames: UDP, for frames to and from agents.
        control: TCP, for gossip and subscriptions.
    """
    packets: ids.Address
    frames: ids.Address
    control: ids.Address


class Process:
    """One balancer: its controllers, sockets and timers.

    Attributes:
        addresses: Addresses on which it listens.
    """

    def __init__(self,
                 cfg: schema.Settings,
                 reactor: typing.Any,
                 time_source: clock.Clock,
                 db: store.Store,
                 sink: counters.MetricsSink,
                 rng: random.Random,
                 recorder: trace.Trace | None = None):
        """Binds the ports and connects all parts; `start` runs them.

        Args:
            cfg: Settings with a balancer section.
            reactor: Twisted's reactor.
            time_source: Source of the time.
            db: The platform's object API.
            sink: Takes counters and gauges.
            rng: Source of randomness.
            recorder: Records routing decisions.

        Raises:
            errors.NotReadyError: if a port cannot be bound.
        """
        self._cfg = cfg.balancer
        self._reactor = reactor
        self._clock = time_source
        self._timers = reactor_timers.ReactorTimers(reactor)
        self._counts = counters.Counters()
        self._next_report_ms = time_source.now_ms()
        self._stopping: defer.Deferred | None = None
        self._closed = False
        self._udp_ports: list = []
        self._control_port = control_port.ControlPort(
            reactor, time_source, self._guard(self._on_control),
            self._guard(self._on_closed), self._counts.incr)
        self._build(cfg, db, sink, rng, recorder or trace.NullTrace())

    def _build(self, cfg: schema.Settings, db: store.Store,
               sink: counters.MetricsSink, rng: random.Random,
               recorder: trace.Trace) -> None:
        zone = ids.ZoneName(cfg.process.zone)
        fabric = fabric_port.FabricPort(self._cfg.fabric,
                                        self._guard(self._on_packet),
                                        self._counts.incr)
        frames = frame_port.FramePort(self._guard(self._on_frame),
                                      self._counts.incr)
        self.addresses = self._bind_ports(fabric, frames)
        own_entry = registry_lib.Balancer(ids.BalancerName(cfg.process.name),
                                          zone, self.addresses.control)
        bucket = token_bucket.TokenBucket(self._cfg.control_bytes_per_s,
                                          self._cfg.control_burst_bytes)
        local_replica = replica.Replica()
        gossip_controller = gossip.GossipController(
            gossip.GossipConfig(own_entry.name, zone, own_entry.address,
                                self._cfg.peers, self._cfg.gossip_ms,
                                cfg.platform.watch_ms), local_replica, rng,
            self._clock.now_ms(), bucket)
        self._gate = serving.ServingGate(gossip_controller)
        packet_router = recorder.build(
            'router', router.Router, zone, self.addresses.frames, self._gate,
            suspicion.SuspicionLimits(self._cfg.ping_after_ms,
                                      self._cfg.suspect_after_ms,
                                      self._cfg.suspect_ping_ms,
                                      self._cfg.pings_per_s))
        self._control_path = control_path.ControlPath(
            gossip_controller,
            subscriptions.SubscriptionController(local_replica, bucket), db,
            self._control_port, self._clock, self._on_changed, self._counts)
        self._packet_path = packet_path.PacketPath(packet_router, local_replica,
                                                   fabric, frames,
                                                   self._control_path.on_stale,
                                                   self._counts)
        self._registration = registration.Registration(
            own_entry, gossip_controller,
            registry_writer.RegistryWriter(db, self._timers, zone, rng))
        self._report = status_report.StatusReport(zone, self._gate,
                                                  gossip_controller,
                                                  packet_router, self._counts,
                                                  sink)

    def _bind_ports(self, fabric: fabric_port.FabricPort,
                    frames: frame_port.FramePort) -> Addresses:
        host = self._cfg.packet_host
        return Addresses(
            self._bind_udp((host, self._cfg.packet_port), fabric),
            self._bind_udp((host, self._cfg.frame_port), frames),
            _bind(self._control_port.listen, (host, self._cfg.control_port)))

    def start(self) -> None:
        """Starts the periodic work."""
        _log.info('listening, packets %s:%d, frames %s:%d, control %s:%d',
                  *self.addresses.packets, *self.addresses.frames,
                  *self.addresses.control)
        self._tick()

    def stop(self) -> defer.Deferred:
        """Deregisters, lingers and closes all ports.

        Returns:
            A Deferred that fires when the ports are closed, and never fails.
            Later calls do not stop again; their Deferred fires too.
        """
        waiter: defer.Deferred = defer.Deferred()
        if self._stopping is None:
            self._stopping = defer.Deferred()
            self._gate.stop()
            _log.info('stopping, forwards for another %d ms',
                      self._cfg.linger_ms)
            self._registration.stop()
            self._timers.call_later(self._cfg.linger_ms, self._close)
        self._stopping.chainDeferred(waiter)
        return waiter

    def _close(self) -> None:
        self._guard(self._release)()
        _log.info('stopped')
        self._stopping.callback(None)

    def _release(self) -> None:
        self._closed = True
        self._control_path.stop()
        self._control_port.close()
        for port in self._udp_ports:
            port.stopListening()
        self._report.flush()

    def _bind_udp(self, address: ids.Address, protocol) -> ids.Address:

        def listen(address):
            port = self._reactor.listenUDP(address[1], protocol, address[0],
                                           _DATAGRAM_BYTES)
            self._udp_ports.append(port)
            return (address[0], port.getHost().port)

        return _bind(listen, address)

    def _guard(self, fn: collections.abc.Callable) -> collections.abc.Callable:

        @functools.wraps(fn)
        def guarded(*args):
            try:
                fn(*args)
            except Exception:  # pylint: disable=broad-exception-caught
                # An error for one input must not end the process or its timer.
                self._counts.incr('balancer.internal_error')
                _log.exception('error in %s', fn.__name__)

        return guarded

    def _on_packet(self, src: ids.Address, dst: ids.Address,
                   payload: bytes) -> None:
        self._packet_path.on_packet(self._clock.now_ms(), src, dst, payload)

    def _on_frame(self, agent: ids.Address, message) -> None:
        self._packet_path.on_message(self._clock.now_ms(), agent, message)

    def _on_control(self, stream, message) -> None:
        self._control_path.on_message(stream, message)

    def _on_closed(self, stream) -> None:
        self._control_path.on_closed(stream)

    def _on_changed(self, keys: tuple[str, ...]) -> None:
        if any(key.startswith(replica.LISTS_PREFIX) for key in keys):
            self._packet_path.on_lists_changed()

    def _tick(self) -> None:
        if self._closed:
            return
        self._timers.call_later(TICK_MS, self._tick)
        now_ms = self._clock.now_ms()
        self._guard(self._packet_path.on_tick)(now_ms)
        self._guard(self._control_path.on_tick)(now_ms)
        if now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + REPORT_INTERVAL_MS
            self._guard(self._on_report)(now_ms)

    def _on_report(self, now_ms: int) -> None:
        """Runs the work that is due once a second."""
        self._control_port.close_idle()
        self._registration.on_tick(now_ms)
        self._report.report(now_ms)


def _bind(listen: collections.abc.Callable[[ids.Address], ids.Address],
          address: ids.Address) -> ids.Address:
    try:
        return listen(address)
    except error.CannotListenError as exc:
        raise errors.NotReadyError('bind port', f'{address[0]}:{address[1]}',
                                   str(exc.socketError)) from exc


def run(cfg: schema.Settings) -> int:
    """Runs a balancer until SIGTERM or SIGINT; returns the exit code.

    Args:
        cfg: Settings with a balancer section.

    Raises:
        errors.NotReadyError: if a port cannot be bound.
        errors.TraceError: if the file to record to cannot be opened.
    """
    reactor = default_reactor
    rng = random.Random()
    sink: metrics.Metrics = metrics.NullMetrics()
    if cfg.statsd is not None:
        sink = metrics.StatsdMetrics((cfg.statsd.host, cfg.statsd.port),
                                     cfg.statsd.prefix)
    recorder = trace.open_trace(cfg.process.record,
                                cfg.process.record_limit_bytes)
    db = http_store.HttpStore(reactor, cfg.platform.url, cfg.process.name,
                              cfg.platform.timeout_ms, rng)
    process = Process(cfg, reactor, clock.SystemClock(), db, sink, rng,
                      recorder)

    def on_signal(*_) -> None:
        for number in _STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        reactor.callFromThread(
            lambda: process.stop().addCallback(lambda _: reactor.stop()))

    # Twisted's own handlers would exit with the code of the signal.
    for number in _STOP_SIGNALS:
        signal.signal(number, on_signal)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    if isinstance(recorder, trace.TraceWriter):
        recorder.close()
    return 0
