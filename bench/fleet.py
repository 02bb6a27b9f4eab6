"""A simulated site: agents, balancers and their views of the state.

Explanation
===========

`Fleet` holds the newest lists and contracts, as the platform does. A change
reaches each node after a random delay, so the views of nodes differ. No sockets
are used: messages are events in virtual time.
"""

import abc
import random

from bench import agents as agents_lib
from bench import events as events_lib
from bench import sites
from figdrum.contracts import change as change_lib
from figdrum.contracts import state as contract_state
from figdrum.core import ids
from figdrum.core import states
from figdrum.membership import service_list
from figdrum.messages import datagram
from figdrum.routing import router as router_lib
from figdrum.routing import serving

# Requirement P10: a change is in force on all nodes within 7 s. The delays here
# are at most 5 s, so every node meets it.
MIN_PROPAGATION_MS = 50
MAX_PROPAGATION_MS = 5_000
# Section 6.3: a member silent for 3,000 ms is published as lost.
LOST_AFTER_MS = 3_000
TOMBSTONE_MS = 300_000
BALANCER_LINGER_MS = 10_000
# The fabric's health check of balancers.
FABRIC_DETECTION_MS = 3_000
CALLER_HOP_MS = 3
START_AT_MS = 10_000


class Observer(abc.ABC):
    """Receives the events of packets and flows."""

    @abc.abstractmethod
    def on_delivered(self, agent: agents_lib.Agent,
                     packet: datagram.Packet) -> None:
        """Called before the target of an agent handles a packet."""

    @abc.abstractmethod
    def on_first_hop(self, agent: str, flow: ids.FlowKey) -> None:
        """Called when a balancer has chosen this agent for a packet."""

    @abc.abstractmethod
    def on_adopted(self, agent: agents_lib.Agent, flow: ids.FlowKey) -> None:
        """Called when an agent has accepted the handover of a flow."""

    @abc.abstractmethod
    def on_zone_change(self, agent: agents_lib.Agent) -> None:
        """Called when an agent learns that its zone was taken out or back in.

        The agent then forgets its flows.
        """

    @abc.abstractmethod
    def on_crash(self, agent: agents_lib.Agent) -> None:
        """Called before an agent stops, by a crash or after its drain."""

    @abc.abstractmethod
    def on_reply(self, packet: datagram.Packet, ok: bool) -> None:
        """Called when an answer or a refusal reaches the caller."""

    @abc.abstractmethod
    def deadline_at_ms(self, packet: datagram.Packet) -> int:
        """Returns the deadline of a request in virtual time, in ms."""


class _AlwaysFresh:
    """Freshness of a balancer that is never behind."""
    can_serve = True

    def is_behind(self, now_ms: int) -> bool:
        """Returns False."""
        del now_ms
        return False


class Balancer:
    """A simulated balancer: figdrum's router and its view of the state."""

    def __init__(self, address: ids.Address, zone: str, fleet: 'Fleet'):
        self.address = address
        self.zone = zone
        self.alive = True
        self.listed = True
        self.contracts = fleet.contracts
        self.lists = dict(fleet.lists)
        self.router = router_lib.Router(ids.ZoneName(zone), address,
                                        serving.ServingGate(_AlwaysFresh()))

    def apply_update(self, lists: dict[str, service_list.ServiceList],
                     contracts: contract_state.ContractState) -> None:
        """Applies what is newer than known."""
        if contracts.change > self.contracts.change:
            self.contracts = contracts
        for name, members in lists.items():
            if members.version > self.lists[name].version:
                self.lists[name] = members
        self.router.on_members(
            frozenset(m.address
                      for members in self.lists.values()
                      for m in members.members))


class Fleet:
    """All nodes of a site.

    Attributes:
      events: The virtual time.
      rng: Source of all random draws.
      contracts: The newest contracts.
      lists: The newest lists by service.
      agents: Agents by name.
      balancers: Balancers that run.
      wrong_service: Number of packets delivered by an agent of another service.
      packets_to_zones_out: Time in ms and zone of each packet that reached
        a zone that was taken out.
      drops: Number of packets dropped by agents, by reason.
    """

    def __init__(self,
                 site: sites.Site,
                 seed: int,
                 connections: int = agents_lib.MAX_CONNECTIONS):
        self.site = site
        self.events = events_lib.EventQueue()
        self.rng = random.Random(seed)
        self.contracts = site.contracts()
        self.lists = {
            name: service_list.ServiceList.empty(name)
            for name in (service.name for service in site.services)
        }
        self.agents: dict[str, agents_lib.Agent] = {}
        self.balancers: list[Balancer] = []
        self.observer: Observer | None = None
        self.wrong_service = 0
        self.packets_to_zones_out: list[tuple[int, str]] = []
        self.drops: dict[str, int] = {}
        self._connections = connections
        self._agent_names: dict[ids.Address, str] = {}
        self._balancers_by_address: dict[ids.Address, Balancer] = {}
        self._last_number = 0
        self._fabric_zones_out: frozenset[str] = frozenset()

    def start(self) -> None:
        """Starts all servers and balancers and their periodic work."""
        for service in self.site.services:
            for n in range(service.servers):
                self.join(f'{service.name}-{n}', service.name,
                          self.site.zone_of(n))
        for n in range(len(self.site.zones) * self.site.balancers_per_zone):
            self.add_balancer(self.site.zone_of(n))
        self.events.each(agents_lib.TICK_MS, self._tick)
        self.events.each(agents_lib.HEARTBEAT_MS, self._heartbeats)

    def get_latest(self, service: str):
        """Returns the newest list of a service and the contracts."""
        return self.lists[service], self.contracts

    def next_number(self) -> int:
        """Returns a number that is unique in this fleet."""
        self._last_number += 1
        return self._last_number

    def deadline_at_ms(self, packet: datagram.Packet) -> int:
        """Returns the deadline of a request in virtual time, in ms."""
        return self.observer.deadline_at_ms(packet)

    def is_zone_out(self, zone: str) -> bool:
        """Whether operators have taken a zone out."""
        return zone in self.contracts.zones_out

    # Planned changes and failures.

    def join(self, name: str, service: str, zone: str) -> agents_lib.Agent:
        """Starts a server; one with a known name rejoins at its old address."""
        previous = self.agents.get(name)
        number = len(self._agent_names) + 1
        address = (previous.identity.address if previous else
                   (f'10.1.{number // 250}.{number % 250}', 7000))
        agent = agents_lib.Agent(
            agents_lib.Identity(name, service, zone, address), self,
            self.site.slots, self._connections)
        self.agents[name] = agent
        self._agent_names[address] = name
        is_rejoin = self.lists[service].find(name) is not None
        incarnation = self.lists[service].version + 1
        agent.join(incarnation)
        self._write_member(
            service,
            service_list.Member(name, address, zone, incarnation,
                                states.MemberState.ACTIVE, is_rejoin), agent)
        return agent

    def leave(self, name: str) -> None:
        """Starts the drain of a server, as SIGTERM does."""
        agent = self.agents[name]
        agent.start_drain()
        self._set_member_state(name, states.MemberState.DRAINING)
        self.events.each(agents_lib.TICK_MS, lambda: self._poll_drain(name))

    def crash(self, name: str) -> None:
        """Stops a server at once; it is published as lost later."""
        self.observer.on_crash(self.agents[name])
        self.agents[name].crash()
        self.events.after(
            LOST_AFTER_MS,
            lambda: self.agents[name].alive or self._set_member_state(
                name, states.MemberState.LOST))

    def add_balancer(self, zone: str) -> Balancer:
        """Starts a balancer with the newest lists and contracts."""
        number = len(self._balancers_by_address) + 1
        balancer = Balancer((f'10.2.0.{number}', 7000), zone, self)
        self.balancers.append(balancer)
        self._balancers_by_address[balancer.address] = balancer
        return balancer

    def stop_balancer(self, balancer: Balancer) -> None:
        """Stops a balancer; it forwards until its linger time is over."""
        balancer.listed = False
        self.events.after(BALANCER_LINGER_MS, self._end_balancer, balancer)

    def crash_balancer(self, balancer: Balancer) -> None:
        """Stops a balancer at once; the fabric detects it later."""
        balancer.alive = False
        self.events.after(FABRIC_DETECTION_MS, self._end_balancer, balancer)

    def change(self, body: change_lib.Body) -> None:
        """Puts an approved change in force."""
        self.contracts = contract_state.preview(self.contracts, body)
        self._propagate()
        # Balancers in a zone that is out drop all packets.
        self.events.after(FABRIC_DETECTION_MS, self._on_fabric_detection,
                          self.contracts.zones_out)

    # Packets.

    def send(self, flow: ids.FlowKey, payload: bytes) -> None:
        """Sends a caller's datagram to a random balancer that is in service."""
        choices = [
            b for b in self.balancers
            if b.listed and b.zone not in self._fabric_zones_out
        ]
        if not choices:
            return
        self.events.after(CALLER_HOP_MS, self._route, self.rng.choice(choices),
                          flow, payload)

    def send_message(self, to: service_list.Member, message) -> None:
        """Sends a message from an agent to a member."""
        self.events.after(self._hop_ms(), self._arrive, to.address, message)

    def reply(self, agent: agents_lib.Agent, packet: datagram.Packet,
              ok: bool) -> None:
        """Sends an answer or a refusal to the caller."""
        balancer = self._balancers_by_address[packet.balancer]
        if not agent.alive or not balancer.alive:
            return
        balancer.router.on_heard(self.events.now_ms, agent.identity.address)
        self.events.after(CALLER_HOP_MS + self._hop_ms(),
                          self.observer.on_reply, packet, ok)

    def on_delivered(self, agent: agents_lib.Agent,
                     packet: datagram.Packet) -> None:
        """Counts a packet that a target handles and notifies the observer."""
        if packet.service != agent.identity.service:
            self.wrong_service += 1
        self.observer.on_delivered(agent, packet)

    def on_adopted(self, agent: agents_lib.Agent, flow: ids.FlowKey) -> None:
        """Notifies the observer of a handover."""
        self.observer.on_adopted(agent, flow)

    def on_zone_change(self, agent: agents_lib.Agent) -> None:
        """Notifies the observer that an agent's zone was taken out or back in.

        The target of an agent whose zone is back in is cold.
        """
        self.observer.on_zone_change(agent)
        if not agent.is_own_zone_out:
            agent.target.reset_to_cold()

    def on_start(self, agent: agents_lib.Agent) -> None:
        """Called when a target starts a request; does nothing by default."""

    def on_drop(self, agent: agents_lib.Agent, action) -> None:
        """Counts a dropped packet by its reason."""
        del agent
        reason = action.reason.value
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def _on_fabric_detection(self, zones_out: frozenset[str]) -> None:
        self._fabric_zones_out = zones_out

    def _hop_ms(self) -> int:
        return self.rng.randint(1, 1 + round(self.site.zone_hop_ms))

    def _route(self, balancer: Balancer, flow: ids.FlowKey,
               payload: bytes) -> None:
        if not balancer.alive:
            return
        if self.is_zone_out(balancer.zone):
            self.packets_to_zones_out.append(
                (self.events.now_ms, balancer.zone))
        routed = balancer.router.route(self.events.now_ms,
                                       (flow.src_host, flow.src_port),
                                       (flow.dst_host, flow.dst_port), payload,
                                       balancer.contracts,
                                       balancer.lists.__getitem__)
        if isinstance(routed, router_lib.Forward):
            self.observer.on_first_hop(routed.member.name, flow)
            self.events.after(self._hop_ms(), self._arrive_first, balancer,
                              routed)

    def _arrive_first(self, balancer: Balancer,
                      routed: router_lib.Forward) -> None:
        agent = self.agents[self._agent_names[routed.member.address]]
        packet = routed.packet
        if agent.alive and (packet.change < agent.contracts.change or
                            packet.list_version < agent.members.version):
            # A real agent answers with `Stale`, and the balancer syncs at once.
            self.events.after(agents_lib.FETCH_DELAY_MS, balancer.apply_update,
                              dict(self.lists), self.contracts)
        self._arrive(routed.member.address, packet)

    def _arrive(self, address: ids.Address, message) -> None:
        agent = self.agents[self._agent_names[address]]
        if isinstance(message, datagram.Packet):
            if self.is_zone_out(agent.identity.zone):
                self.packets_to_zones_out.append(
                    (self.events.now_ms, agent.identity.zone))
            agent.on_packet(message)
        else:
            agent.on_message(message)

    # Periodic work and propagation.

    def _tick(self) -> None:
        for agent in tuple(self.agents.values()):
            if agent.alive:
                agent.tick()
        for balancer in self.balancers:
            if not balancer.alive:
                continue
            for address in balancer.router.due_pings(self.events.now_ms):
                name = self._agent_names.get(address)
                if name and self.agents[name].alive:
                    balancer.router.on_heard(self.events.now_ms, address)

    def _heartbeats(self) -> None:
        for agent in tuple(self.agents.values()):
            if not agent.alive:
                continue
            heartbeat_message = agent.heartbeat()
            for member in agent.members.routable():
                if member.name != agent.name:
                    self.agents[member.name].on_message(heartbeat_message)

    def _poll_drain(self, name: str) -> bool:
        agent = self.agents[name]
        if not agent.alive or not agent.has_drained():
            return agent.alive
        self.events.after(agents_lib.LINGER_MS, self._finish_leave, name)
        return False

    def _finish_leave(self, name: str) -> None:
        self.observer.on_crash(self.agents[name])
        self.agents[name].crash()
        self._set_member_state(name, states.MemberState.LEFT)

    def _end_balancer(self, balancer: Balancer) -> None:
        balancer.alive = balancer.listed = False
        self.balancers.remove(balancer)

    def _set_member_state(self, name: str, state: states.MemberState) -> None:
        agent = self.agents[name]
        service = agent.identity.service
        member = self.lists[service].find(name)
        self._write_member(service, member._replace(state=state), agent)
        if state in (states.MemberState.LEFT, states.MemberState.LOST):
            self.events.after(TOMBSTONE_MS, self._remove_member, service, name,
                              member.incarnation)

    def _remove_member(self, service: str, name: str, incarnation: int) -> None:
        member = self.lists[service].find(name)
        if member is not None and member.incarnation == incarnation:
            members = self.lists[service].without(name)
            self.lists[service] = members._replace(version=members.version + 1)
            self._propagate()

    def _write_member(self, service: str, member: service_list.Member,
                      writer: agents_lib.Agent) -> None:
        members = self.lists[service].with_member(member)
        self.lists[service] = members._replace(version=members.version + 1)
        if writer.alive:
            writer.apply_update(*self.get_latest(service))
        self._propagate()

    def _propagate(self) -> None:
        """Sends the newest state to every node, each after a random delay."""
        lists, contracts = dict(self.lists), self.contracts
        for agent in self.agents.values():
            self.events.after(self._delay_ms(), self._update_agent, agent,
                              lists[agent.identity.service], contracts)
        for balancer in self.balancers:
            self.events.after(self._delay_ms(), balancer.apply_update, lists,
                              contracts)

    def _update_agent(self, agent: agents_lib.Agent,
                      members: service_list.ServiceList,
                      contracts: contract_state.ContractState) -> None:
        if agent.alive:
            agent.apply_update(members, contracts)

    def _delay_ms(self) -> int:
        return self.rng.randint(MIN_PROPAGATION_MS, MAX_PROPAGATION_MS)
