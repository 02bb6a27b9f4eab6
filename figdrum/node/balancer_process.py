"""The balancer process."""

import time
import typing

from figdrum.core import checks
from figdrum.core import clock
from figdrum.core import ids
from figdrum.flows import actions
from figdrum.flows import balancer
from figdrum.flows import link_budget
from figdrum.flows import routes
from figdrum.flows import target
from figdrum.node import node
from figdrum.node import peer_reader
from figdrum.registry import mirror
from figdrum.registry import registrations
from figdrum.runtime import http_client
from figdrum.runtime import http_server
from figdrum.settings import node as node_settings

if typing.TYPE_CHECKING:
    from figdrum.registry import recent_flows_writer

# Shortest time in ms for which packets are still forwarded after SIGTERM. The
# network removes a node after two failed readiness checks, 500 ms apart.
MIN_STOP_DELAY_MS = 1_200

# A balancer that is stopping exits after this time without a packet, in ms.
IDLE_BEFORE_STOP_MS = 300

# Delay before the next watch of the configuration, in ms, so that several
# changes arrive at once. A version must be in force within 3 s.
CONFIGURATION_WATCH_DELAY_MS = 250

# Delay before the next watch of registrations, in ms. It delays the first flows
# to a new target; the states of known targets arrive in reports.
REGISTRATION_WATCH_DELAY_MS = 1_000

# Time in ms between two checks of the watches of zones and registrations. A
# zone must get no new flows after 5 s; the states of known targets arrive in
# reports.
OTHER_CHECK_PERIOD_MS = 3_000

# Checks per second of all balancers together that show the current
# configuration or zones. A change that one balancer has found reaches the
# others in its hellos and in agents' reports.
CURRENT_CHECKS_PER_S = 5

# Share of the platform's stop timeout after which a balancer exits in any case.
MAX_STOP_SHARE = 0.8


class ConfigurationObserver(mirror.Observer):
    """Passes configurations on to the balancer."""

    def __init__(self, process: 'BalancerProcess'):
        self._process = process

    def on_entry(self, name: str, value: typing.Any) -> None:
        self._process.on_configuration(name, value)

    def on_removed(self, name: str) -> None:
        # A balancer keeps the last configuration.
        self._process.log.write('configuration removed', name=checks.show(name))


class ZonesOutObserver(mirror.Observer):
    """Passes the set of zones that are out on to the balancer.

    The name of an object takes a zone out, whatever the object holds.
    """

    def __init__(self, process: 'BalancerProcess'):
        self._process = process
        self._zones: set[ids.ZoneName] = set()

    def on_entry(self, name: str, value: typing.Any) -> None:
        self._zones.add(ids.ZoneName(name))

    def on_unreadable(self, name: str) -> None:
        self._zones.add(ids.ZoneName(name))

    def on_removed(self, name: str) -> None:
        self._zones.discard(ids.ZoneName(name))

    def on_synced(self, revision: ids.StoreRevision) -> None:
        self._process.on_zones_out(frozenset(self._zones), revision)


class AgentObserver(mirror.Observer):
    """Passes agents' registrations on to the balancer.

    An agent whose object has become unreadable keeps its last registration.
    """

    def __init__(self, process: 'BalancerProcess'):
        self._process = process

    def on_entry(self, name: str, value: typing.Any) -> None:
        registration = registrations.decode(name, value)
        if registration is None:
            self._process.log.write('unreadable object',
                                    kind=registrations.KIND,
                                    name=checks.show(name))
            self._process.on_registration_unreadable(name)
            return
        self._process.on_registration(name, registration)

    def on_unreadable(self, name: str) -> None:
        self._process.on_registration_unreadable(name)

    def on_removed(self, name: str) -> None:
        self._process.on_registration_removed(name)

    def on_synced(self, revision: ids.StoreRevision) -> None:
        self._process.on_registrations_listed()


class BalancerProcess(node.Node):
    """Connects a balancer's flow controller to its sockets and the store."""

    def __init__(self, *args: typing.Any):
        super().__init__(*args)
        cfg = self.cfg.balancer
        assert cfg is not None
        now_ms = self.clock.now_ms()
        self._stop_requested_ms: int | None = None
        self._last_packet_ms = now_ms
        self._client_port = cfg.packets[1]
        self._limits = link_budget.UNLIMITED
        self._capacity_gauges: dict[str, float] = {}
        self._balancer = balancer.Balancer(
            now_ms, self.adapter.packets, self.cfg.zone,
            balancer.ColdRateTolerance(cfg.cold_overage, cfg.cold_slack))
        self._frames = self.open_udp(cfg.frames, self._on_frame)
        self._packets = self.open_udp(cfg.packets, self._on_packet)
        self._configuration = self._mirror(
            self.adapter.configuration_kind, ConfigurationObserver(self),
            mirror.WatchOptions(
                CONFIGURATION_WATCH_DELAY_MS,
                current_check_period_ms=self._current_check_period_ms))
        self._registrations = self._mirror(
            registrations.KIND, AgentObserver(self),
            mirror.WatchOptions(REGISTRATION_WATCH_DELAY_MS,
                                OTHER_CHECK_PERIOD_MS,
                                may_lag=True,
                                restarts_checks=True))
        self._zones_out = self._mirror(
            self.adapter.zones_out_kind, ZonesOutObserver(self),
            mirror.WatchOptions(
                0,
                OTHER_CHECK_PERIOD_MS,
                current_check_period_ms=self._current_check_period_ms))
        self._recent_flows_writer: (
            'recent_flows_writer.CollectorWriter | None') = None
        self._peer_reader = peer_reader.PeerReader(
            (self._configuration, self._zones_out, self._registrations),
            tuple(peer for peer in cfg.peers if peer != cfg.control),
            lambda address: http_client.HttpClient(self.loop, address, 'peer'),
            self.loop, self.log)

    def run(self) -> None:
        """Runs until the process has stopped after SIGTERM."""
        cfg = self.cfg.balancer
        assert cfg is not None
        self.serve_readiness(cfg.ready, self._is_ready)
        self._configuration.start()
        self._zones_out.start()
        self._registrations.start()
        http_server.HttpServer(self.loop, cfg.control,
                               self._peer_reader.respond)
        self._peer_reader.start()
        self.start(cfg.packets[0])
        self._apply_limits()
        self.loop.run()

    def on_settings_changed(self, cfg: node_settings.NodeSettings) -> None:
        super().on_settings_changed(cfg)
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Applies the limits of the machine if they have changed."""
        cfg = self.cfg.balancer
        assert cfg is not None
        limits = link_budget.Limits(cfg.link_mbps, cfg.cpu_share, cfg.cores)
        if limits == self._limits:
            return
        self._limits = limits
        self._execute(self._balancer.on_limits(self.clock.now_ms(), limits))

    def on_configuration(self, name: str, value: typing.Any) -> None:
        """Applies a stored configuration, unless it is malformed."""
        cfg: routes.Configuration | None = self.adapter.decode_configuration(
            name, value)
        if cfg is None:
            self.log.write('unreadable configuration', name=checks.show(name))
            return
        self._execute(self._balancer.on_configuration(self.clock.now_ms(), cfg))

    def on_zones_out(self, zones: frozenset[ids.ZoneName],
                     revision: ids.StoreRevision) -> None:
        """Applies the set of zones that operators have taken out."""
        self._execute(
            self._balancer.on_zones_out(self.clock.now_ms(), zones, revision))

    def on_registration(self, name: str,
                        registration: target.Registration) -> None:
        """Handles a new or changed registration of an agent."""
        self._execute(
            self._balancer.on_registration(self.clock.now_ms(), name,
                                           registration))

    def on_registrations_listed(self) -> None:
        """Handles the end of a list or of changes of registrations."""
        self._execute(
            self._balancer.on_registrations_listed(self.clock.now_ms()))

    def on_registration_removed(self, name: str) -> None:
        """Handles the removal of an agent's registration."""
        self._execute(
            self._balancer.on_registration_removed(self.clock.now_ms(), name))

    def on_registration_unreadable(self, name: str) -> None:
        """Handles an agent's registration that cannot be read."""
        self._execute(
            self._balancer.on_registration_unreadable(self.clock.now_ms(),
                                                      name))

    def _on_configuration_read(self, is_current: bool) -> None:
        self._execute(self._balancer.on_configuration_read(is_current))

    def _on_registrations_read(self, is_current: bool) -> None:
        self._execute(
            self._balancer.on_registrations_read(self.clock.now_ms(),
                                                 is_current))

    def on_tick(self) -> None:
        now_ms = self.clock.now_ms()
        self._execute(self._balancer.on_tick(now_ms))
        self._write_recent_flows()
        self.figures.gauges['flows'] = self._balancer.flow_count
        self.figures.gauges['searches'] = self._balancer.search_count
        self.figures.gauges['configuration_age_ms'] = self._configuration.age_ms
        self.figures.gauges['zones_out_age_ms'] = self._zones_out.age_ms
        self.figures.gauges['registrations_age_ms'] = self._registrations.age_ms
        self.figures.gauges['targets'] = len(self._balancer.targets)
        early = self._balancer.early_packets
        self.figures.gauges['early_packets_forwarded'] = early.forwarded_count
        self.figures.gauges['early_packets_dropped'] = early.dropped_count
        self.figures.gauges['packets_unsent'] = (self._packets.unsent_count +
                                                 self._frames.unsent_count)
        self._measure_capacity(now_ms)
        if self._stop_requested_ms is not None:
            self._stop_when_idle(now_ms)

    def _write_recent_flows(self) -> None:
        collector = self._balancer.collector
        if collector is None:
            return
        # Few balancers need the modules, and none at its start.
        # pylint: disable=import-outside-toplevel
        from figdrum.flows import recent_flow_collector
        from figdrum.registry import object_writer
        from figdrum.registry import recent_flows
        from figdrum.registry import recent_flows_writer
        if self._recent_flows_writer is None:
            cfg = self.cfg.balancer
            assert cfg is not None
            name = registrations.object_name(cfg.frames)
            self._recent_flows_writer = recent_flows_writer.CollectorWriter(
                collector, self.clock,
                self.cfg.store_writes_per_s, lambda: object_writer.ObjectWriter(
                    self.adapter.store, recent_flows.KIND, name, self.loop, self
                    .log, self.rng))
        receipts = self._recent_flows_writer.on_tick(
            lambda: recent_flow_collector.count_collectors(
                self._balancer.targets.all(), self.cfg.zone))
        self._execute(self._balancer.on_recent_flows_stored(receipts))
        self.figures.gauges['recent_flows'] = len(collector)

    def _measure_capacity(self, now_ms: int) -> None:
        if self._limits.processor is not None:
            self._balancer.on_cpu_time(time.process_time() * clock.MS_PER_S)
        for name in self._capacity_gauges:
            del self.figures.gauges[name]
        self._capacity_gauges = self._balancer.capacity_gauges(now_ms)
        self.figures.gauges.update(self._capacity_gauges)

    def on_timer(self) -> None:
        self._execute(self._balancer.on_timer(self.clock.now_ms()))

    def on_stop(self) -> None:
        if self._stop_requested_ms is None:
            self._stop_requested_ms = self.clock.now_ms()
            self.log.write('stopping')

    def _doubt_registration(self, action: actions.DoubtRegistration) -> None:
        """Marks a registration if its revision has not changed."""
        revision = self._registrations.revisions.get(action.name)
        if revision is not None:
            self.adapter.store.write(
                registrations.KIND, action.name,
                registrations.encode(action.registration), revision,
                lambda result: self.log.write('registration doubted',
                                              name=action.name,
                                              outcome=type(result).__name__))

    def _remove_registration(self, name: str) -> None:
        """Removes a registration if its revision has not changed."""
        revision = self._registrations.revisions.get(name)
        if revision is None:
            # It was removed while the agent was known to live.
            self.on_registration_removed(name)
            return
        self.adapter.store.remove(
            registrations.KIND, name, revision,
            lambda result: self.log.write('registration removed',
                                          name=name,
                                          outcome=type(result).__name__))

    def _current_check_period_ms(self) -> int:
        # Random, so that the checks of several balancers are spread evenly.
        mean_ms = (clock.MS_PER_S * self._balancer.balancer_count /
                   CURRENT_CHECKS_PER_S)
        return int(mean_ms * self.rng.uniform(0.7, 1.3))

    def _mirror(self, kind: str, observer: mirror.Observer,
                options: mirror.WatchOptions) -> mirror.Mirror:
        return mirror.Mirror(self.adapter.store, kind, observer, self.loop,
                             self.clock, self.log, self.rng, options)

    def _stop_when_idle(self, now_ms: int) -> None:
        cfg = self.cfg.balancer
        assert cfg is not None and self._stop_requested_ms is not None
        stopping_ms = now_ms - self._stop_requested_ms
        idle_ms = now_ms - self._last_packet_ms
        if (stopping_ms > MIN_STOP_DELAY_MS and idle_ms > IDLE_BEFORE_STOP_MS or
                stopping_ms > cfg.stop_s * 1000 * MAX_STOP_SHARE):
            self.stop()

    def _is_ready(self) -> bool:
        return self._balancer.is_ready and self._stop_requested_ms is None

    def _on_packet(self, data: bytes, _: ids.Address) -> None:
        now_ms = self._last_packet_ms = self.clock.now_ms()
        self._execute(self._balancer.on_client_packet(now_ms, data))

    def _on_frame(self, data: bytes, address: ids.Address) -> None:
        self._execute(
            self._balancer.on_message(self.clock.now_ms(), address, data))

    def _execute(self, result: actions.Actions) -> None:
        unhandled = self.execute(result, self._packets, self._frames,
                                 self._client_port)
        for action in unhandled:
            if isinstance(action, actions.RefreshConfiguration):
                self._configuration.refresh()
            elif isinstance(action, actions.ReadConfiguration):
                self._configuration.read_current(self._on_configuration_read)
            elif isinstance(action, actions.ReadRegistrations):
                self._registrations.read_current(self._on_registrations_read)
            elif isinstance(action, actions.DoubtRegistration):
                self._doubt_registration(action)
            elif isinstance(action, actions.RemoveRegistration):
                self._remove_registration(action.name)
