"""What the processes of a balancer and an agent have in common."""

import collections.abc
import os
import random
import signal

from figdrum.core import clock
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.node import platform_adapter
from figdrum.runtime import http_server
from figdrum.runtime import loop as loop_module
from figdrum.runtime import udp
from figdrum.settings import node as node_settings
from figdrum.telemetry import event_log
from figdrum.telemetry import prometheus

# Port of the metrics on the machine's address, as deploy/system.toml names it.
METRICS_PORT = 9_464
METRICS_PATH = '/metrics'

# Time between looks at the settings file, in ms; it may change without SIGHUP.
SETTINGS_PERIOD_MS = 1_000

# Time between ticks of a controller, in ms.
TICK_MS = 250


class Node:
    """Log, metrics, settings file and signals of a process."""

    def __init__(self, cfg: node_settings.NodeSettings, path: str, role: str,
                 loop: loop_module.Loop, time_source: clock.Clock,
                 adapter: platform_adapter.PlatformAdapter):
        self.cfg = cfg
        self.loop = loop
        self.clock = time_source
        self.adapter = adapter
        self.rng = random.Random(f'{cfg.name} {os.getpid()}')
        self.log = event_log.EventLog(cfg.name, time_source,
                                      event_log.write_standard_output)
        self.figures = prometheus.MetricSet()
        self._path = path
        self._role = role
        self._settings_mtime_ns = self._read_mtime_ns()
        self._timer: loop_module.Timer | None = None

    def start(self, host: str) -> None:
        """Serves the metrics and follows signals and the settings file."""
        self.log.write('start', role=self._role, zone=self.cfg.zone)
        http_server.HttpServer(self.loop, (host, METRICS_PORT),
                               self._on_metrics)
        self.loop.on_signal(signal.SIGHUP, self._reload)
        self.loop.on_signal(signal.SIGTERM, self.on_stop)
        self.loop.call_every(SETTINGS_PERIOD_MS, self._check_settings_file)
        self.loop.call_every(TICK_MS, self.on_tick)

    def on_tick(self) -> None:
        """Called each 250 ms."""
        raise NotImplementedError

    def on_stop(self) -> None:
        """Called after SIGTERM."""
        raise NotImplementedError

    def on_timer(self) -> None:
        """Called after the delay of a `StartTimer` action."""
        raise NotImplementedError

    def on_settings_changed(self, cfg: node_settings.NodeSettings) -> None:
        """Called when the settings have changed."""
        self.cfg = cfg

    def stop(self) -> None:
        """Ends the process."""
        self.log.write('stop', events=dict(self.log.counts))
        self.loop.stop()

    def start_timer(self, delay_ms: int) -> None:
        """Calls `on_timer` after a delay, once however often it is asked for."""
        if self._timer is None:
            self._timer = self.loop.call_later(delay_ms, self._on_timer_expired)

    def serve_ready(
            self, address: ids.Address,
            is_ready: collections.abc.Callable[[],
                                               bool]) -> http_server.HttpServer:
        """Answers whether the node takes packets."""

        def answer(req: http_server.Request) -> http_server.Response:
            if req.path != self.adapter.ready_path:
                return http_server.Response(404)
            return http_server.Response(200 if is_ready() else 503)

        return http_server.HttpServer(self.loop, address, answer)

    def execute(self, result: actions.Actions, packets: udp.UdpSocket,
                frames: udp.UdpSocket, client_port: int) -> actions.Actions:
        """Carries out actions; returns those that it does not know.

        Args:
          result: The actions.
          packets: Socket from which clients are sent to.
          frames: Socket from which balancers and agents are sent to.
          client_port: Port at which clients take packets.
        """
        rest: actions.Actions = []
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
                rest.append(action)
        return rest

    def _on_timer_expired(self) -> None:
        self._timer = None
        self.on_timer()

    def _on_metrics(self, req: http_server.Request) -> http_server.Response:
        if req.path != METRICS_PATH:
            return http_server.Response(404)
        text = prometheus.render(self.figures, self.log.counts)
        return http_server.Response(200, text.encode())

    def _read_mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next look will see the new one.
            return 0

    def _check_settings_file(self) -> None:
        changed_ns = self._read_mtime_ns()
        if changed_ns and changed_ns != self._settings_mtime_ns:
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
