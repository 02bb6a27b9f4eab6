"""The faults of a soak, drawn from a seed."""

import signal
import typing

from standins.soak import layout
from standins.soak import ledger as ledger_module
from standins.soak import link as link_module
from standins.soak import proxy as proxy_module
from standins.soak import site as site_module
from standins.soak import store as store_module

# Bounds of a fault's length, in s.
SHORTEST_S = 0.3
LONGEST_S = 4.0

# Shortest time in s for which a zone is out: the bound holds also if the store
# was disturbed meanwhile.
LEAST_ZONE_OUT_S = (layout.ZONE_OUT_MS + layout.CONTACT_MS) / 1_000

# Longest time in s for which a server stays after it may get no new flows.
LONGEST_DRAIN_S = 5.0


class Faults:
    """Strikes at random moments; faults come in series and overlap."""

    def __init__(self, site: site_module.Site):
        self._site = site
        self._rng = site.rng
        self._store_faults = 0
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
        """Draws `count` faults between two times from now."""
        for _ in range(count):
            kind = self._rng.choice(self._kinds)
            at_s = self._rng.uniform(from_s, to_s)
            for_s = self._rng.uniform(SHORTEST_S, LONGEST_S)
            name = kind.__name__.strip('_')
            self.log.append(f'{at_s:.1f} s {name} for {for_s:.1f} s')
            self._site.reactor.callLater(at_s, kind, for_s)

    def _later(self, delay_s: float, fn: typing.Callable, *args:
               typing.Any) -> None:
        self._site.reactor.callLater(delay_s, fn, *args)

    def _kill(self, _: float) -> None:
        machine = self._rng.choice(self._site.machines)
        self._site.disturb(machine, 0)
        self._site.signal(machine, signal.SIGKILL)

    def _kill_all(self, _: float) -> None:
        for machine in self._site.machines:
            self._site.disturb(machine, 0)
            self._site.signal(machine, signal.SIGKILL)

    def _terminate(self, _: float) -> None:
        machine = self._rng.choice(self._site.balancers)
        self._site.signal(machine, signal.SIGTERM)

    def _pause(self, for_s: float) -> None:
        machine = self._rng.choice(self._site.machines)
        self._site.disturb(machine, for_s)
        self._site.signal(machine, signal.SIGSTOP)
        self._later(for_s, self._site.signal, machine, signal.SIGCONT)

    def _disturb_store(self, for_s: float) -> None:
        """Bounds on zones start anew when the store is whole again."""
        self._store_faults += 1
        self._site.rules.zones_out.clear()
        self._site.ledger.disturb(ledger_module.STORE,
                                  self._site.now_ms() + int(for_s * 1_000))
        self._later(for_s, self._end_store_fault)

    def _end_store_fault(self) -> None:
        self._store_faults -= 1
        if not self._store_faults:
            now_ms = self._site.now_ms() + layout.CONTACT_MS
            for zone in self._site.store.names('evacuations'):
                self._site.rules.zones_out[zone] = now_ms

    def _store_down(self, for_s: float) -> None:
        how = self._rng.choice(('busy', 'reset', 'silent'))
        self._set_store(for_s, down=how)

    def _store_slow(self, for_s: float) -> None:
        self._set_store(for_s, delay_s=0.24)

    def _store_loses(self, for_s: float) -> None:
        self._set_store(for_s, lost=0.4)

    def _set_store(self, for_s: float, **changes: typing.Any) -> None:
        self._disturb_store(for_s)
        self._site.store.faults = self._site.store.faults._replace(**changes)
        self._later(for_s, self._mend_store)

    def _mend_store(self) -> None:
        self._site.store.faults = store_module.Faults()

    def _compact(self, _: float) -> None:
        self._disturb_store(1.0)
        self._site.store.compact()

    def _proxy(self, for_s: float) -> None:
        self._harm_proxies(for_s, list(self._site.proxies))

    def _cut_some_from_store(self, for_s: float) -> None:
        names = list(self._site.proxies)
        self._harm_proxies(for_s, self._rng.sample(names, len(names) // 3))

    def _harm_proxies(self, for_s: float, names: list[str]) -> None:
        self._disturb_store(for_s)
        mode = self._rng.choice(list(proxy_module.Mode)[1:])
        for name in names:
            self._site.proxies[name].mode = mode
        self._later(for_s, self._mend_proxies, names)

    def _mend_proxies(self, names: list[str]) -> None:
        for name in names:
            self._site.proxies[name].mode = proxy_module.Mode.PASS
            # Bytes that a cut has swallowed are not sent again.
            self._site.proxies[name].reset()

    def _reset_connections(self, _: float) -> None:
        self._disturb_store(0.5)
        for proxy in self._site.proxies.values():
            proxy.reset()

    def _crash_server(self, for_s: float) -> None:
        server = self._site.servers[self._rng.choice(self._site.agents).name]
        if server.is_alive:
            self._site.disturb(server.machine, for_s)
            stopped = server.crash()
            self._later(for_s, stopped.addCallback, lambda _: server.start())

    def _replace_server(self, _: float) -> None:
        server = self._site.servers[self._rng.choice(self._site.agents).name]
        if server.is_alive and server.state == 'ready':
            server.drain()
            stay_s = self._rng.uniform(1, LONGEST_DRAIN_S)
            self._later(layout.DRAIN_MS / 1_000 + stay_s, self._end_drain,
                        server)

    def _end_drain(self, server: typing.Any) -> None:
        if server.is_alive and server.state == 'draining':
            server.crash().addCallback(lambda _: server.start())

    def _zone_out(self, for_s: float) -> None:
        zone = self._rng.choice(layout.ZONES)
        self._site.store.put('evacuations', zone, {})
        if not self._store_faults:
            self._site.rules.zones_out.setdefault(zone, self._site.now_ms())
        self._later(for_s + LEAST_ZONE_OUT_S, self._zone_in, zone)

    def _zone_in(self, zone: str) -> None:
        self._site.rules.zones_out.pop(zone, None)
        self._site.store.delete('evacuations', zone)

    def _configure(self, _: float) -> None:
        self._site.configure()

    def _add_machine(self, _: float) -> None:
        if self._site.spares:
            self._site.add(self._site.spares.pop())

    def _harm_target_link(self, for_s: float) -> None:
        server = self._site.servers[self._rng.choice(self._site.agents).name]
        faults = self._rng.choice(
            (link_module.LOSSY, link_module.SILENT, link_module.SLOW))
        self._site.disturb(server.machine, for_s)
        server.link.faults = faults
        self._later(for_s, self._mend_link, server.link)

    def _harm_client_links(self, for_s: float) -> None:
        for client in self._site.clients:
            client.link.faults = link_module.UNORDERED
            self._later(for_s, self._mend_link, client.link)

    def _mend_link(self, link: link_module.Link) -> None:
        link.faults = link_module.Faults()

    def _hurry_clients(self, for_s: float) -> None:
        for client in self._site.clients:
            client.is_hasty = True
        self._later(for_s, self._calm_clients)

    def _calm_clients(self) -> None:
        for client in self._site.clients:
            client.is_hasty = False
