"""Faults that combine several events, drawn apart from the other ones."""

import random
import typing

from standins.soak import deployment as deployment_module
from standins.soak import faults
from standins.soak import layout
from standins.soak import link as link_module
from standins.soak import proxy as proxy_module
from standins.soak import wire

# Longest time between a change and the pause of a process that has to act on
# it, or between the loss of the store and the end of a process.
MAX_GAP_S = 0.1

# Range of the time for which targets have been draining when power is lost.
MIN_DRAINED_S = 0.2
MAX_DRAINED_S = 2.5

# Time from the deadline after which a draining target gets no new flows to a
# burst, and the duration of that burst.
DRAIN_GAP_S = 0.3
DRAIN_BURST_S = 1.0

# Longest delay of the copies that a server sends. It exceeds a heartbeat's
# period, so that copies arrive in another order.
MAX_COPY_DELAY_S = 1.5


class ExtraFaults(faults.Faults):
    """Injects these faults and the ones of `faults.Faults`."""

    def __init__(self, deployment: deployment_module.Deployment):
        super().__init__(deployment)
        self._extra_kinds: list[typing.Callable[[float], None]] = [
            self._lose_power, self._burst_class, self._narrow_link,
            self._pause_after_change, self._restart_without_store,
            self._copy_answers
        ]

    def schedule_extra(self, seed: int, from_s: float, to_s: float,
                       count: int) -> None:
        """Draws faults, and one target that drains, and schedules them.

        In one seed of three, the other faults (12 of them) drain no target.

        Args:
          seed: Seed of the random numbers.
          from_s: Earliest start, in seconds from now.
          to_s: Latest start, in seconds from now.
          count: Number of faults.
        """
        rng = random.Random(f'{seed} extra')
        kinds = rng.choices(self._extra_kinds, k=count) + [self._drain_one]
        for kind in kinds:
            start_s = rng.uniform(from_s, to_s)
            duration_s = rng.uniform(faults.MIN_DURATION_S,
                                     faults.MAX_DURATION_S)
            name = kind.__name__.strip('_')
            self.log.append(f'{start_s:.1f} s {name} for {duration_s:.1f} s')
            self._call_later(start_s, kind, duration_s)

    def burst(self, service: wire.Address, duration_s: float) -> None:
        """Lets the clients of a service open a flow for each request."""
        clients = [c for c in self._deployment.clients if c.service == service]
        for client in clients:
            client.is_bursting = True

        def end() -> None:
            for client in clients:
                client.is_bursting = False

        self._call_later(duration_s, end)

    def _burst_class(self, duration_s: float) -> None:
        services = sorted({c.service for c in self._deployment.clients})
        self.burst(self._rng.choice(services), duration_s)

    def _servers(self, service: str, state: str) -> list[typing.Any]:
        return [
            s for s in self._deployment.servers.values()
            if s.is_alive and s.machine.service == service and s.state == state
        ]

    def _drain_one(self, _: float) -> None:
        """Drains a target, and opens many flows when it must get none.

        Between bursts, a target gets one flow in two seconds. It may get none
        in all of the time for which it runs after the deadline.
        """
        ready = self._servers('fieldbook', 'ready')
        if ready:
            self._drain(self._rng.choice(ready).machine)
            self._call_later(layout.DRAIN_MS / 1_000 + DRAIN_GAP_S, self.burst,
                             self._deployment.urgent_address, DRAIN_BURST_S)

    def _lose_power(self, duration_s: float) -> None:
        """Drains a third of the targets, and ends all machines at once."""
        for service in ('fieldbook', 'reportdesk'):
            ready = self._servers(service, 'ready')
            for server in self._rng.sample(ready, len(ready) // 3):
                server.drain()
        self._call_later(self._rng.uniform(MIN_DRAINED_S, MAX_DRAINED_S),
                         self._cut_power, duration_s)

    def _cut_power(self, duration_s: float) -> None:
        """Ends all processes and servers. Draining servers do not come back."""
        for machine in self._deployment.machines:
            self._kill_machine(machine)
            self._deployment.note_disturbance(machine, duration_s)
        for service in ('fieldbook', 'reportdesk'):
            draining = self._servers(service, 'draining')
            # One server is left, also if all of them were draining.
            ready = self._servers(service, 'ready') or draining[:1]
            for server in draining:
                if server not in ready:
                    server.crash()
            for server in ready:
                self._call_later(duration_s,
                                 server.crash().addCallback,
                                 lambda _, server=server: server.start())

    def _pause_after_change(self, duration_s: float) -> None:
        """Pauses a process that may have checked what is changed just now."""
        machine = self._rng.choice(self._deployment.balancers)
        change = self._rng.choice(('configuration', 'zone', 'target'))
        if change == 'configuration':
            self._configure(0)
        elif change == 'zone':
            self._zone_out(duration_s)
        else:
            agent = self._rng.choice(self._deployment.agents)
            self._drain(agent)
            machine = self._rng.choice((machine, agent))
        self._call_later(self._rng.uniform(0, MAX_GAP_S), self._pause_machine,
                         machine, duration_s)

    def _restart_without_store(self, duration_s: float) -> None:
        self._store_down(duration_s)
        machines = self._deployment.machines
        for machine in self._rng.sample(machines, len(machines) // 3):
            self._call_later(self._rng.uniform(0, MAX_GAP_S),
                             self._kill_machine, machine)

    def _narrow_link(self, duration_s: float) -> None:
        """Limits a balancer's packets of clients and its calls to the store."""
        machine = self._rng.choice(self._deployment.balancers)
        self._deployment.note_disturbance(machine, duration_s)
        link = self._deployment.router.links[machine.name]
        link.faults = link_module.NARROW
        self._deployment.proxies[machine.name].mode = proxy_module.Mode.NARROW
        self._call_later(duration_s, self._restore_link, link)
        self._call_later(duration_s, self._restore_proxies, [machine.name])

    def _copy_answers(self, duration_s: float) -> None:
        """Lets half of the servers answer and send heartbeats late and twice.

        They are not disturbed by that: each of their heartbeats arrives in time
        as well.
        """
        agents: list[layout.Machine] = self._deployment.agents
        for machine in self._rng.sample(agents, len(agents) // 2):
            server = self._deployment.servers[machine.name]
            server.copy_delay_s = MAX_COPY_DELAY_S
            self._call_later(duration_s, setattr, server, 'copy_delay_s', 0.0)
