"""Base class of the balancer and agent processes."""

import collections.abc
import os
import random
import signal
import time

from figdrum.core import clock
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.node import platform_adapter
from figdrum.runtime import bound_sockets
from figdrum.runtime import http_server
from figdrum.runtime import loop as loop_module
from figdrum.runtime import udp
from figdrum.settings import node as node_settings
from figdrum.telemetry import event_log
from figdrum.telemetry import prometheus

# Port of the metrics endpoint on the machine's address; deploy/system.toml has
# the same number.
METRICS_PORT = 9_464
METRICS_PATH = '/metrics'

# Time in ms after which a process tries again to listen for requests of its
# metrics, if another process has the port.
METRICS_RETRY_MS = 5_000

# Period of the checks whether the settings file has changed, in ms. It may
# change without a SIGHUP.
SETTINGS_CHECK_PERIOD_MS = 1_000

# Period of the controller's ticks, in ms.
TICK_MS = 250

# Time in ms by which a call of `on_timer` may come later than requested. It
# bounds the calls that are pending and lets requests share them.
TIMER_SLACK_MS = 5

NS_PER_MS = 1_000_000


class Node:
    """A process with a log, metrics, a settings file and signal handlers."""

    def __init__(self,
                 cfg: node_settings.NodeSettings,
                 path: str,
                 role: str,
                 loop: loop_module.Loop,
                 time_source: clock.Clock,
                 adapter: platform_adapter.PlatformAdapter,
                 sockets: bound_sockets.BoundSockets | None = None):
        """Creates a process.

        Args:
          cfg: Settings.
          path: Path of the settings file.
          role: 'balancer' or 'agent'.
          loop: Event loop.
          time_source: Clock.
          adapter: Platform.
          sockets: Sockets that have been bound already.
        """
        self.cfg = cfg
        self.loop = loop
        self.clock = time_source
        self.adapter = adapter
        self.rng = random.Random(f'{cfg.name} {os.getpid()}')
        self.log = event_log.EventLog(cfg.name, time_source,
                                      event_log.write_standard_output)
        self.figures = prometheus.MetricSet()
        self._sockets = sockets or {}
        self._path = path
        self._role = role
        self._settings_mtime_ns = self._read_mtime_ns()
        # Times at which `on_timer` will be called.
        self._timer_dues_ms: set[int] = set()

    def start(self, host: str) -> None:
        """Starts the metrics endpoint, signal handlers and periodic calls."""
        agent_cfg = self.cfg.agent
        self.log.write('start',
                       role=self._role,
                       zone=self.cfg.zone,
                       first_start=agent_cfg.first_start if agent_cfg else None,
                       cpu_ms=time.process_time_ns() // NS_PER_MS)
        self._serve_metrics((host, METRICS_PORT))
        self.loop.on_signal(signal.SIGHUP, self._reload)
        self.loop.on_signal(signal.SIGTERM, self.on_stop)
        self.loop.call_every(SETTINGS_CHECK_PERIOD_MS,
                             self._check_settings_file)
        self.loop.call_every(TICK_MS, self.on_tick)

    def on_tick(self) -> None:
        """Called every 250 ms."""
        raise NotImplementedError

    def on_stop(self) -> None:
        """Called after SIGTERM."""
        raise NotImplementedError

    def on_timer(self) -> None:
        """Called after the delay of a `StartTimer` action."""
        raise NotImplementedError

    def on_settings_changed(self, cfg: node_settings.NodeSettings) -> None:
        """Called with the new settings when the file has changed."""
        self.cfg = cfg

    def stop(self) -> None:
        """Stops the event loop, which ends the process."""
        self.log.write('stop', events=dict(self.log.counts))
        self.loop.stop()

    def open_udp(self, address: ids.Address,
                 on_datagram: udp.OnDatagram) -> udp.UdpSocket:
        """Opens a UDP socket, or continues one that has been bound."""
        return udp.UdpSocket(self.loop, address, on_datagram,
                             self._sockets.pop(address, None))

    def start_timer(self, delay_ms: int) -> None:
        """Calls `on_timer` after a delay, or up to `TIMER_SLACK_MS` later."""
        due_ms = self.clock.now_ms() + delay_ms
        if any(due_ms <= pending_ms <= due_ms + TIMER_SLACK_MS
               for pending_ms in self._timer_dues_ms):
            return
        self._timer_dues_ms.add(due_ms)
        self.loop.call_later(delay_ms, lambda: self._on_timer_expired(due_ms))

    def serve_readiness(
            self, address: ids.Address,
            is_ready: collections.abc.Callable[[],
                                               bool]) -> http_server.HttpServer:
        """Serves the readiness check of the platform."""

        def respond(req: http_server.Request) -> http_server.Response:
            if req.path != self.adapter.ready_path:
                return http_server.Response(404)
            return http_server.Response(200 if is_ready() else 503)

        return http_server.HttpServer(self.loop, address, respond)

    def execute(self, result: actions.Actions, packets: udp.UdpSocket,
                frames: udp.UdpSocket, client_port: int) -> actions.Actions:
        """Executes the actions that both roles have; returns the others.

        Args:
          result: The actions.
          packets: Socket for packets to clients.
          frames: Socket for messages to balancers and agents.
          client_port: Port at which clients receive packets.
        """
        unhandled: actions.Actions = []
        for action in result:
            kind = type(action)
            if kind is actions.SendToPeer:
                frames.send(action.data, action.address)
            elif kind is actions.SendToClient:
                packets.send(action.raw, (action.host, client_port))
            elif kind is actions.StartTimer:
                self.start_timer(action.delay_ms)
            elif kind is actions.LogEvent:
                self.log.write(action.event, **action.fields)
            elif kind is actions.ObserveHistogram:
                self.figures.observe(action.name, action.value)
            else:
                unhandled.append(action)
        return unhandled

    def _on_timer_expired(self, due_ms: int) -> None:
        self._timer_dues_ms.discard(due_ms)
        self.on_timer()

    def _serve_metrics(self, address: ids.Address) -> None:
        try:
            http_server.HttpServer(self.loop, address, self._on_metrics)
        except OSError as exc:
            # Flows do not depend on metrics.
            self.log.write('metrics not served', reason=exc.strerror)
            self.loop.call_later(METRICS_RETRY_MS,
                                 lambda: self._serve_metrics(address))

    def _on_metrics(self, req: http_server.Request) -> http_server.Response:
        if req.path != METRICS_PATH:
            return http_server.Response(404)
        text = prometheus.render(self.figures, self.log.counts)
        return http_server.Response(200, text.encode())

    def _read_mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return 0

    def _check_settings_file(self) -> None:
        mtime_ns = self._read_mtime_ns()
        if mtime_ns and mtime_ns != self._settings_mtime_ns:
            self._reload()

    def _reload(self) -> None:
        self._settings_mtime_ns = self._read_mtime_ns()
        try:
            cfg = node_settings.load(self._path, self._role)
        except node_settings.errors.SettingsError as exc:
            self.log.write('settings refused', reason=str(exc))
            return
        changed = cfg != self.cfg
        self.log.write('reload', changed=changed)
        if changed:
            self.on_settings_changed(cfg)
