"""Fault injection, with faults drawn from the seed."""

import random
import signal
import typing

from standins.soak import deployment as deployment_module
from standins.soak import layout
from standins.soak import link as link_module
from standins.soak import observations as observations_module
from standins.soak import proxy as proxy_module
from standins.soak import store as store_module

# Range of a fault's duration.
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0

# Shortest time for which a zone is out. It is long enough for the deadline to
# be checked even if the store was disturbed in the meantime.
MIN_ZONE_OUT_S = (layout.ZONE_OUT_MS + layout.RECONNECT_MS) / 1_000

# Changes of the configuration before a store fault, and the time between two of
# them. Watches are sent during the fault, 0.25 s after the last change.
CHANGES_BEFORE_FAULT = 10
CHANGE_PERIOD_S = 0.1

# Range of the age of a copy that the store loads, longer than these changes.
MIN_COPY_AGE_S = 2.0
MAX_COPY_AGE_S = 6.0

# Longest time for which a draining server keeps running after the time from
# which it must get no new flows.
MAX_DRAIN_STAY_S = 5.0


class Faults:
    """Injects faults at random times; faults may overlap.

    A kind that is listed several times is drawn more often.

    Attributes:
      log: Start, kind and duration of each fault drawn.
    """

    def __init__(self, deployment: deployment_module.Deployment):
        self._deployment = deployment
        self._rng = deployment.rng
        self._active_store_faults = 0
        self.log: list[str] = []
        self._kinds: list[typing.Callable[[float], None]] = [
            self._kill, self._kill, self._terminate, self._pause,
            self._kill_all, self._store_down, self._store_slow,
            self._store_loses, self._compact, self._proxy,
            self._cut_some_from_store, self._reset_connections,
            self._crash_server, self._crash_server, self._replace_server,
            self._replace_server, self._add_machine, self._zone_out,
            self._zone_out, self._configure, self._configure,
            self._harm_target_link, self._harm_client_links, self._hurry_clients
        ]

    def schedule(self, from_s: float, to_s: float, count: int) -> None:
        """Draws faults and schedules them.

        Args:
          from_s: Earliest start, in seconds from now.
          to_s: Latest start, in seconds from now.
          count: Number of faults.
        """
        for _ in range(count):
            kind = self._rng.choice(self._kinds)
            start_s = self._rng.uniform(from_s, to_s)
            duration_s = self._rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            name = kind.__name__.strip('_')
            self.log.append(f'{start_s:.1f} s {name} for {duration_s:.1f} s')
            self._deployment.reactor.callLater(start_s, kind, duration_s)

    def schedule_between_changes(self, seed: int, from_s: float, to_s: float,
                                 count: int) -> None:
        """Schedules store faults that follow changes of the configuration.

        Another change, which drops a route, comes once machines have to be in
        contact again. They have random numbers of their own, so that the other
        faults of a seed stay as they are.

        Args:
          seed: Seed of the random numbers.
          from_s: Earliest start, in seconds from now.
          to_s: Latest start, in seconds from now.
          count: Number of faults.
        """
        rng = random.Random(f'{seed} between changes')
        for _ in range(count):
            fault = rng.choice((self._fall_silent, self._load_copy))
            start_s = rng.uniform(from_s, to_s)
            duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            name = fault.__name__.strip('_')
            self.log.append(f'{start_s:.1f} s {name} for {duration_s:.1f} s')
            write = self._deployment.write_configuration
            for number in range(CHANGES_BEFORE_FAULT):
                self._call_later(start_s - number * CHANGE_PERIOD_S, write,
                                 True)
            self._call_later(start_s + CHANGE_PERIOD_S, fault, duration_s,
                             rng.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S))
            self._call_later(start_s + duration_s + layout.RECONNECT_MS / 1_000,
                             write, False)

    def _fall_silent(self, duration_s: float, _: float) -> None:
        self._set_store_faults(duration_s, failure_mode='silent')

    def _load_copy(self, duration_s: float, age_s: float) -> None:
        self._deployment.store.reset_watches()
        self._call_later(duration_s, self._deployment.store.load_copy, age_s)
        self._set_store_faults(duration_s, failure_mode='reset')

    def _call_later(self, delay_s: float, fn: typing.Callable, *args:
                    typing.Any) -> None:
        self._deployment.reactor.callLater(delay_s, fn, *args)

    def _kill(self, _: float) -> None:
        self._kill_machine(self._rng.choice(self._deployment.machines))

    def _kill_machine(self, machine: layout.Machine) -> None:
        self._deployment.note_disturbance(machine, 0)
        self._deployment.signal(machine, signal.SIGKILL)

    def _kill_all(self, _: float) -> None:
        for machine in self._deployment.machines:
            self._kill_machine(machine)

    def _terminate(self, _: float) -> None:
        machine = self._rng.choice(self._deployment.balancers)
        self._deployment.signal(machine, signal.SIGTERM)

    def _pause(self, duration_s: float) -> None:
        self._pause_machine(self._rng.choice(self._deployment.machines),
                            duration_s)

    def _pause_machine(self, machine: layout.Machine,
                       duration_s: float) -> None:
        self._deployment.note_disturbance(machine, duration_s)
        self._deployment.signal(machine, signal.SIGSTOP)
        self._call_later(duration_s, self._deployment.signal, machine,
                         signal.SIGCONT)

    def _disturb_store(self, duration_s: float) -> None:
        """Notes a store fault.

        Deadlines of zones that are out restart when the store has recovered.
        """
        self._active_store_faults += 1
        self._deployment.opening_checker.zones_out.clear()
        self._deployment.observations.note_disturbance(
            observations_module.STORE,
            self._deployment.now_ms() + int(duration_s * 1_000))
        self._call_later(duration_s, self._end_store_fault)

    def _end_store_fault(self) -> None:
        self._active_store_faults -= 1
        if not self._active_store_faults:
            now_ms = self._deployment.now_ms() + layout.RECONNECT_MS
            for zone in self._deployment.store.names('evacuations'):
                self._deployment.opening_checker.zones_out[zone] = now_ms

    def _store_down(self, duration_s: float) -> None:
        failure_mode = self._rng.choice(('busy', 'reset', 'silent'))
        self._set_store_faults(duration_s, failure_mode=failure_mode)

    def _store_slow(self, duration_s: float) -> None:
        self._set_store_faults(duration_s, delay_s=0.24)

    def _store_loses(self, duration_s: float) -> None:
        self._set_store_faults(duration_s, lost_answer_share=0.4)

    def _set_store_faults(self, duration_s: float,
                          **changes: typing.Any) -> None:
        self._disturb_store(duration_s)
        self._deployment.store.faults = self._deployment.store.faults._replace(
            **changes)
        self._call_later(duration_s, self._restore_store)

    def _restore_store(self) -> None:
        self._deployment.store.faults = store_module.Faults()

    def _compact(self, _: float) -> None:
        self._disturb_store(1.0)
        self._deployment.store.compact()

    def _proxy(self, duration_s: float) -> None:
        self._disturb_proxies(duration_s, list(self._deployment.proxies))

    def _cut_some_from_store(self, duration_s: float) -> None:
        names = list(self._deployment.proxies)
        self._disturb_proxies(duration_s,
                              self._rng.sample(names,
                                               len(names) // 3))

    def _disturb_proxies(self, duration_s: float, names: list[str]) -> None:
        self._disturb_store(duration_s)
        mode = self._rng.choice(list(proxy_module.Mode)[1:-1])
        for name in names:
            self._deployment.proxies[name].mode = mode
        self._call_later(duration_s, self._restore_proxies, names)

    def _restore_proxies(self, names: list[str]) -> None:
        for name in names:
            self._deployment.proxies[name].mode = proxy_module.Mode.PASS
            # Discarded bytes are not sent again, so the streams are unusable.
            self._deployment.proxies[name].reset()

    def _reset_connections(self, _: float) -> None:
        self._disturb_store(0.5)
        for proxy in self._deployment.proxies.values():
            proxy.reset()

    def _crash_server(self, duration_s: float) -> None:
        server = self._deployment.servers[self._rng.choice(
            self._deployment.agents).name]
        if server.is_alive:
            self._deployment.note_disturbance(server.machine, duration_s)
            stopped = server.crash()
            self._call_later(duration_s, stopped.addCallback,
                             lambda _: server.start())

    def _replace_server(self, _: float) -> None:
        self._drain(self._rng.choice(self._deployment.agents))

    def _drain(self, machine: layout.Machine) -> None:
        server = self._deployment.servers[machine.name]
        if server.is_alive and server.state == 'ready':
            server.drain()
            stay_s = self._rng.uniform(1, MAX_DRAIN_STAY_S)
            self._call_later(layout.DRAIN_MS / 1_000 + stay_s, self._end_drain,
                             server)

    def _end_drain(self, server: typing.Any) -> None:
        if server.is_alive and server.state == 'draining':
            server.crash().addCallback(lambda _: server.start())

    def _zone_out(self, duration_s: float) -> None:
        zone = self._rng.choice(layout.ZONES)
        self._deployment.store.put('evacuations', zone, {})
        if not self._active_store_faults:
            self._deployment.opening_checker.zones_out.setdefault(
                zone, self._deployment.now_ms())
        self._call_later(duration_s + MIN_ZONE_OUT_S, self._end_zone_out, zone)

    def _end_zone_out(self, zone: str) -> None:
        self._deployment.opening_checker.zones_out.pop(zone, None)
        self._deployment.store.delete('evacuations', zone)

    def _configure(self, _: float) -> None:
        self._deployment.write_configuration()

    def _add_machine(self, _: float) -> None:
        if self._deployment.spare_machines:
            self._deployment.add_machine(self._deployment.spare_machines.pop())

    def _harm_target_link(self, duration_s: float) -> None:
        server = self._deployment.servers[self._rng.choice(
            self._deployment.agents).name]
        faults = self._rng.choice(
            (link_module.LOSSY, link_module.SILENT, link_module.SLOW))
        self._deployment.note_disturbance(server.machine, duration_s)
        server.link.faults = faults
        self._call_later(duration_s, self._restore_link, server.link)

    def _harm_client_links(self, duration_s: float) -> None:
        for client in self._deployment.clients:
            client.link.faults = link_module.UNORDERED
            self._call_later(duration_s, self._restore_link, client.link)

    def _restore_link(self, link: link_module.Link) -> None:
        link.faults = link_module.Faults()

    def _hurry_clients(self, duration_s: float) -> None:
        for client in self._deployment.clients:
            client.is_bursting = True
        self._call_later(duration_s, self._end_client_burst)

    def _end_client_burst(self) -> None:
        for client in self._deployment.clients:
            client.is_bursting = False
