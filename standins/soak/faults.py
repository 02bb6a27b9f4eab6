"""The faults of a soak, drawn from a seed."""

import signal
import typing

from standins.soak import layout
from standins.soak import proxy as proxy_module
from standins.soak import site as site_module
from standins.soak import store as store_module

# Bounds of a fault's length, in s.
SHORTEST_S = 0.3
LONGEST_S = 4.0


class Faults:
    """Strikes at random moments; faults come in series and overlap."""

    def __init__(self, site: site_module.Site):
        self._site = site
        self._rng = site.rng
        self._store_faults = 0
        self.log: list[str] = []
        self._kinds: list[typing.Callable[[float], None]] = [
            self._kill, self._kill, self._terminate, self._pause,
            self._kill_all, self._store_down, self._store_refuses,
            self._store_slow, self._store_loses, self._compact, self._proxy,
            self._reset_connections, self._crash_server, self._replace_server,
            self._zone_out, self._configure, self._configure
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
        self._site.zones_out.clear()
        self._later(for_s, self._end_store_fault)

    def _end_store_fault(self) -> None:
        self._store_faults -= 1
        if not self._store_faults:
            now_ms = self._site.now_ms() + layout.CONTACT_MS
            for zone in self._site.store.names('evacuations'):
                self._site.zones_out[zone] = now_ms

    def _store_down(self, for_s: float) -> None:
        how = self._rng.choice(('busy', 'reset', 'silent'))
        self._set_store(for_s, down=how)

    def _store_refuses(self, for_s: float) -> None:
        hosts = self._rng.sample([m.host for m in self._site.machines],
                                 len(self._site.machines) // 3)
        self._set_store(for_s, down='busy', refused=frozenset(hosts))

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
        self._disturb_store(for_s)
        self._site.proxy.mode = self._rng.choice(list(proxy_module.Mode)[1:])
        self._later(for_s, self._mend_proxy)

    def _mend_proxy(self) -> None:
        self._site.proxy.mode = proxy_module.Mode.PASS
        # Bytes that a cut has swallowed are not sent again.
        self._site.proxy.reset()

    def _reset_connections(self, _: float) -> None:
        self._disturb_store(0.5)
        self._site.proxy.reset()

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
            self._later(layout.DRAIN_MS / 1_000 + 1, self._end_drain, server)

    def _end_drain(self, server: typing.Any) -> None:
        if server.is_alive and server.state == 'draining':
            server.crash().addCallback(lambda _: server.start())

    def _zone_out(self, for_s: float) -> None:
        zone = self._rng.choice(layout.ZONES)
        self._site.store.put('evacuations', zone, {})
        if not self._store_faults:
            self._site.zones_out.setdefault(zone, self._site.now_ms())
        self._later(for_s + layout.ZONE_OUT_MS / 1_000, self._zone_in, zone)

    def _zone_in(self, zone: str) -> None:
        self._site.zones_out.pop(zone, None)
        self._site.store.delete('evacuations', zone)

    def _configure(self, _: float) -> None:
        self._site.configure()
